"""Groups that are closed by plan: their requests in flight may finish."""

from __future__ import annotations

import pytest

from ..groups.formation import FormationPlanner
from ..targets.records import MemberState
from .fleet_fake import PAIR, QUAD, FleetFake
from .test_formation import build_planner, find_group


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


@pytest.mark.parametrize("is_planner_replaced", [False, True])
def test_answers_that_routes_allow_end_before_a_group_is_closed_by_plan(
    fleet, planner, is_planner_replaced
):
    """They may take longer than the least time that planned closes leave them."""
    fleet.running_s, fleet.longest_answer_s = 7.5, 8.0
    head, other = find_group(fleet, PAIR.name)
    fleet.leave(other)
    fleet.run(planner, 5.0)
    assert fleet.targets[head].record.membership.state is MemberState.CLOSING
    fleet.run(build_planner(2000) if is_planner_replaced else planner, 3.0)
    assert fleet.cut_off == []
    place = fleet.targets[head].record.membership
    assert place is None or place.state is not MemberState.CLOSING


def test_answers_end_after_a_member_has_left_the_list_by_plan(fleet, planner):
    fleet.running_s = 4.0
    head, other = find_group(fleet, PAIR.name)
    fleet.unlist(other)
    fleet.absent = {other}
    fleet.run(planner, 4.0)
    assert fleet.targets[head].record.membership.state is MemberState.CLOSING
    fleet.run(planner, 3.0)
    assert fleet.cut_off == []
    place = fleet.targets[head].record.membership
    assert place is None or place.state is not MemberState.CLOSING


def test_answers_of_a_group_are_given_up_once_a_member_is_gone(fleet, planner):
    fleet.running_s = 5.0
    head, other = find_group(fleet, PAIR.name)
    fleet.unlist(other)
    fleet.absent = {other}
    fleet.run(planner, 4.0)
    fleet.kill(other)
    fleet.absent = set()
    fleet.run(planner, 0.5)
    assert fleet.cut_off == [head]


def test_answers_end_before_a_group_is_closed_for_another_model(fleet, planner):
    fleet.running_s, fleet.longest_answer_s = 7.5, 8.0
    fleet.demand = {QUAD.name: 60.0, PAIR.name: 1.0}
    fleet.run(planner, 12.0)
    assert fleet.cut_off == []
    assert fleet.count_open()[QUAD.name] > 2


def test_group_that_does_not_finish_closing_is_preempted(fleet, planner):
    fleet.running_s, fleet.longest_answer_s = 60.0, 8.0
    head, other = find_group(fleet, PAIR.name)
    fleet.leave(other)
    fleet.run(planner, 7.5)
    assert fleet.cut_off == []
    fleet.run(planner, 1.0)
    assert fleet.cut_off == [head]
