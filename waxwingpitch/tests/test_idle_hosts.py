"""Idle targets while others are lost, added and restarted, and demand moves.

The load: two members of serving groups are lost every 3 s, in turn in each of three
zones, as many empty targets are added, all targets of one zone restart, and demand
rises fourfold for 6 s. Bounds lie between what the planner reaches and what it reached
before, over the seeds named.
"""

from __future__ import annotations

import pytest

from .fleet_player import LARGE_DOMAINS, SMALL_DOMAINS, FleetPlayer, peak


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
