"""Targets of unequal speed get work by the time that it takes there."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest

from ..slots import Granted, SlotKey, SlotOffer, SlotOwner, SlotRequest
from ..slots.budget import SharedRetryBudget
from ..slots.speeds import ReplicaSpeeds

SLOTS = 17
SECONDS = 20.0


def play(groups: int) -> tuple[float, float]:
    """Play a load of 0.5 where each second group has 0.6 of the speed.

    Returns the share of the requests that slow groups ran, and the mean service time.
    """
    rng = random.Random(1)
    budget = SharedRetryBudget(ratio=0.2, slack=100.0, window_s=10.0, owners=1)
    owner = SlotOwner(SlotKey("a", "models", "m"), budget)
    offers = [
        SlotOffer(f"t{n}", "", "a", "models", "m", SLOTS, 1) for n in range(groups)
    ]
    owner.set_offers(tuple(offers), 100)
    slow = {offer.id for offer in offers[::2]}
    rate = 0.5 * groups * SLOTS * (1.6 / 2)
    events = [(number / rate, 0, number, 0.0) for number in range(int(SECONDS * rate))]
    heapq.heapify(events)
    counts, total_s = Counter(), 0.0
    while events:
        now, kind, number, service_s = heapq.heappop(events)
        if kind:
            owner.record_times(service_s, 0.1, client="h", number=number)
            owner.release("h", number, now)
            continue
        req = SlotRequest("r", "models", "m", "w", 1, 10.0, now + 6.0)
        (decision,) = owner.request("h", number, req, now)
        assert isinstance(decision, Granted)
        is_slow = decision.offer.id in slow
        service_s = rng.uniform(0.5, 1.5) / (0.6 if is_slow else 1.0)
        counts[is_slow] += 1
        total_s += service_s
        heapq.heappush(events, (now + service_s, 1, number, service_s))
    return counts[True] / counts.total(), total_s / counts.total()


@pytest.mark.parametrize("groups", [4, 20])
def test_slow_groups_get_fewer_requests_than_by_count(groups, monkeypatch):
    """By count they run 0.375 of the requests, and each takes 1.67 times as long."""
    share, mean_s = play(groups)
    monkeypatch.setattr(ReplicaSpeeds, "find", lambda self, target: 1.0)
    share_by_count, mean_by_count_s = play(groups)
    assert share < 0.32 < share_by_count
    assert mean_s < 0.97 * mean_by_count_s


def test_replica_that_has_left_is_measured_anew():
    speeds = ReplicaSpeeds()
    for _ in range(20):
        speeds.record("t", 9.0)
    assert speeds.find("t") == 2.0
    speeds.keep({"u"})
    assert speeds.find("t") == 1.0


# Guards against a replica that gets no request, as it has not been measured, while the
# times of another one are some hundredths shorter than usual by chance.
def test_replicas_of_about_the_same_speed_get_requests_alike_at_low_load():
    owner = SlotOwner(
        SlotKey("a", "plain", ""),
        SharedRetryBudget(ratio=0.2, slack=100.0, window_s=10.0, owners=1),
    )
    offers = [SlotOffer(name, "", "a", "plain", "", SLOTS, 1) for name in ("t0", "t1")]
    owner.set_offers(tuple(offers), 100)
    counts = Counter()
    for number in range(100):
        req = SlotRequest("r", "plain", "", "w", 1, 10.0, number + 6.0)
        (decision,) = owner.request("h", number, req, float(number))
        service_s = {"t0": 0.95, "t1": 1.05}[decision.offer.id]
        counts[decision.offer.id] += 1
        owner.record_times(service_s, 0.1, client="h", number=number)
        owner.release("h", number, number + service_s)
    assert min(counts.values()) >= 25
