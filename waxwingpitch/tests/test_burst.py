"""What callers get from an owner of slots when more requests come than it has slots.

The load: bursts above the capacity that end within the time that callers have, and a
lasting overload.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest

from ..slots import Granted, Refused, SlotKey, SlotOffer, SlotOwner, SlotRequest
from ..slots.budget import SharedRetryBudget
from .queue_load import PANTRY, SAME, SCMU, SIZES, WORKSPACES, Play

KEY = SlotKey("a", "pool", "m")
SLOTS = 13
DEADLINE_S = 8.0
MEAN_SERVICE_S = 1.0
SEEDS = range(5)
# Replicas and slots of a zone of 8 and of about 300 hosts.
SIZES_OF_FLEETS = ((3, 7), (12, 17))


class Burst:
    """Requests that arrive at an owner, and what becomes of each.

    Attributes
    ----------
    answered_s
        Times from the arrival to the end of those that were answered, in seconds.
    too_late
        Number of those that got a slot and could not end before their deadline.
    refused
        Times that a refused caller had waited and was told to wait, in seconds.
    """

    def __init__(self, rate_per_s: float, seconds: float, seed: int = 1):
        self.answered_s: list[float] = []
        self.too_late = 0
        self.refused: list[tuple[float, float]] = []
        self._rng = random.Random(seed)
        budget = SharedRetryBudget(ratio=0.2, slack=100.0, window_s=10.0, owners=1)
        self._owner = SlotOwner(KEY, budget)
        offer = SlotOffer("t", "", "a", "pool", "m", SLOTS, 1, 0.0)
        self._owner.set_offers((offer,), 100)
        self._arrivals: dict[int, float] = {}
        events = [
            (number / rate_per_s, 0, number)
            for number in range(round(rate_per_s * seconds))
        ]
        end_s = seconds + 2 * DEADLINE_S
        events += [(0.1 * tick, 2, tick) for tick in range(round(end_s / 0.1))]
        self._events = events
        heapq.heapify(events)
        while events:
            self._handle(*heapq.heappop(events))

    def _handle(self, now: float, kind: int, number: int) -> None:
        if kind == 0:
            self._arrivals[number] = now
            req = SlotRequest(
                "r", "pool", "m", "w", 1, 10.0, now + DEADLINE_S, due_at=now + 0.4
            )
            self._carry_out(self._owner.request("h", number, req, now), now)
        elif kind == 1:
            self._carry_out(self._owner.release("h", number, now), now)
        else:
            self._carry_out(self._owner.assign(now), now)

    def _carry_out(self, decisions, now: float) -> None:
        for decision in decisions:
            waited_s = now - self._arrivals[decision.number]
            match decision:
                case Granted():
                    service_s = self._rng.uniform(0.4, 1.6) * MEAN_SERVICE_S
                    end = (now + service_s, 1, decision.number)
                    heapq.heappush(self._events, end)
                    self._owner.record_times(service_s, 0.1)
                    if waited_s + service_s > DEADLINE_S:
                        self.too_late += 1
                    else:
                        self.answered_s.append(waited_s + service_s)
                case Refused():
                    self.refused.append((waited_s, decision.retry_after_s))


def test_burst_that_can_be_served_in_time_is_served():
    """50 requests more than slots: the last can run 4 s before its deadline."""
    for seed in SEEDS:
        burst = Burst(rate_per_s=63.0, seconds=1.0, seed=seed)
        assert burst.refused == []
        assert len(burst.answered_s) == 63


def test_lasting_overload_is_refused_at_once_and_slots_stay_in_use():
    """Twice the capacity: what cannot be served is told so at its arrival."""
    for seed in SEEDS:
        burst = Burst(rate_per_s=2 * SLOTS / MEAN_SERVICE_S, seconds=20.0, seed=seed)
        assert burst.too_late <= 0.01 * len(burst.answered_s)
        assert len(burst.answered_s) >= 0.95 * SLOTS / MEAN_SERVICE_S * 20.0
        assert all(
            0.1 <= retry_after_s <= DEADLINE_S / 3 for _, retry_after_s in burst.refused
        )
        at_once = sum(waited_s < 0.05 for waited_s, _ in burst.refused)
        assert at_once >= 0.9 * len(burst.refused)


def sum_plays(plays: list[Play], name: str) -> Counter:
    """Return the outcomes of a route or a workspace over all plays."""
    return sum((play.counts[name] for play in plays), Counter())


def find_served_share(plays: list[Play], name: str) -> float:
    """Return the share of requests that were answered before their deadlines."""
    counts = sum_plays(plays, name)
    return (counts["on time"] + counts["late"]) / counts.total()


def assert_kept(plays: list[Play], *, missed_share: float = 0.01) -> None:
    """Each request has an outcome, and next to none is answered after its deadline."""
    assert sum(play.count_open() for play in plays) == 0
    counts = sum_plays(plays, "all")
    assert counts["missed"] <= missed_share * counts.total()


@pytest.mark.parametrize(("replicas", "slots"), SIZES_OF_FLEETS)
def test_burst_of_short_requests_is_mostly_answered_on_time(replicas, slots):
    """1.5 times a load of 0.85: at most 0.784 can be on time without a queue.

    On the code before, 0.71 were at the small size, as half of those that were sent at
    the last moment were late. At the large one 1,098 requests had no outcome.
    """
    plays = [Play(SAME, replicas, slots, 0.85, 1.5, seed).run() for seed in (1, 2)]
    assert_kept(plays)
    in_burst = sum((play.in_burst for play in plays), Counter())
    assert in_burst["on time"] >= 0.73 * in_burst.total()


@pytest.mark.parametrize(("replicas", "slots"), SIZES_OF_FLEETS)
@pytest.mark.parametrize("routes", [SCMU, PANTRY], ids=["scmu", "pantry"])
def test_mixed_routes_are_all_served_in_a_burst_and_a_loss(routes, replicas, slots):
    """1.7 times the load for 3 s, then a third of the replicas is lost for 2.5 s."""
    play = Play(routes, replicas, slots, 0.7, 1.7, 1, loss=replicas // 3).run()
    assert_kept([play])
    assert all(find_served_share([play], name) >= 0.9 for name in play.counts)


@pytest.mark.parametrize(("replicas", "slots"), SIZES_OF_FLEETS)
def test_no_size_of_request_or_workspace_is_starved_by_overload(replicas, slots):
    """1.5 times the capacity for 20 s; large requests cost 4 times small ones."""
    seeds = (1, 2) if replicas < 10 else (1,)
    plays = [Play(SIZES, replicas, slots, 1.5, 1.0, seed).run() for seed in seeds]
    assert_kept(plays)
    small = find_served_share(plays, "small")
    assert find_served_share(plays, "large") >= 0.5 * small
    assert all(find_served_share(plays, name) >= 0.5 * small for name in WORKSPACES)
    at_once = sum(s < 0.06 for play in plays for s in play.refused_after_s)
    assert at_once >= 0.9 * sum(len(play.refused_after_s) for play in plays)


@pytest.mark.parametrize(("replicas", "slots"), SIZES_OF_FLEETS)
@pytest.mark.parametrize("change", ["ends", "two_owners"])
def test_every_request_is_decided_where_the_owner_changes(change, replicas, slots):
    """The next owner knows no times and no load, and accepts what it can't tell apart.

    Two owners may grant each slot twice for 0.7 s; targets queue what is too much, and
    neither owner leaves a request without an outcome.
    """
    play = Play(SCMU, replicas, slots, 0.85, 1.7, 1, **{change: True}).run()
    assert_kept([play])
    assert all(find_served_share([play], name) >= 0.9 for name in play.counts)
