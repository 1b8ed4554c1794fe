"""Targets that are cut off from the store, while half of the gateways lost their links.

Guards against treating targets as gone that other gateways reach: callers were refused
from the time on at which the entries expired.
"""

from __future__ import annotations

import time
from dataclasses import replace

import gevent
import pytest

from ..gateway import GatewayDaemon
from .fleet_fake import PAIR
from .gateway_client import build_settings, call, chat, count_replicas, wait_for
from .link_faults import LinkFault, TargetLinks

# Time for which the entries are missing, as of a lease that is not renewed.
CUT_S = 6.0
# Time after which no gateway uses a target that ended before its entry expired.
KEPT_S = 2.5
# Time after the cut's end in which the queue is drained.
DRAIN_S = 2.0
# Interval at which each gateway's caller starts a stream and a call.
CALL_INTERVAL_S = 0.2


@pytest.fixture
def gateways(platform):
    daemons = []
    for number in range(4):
        settings = build_settings(platform.store.address, f"gw-{number}")
        daemons.append(GatewayDaemon(replace(settings, zones=("z",))))
        daemons[-1].start()
    for daemon in daemons:
        wait_for(lambda: count_replicas(daemon, PAIR.name) >= 3)
        wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
        wait_for(lambda: len(daemon.dump()["peers"]) == 3)
        wait_for(lambda: daemon.find_unready_reason() is None)
    yield daemons
    for daemon in daemons:
        daemon.stop()


class StoreCut:
    """Cuts targets of groups off from the store, where their entries expire."""

    def __init__(self, platform):
        self._platform = platform
        self._targets = [*platform.fleet.targets]

    def begin(self, pause_s: float = 0.0) -> None:
        """Let the entries expire, one after the other."""
        self._platform.frozen.update(self._targets)
        for target in self._targets:
            self._platform.store.remove(f"servers/{target}")
            gevent.sleep(pause_s)

    def end(self) -> None:
        self._platform.frozen.clear()
        self._platform.write_again()


def ask(daemon, name: str) -> bool:
    """Return whether a stream and a call, each sent once, are served."""
    front = daemon.settings.front
    streamed = chat(front, f"{name}-s", model=PAIR.name, events=3)
    called = call(front, "/file/x", f"{name}-c")
    return streamed.events == [1, 2, 3] and called.status == 200


def ask_for(daemon, name: str, seconds: float) -> list[bool]:
    callers = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        callers.append(gevent.spawn(ask, daemon, f"{name}-{len(callers)}"))
        gevent.sleep(CALL_INTERVAL_S)
    return [caller.get() for caller in callers]


def configure_each_second(platform) -> None:
    while True:
        gevent.sleep(1.0)
        platform.configure()


def list_in_use(daemon) -> set[str]:
    return {known.record.id for known in daemon.view.iter_targets()}


@pytest.mark.parametrize(
    "fault, pause_s", [*((fault, 0.0) for fault in LinkFault), (LinkFault.RESET, 0.1)]
)
def test_targets_whose_entries_expire_serve_callers_of_all_gateways(
    platform, gateways, fault, pause_s
):
    cut = StoreCut(platform)
    operators = gevent.spawn(configure_each_second, platform)
    for daemon in gateways[:2]:
        TargetLinks(daemon).cut(fault)
    job = gevent.spawn(cut.begin, pause_s)
    callers = {
        daemon.settings.name: gevent.spawn(
            ask_for, daemon, daemon.settings.name, CUT_S + DRAIN_S
        )
        for daemon in gateways
    }
    gevent.sleep(CUT_S)
    job.get()
    cut.end()
    rows = [caller.get() for caller in callers.values()]
    operators.kill()
    for row in rows:
        assert row.count(True) >= 0.95 * len(row)
    assert all(daemon.dump()["waiting"] == 0 for daemon in gateways)
    assert platform.invariant_violations == []
    assert max(platform.runs.values()) == 1


@pytest.mark.parametrize("fault", [LinkFault.NONE, LinkFault.RESET, LinkFault.HANG])
def test_target_that_has_ended_is_kept_by_no_gateway(platform, gateways, fault):
    ended = {platform.find_group(PAIR.name)[1]}
    for daemon in gateways[:2]:
        TargetLinks(daemon).cut(fault)
    for target in ended:
        platform.targets[target].faults.hang = True
    platform.fleet.kill(min(ended))
    StoreCut(platform).begin()
    others = {*platform.targets} - ended
    for daemon in gateways:
        wait_for(lambda: list_in_use(daemon) == others, KEPT_S)
    until = time.monotonic() + 2.0
    while time.monotonic() < until:
        for daemon in gateways:
            assert list_in_use(daemon) == others
            replicas = daemon.view.iter_replicas()
            assert not any(ended & set(replica.members) for replica in replicas)
        gevent.sleep(0.1)
    assert all(ask(daemon, f"after-{daemon.settings.name}") for daemon in gateways)
    assert platform.invariant_violations == []


def test_target_that_leaves_without_saying_so_gets_no_new_request(platform, gateways):
    left = platform.plain[0]
    platform.frozen.add(left)
    platform.store.remove(f"servers/{left}")
    for daemon in gateways:
        wait_for(lambda: left not in list_in_use(daemon), 1.0)
    gevent.sleep(1.0)
    for daemon in gateways:
        assert left not in list_in_use(daemon)
        assert ask(daemon, f"after-{daemon.settings.name}")
        assert [item["state"] for item in daemon.dump()["verdicts"]] == ["gone"]


# Guards against requests to plain targets that leave without having said so, several at
# a time: they answer on, and the bound on requests after their entries' end is 2 s.
def test_plain_targets_that_leave_together_get_no_new_request(platform, gateways):
    for target in platform.plain:
        platform.frozen.add(target)
        platform.store.remove(f"servers/{target}")
    for daemon in gateways:
        wait_for(lambda: not list_in_use(daemon) & set(platform.plain), 1.0)
    gevent.sleep(1.0)
    for daemon in gateways:
        assert not list_in_use(daemon) & set(platform.plain)
        assert call(daemon.settings.front, "/file/x", "after").status == 503
    assert sum(platform.runs.values()) == 0
