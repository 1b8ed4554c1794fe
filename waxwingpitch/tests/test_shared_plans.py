"""What planners of different zones, here and at peers, know of each other."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest

from ..gateway.daemon import GatewayDaemon
from ..gateway.peer_statuses import PeerStatuses
from ..gateway.shared_plans import SharedPlans
from ..mesh.codec import decode_message, encode_message
from ..mesh.fleet_messages import FleetStatus, PlannedGroupsItem
from .fleet_fake import PAIR, QUAD, SPEC
from .gateway_client import build_settings, chat, wait_for
from .platform_standin import MODEL_SERVICE


def send(statuses: PeerStatuses, peer: str, *groups: PlannedGroupsItem, loads=0):
    """Receive a peer's status, as it comes over the wire."""
    status = FleetStatus(0, 0, loads, {}, (), (), (), planned_groups=groups)
    statuses.record(peer, decode_message(encode_message(status)))


@pytest.fixture
def statuses():
    return PeerStatuses(SimpleNamespace(), SimpleNamespace())


@pytest.fixture
def plans(statuses):
    return SharedPlans(("a", "b", "c"), statuses)


def test_groups_of_other_zones_are_counted_here_and_at_peers(plans, statuses):
    plans.add_planner("a", lambda: [PlannedGroupsItem("pool", "m", 1)])
    plans.add_planner("b", lambda: [PlannedGroupsItem("pool", "m", 2)])
    send(statuses, "c-1", PlannedGroupsItem("pool", "m", 4))
    send(statuses, "c-2", PlannedGroupsItem("other", "m", 8))
    assert plans.count_other_groups("a", "pool") == {"m": 6}
    assert plans.count_other_groups("b", "pool") == {"m": 5}


def test_peers_are_told_the_groups_of_all_planners_here(plans):
    items = [PlannedGroupsItem("pool", "m", 1), PlannedGroupsItem("pool", "n", 2)]
    plans.add_planner("a", lambda: items[:1])
    plans.add_planner("b", lambda: items[1:])
    assert list(plans.list_own_groups()) == items


def test_groups_of_a_lost_peer_are_not_counted(plans, statuses):
    send(statuses, "c-1", PlannedGroupsItem("pool", "m", 4))
    statuses.drop("c-1")
    assert plans.count_other_groups("a", "pool") == {}


def test_loads_of_peers_and_of_other_zones_leave_fewer(plans, statuses):
    now = time.monotonic()
    urgent = plans.add_planner("a", list)
    other = plans.add_planner("b", list)
    send(statuses, "c-1", loads=SPEC.max_concurrent_loads - 3)
    assert other.try_begin(SPEC, PAIR, "t1", now, True)
    assert plans.count_own_loads() == 1 and plans.count_own_loads(without="b") == 0
    started = [
        urgent.try_begin(SPEC, QUAD, f"t{n}", now + 2.0 * n, True) for n in range(4)
    ]
    assert started == [True, True, False, False]


# Gateways of two zones on real sockets.


@pytest.fixture
def gateways(platform):
    """Gateways in zone y, without targets, and in the platform's zone z."""
    daemons = []
    for zone in ("y", "z"):
        settings = build_settings(platform.store.address, f"gw-{zone}", zone)
        daemons.append(GatewayDaemon(replace(settings, zones=("y", "z"))))
    for daemon in daemons:
        daemon.start()
    yield daemons
    for daemon in daemons:
        daemon.stop()


def build_view(daemon: GatewayDaemon, zone: str):
    """Return what the planner of a zone plans on now."""
    (planner,) = [item for item in daemon._planners if item.zone == zone]
    service = daemon.view.cfg.services[MODEL_SERVICE]
    return planner._build_fleet_view(service, time.monotonic())


def test_planner_hears_of_the_groups_that_another_zone_forms(platform, gateways):
    other, own = gateways
    wait_for(lambda: own.dump()["plans"] == ["z"] and other.dump()["peers"])
    wait_for(lambda: sum(platform.fleet.count_open().values()) == 4)
    wait_for(lambda: build_view(other, "y").planned == {})
    platform.kill(platform.find_group(QUAD.name)[2])
    chat(own.settings.front, "s", model=QUAD.name, events=10)
    wait_for(lambda: build_view(other, "y").planned.get(QUAD.name) == 1)
    assert build_view(own, "z").planned == {}
    wait_for(lambda: build_view(other, "y").planned == {})


def test_planners_of_two_zones_never_have_their_turn_at_the_same_time(gateways):
    other, own = gateways
    wait_for(lambda: other.view.cfg is not None and own.view.cfg is not None)
    seen = Counter()
    until = time.monotonic() + 2.5
    while time.monotonic() < until:
        views = build_view(other, "y"), build_view(own, "z")
        seen[tuple(view.may_rebalance for view in views)] += 1
        gevent.sleep(0.01)
    assert seen[True, False] and seen[False, True] and seen[False, False]
    assert not seen[True, True]
