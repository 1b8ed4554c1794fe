"""Configurations that must be in force in time, whoever a gateway learns them from."""

from __future__ import annotations

import time

import pytest

from ..gateway import GatewayDaemon, registration
from ..platform import PlatformStore
from .fault_proxy import Fault, FaultProxy
from .gateway_client import build_settings, call, wait_for

# Time in which operators expect a configuration to be in force.
CONFIGURATION_S = 2.0
# Time that operators allow for gateways to agree after a fault.
CONTACT_S = 3.0
# Of these names, the one that leads the zone, and the next.
HEAD, FOLLOWER = "gw-3", "gw-6"


def is_in_force(daemon, version: int) -> bool:
    cfg = daemon.view.cfg
    return cfg is not None and cfg.version >= version


@pytest.fixture
def start(platform):
    daemons = []

    def _start(name: str, store: PlatformStore | None = None):
        daemon = GatewayDaemon(build_settings(platform.store.address, name), store)
        daemon.start()
        daemons.append(daemon)
        wait_for(lambda: is_in_force(daemon, platform.version))
        return daemon

    yield _start
    for daemon in daemons:
        daemon.stop()


@pytest.fixture
def proxy(platform):
    proxy = FaultProxy(platform.store.address)
    yield proxy
    proxy.stop()


def test_configuration_is_in_force_at_a_gateway_that_lost_all_its_peers(
    platform, start, monkeypatch
):
    head = start(HEAD)
    monkeypatch.setattr(registration, "MIN_DISCOVERY_DELAY_S", 5.0)
    monkeypatch.setattr(registration, "MAX_DISCOVERY_DELAY_S", 5.0)
    daemon = start(FOLLOWER)
    wait_for(lambda: daemon.dump()["store_source"] == HEAD)
    head.stop()
    wait_for(lambda: not daemon.dump()["peers"])
    platform.configure()
    wait_for(lambda: is_in_force(daemon, platform.version), CONFIGURATION_S)


def test_configuration_is_in_force_though_watches_hang_while_the_lease_is_renewed(
    platform, start
):
    daemon = start(HEAD)
    wait_for(lambda: platform.store.calls["kv-watch"] >= 6)
    platform.store.silent_before = time.monotonic()
    platform.configure()
    wait = CONTACT_S + CONFIGURATION_S
    wait_for(lambda: is_in_force(daemon, platform.version), wait)
    assert platform.store.calls["kv-keep"] > 0


def test_configuration_is_in_force_at_a_gateway_whose_source_sends_no_updates(
    platform, start, monkeypatch
):
    head, daemon = start(HEAD), start(FOLLOWER)
    wait_for(lambda: daemon.dump()["store_source"] == HEAD)
    monkeypatch.setattr(head._follower, "_push", lambda peers: None)
    platform.configure()
    wait_for(lambda: is_in_force(daemon, platform.version), CONFIGURATION_S)


def test_configuration_is_in_force_though_the_reader_of_the_store_lost_it(
    platform, proxy, start
):
    start(HEAD, PlatformStore(proxy.address))
    daemon = start(FOLLOWER)
    wait_for(lambda: daemon.dump()["store_source"] == HEAD)
    proxy.set_fault(Fault.SILENT)
    platform.configure()
    wait_for(lambda: is_in_force(daemon, platform.version), CONFIGURATION_S)


@pytest.mark.parametrize("key, path", [("key-2", "/file/x"), ("key-1", "/new/x")])
def test_gateway_whose_configuration_may_be_old_does_not_deny_a_key_or_route(
    platform, proxy, start, key, path
):
    daemon = start(HEAD, PlatformStore(proxy.address))
    front = daemon.settings.front
    denied = (401, 404)
    assert call(front, path, "before", key=key).status in denied
    proxy.set_fault(Fault.SILENT)
    wait_for(lambda: call(front, path, "cut", key=key).status == 503, CONFIGURATION_S)
    assert "retry-after" in call(front, path, "cut again", key=key).headers
    proxy.set_fault(Fault.NONE)
    wait_for(lambda: call(front, path, "after", key=key).status in denied)
