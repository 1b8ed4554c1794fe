"""Idle targets, slots and loads of weights while targets are lost and demand moves.

Zones are played without a network (waxwingpitch/tests/fleet_player.py).

Commands: python -m benchmarks.idle_hosts peak-27 12
          python -m benchmarks.idle_hosts peak-27 1 --seconds

The first plays seeds 1 to 12 for 60 s each and prints means over them, but maxima for
``most_...``; the second prints the state of each second as well.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable

from waxwingpitch.tests.fleet_player import (
    LARGE_DOMAINS,
    MEDIUM_DOMAINS,
    SMALL_DOMAINS,
    FleetPlayer,
    Second,
    peak,
    swing,
)

DURATION_S = 60.0

SCENARIOS: dict[str, Callable[[int], FleetPlayer]] = {
    "peak-27": lambda seed: FleetPlayer(
        LARGE_DOMAINS, peak((23, 67), (90, 245)), seed=seed
    ),
    "swing-27": lambda seed: FleetPlayer(
        LARGE_DOMAINS, swing((60, 160)), seed=seed, restart_zone_at_s=0.0
    ),
    "swing-27-no-losses": lambda seed: FleetPlayer(
        LARGE_DOMAINS,
        swing((60, 160)),
        seed=seed,
        restart_zone_at_s=0.0,
        loss_interval_s=0.0,
    ),
    "peak-297": lambda seed: FleetPlayer(
        LARGE_DOMAINS,
        peak((115, 335), (450, 1300)),
        domains=11,
        losses=4,
        seed=seed,
        tick_s=0.1,
    ),
    "peak-10": lambda seed: FleetPlayer(
        SMALL_DOMAINS,
        peak((12, 40), (40, 90)),
        domains=1,
        domain_size=10,
        losses=1,
        seed=seed,
    ),
    "swing-10": lambda seed: FleetPlayer(
        SMALL_DOMAINS,
        swing((20, 55)),
        domains=1,
        domain_size=10,
        losses=1,
        seed=seed,
        restart_zone_at_s=0.0,
    ),
    "peak-19": lambda seed: FleetPlayer(
        MEDIUM_DOMAINS,
        peak((25, 75), (80, 200)),
        domains=3,
        domain_size=19,
        seed=seed,
    ),
    "swing-19": lambda seed: FleetPlayer(
        MEDIUM_DOMAINS,
        swing((50, 150)),
        domains=3,
        domain_size=19,
        seed=seed,
        restart_zone_at_s=0.0,
    ),
}


def print_second(second: Second) -> None:
    idle = " ".join(f"{zone}:{dict(held)}" for zone, held in second.idle.items())
    groups = {zone: tuple(counts.values()) for zone, counts in second.groups.items()}
    print(
        f"{second.at_s:5.1f} idle {second.idle_count}"
        f" ({second.could_serve} could serve)"
        f" {idle} groups {groups} slots {dict(second.slots)} demand {second.demand}"
        f" loading {second.loads_in_progress} orders {second.orders}"
        f" loads {second.loads}"
    )


def main() -> None:
    name, seeds = sys.argv[1], int(sys.argv[2])
    sums: Counter[str] = Counter()
    most: Counter[str] = Counter()
    for seed in range(1, seeds + 1):
        player = SCENARIOS[name](seed)
        player.warm_up()
        player.run(DURATION_S)
        if "--seconds" in sys.argv:
            for second in player.seconds:
                print_second(second)
        sums["idle"] += player.find_mean(lambda second: second.idle_count)
        sums["could_serve"] += player.find_mean(lambda second: second.could_serve)
        sums["could_serve_peak"] += player.find_mean(
            lambda second: second.could_serve, peak_only=True
        )
        sums["slots"] += player.find_mean(lambda second: second.slots.total())
        sums["slots_peak"] += player.find_mean(
            lambda second: second.slots.total(), peak_only=True
        )
        sums["missing_large"] += player.sum_missing("large")
        sums["missing_small"] += player.sum_missing("small")
        sums["orders"] += player.order_count
        sums["loads"] += len(player.load_starts)
        sums["joins_with_load"] += player.joins_with_load
        most["loads_in_5_s"] = max(
            most["loads_in_5_s"], player.count_loads_in_window(5.0)
        )
        most["loads_of_a_target"] = max(
            most["loads_of_a_target"], *player.loads_by_target.values(), 0
        )
    print(
        name,
        *(f"{key} {value / seeds:.1f}" for key, value in sums.items()),
        *(f"most_{key} {value}" for key, value in most.items()),
    )


if __name__ == "__main__":
    main()
