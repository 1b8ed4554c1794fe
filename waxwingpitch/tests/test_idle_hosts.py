"""Idle targets while others are lost, added and restarted, and demand moves.

The load: two members of serving groups are lost every 3 s, in turn in each of three
zones, as many empty targets are added, all targets of one zone restart, and demand
rises fourfold for 6 s. Bounds lie between what the planner reaches and what it reached
before, over the seeds named.
"""

from __future__ import annotations

from collections import Counter

import pytest

from ..groups.domain_loads import DomainLoads, IdleHost
from ..targets.records import TargetRecord
from .fleet_player import (
    LARGE_DOMAINS,
    SMALL_DOMAINS,
    ZONES,
    FleetPlayer,
    peak,
    swing,
)


def build_small(seed: int, domain_size: int = 10, **options) -> FleetPlayer:
    """Return zones of one small domain each."""
    return FleetPlayer(
        SMALL_DOMAINS,
        peak((12, 40), (40, 90)),
        domains=1,
        domain_size=domain_size,
        losses=1,
        seed=seed,
        **options,
    )


def build_huge(seed: int, **options) -> FleetPlayer:
    """Return zones of 297 targets."""
    return FleetPlayer(
        LARGE_DOMAINS,
        peak((115, 335), (450, 1300)),
        domains=11,
        losses=4,
        seed=seed,
        tick_s=0.1,
        **options,
    )


def play(player: FleetPlayer, seconds: float) -> FleetPlayer:
    player.warm_up()
    player.run(seconds)
    return player


def find_load_bound(player: FleetPlayer) -> float:
    """Return the most loads that may start in any 5 s over all zones."""
    return player.spec.loads_per_s * 5.0 * 1.1 + 3


@pytest.mark.parametrize(
    "player",
    [build_small(3), build_small(7), build_huge(1), build_huge(6)],
    ids=["10-3", "10-7", "297-1", "297-6"],
)
def test_targets_that_restart_while_they_join_do_not_load_past_the_limit(player):
    """Guards against joins repeated to targets that lost the weights in memory.

    Each then loaded them from the store, uncounted, and the others of its group waited.
    """
    play(player, 30.0)
    assert player.joins_with_load == 0
    assert player.count_loads_in_window(5.0) <= find_load_bound(player)


def test_load_that_a_restart_ended_is_ordered_again():
    """Guards against waiting 25 to 34 s for loads that no target carries out."""
    player = build_small(1, loss_interval_s=0.0, restart_zone_at_s=3.0)
    player.warm_up()
    fleet = player.fleets["a"]
    fleet.add("new", "d0")
    player.run(2.0)
    assert fleet.targets["new"].staging
    player.run(4.0)
    assert fleet.targets["new"].record.started_ms
    assert fleet.targets["new"].staging


def build_large(seed: int, **options) -> FleetPlayer:
    """Return zones of two domains of 27 targets."""
    return FleetPlayer(LARGE_DOMAINS, peak((23, 67), (90, 245)), seed=seed, **options)


def find_mean_idle(players: list[FleetPlayer]) -> float:
    """Return the mean number of idle targets that could serve."""
    means = [player.find_mean(lambda second: second.could_serve) for player in players]
    return sum(means) / len(means)


@pytest.mark.parametrize(
    ("build", "seeds", "most_idle", "most_loads"),
    [
        (lambda seed: build_small(seed, 8), range(1, 7), 8.2, 35),
        (build_large, range(1, 5), 24.0, 95),
        (build_huge, range(1, 3), 65.0, 115),
    ],
    ids=["8", "54", "297"],
)
@pytest.mark.parametrize("is_replaced", [False, True], ids=["stays", "replaced"])
def test_idle_targets_that_could_serve_do(
    build, seeds, most_idle, most_loads, is_replaced
):
    """Guards against loads that let no group be formed, while others wait for loads."""
    players = [build(seed) for seed in seeds]
    for player in players:
        play(player, 25.5)
        if is_replaced:
            for zone in ZONES:
                player.replace_planner(zone)
        player.run(34.5)
        assert player.joins_with_load == 0
        assert player.count_loads_in_window(5.0) <= find_load_bound(player)
        assert len(player.load_starts) <= most_loads
    assert find_mean_idle(players) <= most_idle


@pytest.mark.parametrize(
    ("losses", "most_loads", "most_of_a_target"), [(0.0, 60, 2), (3.0, 90, 3)]
)
def test_demand_that_swings_does_not_load_models_back_and_forth(
    losses, most_loads, most_of_a_target
):
    """Guards against idle targets that load each model in turn, up to 5 in a minute."""
    for seed in range(1, 4):
        player = FleetPlayer(
            LARGE_DOMAINS,
            swing((60, 160)),
            seed=seed,
            loss_interval_s=losses,
            restart_zone_at_s=0.0,
        )
        play(player, 60.0)
        assert len(player.load_starts) <= most_loads
        assert max(player.loads_by_target.values()) <= most_of_a_target


def build_hosts(**held: int) -> list[IdleHost]:
    """Return idle hosts that hold a model each; ``empty`` for none."""
    hosts = []
    for model, count in held.items():
        staged = () if model == "empty" else (model,)
        for number in range(count):
            record = TargetRecord(
                id=f"{model}-{number}",
                service="pool",
                address="10.0.0.1:1",
                zone="z",
                capacity=24,
                leaving=False,
                cold_s=0.0,
                staged=staged,
            )
            hosts.append(IdleHost(record, "", True))
    return hosts


@pytest.mark.parametrize(
    ("hosts", "expected"),
    [
        (build_hosts(large=10, empty=2), {"large": 2}),
        (build_hosts(large=9, empty=2), {"small": 7}),
        (build_hosts(large=4, small=5), {"small": 2}),
        (build_hosts(large=12, small=6), {}),
        (build_hosts(large=3), {"small": 1}),
        (build_hosts(large=2, small=1), {}),
        (build_hosts(large=1, empty=3), {"small": 3}),
        (build_hosts(small=1, empty=3), {"large": 1, "small": 2}),
    ],
    ids=[
        "the large group fits",
        "only a small group fits, and a spare of each model",
        "the fewest loads, and a spare of each model",
        "no load is needed",
        "one spare for the other model",
        "spares for both models stay",
        "more spares of the model that fits first",
        "the first spare of a model",
    ],
)
def test_loads_follow_what_the_idle_hosts_of_a_domain_can_form(hosts, expected):
    loads = DomainLoads(
        LARGE_DOMAINS.models, Counter(large=1, small=2), lambda model, extra: 0.2
    )
    chosen = Counter(choice.model.name for choice in loads.choose(hosts))
    assert chosen == expected
