"""Planned work on gateways and targets ends no request that waits or is answered."""

from __future__ import annotations

import gevent
import pytest

from ..slots import SlotKey
from .fleet_fake import PAIR
from .gateway_client import call, chat, count_replicas, start_gateway, wait_for

EVENTS = 80


@pytest.fixture
def front(platform):
    daemon = start_gateway(platform.store.address)
    wait_for(lambda: count_replicas(daemon, PAIR.name) == 3)
    wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
    yield daemon.settings.front
    daemon.stop()


def configure(platform, target: str) -> None:
    """Shorten the routes' time-outs, drop the routes in use and revoke the key."""
    platform.configure(keys=("key-2",), drop=("chat", "file"), timeout_ms=500)


def evacuate(platform, target: str) -> None:
    platform.store.write("op/evacuate/z", {})


def drain(platform, target: str) -> None:
    if target in platform.plain:
        platform.publish_plain(target, state="draining")
    else:
        platform.fleet.leave(target)


def drain_member(platform, target: str) -> None:
    platform.fleet.leave(platform.fleet.targets[target].members[1])


def unlist(platform, target: str) -> None:
    """Let a target leave without saying so."""
    if target in platform.plain:
        platform.store.remove(f"servers/{target}")
    else:
        platform.fleet.unlist(target)


@pytest.mark.parametrize("change", [configure, evacuate, drain, drain_member, unlist])
def test_stream_that_has_begun_is_not_ended_by_a_planned_change(
    platform, front, change
):
    job = gevent.spawn(chat, front, "s1", model=PAIR.name, events=EVENTS)
    target = wait_for(lambda: platform.ran_on.get("s1"))
    gevent.sleep(0.1)
    change(platform, target)
    answer = job.get(timeout=10.0)
    assert answer.is_complete
    assert answer.events == list(range(1, EVENTS + 1))
    assert platform.runs["s1"] == 1


@pytest.mark.parametrize("change", [configure, evacuate, drain, unlist])
def test_call_that_has_begun_is_not_ended_by_a_planned_change(platform, front, change):
    platform.plain_s = 1.5
    job = gevent.spawn(call, front, "/file/x", "c1")
    wait_for(lambda: platform.runs["c1"])
    for target in platform.plain:
        change(platform, target)
    answer = job.get(timeout=10.0)
    assert (answer.status, answer.body) == (200, b"answer to c1")
    assert platform.runs["c1"] == 1


def test_calls_that_wait_for_a_slot_are_served_when_its_owner_stops(platform):
    key = SlotKey("z", "plain", "")
    daemons = [start_gateway(platform.store.address, f"gw-{n}") for n in range(2)]
    try:
        for daemon in daemons:
            wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
            wait_for(lambda: daemon.roster.is_ready and daemon.dump()["peers"])
        gevent.sleep(0.5)
        wait_for(lambda: len({item.roster.find_owner(key) for item in daemons}) == 1)
        name = daemons[0].roster.find_owner(key)
        daemons.sort(key=lambda item: item.settings.name != name)
        owner, other = daemons
        platform.plain_s = 0.7
        jobs = [
            gevent.spawn(call, other.settings.front, "/file/x", f"w{n}")
            for n in range(20)
        ]
        wait_for(lambda: owner.slots.owners.find(key).count_waiting())
        gevent.sleep(0.3)
        owner.stop()
        gevent.joinall(jobs, timeout=10.0, raise_error=True)
        assert [job.value.status for job in jobs] == [200] * 20
        assert all(platform.runs[f"w{n}"] == 1 for n in range(20))
    finally:
        for daemon in daemons:
            daemon.stop()
