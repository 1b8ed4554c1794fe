"""Tests that only one suspect at a time is tried at a target."""

from __future__ import annotations

import random
import time

import gevent
import pytest
from gevent.event import AsyncResult

from ..admission import Ticket
from ..configuration import Configuration, Service, ServiceKind, Workspace, Zone
from ..entry.dispatch import Dispatcher, TargetRequirements
from ..entry.trials import TrialLocks
from ..entry.view import EntryView
from ..errors import RequestError, ResultCode
from ..membership import Member, MemberList
from ..ports import Host, TargetReport, Warmth
from ..routing import PrefixIndex, Router
from ..targets import Target
from .fakes import FakeStore

ZONE = "dar-a"
TARGET = Target("t0", "lesson", ZONE, "a", ("t0",), "", 0, False, 0, "i")
MEMBERS = [Member(f"e{i}", "i", ZONE, "", "") for i in range(3)]
SERVICE = Service("lesson", ServiceKind.PLAIN, "lesson", max_wait_s=0.3)


def build_trial_locks(store: FakeStore) -> list[TrialLocks]:
    members = MemberList(ZONE)
    for member in MEMBERS:
        members = members.join(member)
    confirmed = MemberList(ZONE, members.version, members.members)
    trial_locks = []
    for member in MEMBERS:
        view = EntryView(member)
        view.agreed.lists[ZONE] = confirmed
        trial_locks.append(TrialLocks(view, store))
    return trial_locks


def test_one_trial_at_a_time():
    first, second, _ = build_trial_locks(FakeStore())
    lock = first.acquire(TARGET, "r1")
    assert lock is not None
    assert second.acquire(TARGET, "r2") is None
    first.release(lock)
    assert second.acquire(TARGET, "r2") is not None


def test_lost_answer_of_an_acquisition_is_resolved_by_reading():
    store = FakeStore()
    first, second, _ = build_trial_locks(store)
    store.lose_answers = 1
    lock = first.acquire(TARGET, "r1")
    assert lock is not None and lock.version
    assert second.acquire(TARGET, "r2") is None


def test_one_entry_host_gets_the_lock_while_the_service_is_down():
    store = FakeStore()
    store.down = True
    locks = [item.acquire(TARGET, "r") for item in build_trial_locks(store)]
    assert sum(lock is not None for lock in locks) == 1


@pytest.fixture
def dispatcher():
    view = EntryView(MEMBERS[0])
    cfg = Configuration(1, zones=(Zone(ZONE, "dar"),), services=(SERVICE,))
    view.directory.update(cfg, [Host("t0", "a", "lesson", ZONE, "")], {})
    view.agreed = type(view.agreed)(cfg, {}, {})
    view.evidence.record_report(TargetReport("t0", "i", Warmth.WARM), time.monotonic())
    running = Dispatcher("lesson", view, Router(PrefixIndex(), random.Random(1)))
    running.start()
    yield running
    running.stop()


def acquire(dispatcher: Dispatcher, request: str, *, suspect: bool, wait_s: float):
    workspace = Workspace("w", 0)
    now = time.monotonic()
    ticket = Ticket(request, workspace.name, 0, 1.0, 1.0, now + wait_s)
    fut = AsyncResult()
    requirements = TargetRequirements(suspect=suspect, arrived_at=now)
    gevent.spawn(lambda: fut.set(dispatcher.acquire(ticket, requirements)))
    return fut


def test_no_other_request_waits_for_a_suspect(dispatcher):
    first = acquire(dispatcher, "s1", suspect=True, wait_s=5.0)
    assert first.get(timeout=1.0).suspect
    second = acquire(dispatcher, "s2", suspect=True, wait_s=5.0)
    gevent.sleep(0.05)
    other = acquire(dispatcher, "r", suspect=False, wait_s=5.0)
    assert other.get(timeout=0.2).target.id == "t0"
    gevent.sleep(SERVICE.max_wait_s + 0.2)
    assert not second.ready()


def test_request_is_refused_when_nothing_is_usable(dispatcher):
    dispatcher._view.evidence.forget_old(1e12)
    ticket = Ticket("r", "w", 0, 1.0, 1.0, 1e12)
    with pytest.raises(RequestError) as caught:
        dispatcher.acquire(ticket, TargetRequirements(arrived_at=time.monotonic()))
    assert caught.value.code is ResultCode.NO_TARGET
    assert caught.value.retry_after_s
