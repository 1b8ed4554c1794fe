"""Requests that arrive at a gateway before it knows a configuration."""

from __future__ import annotations

import time
from dataclasses import replace

import gevent
import pytest

from ..admission.first_configuration import START_S, find_wait_s
from ..gateway import GatewayDaemon
from .gateway_client import build_settings, call, start_gateway, wait_for
from .platform_standin import PlatformFake


@pytest.fixture
def unconfigured():
    platform = PlatformFake()
    yield platform
    platform.stop()


# Guards against a refusal of what arrives in the first tenths of a second after all
# hosts have started, which callers retry once.
def test_request_waits_for_the_first_configuration(unconfigured):
    daemon = start_gateway(unconfigured.store.address)
    try:
        asked = [
            gevent.spawn(call, daemon.settings.front, "/file/x", f"r{number}")
            for number in range(5)
        ]
        gevent.sleep(0.3)
        unconfigured.configure()
        assert [one.get().status for one in asked] == [200] * 5
        assert [unconfigured.runs[f"r{number}"] for number in range(5)] == [1] * 5
    finally:
        daemon.stop()


def test_request_without_a_configuration_is_refused_as_not_run(unconfigured):
    daemon = start_gateway(unconfigured.store.address)
    try:
        answer = call(daemon.settings.front, "/file/x", "r1", deadline_ms=1000)
        assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
        gevent.sleep(START_S)
        asked_at = time.monotonic()
        answer = call(daemon.settings.front, "/file/x", "r2", deadline_ms=8000)
        assert answer.status == 503
        assert time.monotonic() - asked_at < START_S
    finally:
        daemon.stop()


@pytest.fixture
def build_daemon(platform):
    """Build a gateway that finds no other gateway, and does not list them."""
    daemons = []

    def _build(*, is_first_start: bool) -> GatewayDaemon:
        settings = build_settings(platform.store.address)
        daemon = GatewayDaemon(replace(settings, is_first_start=is_first_start))
        daemon._registration._run = lambda: None
        daemons.append(daemon)
        daemon.start()
        return daemon

    yield _build
    for daemon in daemons:
        daemon.stop()


# Guards against hosts that start at the same time and wait for each other's knowledge.
def test_gateway_that_starts_again_reads_the_configuration_itself(build_daemon):
    daemon = build_daemon(is_first_start=False)
    wait_for(lambda: daemon.view.cfg is not None, 2.0)
    assert daemon.view.mirror.get_synced("op/") > 0


def test_first_start_of_the_system_leaves_reading_to_the_heads(build_daemon, platform):
    daemon = build_daemon(is_first_start=True)
    gevent.sleep(0.5)
    assert daemon.view.cfg is None
    assert platform.store.calls["kv-range"] == 0


def test_evacuations_are_known_with_the_configuration(build_daemon, platform):
    platform.store.write("op/evacuate/z", {})
    daemon = build_daemon(is_first_start=False)
    wait_for(lambda: daemon.view.cfg is not None, 2.0)
    assert daemon.view.evacuated == {"z"}


def test_gateway_starts_while_the_store_does_not_answer(build_daemon, platform):
    platform.store.down = True
    daemon = build_daemon(is_first_start=False)
    gevent.sleep(0.3)
    assert daemon.view.cfg is None
    assert daemon.find_unready_reason() == "no configuration"


@pytest.mark.parametrize(
    ("age_s", "time_left_s", "wait_s"),
    [(0.2, 1.0, 0.35), (0.2, 8.0, 1.8), (1.9, 8.0, 0.1), (2.5, 8.0, 0.0), (0.2, 0, 0)],
)
def test_wait_ends_soon_after_the_start_and_leaves_time_to_run(
    age_s, time_left_s, wait_s
):
    found = find_wait_s(100.0 + age_s, started_at=100.0, time_left_s=time_left_s)
    assert found == pytest.approx(wait_s)
