"""What callers get from an owner of slots when more requests come than it has slots.

The load: bursts above the capacity that end within the time that callers have, and a
lasting overload.
"""

from __future__ import annotations

import heapq
import random

from ..slots import Granted, Refused, SlotKey, SlotOffer, SlotOwner, SlotRequest
from ..slots.budget import SharedRetryBudget

KEY = SlotKey("a", "pool", "m")
SLOTS = 13
DEADLINE_S = 8.0
MEAN_SERVICE_S = 1.0
SEEDS = range(5)


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
