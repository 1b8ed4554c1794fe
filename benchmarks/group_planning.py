"""Groups kept open while members fail and new targets are listed, without a network.

Simulates one zone of two domains for 35 seconds. Every three seconds a member of a
group fails for good with a probability of two thirds; from the tenth second on, a new
target is listed with the same probability every three seconds. Prints for each policy
the mean number of open groups of each size, the share of demand that the open groups
can serve (column ``borne``) and the mean number of idle targets.

Command: python -m benchmarks.group_planning
"""

from __future__ import annotations

import itertools
import random
import statistics
import sys
from collections.abc import Iterator
from dataclasses import dataclass

from waxwingpitch.groups import balance
from waxwingpitch.groups.formation import FormationPlanner
from waxwingpitch.targets.records import MemberState
from waxwingpitch.tests.fleet_fake import PAIR, QUAD, SPEC, FleetFake

SEEDS = 20
DURATION_S = 35
TICK_S = 0.1
# Times from a target's failure until it is known to be unreachable and until it is
# removed from the list.
DETECTION_DELAY_S = 0.5
UNLIST_DELAY_S = 3.6
# Requests in flight per zone; 0.4 of the slots of the complete fleet.
DEMAND = {QUAD.name: 7.5, PAIR.name: 20.0}
# Share of a group's slots that is counted as able to serve.
USABLE_SLOT_SHARE = 0.85
MAX_CONCURRENT_LOADS = 3


@dataclass(frozen=True, slots=True)
class Outcome:
    """Means over one simulated run; ``borne`` is the share of demand that is served."""

    quad: float
    pair: float
    borne: float
    idle: float


def simulate(seed: int, **constants: float) -> Outcome:
    """Simulate one seed with some of the planner's constants changed."""
    original = {name: getattr(balance, name) for name in constants}
    for name, value in constants.items():
        setattr(balance, name, value)
    try:
        return _summarize(list(_simulate(seed)))
    finally:
        for name, value in original.items():
            setattr(balance, name, value)


def _simulate(seed: int) -> Iterator[tuple[int, int, float, int]]:
    rng = random.Random(seed)
    fleet = FleetFake(domains=2)
    epochs = itertools.count(1000)
    loads: list[float] = []

    def may_load(spec, model, target, now: float, urgent: bool) -> bool:
        loads[:] = [at for at in loads if now - at < QUAD.load_s]
        if len(loads) >= (MAX_CONCURRENT_LOADS if urgent else 1):
            return False
        loads.append(now)
        return True

    planner = FormationPlanner(lambda: next(epochs), may_load)
    fleet.run(planner, 6.0)
    fleet.has_traffic = True
    fleet.demand = dict(DEMAND)
    events = list(_list_events(rng, fleet.now))
    start = fleet.now
    while fleet.now - start < DURATION_S:
        while events and events[0][0] <= fleet.now:
            _, action, argument = events.pop(0)
            follow_up_events = action(fleet, rng, argument)
            events.extend(follow_up_events)
            events.sort(key=lambda event: event[0])
        fleet.run(planner, TICK_S)
        counts = fleet.count_open()
        served_demand = sum(
            min(DEMAND[name], USABLE_SLOT_SHARE * SPEC.capacity * counts[name])
            for name in DEMAND
        )
        serving = sum(
            SPEC.find_model(name).size * count for name, count in counts.items()
        )
        alive = sum(item.alive and item.listed for item in fleet.targets.values())
        yield (
            counts[QUAD.name],
            counts[PAIR.name],
            served_demand / sum(DEMAND.values()),
            alive - serving,
        )


def _list_events(rng: random.Random, start: float):
    for number in range(11):
        yield start + 3.0 * (number + 1), _kill_member, None
    for number in range(8):
        yield start + 10 + 3.0 * number, _list_target, f"n{number}"
    yield start + 36.0, _list_target, "last"


def _kill_member(fleet: FleetFake, rng: random.Random, _):
    joined = [
        key
        for key, item in fleet.targets.items()
        if item.alive
        and item.record.membership is not None
        and item.record.membership.state in (MemberState.OPEN, MemberState.READY)
    ]
    if rng.random() < 2 / 3 and joined:
        target = rng.choice(joined)
        fleet.kill(target)
        return [
            (fleet.now + DETECTION_DELAY_S, _mark_unreachable, target),
            (fleet.now + UNLIST_DELAY_S, _unlist, target),
        ]
    return []


def _mark_unreachable(fleet: FleetFake, rng, target: str):
    fleet.unreachable.add(target)
    return []


def _unlist(fleet: FleetFake, rng, target: str):
    fleet.unlist(target)
    fleet.inactive.add(target)
    return []


def _list_target(fleet: FleetFake, rng: random.Random, name: str):
    if rng.random() < 2 / 3:
        fleet.add(name, rng.choice(["d0", "d1"]))
        fleet.targets[name].listed_since = fleet.now
    return []


def _summarize(rows: list[tuple[int, int, float, int]]) -> Outcome:
    return Outcome(*(statistics.mean(column) for column in zip(*rows, strict=True)))


POLICIES = {
    "as it is": {},
    "never gives up groups": {"OVERLOAD_PRESSURE": 9.0, "MIN_PRESSURE_GAIN": 9.0},
    "completes, but does not rebalance": {"OVERLOAD_PRESSURE": 9.0},
    "rebalances, but does not complete": {"MIN_PRESSURE_GAIN": 9.0},
}


def main() -> None:
    """Print the means over all seeds for each policy."""
    print(f"{'policy':36} {'quads':>6} {'pairs':>6} {'borne':>6} {'idle':>6}")
    for name, constants in POLICIES.items():
        outcomes = [simulate(seed, **constants) for seed in range(SEEDS)]
        means = [
            statistics.mean(getattr(item, field) for item in outcomes)
            for field in ("quad", "pair", "borne", "idle")
        ]
        print(f"{name:36} " + " ".join(f"{value:6.3f}" for value in means))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
