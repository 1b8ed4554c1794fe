"""Tests of what gateways tell each other about crashes of targets."""

from __future__ import annotations

import time

import pytest

from ..gateway.suspect_task import SuspectTracker
from ..mesh import decode_message, encode_message
from ..mesh.fleet_messages import CrashedAttemptItem, CrashNews


class Side:
    """A gateway's tracker, and what it sends to a new peer."""

    def __init__(self):
        self.told: list[CrashNews] = []
        self.tracker = SuspectTracker(
            None,
            lambda news: None,
            self._send,
            lambda target, address: True,
            lambda: False,
        )

    def _send(self, peer: str, news: CrashNews) -> None:
        self.told.append(decode_message(encode_message(news)))

    def crash(self, ages_s: list[float], at: float) -> None:
        """Record crashes in turn, each by another request with the part."""
        items = tuple(
            CrashedAttemptItem(f"{age_s}:1", ("part", f"{age_s}"), age_s + 0.2, age_s)
            for age_s in ages_s
        )
        self.tracker.handle_news(CrashNews(items), at)

    @property
    def is_blocking(self) -> bool:
        return self.tracker.find_blocked(("part", "other")) is not None


def link(one: Side, other: Side) -> None:
    for side in (one, other):
        side.tracker.tell("peer")
    for side, peer in ((one, other), (other, one)):
        for news in peer.told:
            side.tracker.handle_news(news, time.monotonic())


@pytest.mark.parametrize("is_crashing_again", [False, True])
def test_gateway_that_was_cut_off_learns_that_a_part_was_cleared(is_crashing_again):
    now = time.monotonic()
    sides = cut_off, served = Side(), Side()
    for side in sides:
        side.crash([30.0, 20.0, 10.0], now)
    served.tracker.record_served(("part", "sound"), now - 9.0)
    assert cut_off.is_blocking and not served.is_blocking
    if is_crashing_again:
        later = time.monotonic() + 5.0
        cut_off.crash([3.0, 2.0, 1.0], later)
    link(cut_off, served)
    assert [side.is_blocking for side in sides] == [is_crashing_again] * 2
