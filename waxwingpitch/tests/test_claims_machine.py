"""Stateful tests of claims: at most one effect per key, whatever fails.

Several entry hosts receive the same keys while the key-value service and the target
fail, hang or lose answers.
"""

from __future__ import annotations

import time
import uuid

import gevent
import hypothesis.strategies as st
import pytest
import uuid6
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ..admission import RetryBudget
from ..configuration import Service, ServiceKind, Workspace
from ..entry import plain_path
from ..entry.bound_runs import BoundKeyRuns
from ..entry.plain_path import PlainPath, ServiceCall
from ..entry.view import EntryView
from ..errors import Ran, RequestError, ResultCode
from ..membership import Member
from ..ports import PlainCall
from ..requests import claim_writer, parse_key
from ..requests.claim_writer import ClaimWriter
from .fakes import FakeClients, FakeDispatcher, FakePlainTarget, FakeStore

ENTRIES = 3
KEYS = 3
SERVICE = Service("attendance", ServiceKind.PLAIN, "attendance")
WORKSPACE = Workspace("form-two", 0)
INDEX = st.integers(0, ENTRIES - 1)
KEY_INDEX = st.integers(0, KEYS - 1)


@pytest.fixture(autouse=True, scope="module")
def short_timeouts():
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(plain_path, "CLAIM_TIMEOUT_S", 0.01)
        patch.setattr(claim_writer, "BATCH_WAIT_S", 0.0)
        patch.setattr(claim_writer, "BACKOFF_MIN_S", 0.001)
        patch.setattr(claim_writer, "BACKOFF_MAX_S", 0.002)
        yield


def build_path(name: str, store: FakeStore, target: FakePlainTarget) -> PlainPath:
    member = Member(name, uuid.uuid4().hex, "dar-a", "", "")
    view = EntryView(member)
    return PlainPath(
        view,
        FakeClients(target),
        ClaimWriter(store),
        BoundKeyRuns(view),
        RetryBudget(),
        lambda service: FakeDispatcher(),
    )


def build_call(key: str) -> ServiceCall:
    plain = PlainCall(uuid.uuid4().hex, "POST", f"/{key}", "", (), b"")
    deadline = time.monotonic() + 5.0
    return ServiceCall(plain, SERVICE, WORKSPACE, deadline, parse_key(key))


class ClaimsMachine(RuleBasedStateMachine):
    """Callers repeat keys at several entry hosts while the store and target fail."""

    @initialize()
    def set_up(self):
        self.store = FakeStore()
        self.target = FakePlainTarget()
        self.paths = [self._build(i) for i in range(ENTRIES)]
        self.keys = [str(uuid6.uuid7()) for _ in range(KEYS)]
        self.answers: dict[str, set[bytes]] = {key: set() for key in self.keys}
        self.running: list[gevent.Greenlet] = []

    def _build(self, index: int) -> PlainPath:
        return build_path(f"entry-{index}", self.store, self.target)

    def _run(self, path: PlainPath, key: str) -> None:
        try:
            answer = path.run(build_call(key))
        except RequestError as exc:
            ran = self.target.effects[f"/{key}"]
            if exc.covers_all_attempts and exc.ran is Ran.NO:
                assert ran == 0, "request was reported as not run, but it ran"
            return
        self.answers[key].add(answer.body)

    def _spawn(self, entry: int, key: int) -> None:
        job = gevent.spawn(self._run, self.paths[entry], self.keys[key])
        self.running.append(job)

    def _wait_finished(self, timeout_s: float) -> None:
        gevent.joinall(self.running, timeout=timeout_s)
        done = [job for job in self.running if job.ready()]
        self.running = [job for job in self.running if not job.ready()]
        for job in done:
            job.get()

    @rule(entry=INDEX, key=KEY_INDEX)
    def send(self, entry, key):
        self._spawn(entry, key)
        self._wait_finished(0.02)

    @rule(entries=st.lists(INDEX, min_size=2, max_size=4), key=KEY_INDEX)
    def send_at_once(self, entries, key):
        for entry in entries:
            self._spawn(entry, key)
        self._wait_finished(0.02)

    @rule(entry=INDEX, key=KEY_INDEX)
    def hold_at_target(self, entry, key):
        """Pause requests at the target, between their claims and their effects."""
        self.target.gate.clear()
        self._spawn(entry, key)
        gevent.sleep(0.003)

    @rule()
    def release_held(self):
        self.target.gate.set()
        self._wait_finished(0.1)

    @rule(entry=INDEX)
    def restart_entry(self, entry):
        self.paths[entry] = self._build(entry)

    @rule(down=st.booleans())
    def set_store_down(self, down):
        self.store.down = down

    @rule(count=st.integers(1, 2))
    def lose_store_answers(self, count):
        self.store.lose_answers = count

    @rule()
    def delay_store_write(self):
        self.store.delay_writes = 1

    @rule()
    def deliver_delayed_write(self):
        self.store.apply_delayed_write()

    @rule(kind=st.sampled_from(["refuse", "lose_before", "lose_after"]))
    def break_target(self, kind):
        setattr(self.target, kind, 1)

    @invariant()
    def at_most_once(self):
        for path, count in self.target.effects.items():
            assert count <= 1, f"{path} took effect {count} times"

    @invariant()
    def repeats_get_the_first_answer(self):
        assert all(len(bodies) <= 1 for bodies in self.answers.values())

    def teardown(self):
        self.target.gate.set()
        gevent.killall(self.running)


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(max_examples=60, stateful_step_count=20)


def run_error(path: PlainPath, call: ServiceCall) -> RequestError:
    with pytest.raises(RequestError) as caught:
        path.run(call)
    return caught.value


def uuid7_at(seconds: float) -> str:
    value = uuid6.uuid7().int & ((1 << 80) - 1)
    return str(uuid.UUID(int=(int(seconds * 1000) << 80) | value))


@pytest.mark.parametrize(
    ("age_s", "ran"),
    [(-60.0, Ran.NO), (900.0, Ran.NO), (7200.0, Ran.UNKNOWN)],
    ids=["future", "outside the window", "past retention"],
)
def test_key_outside_the_window_is_refused(age_s, ran):
    target = FakePlainTarget()
    path = build_path("entry-0", FakeStore(), target)
    exc = run_error(path, build_call(uuid7_at(time.time() - age_s)))
    assert exc.code is ResultCode.IDEMPOTENCY_KEY_OUTSIDE_WINDOW
    assert exc.ran is ran
    assert not target.effects


def test_refused_old_key_is_never_run_by_a_paused_claimer():
    store, target = FakeStore(), FakePlainTarget()
    key = uuid7_at(time.time() - 900.0)
    first = build_path("entry-0", store, target)
    assert run_error(first, build_call(key)).ran is Ran.NO
    second = build_path("entry-1", store, target)
    assert run_error(second, build_call(key)).ran is Ran.NO
    assert not target.effects


def test_reused_key_is_refused():
    path = build_path("entry-0", FakeStore(), FakePlainTarget())
    key = str(uuid6.uuid7())
    path.run(build_call(key))
    other = build_call(key)
    changed = PlainCall(other.call.request, "POST", "/other", "", (), b"x")
    call = ServiceCall(changed, SERVICE, WORKSPACE, other.deadline, other.key)
    assert run_error(path, call).code is ResultCode.IDEMPOTENCY_KEY_REUSED


def test_bound_key_runs_without_the_store():
    store, target = FakeStore(), FakePlainTarget()
    store.down = True
    path = build_path("entry-0", store, target)
    key = path._bound_key_runs.issue_key()
    first = path.run(build_call(key))
    assert path.run(build_call(key)).body == first.body
    other = build_path("entry-1", store, target)
    assert run_error(other, build_call(key)).ran is Ran.UNKNOWN
    assert target.effects == {f"/{key}": 1}
