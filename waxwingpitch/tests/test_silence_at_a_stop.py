"""Streams of a gateway that stops as planned while its targets are silent."""

from __future__ import annotations

import time
from dataclasses import replace

import gevent
import pytest

from ..gateway import GatewayDaemon
from .fleet_fake import PAIR
from .gateway_client import Caller, build_settings, count_replicas, wait_for
from .platform_standin import PlatformFake

REPLICAS = 3
STOP_S = 5.0
SILENCE_S = 1.3
EVENTS = 200
EVENT_S = 0.05


@pytest.fixture
def platform():
    platform = PlatformFake(size=2 * REPLICAS, models=(PAIR,), event_s=EVENT_S)
    platform.configure(timeout_ms=20_000)
    yield platform
    platform.stop()


@pytest.fixture
def daemon(platform):
    settings = build_settings(platform.store.address)
    bounds = replace(settings.bounds, stop_s=STOP_S)
    daemon = GatewayDaemon(replace(settings, bounds=bounds))
    daemon.start()
    wait_for(lambda: count_replicas(daemon, PAIR.name) == REPLICAS, 30.0)
    yield daemon
    daemon.stop()


def pause(platform: PlatformFake, seconds: float) -> None:
    until = time.monotonic() + seconds
    for target in platform.fleet.targets:
        platform.targets[target].faults.pause_until = until


def begin_stream(daemon: GatewayDaemon, request: str) -> Caller:
    caller = Caller(daemon.settings.front, 20.0)
    caller.send_chat(request, model=PAIR.name, events=EVENTS, deadline_ms=20_000)
    return caller


# Guards against a stream that no target works on when the stop ends, as it left a
# target that was silent for a moment and the next one had not begun.
def test_stream_stays_at_its_silent_target_near_the_end_of_a_stop(platform, daemon):
    caller = begin_stream(daemon, "r1")
    wait_for(lambda: platform.runs["r1"])
    gevent.sleep(0.5)
    signalled_at = time.monotonic()
    daemon._begin_stop()
    gevent.sleep(STOP_S * 0.65)
    pause(platform, SILENCE_S)
    assert daemon._stopped.wait(STOP_S)
    assert time.monotonic() - signalled_at >= STOP_S * 5 / 6
    caller.close()
    assert [request for _, request in platform.sends] == ["r1"]


# Guards against the same where the search for another target began in time.
def test_search_for_a_target_ends_near_the_end_of_a_stop(platform, daemon, monkeypatch):
    caller = begin_stream(daemon, "r1")
    wait_for(lambda: platform.runs["r1"])
    gevent.sleep(0.5)
    acquire = daemon.slots.client.acquire

    def _acquire_slowly(req):
        gevent.sleep(1.5)
        return acquire(req)

    monkeypatch.setattr(daemon.slots.client, "acquire", _acquire_slowly)
    daemon._begin_stop()
    gevent.sleep(1.8)
    pause(platform, 4.0)
    assert daemon._stopped.wait(STOP_S)
    caller.close()
    assert [request for _, request in platform.sends] == ["r1"]
    wait_for(lambda: not daemon.slots.client.held, 1.0)


def test_stream_moves_from_its_silent_target_while_there_is_time(platform, daemon):
    caller = begin_stream(daemon, "r1")
    wait_for(lambda: platform.runs["r1"])
    gevent.sleep(0.5)
    daemon._begin_stop()
    gevent.sleep(0.3)
    platform.targets[platform.ran_on["r1"]].faults.pause_until = time.monotonic() + 9
    wait_for(lambda: platform.runs["r1"] == 2, 2.0)
    caller.close()
