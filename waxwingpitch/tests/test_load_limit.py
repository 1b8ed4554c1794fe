"""Limit on loads from the weight store, which all planners share."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ..groups.load_limit import LOAD_OVERDUE_S, LoadLimit
from .fleet_fake import PAIR, QUAD, SPEC, FleetFake


def start_loads(
    limit: LoadLimit, count: int, now: float, *, urgent: bool = True
) -> int:
    """Try to start one load a second; return how many may start."""
    return sum(
        limit.try_begin(SPEC, PAIR, f"t{now}-{number}", now + number, urgent)
        for number in range(count)
    )


def test_load_counts_until_its_own_expected_end():
    limit = LoadLimit(3, lambda: 4)
    assert start_loads(limit, 5, 0.0) == 3
    assert limit.count_in_progress(PAIR.load_s) == 3
    assert limit.count_in_progress(PAIR.load_s + LOAD_OVERDUE_S) == 2
    assert PAIR.load_s + LOAD_OVERDUE_S < QUAD.load_s


def test_load_listed_as_staged_no_longer_counts():
    fleet = FleetFake(size=2)
    limit = LoadLimit(3, lambda: 0)
    assert limit.try_begin(SPEC, PAIR, "t0-0", 0.0, True)
    limit.drop_ended(fleet.view().targets)
    assert limit.count_in_progress(1.0) == 1
    item = fleet.targets["t0-0"]
    item.record = replace(item.record, staged=(PAIR.name,))
    limit.drop_ended(fleet.view().targets)
    assert limit.count_in_progress(1.0) == 0


@pytest.mark.parametrize(("elsewhere", "expected"), [(0, 7), (5, 2), (7, 2)])
def test_one_zone_may_use_what_the_others_leave_free(elsewhere, expected):
    limit = LoadLimit(3, lambda: elsewhere)
    assert start_loads(limit, 10, 0.0) == expected


@pytest.mark.parametrize(("elsewhere", "expected"), [(0, 3), (2, 1), (5, 0)])
def test_loads_that_are_not_urgent_leave_half_of_the_limit(elsewhere, expected):
    limit = LoadLimit(3, lambda: elsewhere)
    assert start_loads(limit, 10, 0.0, urgent=False) == expected


def test_starts_are_spread():
    limit = LoadLimit(3, lambda: 0)
    started = [limit.try_begin(SPEC, PAIR, f"t{n}", 0.1 * n, True) for n in range(10)]
    assert sum(started) == 1


def test_load_of_a_target_that_restarted_no_longer_counts():
    """A restart ends the load; counted on, it would hold up others for 17 s."""
    fleet = FleetFake(size=2)
    limit = LoadLimit(3, lambda: 0)
    assert limit.try_begin(SPEC, PAIR, "t0-0", 0.0, True)
    limit.drop_ended(fleet.view().targets)
    assert limit.count_in_progress(1.0) == 1
    item = fleet.targets["t0-0"]
    item.record = replace(item.record, started_ms=5)
    limit.drop_ended(fleet.view().targets)
    assert limit.count_in_progress(1.0) == 0
