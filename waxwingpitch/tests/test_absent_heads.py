"""Heads and members that left the list and still answer, so that requests may end."""

from __future__ import annotations

from dataclasses import replace

import gevent
import pytest

from ..gateway.absent_members import AbsentMembers
from ..gateway.probing import PROBE_INTERVAL_S, TargetProbes
from ..groups.formation import RELIST_GRACE_S
from ..groups.naming import GroupHead, name_group
from ..groups.orders_to_targets import Close, Leave
from ..targets.records import Membership, MembershipReport, MemberState, TargetRecord

CLOSE_TIMEOUT_S = 8.0
GROUP = name_group(5, GroupHead("head", "10.0.0.1:1"))
MEMBER = TargetRecord(
    id="member",
    service="pool",
    address="10.0.0.1:2",
    zone="z",
    capacity=9,
    leaving=False,
    cold_s=0.0,
    domain="d",
    membership=Membership(GROUP, 5, 1, MemberState.READY),
)


class _Probes(TargetProbes):
    """Probes of a head that carries out its orders once its requests have ended."""

    def __init__(self):
        super().__init__(None, None, lambda target, address: True)
        self.place = Membership(GROUP, 5, 0, MemberState.OPEN)
        self.orders = []

    def probe(self, target, address):
        place = self.place if target == "head" else MEMBER.membership
        return MembershipReport(orders=0, pace=1.0, membership=place)

    def send_order(self, target, address, order, fence):
        self.orders.append(order)
        if isinstance(order, Leave):
            self.place = None
        elif order.preempt:
            self.place = replace(self.place, state=MemberState.READY)
        else:
            self.place = replace(self.place, state=MemberState.CLOSING)
        return 202, ""


@pytest.fixture
def probes() -> _Probes:
    return _Probes()


def run(probes, start: float, end: float) -> None:
    """Let a planner probe the missing heads, from one time to another."""
    now = start
    while now < end:
        probes.probe_missing_heads({"member": MEMBER}, 1, CLOSE_TIMEOUT_S, now)
        gevent.sleep(0)
        now += PROBE_INTERVAL_S


def test_head_that_left_the_list_by_plan_ends_its_answers(probes):
    run(probes, 0.0, RELIST_GRACE_S)
    assert probes.orders == []
    run(probes, RELIST_GRACE_S + 0.5, 6.0)
    assert probes.orders == [Close(GROUP, 5, preempt=False)]
    probes.place = replace(probes.place, state=MemberState.READY)
    run(probes, 6.0, 8.0)
    assert probes.orders[1:] == [Leave(GROUP, 5)]
    assert probes.headless_groups == {GROUP}


def test_head_that_left_the_list_and_does_not_finish_closing_is_preempted(probes):
    run(probes, 0.0, CLOSE_TIMEOUT_S + 1.5)
    assert probes.orders == [
        Close(GROUP, 5, preempt=False),
        Close(GROUP, 5, preempt=True),
        Leave(GROUP, 5),
    ]


def test_broken_head_that_left_the_list_gets_no_order(probes):
    probes.place = replace(probes.place, state=MemberState.BROKEN)
    run(probes, 0.0, 4.0)
    assert probes.orders == []
    assert probes.headless_groups == {GROUP}


HEAD = replace(MEMBER, id="head", membership=Membership(GROUP, 5, 0, MemberState.OPEN))


def test_member_that_left_the_list_serves_on_until_it_does_not_answer():
    reports = {"member": MembershipReport(0, 1.0, MEMBER.membership)}
    members = AbsentMembers(lambda target, address: reports.get(target))

    def _update(now: float):
        members.update([MEMBER], {"head": HEAD}, now)
        gevent.sleep(0)
        return members.update([MEMBER], {"head": HEAD}, now)

    assert _update(0.0) == {"member": MEMBER}
    reports.clear()
    assert _update(PROBE_INTERVAL_S / 2) == {"member": MEMBER}, "not probed again yet"
    assert _update(PROBE_INTERVAL_S) == {}


@pytest.mark.parametrize("state", [MemberState.READY, MemberState.BROKEN])
def test_member_that_left_the_list_is_not_probed_once_its_group_is_closed(state):
    members = AbsentMembers(lambda target, address: pytest.fail("probed"))
    closed = replace(HEAD, membership=replace(HEAD.membership, state=state))
    assert members.update([MEMBER], {"head": closed}, 0.0) == {}
    gevent.sleep(0)
