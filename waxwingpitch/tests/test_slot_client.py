"""Slots of a gateway's requests while the gateways that granted them stop."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from ..gateway.roster import Roster
from ..gateway.slot_client import Slot
from ..gateway.slots import SlotTask
from ..slots import EntryHost, SlotKey, SlotOffer, rank_hosts
from ..targets.progress import ProgressBook
from .gateway_client import BOUNDS

KEY = SlotKey("a", "pool", "m")
HOSTS = {name: EntryHost(name, "", "a", 1.0) for name in ("h1", "h2", "h3", "h4")}
FIRST, NEXT, THIRD, LOCAL = (
    host.name for host in rank_hosts(f"slots {KEY}", "a", HOSTS.values())
)


@pytest.fixture
def roster() -> Roster:
    roster = Roster(HOSTS[LOCAL], lambda: HOSTS, time.monotonic)
    for name in (FIRST, NEXT, THIRD):
        roster.record_heard(name)
        roster.record_state(name, is_ready=True, is_stopping=False)
    return roster


@pytest.fixture
def task(roster) -> SlotTask:
    view = SimpleNamespace(
        find_service=lambda name: None,
        find_replicas=lambda service, model: (),
        refresh=lambda: 0,
    )
    return SlotTask(
        roster, view, ProgressBook(), BOUNDS, ("a",), lambda name, message: True
    )


def hold(task, owner: str) -> Slot:
    """Let a request of this gateway hold a slot that a host granted."""
    offer = SlotOffer("t", "x:1", "a", "pool", "m", 8, 1, 0.0)
    slot = Slot(7, owner, KEY, offer, 1)
    task.client.held[slot.number] = slot
    return slot


def stop(roster, name: str) -> None:
    roster.record_state(name, is_ready=True, is_stopping=True)


def test_owner_that_stops_counts_the_slots_that_the_next_one_grants(roster, task):
    """It still grants slots to what waits there, and must not grant them twice."""
    stop(roster, FIRST)
    hold(task, NEXT)
    assert [item.number for item in task.list_held_for(FIRST, "a")] == [7]
    assert [item.number for item in task.list_held_for(NEXT, "a")] == [7]
    assert [item.number for item in task.list_held_for(THIRD, "a")] == [7]
