"""Processor time of the decisions about slots, memory and targets' liveness, by size.

Run with ``python -m benchmarks.decision_cost``.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from waxwingpitch.gateway.expired_targets import ExpiredTargets
from waxwingpitch.gateway.replicas import KnownTarget
from waxwingpitch.memory import CallerAccount, CallerBounds, HoldKind
from waxwingpitch.slots import KeySummary, SlotKey, SlotOffer, SlotOwner, SlotRequest
from waxwingpitch.slots.budget import SharedRetryBudget
from waxwingpitch.targets.records import (
    Membership,
    MembershipReport,
    MemberState,
    TargetRecord,
)

KEY = SlotKey("a", "pool", "m")
ROUNDS = 400
# Replicas of one model in a zone, their slots, and requests that wait.
SIZES = ((3, 7, 0), (3, 7, 20), (30, 17, 0), (30, 17, 100), (30, 17, 500))
CONNECTIONS = (100, 500, 2000)
HEAD_BYTES = 64_000
# Targets of all zones, and those of them without an entry.
TARGETS = ((60, 20), (770, 1), (770, 110), (770, 770))


def build_owner(replicas: int, slots: int) -> SlotOwner:
    budget = SharedRetryBudget(ratio=0.2, slack=100.0, window_s=10.0, owners=3)
    owner = SlotOwner(KEY, budget)
    offers = (
        SlotOffer(f"t{number}", "", "a", "pool", "m", slots, 1)
        for number in range(replicas)
    )
    owner.set_offers(tuple(offers), 100)
    for zone in ("b", "c"):
        summary = KeySummary(replicas * slots, replicas * slots, 0, 9.0, 5, 5.0)
        owner.update_zone(zone, summary, 0.0)
    return owner


def build_request(number: int, now: float) -> SlotRequest:
    deadline = now + 60.0
    return SlotRequest(
        f"r{number}", "pool", "m", f"w{number % 20}", 1, 10.0, deadline, due_at=now + 5
    )


def measure_us(act: Callable[[int], None]) -> float:
    started_at = time.process_time()
    for number in range(ROUNDS):
        act(number)
    return 1e6 * (time.process_time() - started_at) / ROUNDS


def measure_slots(replicas: int, slots: int, waiting: int) -> float:
    """Return the time of a request and the release that makes room for the next."""
    owner = build_owner(replicas, slots)
    taken = replicas * slots - (0 if waiting else 1)
    for number in range(taken + waiting):
        owner.request("h", number, build_request(number, 0.0), 0.0)

    def ask_and_release(number: int) -> None:
        now = 0.001 * number
        new = 10_000 + number
        owner.request("h", new, build_request(new, now), now)
        owner.release("h", new if not waiting else number, now)

    return measure_us(ask_and_release)


def measure_account(connections: int) -> float:
    """Return the time to admit a head when the memory is full."""
    account = CallerAccount(CallerBounds(connections * HEAD_BYTES, connections))
    holds = [account.open(lambda rejection: None, 0.0)[0] for _ in range(connections)]
    for hold in holds:
        hold.set(HoldKind.HEAD, HEAD_BYTES)

    def admit(number: int) -> None:
        hold = holds[number % connections]
        hold.set(HoldKind.HEAD, HEAD_BYTES)
        hold.admit(0.001 * number)

    return measure_us(admit)


def measure_judgement(targets: int, expired: int) -> float:
    """Return the time to judge the targets without an entry once, all of them alive."""
    place = Membership("g", 1, 0, MemberState.OPEN)
    listed = {
        f"t{number}": KnownTarget(
            TargetRecord(
                f"t{number}",
                "pool",
                f"h{number}:1",
                f"z{number * 7 // targets}",
                9,
                False,
                0.0,
                membership=place,
            ),
            1,
            0.0,
            0.0,
        )
        for number in range(targets)
    }
    found = ExpiredTargets(listed)
    for number in range(expired):
        found.add(listed.pop(f"t{number}"), 0.0)
        found.record_answer(f"t{number}", MembershipReport(0, 1.0, place), 0.5)
    return measure_us(lambda number: found.update(1.0))


def main() -> None:
    """Print one line for each size."""
    print("python -m benchmarks.decision_cost")
    for replicas, slots, waiting in SIZES:
        cost_us = measure_slots(replicas, slots, waiting)
        load = f"{replicas} replicas of {slots}, {waiting} waiting"
        print(f"slots: {load}: {cost_us:.0f} us")
    for connections in CONNECTIONS:
        cost_us = measure_account(connections)
        print(f"memory: {connections} connections, full: {cost_us:.0f} us")
    for targets, expired in TARGETS:
        cost_us = measure_judgement(targets, expired)
        print(f"liveness: {targets} targets, {expired} without entry: {cost_us:.0f} us")


if __name__ == "__main__":
    main()
