"""Gateways that lost their links to all targets, while peers reach them."""

from __future__ import annotations

import gevent
import pytest

from .fleet_fake import PAIR
from .gateway_client import call, chat, count_replicas, start_gateway, wait_for
from .link_faults import LinkFault, TargetLinks

# Time that operators allow for gateways to agree.
CONTACT_S = 3.0
FAULTS = [LinkFault.RESET, LinkFault.HANG, LinkFault.OPEN_ONES_LIVE]


@pytest.fixture
def gateways(platform):
    daemons = [start_gateway(platform.store.address, f"gw-{n}") for n in (1, 2)]
    for daemon in daemons:
        wait_for(lambda: count_replicas(daemon, PAIR.name) >= 3)
        wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
        wait_for(lambda: daemon.dump()["peers"])
    yield daemons
    for daemon in daemons:
        daemon.stop()


def ask(daemon, name: str) -> bool:
    """Return whether a stream and a call, each sent once, are served."""
    front = daemon.settings.front
    streamed = chat(front, f"{name}-s", model=PAIR.name, events=3)
    called = call(front, "/file/x", f"{name}-c")
    return streamed.events == [1, 2, 3] and called.status == 200


def ask_at_once(daemon, name: str) -> list[bool]:
    callers = [gevent.spawn(ask, daemon, f"{name}-{n}") for n in range(6)]
    return [caller.get() for caller in callers]


@pytest.mark.parametrize("fault", FAULTS)
def test_callers_of_a_gateway_that_lost_its_links_to_targets_are_served(
    platform, gateways, fault
):
    cut, other = gateways
    links = TargetLinks(cut)
    assert ask(cut, "before")
    links.cut(fault)
    callers = [gevent.spawn(ask, cut, f"early-{n}") for n in range(8)]
    gevent.sleep(CONTACT_S)
    assert ask_at_once(cut, "late") == [True] * 6
    assert ask_at_once(other, "other") == [True] * 6
    gevent.joinall(callers)
    assert platform.invariant_violations == []
    assert max(platform.runs.values()) == 1
