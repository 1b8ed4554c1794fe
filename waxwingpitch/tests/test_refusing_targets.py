"""Plain targets that refuse connections while they are still listed."""

from __future__ import annotations

import time

import gevent
import pytest

from ..gateway.slot_owners import REFUSING_TTL_S
from .gateway_client import call, start_gateway, wait_for
from .platform_standin import PlatformFake

CALLS = 60
PAUSE_S = 0.02


@pytest.fixture
def platform():
    platform = PlatformFake(size=0, plain=3)
    platform.configure()
    yield platform
    platform.stop()


@pytest.fixture
def daemon(platform):
    daemon = start_gateway(platform.store.address)
    wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 3)
    assert call(daemon.settings.front, "/file/x", "ready").status == 200
    yield daemon
    daemon.stop()


def count_failed_attempts(caplog) -> int:
    return sum(item.message == "attempt failed" for item in caplog.records)


# Guards against a target that fails faster than others work, is therefore the least
# loaded, and gets most of the requests until its entry expires.
def test_target_that_refuses_connections_is_tried_only_now_and_then(
    platform, daemon, caplog
):
    server = platform.targets[platform.plain[0]]
    server.server.stop(timeout=0)
    for sock in list(server.connections):
        sock.close()
    caplog.set_level("INFO")
    started_at = time.monotonic()
    for number in range(CALLS):
        answer = call(daemon.settings.front, "/file/x", f"r{number}")
        assert answer.status == 200
        gevent.sleep(PAUSE_S)
    took_s = time.monotonic() - started_at
    assert 1 <= count_failed_attempts(caplog) <= 2 + took_s / REFUSING_TTL_S


def test_target_that_accepts_connections_again_is_used_again(platform, daemon):
    target = platform.plain[0]
    server = platform.targets[target]
    address = server.server.address
    server.server.stop(timeout=0)
    for sock in list(server.connections):
        sock.close()
    for number in range(10):
        assert call(daemon.settings.front, "/file/x", f"a{number}").status == 200
    server.server = platform._start_server(target, address)
    before = len(server.connections)
    deadline = time.monotonic() + 4 * REFUSING_TTL_S
    while time.monotonic() < deadline and len(server.connections) == before:
        assert call(daemon.settings.front, "/file/x", f"b{deadline}").status == 200
    assert len(server.connections) > before
