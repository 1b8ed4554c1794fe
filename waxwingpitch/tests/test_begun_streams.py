"""Begun streams whose target is lost while the retry budget is spent."""

from __future__ import annotations

import time

import gevent
import pytest

from .fleet_fake import PAIR
from .gateway_client import Caller, count_replicas, start_gateway, wait_for

EVENTS = list(range(1, 31))
SPENT_S = 0.6


@pytest.fixture
def gateway(platform):
    daemon = start_gateway(platform.store.address)
    wait_for(lambda: count_replicas(daemon, PAIR.name) >= 2)
    yield daemon
    daemon.stop()


def spend_budget(gateway) -> None:
    for owner in gateway.slots.owners:
        owner.budget.hand_over(time.monotonic())


def refill_budget(gateway) -> None:
    for owner in gateway.slots.owners:
        owner.budget.take_over(time.monotonic(), has_predecessor=False)


# Guards against a begun stream that is broken off at once, though its caller waits for
# longer than it takes until a retry is left again.
def test_begun_stream_waits_while_the_retry_budget_is_spent(platform, gateway):
    spend_budget(gateway)
    for target in platform.targets.values():
        target.faults.cut_after = 5
    caller = Caller(gateway.settings.front)
    caller.send_chat("w1", model=PAIR.name, events=len(EVENTS))
    wait_for(lambda: platform.runs["w1"])
    for target in platform.targets.values():
        if target.id != platform.ran_on["w1"]:
            target.faults.cut_after = None
    gevent.spawn_later(SPENT_S, refill_budget, gateway)
    answer = caller.read()
    assert answer.events == EVENTS and answer.is_complete
    assert platform.runs["w1"] == 2
