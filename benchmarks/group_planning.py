"""Groups kept open while members die and others come, without a network.

Plays one zone of two domains for 35 seconds: two members of groups fall silent every
three seconds, one new target comes every second, and a domain goes dark for seven.
Prints for each policy the share of demand that the open groups could bear, the mean
number of open groups and of idle targets.

    python -m benchmarks.group_planning
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
SECONDS = 35
TICK_S = 0.1
NOTICE_S = 0.5
LAPSE_S = 3.6
# Requests in progress per zone at 0.4 of the slots of a whole fleet.
DEMAND = {QUAD.name: 7.5, PAIR.name: 20.0}
USABLE = 0.85
LOADS_AT_ONCE = 3


@dataclass(frozen=True, slots=True)
class Outcome:
    """Means over one play."""

    quad: float
    pair: float
    borne: float
    idle: float


def play(seed: int, **constants: float) -> Outcome:
    """Play one seed with some of the planner's constants changed."""
    saved = {name: getattr(balance, name) for name in constants}
    for name, value in constants.items():
        setattr(balance, name, value)
    try:
        return _summarize(list(_play(seed)))
    finally:
        for name, value in saved.items():
            setattr(balance, name, value)


def _play(seed: int) -> Iterator[tuple[int, int, float, int]]:
    rng = random.Random(seed)
    fleet = FleetFake(domains=2)
    epochs = itertools.count(1000)
    loads: list[float] = []

    def may_load(spec, model, target, now: float, urgent: bool) -> bool:
        loads[:] = [at for at in loads if now - at < QUAD.load_s]
        if len(loads) >= (LOADS_AT_ONCE if urgent else 1):
            return False
        loads.append(now)
        return True

    planner = FormationPlanner(lambda: next(epochs), may_load)
    fleet.run(planner, 6.0)
    fleet.has_traffic = True
    fleet.demand = dict(DEMAND)
    events = list(_list_events(rng, fleet.now))
    start = fleet.now
    while fleet.now - start < SECONDS:
        while events and events[0][0] <= fleet.now:
            _, action, argument = events.pop(0)
            later = action(fleet, rng, argument)
            events.extend(later)
            events.sort(key=lambda event: event[0])
        fleet.run(planner, TICK_S)
        counts = fleet.count_open()
        borne = sum(
            min(DEMAND[name], USABLE * SPEC.capacity * counts[name]) for name in DEMAND
        )
        serving = sum(
            SPEC.find_model(name).size * count for name, count in counts.items()
        )
        alive = sum(item.alive and item.listed for item in fleet.targets.values())
        yield (
            counts[QUAD.name],
            counts[PAIR.name],
            borne / sum(DEMAND.values()),
            alive - serving,
        )


def _list_events(rng: random.Random, start: float):
    for number in range(11):
        yield start + 3.0 * (number + 1), _kill_member, None
    for number in range(8):
        yield start + 10 + 3.0 * number, _add, f"n{number}"
    yield start + 36.0, _add, "last"


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
            (fleet.now + NOTICE_S, _notice, target),
            (fleet.now + LAPSE_S, _lapse, target),
        ]
    return []


def _notice(fleet: FleetFake, rng, target: str):
    fleet.unreachable.add(target)
    return []


def _lapse(fleet: FleetFake, rng, target: str):
    fleet.unlist(target)
    fleet.inactive.add(target)
    return []


def _add(fleet: FleetFake, rng: random.Random, name: str):
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
    """Print a line for each policy."""
    print(f"{'policy':36} {'quads':>6} {'pairs':>6} {'borne':>6} {'idle':>6}")
    for name, constants in POLICIES.items():
        found = [play(seed, **constants) for seed in range(SEEDS)]
        means = [
            statistics.mean(getattr(item, field) for item in found)
            for field in ("quad", "pair", "borne", "idle")
        ]
        print(f"{name:36} " + " ".join(f"{value:6.3f}" for value in means))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
