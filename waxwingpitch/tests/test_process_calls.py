"""Tests with entry processes that non-idempotent calls take effect at most once."""

from __future__ import annotations

import signal
import time

import gevent
import pytest
import uuid6

from ..errors import ResultCode
from ..standins.store import FaultPlan, StoreFault
from .cluster import TOKEN, Cluster, wait_until
from .fault_proxy import Fault

pytestmark = pytest.mark.processes

DELAY_S = 0.6


@pytest.fixture(scope="module")
def cluster():
    with Cluster(entries=2, engines=1, service_delay_s=DELAY_S) as running:
        running.wait_usable(1, service="attendance")
        yield running


@pytest.fixture
def key():
    return str(uuid6.uuid7())


def error_of(resp) -> dict:
    return resp.json()["error"]


def test_repeat_at_another_entry_while_the_first_runs(cluster, key):
    first = gevent.spawn(cluster.entries[0].mark, "repeat", key)
    gevent.sleep(DELAY_S / 2)
    during = cluster.entries[1].mark("repeat", key)
    assert during.status == 409
    assert error_of(during)["ran"] == "unknown"
    assert "Retry-After" in during.headers
    assert first.get().status == 200
    after = wait_until(
        lambda: (r := cluster.entries[1].mark("repeat", key)).status == 200 and r, 5.0
    )
    assert after.data == first.value.data
    assert after.headers["Idempotent-Replayed"] == "true"
    assert cluster.effects["repeat"] == 1


def test_repeat_at_the_same_entry_waits_for_the_first(cluster, key):
    entry = cluster.entries[0]
    jobs = [gevent.spawn(entry.mark, "same", key) for _ in range(3)]
    gevent.joinall(jobs)
    assert {job.value.data for job in jobs} == {jobs[0].value.data}
    assert cluster.effects["same"] == 1


def test_lost_claim_answer_is_settled_by_reading_back(cluster, key):
    cluster.store.set_fault(FaultPlan(StoreFault.LOSE_ANSWERS, count=1))
    first = cluster.entries[0].mark("lost", key)
    cluster.store.set_fault(FaultPlan())
    assert cluster.effects["lost"] <= 1
    if first.status != 200:
        assert error_of(first)["attempt_ran"] == "no"
        assert cluster.effects["lost"] == 0
    again = wait_until(
        lambda: (r := cluster.entries[1].mark("lost", key)).status == 200 and r, 10.0
    )
    assert again.status == 200
    assert cluster.effects["lost"] == 1


def test_resumed_claim_owner_causes_no_second_effect(cluster, key):
    owner, other = cluster.entries
    first = gevent.spawn(owner.mark, "paused", key)
    gevent.sleep(DELAY_S / 3)
    owner.send_signal(signal.SIGSTOP)
    try:
        repeats = [other.mark("paused", key) for _ in range(3)]
        gevent.sleep(DELAY_S)
    finally:
        owner.send_signal(signal.SIGCONT)
    assert {resp.status for resp in repeats} == {409}
    assert all(error_of(resp)["ran"] == "unknown" for resp in repeats)
    assert first.get().status == 200
    assert cluster.effects["paused"] == 1


def test_silent_target_leaves_the_outcome_unknown(cluster, key):
    proxy = cluster.proxies[cluster.services[0].host]
    entry = cluster.entries[0]
    gevent.spawn_later(0.2, proxy.set_fault, Fault.SILENT)
    started = time.monotonic()
    resp = entry.mark("silent", key, headers={"X-Timeout-S": "1.5"})
    took_s = time.monotonic() - started
    proxy.set_fault(Fault.NONE)
    assert resp.status == 504
    assert error_of(resp)["ran"] == "unknown"
    assert took_s < 3.0
    repeat = cluster.entries[1].mark("silent", key)
    assert error_of(repeat)["ran"] == "unknown"
    assert cluster.effects["silent"] == 1
    cluster.wait_usable(1, service="attendance")


def test_refused_connection_is_proof_of_not_run(cluster, key):
    proxy = cluster.proxies[cluster.services[0].host]
    upstream, proxy.upstream = proxy.upstream, "127.0.0.1:1"
    try:
        resp = cluster.entries[0].mark("refused", key)
    finally:
        proxy.upstream = upstream
    assert resp.status >= 500
    assert cluster.effects["refused"] == 0
    cluster.wait_usable(1, service="attendance")


@pytest.mark.parametrize("fault", [StoreFault.DOWN, StoreFault.HUNG])
def test_unavailable_store_is_answered_at_once(cluster, key, fault):
    entry = cluster.entries[0]
    bound = entry.request("POST", "/v1/keys").json()["key"]
    cluster.store.set_fault(FaultPlan(fault))
    try:
        started = time.monotonic()
        resp = entry.mark("down", key)
        took_s = time.monotonic() - started
        assert resp.status == 503
        assert error_of(resp)["ran"] == "unknown"
        assert error_of(resp)["attempt_ran"] == "no"
        assert took_s < 1.0
        gevent.sleep(0.1)
        declared = entry.mark("down", key, headers={"Idempotency-Attempt": "1"})
        assert error_of(declared)["ran"] == "no"
        before = cluster.effects["bound"]
        answers = {entry.mark("bound", bound).data for _ in range(2)}
        assert len(answers) == 1
        assert cluster.effects["bound"] == before + 1
        assert cluster.effects["down"] == 0
    finally:
        cluster.store.set_fault(FaultPlan())


def test_unkeyed_call_is_refused_as_not_run(cluster):
    resp = cluster.entries[0].request("POST", "/v1/services/attendance/marks/unkeyed")
    assert resp.status == 400
    assert error_of(resp)["ran"] == "no"
    assert cluster.effects["unkeyed"] == 0


@pytest.mark.parametrize(
    ("method", "path", "options", "status"),
    [
        ("POST", "/v1/chat/completions", {"body": b"{"}, 400),
        ("POST", "/v1/chat/completions", {"body": b"\xff\xfe"}, 400),
        ("POST", "/v1/chat/completions", {"body": b"[" * 100000}, 400),
        ("POST", "/v1/chat/completions", {"body": b"x" * (5 << 20)}, 413),
        ("POST", "/v1/services/nope/x", {}, 404),
        (
            "POST",
            "/v1/services/attendance/x",
            {"headers": {"Idempotency-Key": "x"}},
            400,
        ),
        ("GET", "/v1/services/attendance/x", {"headers": {"X-Timeout-S": "nan"}}, 400),
        ("GET", "/v1/models", {"headers": {"X-Long": "x" * 20000}}, 431),
        ("DELETE", "/v1/chat/completions", {}, 405),
        ("GET", "/%ff%00", {}, 404),
    ],
)
def test_malformed_input_gets_an_error_code(cluster, method, path, options, status):
    entry = cluster.entries[0]
    resp = entry.request(method, path, **options)
    assert resp.status == status
    assert error_of(resp)["code"] >= 1000
    assert entry.request("GET", "/v1/models").status == 200
    assert not [line for line in entry.iter_log() if "traceback" in line]


def test_wrong_token_is_refused(cluster):
    resp = cluster.entries[0].request("GET", "/v1/models", token=TOKEN + "x")
    assert resp.status == 401
    assert error_of(resp)["code"] == 1002


def test_entry_killed_while_it_runs_a_call(key):
    with Cluster(entries=2, engines=1, service_delay_s=DELAY_S) as cluster:
        cluster.wait_usable(1, service="attendance")
        first = gevent.spawn(cluster.entries[0].mark, "killed", key)
        gevent.sleep(DELAY_S / 2)
        cluster.entries[0].kill()
        first.join()
        assert not first.successful()
        repeats = [cluster.entries[1].mark("killed", key) for _ in range(2)]
        assert {error_of(resp)["ran"] for resp in repeats} == {"unknown"}
        assert cluster.effects["killed"] == 1


def test_claim_of_a_call_that_outlasts_a_stop_is_settled(key):
    """Callers that repeat it are not told to wait for a process that has ended."""
    with Cluster(
        entries=2, engines=1, service_delay_s=5.0, drain_timeout_s=1.0
    ) as cluster:
        cluster.wait_usable(1, service="attendance")
        first = gevent.spawn(cluster.entries[0].mark, "outlasts", key)
        wait_until(lambda: cluster.entries[0].dump()["in_progress"])
        gevent.sleep(0.3)
        cluster.entries[0].send_signal(signal.SIGTERM)
        assert cluster.entries[0].wait() == 0
        first.join()
        error = error_of(cluster.entries[1].mark("outlasts", key))
        assert error["code"] == int(ResultCode.OUTCOME_UNKNOWN)
        assert cluster.entries[0].find_log("stopped")["cut_off"] == 1
