"""Late orders, overlapping planners: no target in two groups, and capacity returns."""

from __future__ import annotations

import pytest

from .order_play import RECOVERY_S, Odds, OrderPlay

ODDS = Odds(late=0.4, lost=0.05, unanswered=0.05)


@pytest.fixture
def build_play(monkeypatch):
    """Build a play from its seed; its trace is shown if the test fails."""
    plays = []

    def _build(seed: int) -> OrderPlay:
        plays.append(OrderPlay(monkeypatch, seed))
        return plays[0]

    yield _build
    for play in plays:
        play.stop()
        print("\n".join(play.trace))


@pytest.mark.parametrize("seed", range(24))
def test_late_orders_and_second_planners_put_no_target_into_two_groups(
    build_play, seed
):
    play = build_play(seed)
    play.run(5.0)
    assert play.is_capacity_back()
    play.disturb(45.0, ODDS)
    assert play.recover() < RECOVERY_S
