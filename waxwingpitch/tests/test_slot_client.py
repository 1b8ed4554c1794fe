"""Slots of a gateway's requests while the gateways that granted them stop."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from ..gateway.roster import Roster
from ..gateway.slot_client import Slot
from ..gateway.slots import SlotTask
from ..mesh.fleet_messages import SlotRelease, StallCheck, StallReply
from ..slots import EntryHost, Outcome, SlotKey, SlotOffer, rank_hosts
from ..targets.progress import ProgressBook
from .gateway_client import BOUNDS

KEY = SlotKey("a", "pool", "m")
HOSTS = {name: EntryHost(name, "", "a", 1.0) for name in ("h1", "h2", "h3", "h4")}
FIRST, NEXT, THIRD, LOCAL = (
    host.name for host in rank_hosts(f"slots {KEY}", "a", HOSTS.values())
)


class _Links:
    """Links to the peers, of which one answers questions about silent streams."""

    def __init__(self):
        self.sent = []
        self.gone: set[str] = set()
        self.task: SlotTask
        self.answers: dict[str, StallReply] = {}

    def send(self, name, message) -> bool:
        if name in self.gone:
            return False
        self.sent.append((name, message))
        if isinstance(message, StallCheck) and name in self.answers:
            self.task.handle(name, self.answers[name])
        return True


@pytest.fixture
def roster() -> Roster:
    roster = Roster(HOSTS[LOCAL], lambda: HOSTS, time.monotonic)
    for name in (FIRST, NEXT, THIRD):
        roster.record_heard(name)
        roster.record_state(name, is_ready=True, is_stopping=False)
    return roster


@pytest.fixture
def links() -> _Links:
    return _Links()


@pytest.fixture
def task(roster, links) -> SlotTask:
    view = SimpleNamespace(
        find_service=lambda name: None,
        find_replicas=lambda service, model: (),
        refresh=lambda: 0,
    )
    task = SlotTask(roster, view, ProgressBook(), BOUNDS, ("a",), links.send)
    links.task = task
    return task


def hold(task, owner: str) -> Slot:
    """Let a request of this gateway hold a slot that a host granted."""
    offer = SlotOffer("t", "x:1", "a", "pool", "m", 8, 1, 0.0)
    slot = Slot(7, owner, KEY, offer, 1)
    task.client.held[slot.number] = slot
    return slot


def stop(roster, name: str) -> None:
    roster.record_state(name, is_ready=True, is_stopping=True)


def end(roster, links, name: str) -> None:
    links.gone.add(name)
    roster.record_lost(name)


def test_owner_that_stops_counts_the_slots_that_the_next_one_grants(roster, task):
    """It still grants slots to what waits there, and must not grant them twice."""
    stop(roster, FIRST)
    hold(task, NEXT)
    assert [item.number for item in task.list_held_for(FIRST, "a")] == [7]
    assert [item.number for item in task.list_held_for(NEXT, "a")] == [7]
    assert [item.number for item in task.list_held_for(THIRD, "a")] == [7]


def test_silent_stream_is_resumed_after_the_owner_of_its_slot_has_stopped(
    roster, links, task
):
    slot = hold(task, FIRST)
    stop(roster, FIRST)
    end(roster, links, FIRST)
    links.answers[NEXT] = StallReply(7, 0.5, True)
    progress_at, may_resume = task.client.may_resume(slot, 0.3)
    assert may_resume
    assert progress_at == pytest.approx(time.monotonic() - 0.5, abs=0.1)


def test_sound_stream_is_kept_if_the_owner_of_its_slot_has_just_restarted(
    roster, links, task
):
    """A process that has just started knows nothing of the progress of targets."""
    slot = hold(task, FIRST)
    roster.record_state(FIRST, is_ready=False, is_stopping=False)
    links.answers[FIRST] = StallReply(7, 1e6, True)
    links.answers[NEXT] = StallReply(7, 0.1, False)
    progress_at, may_resume = task.client.may_resume(slot, 0.3)
    assert not may_resume
    assert progress_at == pytest.approx(time.monotonic() - 0.1, abs=0.05)


def test_slot_of_an_owner_that_has_stopped_is_free_at_once_at_the_next(
    roster, links, task
):
    slot = hold(task, FIRST)
    end(roster, links, FIRST)
    task.client.release(slot, Outcome.SERVED, service_s=1.0, first_s=0.1)
    name, message = links.sent[-1]
    assert name == NEXT and isinstance(message, SlotRelease)
    assert (message.number, message.outcome) == (7, int(Outcome.SERVED))


def test_owner_that_stops_is_told_of_its_slots_as_long_as_it_is_heard(
    roster, links, task
):
    slot = hold(task, FIRST)
    stop(roster, FIRST)
    task.client.release(slot, None, service_s=0.0, first_s=0.0)
    assert links.sent[-1][0] == FIRST
