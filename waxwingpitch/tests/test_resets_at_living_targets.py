"""Tests that resets at living targets do not count as crashes once these are lost."""

from __future__ import annotations

import time
from types import SimpleNamespace

import gevent
import pytest

from ..gateway.suspect_task import PROBE_DELAY_S, SuspectTracker
from ..mesh.fleet_messages import CrashNews, SlotRelease
from ..slots import Outcome


class Owner:
    """A tracker at the owner of slots, whose targets answer probes or do not."""

    def __init__(self):
        self.news: list[CrashNews] = []
        self.is_reachable = True
        record = SimpleNamespace(started_ms=5, address="")
        targets = {name: SimpleNamespace(record=record) for name in ("t1", "t2")}
        self.tracker = SuspectTracker(
            SimpleNamespace(targets=targets, find_target=targets.get),
            self.news.append,
            lambda peer, news: True,
            lambda target, address: self.is_reachable,
            lambda: False,
        )

    def release(self, outcome: Outcome, target: str, epoch: int, sent_age_s: float):
        release = SlotRelease(
            number=1,
            zone="z",
            service="s",
            model="m",
            target=target,
            epoch=epoch,
            outcome=int(outcome),
            service_s=sent_age_s,
            fingerprint="f" if outcome is Outcome.BROKEN else "",
        )
        self.tracker.handle_use(release, time.monotonic())

    def lose_targets(self) -> list[str]:
        """Return the incarnations that are taken for crashed by a request."""
        for target in ("t1", "t2"):
            self.tracker.handle_lost_target(target, None)
        return [item.incarnation for news in self.news for item in news.items]


def test_reset_at_a_target_that_answers_a_probe_is_no_crash():
    owner = Owner()
    for target in ("t1", "t2"):
        owner.release(Outcome.BROKEN, target, 7, 0.1)
    gevent.sleep(3 * PROBE_DELAY_S)
    assert owner.lose_targets() == []


def test_request_at_a_target_that_answers_no_probe_may_have_crashed_it():
    owner = Owner()
    owner.is_reachable = False
    owner.release(Outcome.BROKEN, "t1", 7, 0.1)
    gevent.sleep(3 * PROBE_DELAY_S)
    assert owner.lose_targets() == ["t1:5"]


@pytest.mark.parametrize(
    ("sent_age_s", "suspects"), [(0.0, ["t2:5"]), (60.0, ["t1:5", "t2:5"])]
)
def test_reset_at_a_plain_target_that_answers_a_later_request_is_no_crash(
    sent_age_s, suspects
):
    owner = Owner()
    for target in ("t1", "t2"):
        owner.release(Outcome.BROKEN, target, 0, 0.1)
    owner.release(Outcome.SERVED, "t1", 0, sent_age_s)
    assert owner.lose_targets() == suspects
