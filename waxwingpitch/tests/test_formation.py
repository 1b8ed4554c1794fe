"""Planner of replica groups, against a fake fleet that carries out its orders."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest

from ..groups.fleet import find_missing_heads, summarize
from ..groups.formation import FormationPlanner
from ..groups.load_limit import LoadLimit
from ..groups.naming import GroupHead, name_group, parse_head
from ..groups.orders_to_targets import Close, Join, Open, Stage
from ..targets.records import MemberState
from .fleet_fake import PAIR, QUAD, SPEC, FleetFake


def build_planner(start: int = 1000) -> FormationPlanner:
    epochs = itertools.count(start)
    return FormationPlanner(lambda: next(epochs), lambda *load: True)


@pytest.fixture
def fleet() -> FleetFake:
    return FleetFake(domains=2)


@pytest.fixture
def planner(fleet) -> FormationPlanner:
    planner = build_planner()
    fleet.run(planner, 6.0)
    fleet.has_traffic = True
    fleet.demand = {QUAD.name: 5.0, PAIR.name: 10.0}
    return planner


def find_group(fleet: FleetFake, model: str) -> list[str]:
    """Return the members of an open group, the head first."""
    for item in fleet.targets.values():
        place = item.record.membership
        if place.rank == 0 and item.record.model == model:
            return list(item.members)
    raise AssertionError(f"no group of {model}")


def test_every_target_serves_before_traffic(fleet, planner):
    assert fleet.count_open() == {QUAD.name: 2, PAIR.name: 6}
    summary = summarize(fleet.view(), planner.ledger.count_forming())
    assert summary.idle == {}


def test_every_host_holds_the_other_model_too(fleet, planner):
    for item in fleet.targets.values():
        assert item.record.staged != (item.record.model,)


def test_host_that_loads_weights_is_not_asked_again_when_its_group_opens(fleet):
    fleet.run(build_planner(), 6.0)
    assert sum(fleet.count_open().values()) == 8
    assert fleet.refused == []


def test_ready_group_is_opened_while_the_host_of_its_head_loads_weights(fleet):
    planner = build_planner()
    fleet.run(planner, 6.0)
    fleet.has_traffic = True
    head, *_ = find_group(fleet, QUAD.name)
    item = fleet.targets[head]
    item.record = replace(item.record, staged=(QUAD.name,))
    fleet.run(planner, 0.1)
    assert item.staging == PAIR.name
    close_group(fleet, head)
    fleet.run(planner, 2 * SPEC.open_s)
    assert item.record.membership.state is MemberState.OPEN
    assert item.staging == PAIR.name


def lose_a_member_beside_a_spare(fleet: FleetFake, demand: dict[str, float]) -> str:
    """Kill a member of a large group; return the head. A spare has its weights."""
    fleet.run(build_planner(), 6.0)
    fleet.has_traffic = True
    fleet.demand = demand
    head, lost, *_ = find_group(fleet, QUAD.name)
    fleet.orders.clear()
    fleet.add("spare", fleet.targets[head].record.domain)
    spare = fleet.targets["spare"]
    spare.record = replace(spare.record, staged=(QUAD.name,))
    fleet.kill(lost)
    fleet.unreachable.add(lost)
    return head


def list_closed(fleet: FleetFake) -> list[str]:
    return [target for target, order in fleet.orders if isinstance(order, Close)]


def test_members_serve_again_with_a_spare_after_one_is_lost(fleet):
    """The head leaves its group, and still holds the model that it served."""
    head = lose_a_member_beside_a_spare(fleet, {QUAD.name: 12.0, PAIR.name: 10.0})
    fleet.run(build_planner(9000), 4.0)
    assert fleet.count_open() == {QUAD.name: 2, PAIR.name: 6}
    assert list_closed(fleet) == [head], "no group that serves is closed for it"


def test_members_serve_again_if_the_planner_changes_after_the_head_has_left(fleet):
    head = lose_a_member_beside_a_spare(fleet, {QUAD.name: 12.0, PAIR.name: 10.0})
    planner = build_planner(9000)
    while fleet.targets[head].record.membership is not None:
        fleet.run(planner, 0.05)
    fleet.run(build_planner(9500), 4.0)
    assert fleet.count_open() == {QUAD.name: 2, PAIR.name: 6}
    assert list_closed(fleet) == [head]


def test_large_group_is_formed_again_rather_than_small_ones(fleet):
    """Neither model lacks slots, and the smaller one is under more pressure."""
    lose_a_member_beside_a_spare(fleet, {QUAD.name: 4.0, PAIR.name: 35.0})
    fleet.run(build_planner(9000), 4.0)
    assert fleet.count_open() == {QUAD.name: 2, PAIR.name: 6}


def test_load_that_a_planner_of_before_began_does_not_hold_up_others(fleet, planner):
    """A target that loads weights already refuses; one start a second is allowed."""
    for item in fleet.targets.values():
        item.record = replace(item.record, staged=(item.record.model,))
        item.staging = ""
    loading = next(iter(fleet.targets))
    assert fleet.carry_out(loading, Stage(PAIR.name))
    limit = LoadLimit(int(SPEC.loads_per_s), lambda: 0)
    following = FormationPlanner(
        itertools.count(9000).__next__, limit.try_begin, cancel_load=limit.cancel
    )
    fleet.run(following, 0.5)
    staging = [target for target, item in fleet.targets.items() if item.staging]
    assert len(staging) == 2 and loading in staging
    assert limit.count_in_progress(fleet.now) == 1


def test_groups_wait_until_a_new_domain_is_complete():
    fleet = FleetFake(domains=1, size=3)
    planner = build_planner()
    fleet.run(planner, 1.0)
    for number in range(3, 10):
        fleet.add(f"t0-{number}", "d0")
    fleet.run(planner, 1.0)
    assert fleet.orders == []
    fleet.run(planner, 5.0)
    assert fleet.count_open() == {QUAD.name: 1, PAIR.name: 3}


def test_survivors_of_a_large_group_are_completed_from_a_small_one(fleet, planner):
    head, *others = find_group(fleet, QUAD.name)
    fleet.kill(others[0])
    fleet.unreachable.add(others[0])
    fleet.run(planner, 4.0)
    assert fleet.count_open() == {QUAD.name: 2, PAIR.name: 5}


def test_survivors_form_small_groups_if_their_model_is_under_more_pressure(
    fleet, planner
):
    fleet.demand = {QUAD.name: 2.0, PAIR.name: 40.0}
    head, *others = find_group(fleet, QUAD.name)
    fleet.kill(others[0])
    fleet.unreachable.add(others[0])
    fleet.run(planner, 3.0)
    assert fleet.count_open() == {QUAD.name: 1, PAIR.name: 7}


def test_overloaded_model_gets_groups_of_one_with_free_slots(fleet, planner):
    fleet.demand = {QUAD.name: 17.0, PAIR.name: 6.0}
    fleet.run(planner, 5.0)
    assert fleet.count_open() == {QUAD.name: 3, PAIR.name: 4}


def test_groups_closed_for_another_model_are_not_reopened(fleet, planner):
    fleet.orders.clear()
    fleet.demand = {QUAD.name: 17.0, PAIR.name: 6.0}
    fleet.run(planner, 3.0)
    closed = {order.epoch for _, order in fleet.orders if isinstance(order, Close)}
    opened = {order.epoch for _, order in fleet.orders if isinstance(order, Open)}
    assert closed
    assert not closed & opened


def test_balanced_fleet_keeps_its_groups(fleet, planner):
    fleet.orders.clear()
    fleet.run(planner, 20.0)
    assert [order for _, order in fleet.orders if not isinstance(order, Stage)] == []


def test_members_of_a_head_cut_from_the_list_stay(fleet, planner):
    head, other = find_group(fleet, PAIR.name)
    fleet.orders.clear()
    fleet.unlist(head)
    fleet.unreachable.add(head)
    fleet.run(planner, 3.5)
    assert not any(
        isinstance(order, Join) for target, order in fleet.orders if target == other
    )


def test_members_of_a_lost_head_serve_again(fleet, planner):
    first = find_group(fleet, PAIR.name)
    fleet.kill(first[0])
    fleet.unlist(first[0])
    second = next(
        list(item.members)
        for item in fleet.targets.values()
        if item.record.model == PAIR.name
        and item.record.domain == fleet.targets[first[0]].record.domain
        and item.record.id not in first
    )
    fleet.kill(second[0])
    fleet.unlist(second[0])
    fleet.inactive |= {first[0], second[0]}
    fleet.run(planner, 2.0)
    place = fleet.targets[first[1]].record.membership
    assert place.epoch == fleet.targets[second[1]].record.membership.epoch
    assert fleet.count_open()[PAIR.name] == 5


def test_members_relisted_before_their_head_are_not_moved(fleet, planner):
    """Survivors of a partition must not be moved while their head is relisted.

    The targets of a zone that was cut off from the list are listed again one by one.
    """
    group = find_group(fleet, PAIR.name)
    for target in fleet.targets:
        fleet.unlist(target)
    fleet.inactive |= set(fleet.targets)
    fleet.run(planner, 5.0)
    for target in fleet.targets:
        if target != group[0]:
            fleet.relist(target)
    fleet.run(planner, 3.0)
    fleet.relist(group[0])
    fleet.inactive.clear()
    fleet.run(planner, 3.0)
    assert fleet.count_open() == {QUAD.name: 2, PAIR.name: 6}


def test_another_planner_adopts_groups_that_are_ready(fleet):
    planner = build_planner()
    fleet.run(planner, 1.5)
    for _ in range(100):
        if any(
            item.record.membership and item.record.membership.state is MemberState.READY
            for item in fleet.targets.values()
        ):
            break
        fleet.run(planner, 0.05)
    fleet.run(build_planner(start=2000), 6.0)
    assert sum(fleet.count_open().values()) >= 7


def test_leaving_member_closes_its_group_without_preemption(fleet, planner):
    head, other = find_group(fleet, PAIR.name)
    fleet.orders.clear()
    fleet.leave(other)
    fleet.run(planner, 0.5)
    closes = [order for target, order in fleet.orders if target == head]
    assert closes and not closes[0].preempt


def test_new_targets_load_weights_and_join(fleet, planner):
    fleet.add("new-1", "d0")
    fleet.add("new-2", "d0")
    fleet.run(planner, 16.0)
    assert fleet.count_open()[PAIR.name] + fleet.count_open()[QUAD.name] == 9


def test_new_planner_detects_a_lost_head(fleet, planner):
    """A planner that started after a head left finds it by the name of its group."""
    pairs = [
        list(item.members)
        for item in fleet.targets.values()
        if item.record.membership.rank == 0 and item.record.model == PAIR.name
    ][:2]
    for head, _ in pairs:
        fleet.kill(head)
        fleet.unlist(head)
    fleet.run(planner, 0.1)
    later = build_planner(start=5000)
    assert set(find_missing_heads(fleet.view().targets)) == {pairs[0][0], pairs[1][0]}
    fleet.inactive |= {pairs[0][0], pairs[1][0]}
    for item in fleet.targets.values():
        item.membership_since = fleet.now
        item.removed_at = 0.0
    fleet.run(later, 7.0)
    assert fleet.count_open()[PAIR.name] == 5


def test_members_of_a_group_with_a_pending_open_stay(fleet, planner):
    """Guards against moving members whose head may still open.

    The order to open is delayed, and the head executes it after the planner has
    abandoned the group.
    """
    head, other = find_group(fleet, PAIR.name)
    lost = next(
        target
        for target, item in fleet.targets.items()
        if item.members[1:] == (target,) and item.members[0] != head
    )
    fleet.kill(lost)
    fleet.unlist(lost)
    fleet.run(planner, 4.0)
    place = close_group(fleet, head)
    fleet.advance(0.1)
    plan_for(fleet, planner, 0.1, withheld_from=head)
    fleet.leave(head)
    plan_for(fleet, planner, 0.5, withheld_from=head)
    fleet.carry_out(head, Open(place.group, place.epoch))
    fleet.run(planner, 5.0)
    assert fleet.targets[other].members[0] != head


def test_group_stays_closed_while_a_member_joins_another(fleet, planner):
    """Guards against opening a group one of whose members joins another.

    A member is listed again after a new planner has ordered the others to join
    another group, and some of these orders arrive late.
    """
    fleet.demand = {QUAD.name: 2.0, PAIR.name: 40.0}
    head, *others = find_group(fleet, QUAD.name)
    place = close_group(fleet, head)
    fleet.targets[head].record = replace(fleet.targets[head].record, staged=())
    fleet.unlist(others[0])
    fleet.advance(0.1)
    later = build_planner(start=9000)
    delayed = plan_for(fleet, later, 0.3, withheld_from="")
    fleet.relist(others[0])
    fleet.run(later, 0.5)
    for target_order in delayed:
        if fleet.targets[target_order.target].highest_epoch == place.epoch:
            fleet.carry_out(target_order.target, target_order.order)
    fleet.run(later, 8.0)
    assert sum(fleet.count_open().values()) >= 8


def close_group(fleet: FleetFake, head: str):
    place = fleet.targets[head].record.membership
    fleet.carry_out(head, Close(place.group, place.epoch, preempt=True))
    return place


def plan_for(fleet, planner, seconds: float, *, withheld_from: str) -> list:
    """Plan for some time; return the withheld orders, to one target or to all."""
    withheld = []
    for _ in range(round(seconds / 0.05)):
        for target_order in planner.plan(fleet.view(), fleet.now):
            if withheld_from in ("", target_order.target):
                withheld.append(target_order)
            else:
                fleet.carry_out(target_order.target, target_order.order)
        fleet.advance(0.05)
    return withheld


def test_group_names_contain_the_head():
    head = GroupHead("i-1_x", "10.0.0.1:80")
    assert parse_head(name_group(7, head)) == head
    assert parse_head("g7") is None


def test_ready_group_without_a_listed_member_is_not_adopted(fleet, planner):
    head, other = find_group(fleet, PAIR.name)
    place = fleet.targets[head].record.membership
    fleet.carry_out(head, Close(place.group, place.epoch, preempt=True))
    fleet.unlist(other)
    fleet.orders.clear()
    fleet.run(build_planner(start=9000), 1.0)
    assert not any(
        isinstance(order, Open) and order.epoch == place.epoch
        for _, order in fleet.orders
    )
