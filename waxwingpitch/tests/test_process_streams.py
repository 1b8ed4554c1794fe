"""Tests with entry processes that each caller gets its own complete answer."""

from __future__ import annotations

import json
import signal
import socket

import gevent
import pytest

from ..standins import EnginePerformance
from ..standins.answers import full_answer
from ..standins.engine import POISON
from .cluster import TOKEN, Cluster, wait_until

pytestmark = pytest.mark.processes

STEP_S = 0.02
TOKENS = 60
STREAMS = 200


def read_stream(resp) -> tuple[str, bool, dict | None]:
    """Return the text, whether ``[DONE]`` ended it, and the error of a stream."""
    text, is_complete, error = "", False, None
    for event in resp.data.decode().split("\n\n"):
        data = event.removeprefix("data: ")
        if data == "[DONE]":
            is_complete = True
        elif data:
            body = json.loads(data)
            error = body.get("error", error)
            for choice in body.get("choices", ()):
                text += choice["delta"].get("content", "")
    return text, is_complete, error


def stream(entry, prompt: str, tokens: int = TOKENS):
    return read_stream(entry.chat(prompt, stream=True, max_tokens=tokens))


@pytest.fixture(scope="module")
def cluster():
    performance = EnginePerformance(step_s=STEP_S, cold_s=0.1, restart_s=0.3)
    with Cluster(
        engines=4, entries=2, hosts_per_replica=1, performance=performance
    ) as running:
        running.wait_usable(4)
        wait_until(
            lambda: not any(t["cold"] for e in running.entries for t in e.usable())
        )
        yield running


def busy_engine(cluster):
    return wait_until(
        lambda: next(
            (
                engine
                for engine in cluster.engines("dar-a")
                if any(s.produced > 3 for s in engine.streams.values())
            ),
            None,
        ),
        5.0,
    )


def test_each_caller_gets_its_own_answer(cluster):
    prompts = [f"swali {i}" for i in range(40)]
    jobs = [
        gevent.spawn(stream, cluster.entries[i % 2], prompt, 20)
        for i, prompt in enumerate(prompts)
    ]
    gevent.joinall(jobs, raise_error=True)
    for prompt, job in zip(prompts, jobs):
        assert job.value == (full_answer(f"user: {prompt}", 20), True, None)


def test_stream_continues_at_another_target_after_a_crash(cluster):
    job = gevent.spawn(stream, cluster.entries[0], "kupotea")
    busy_engine(cluster).crash()
    assert job.get() == (full_answer("user: kupotea", TOKENS), True, None)
    cluster.wait_usable(4)


def test_stream_continues_after_its_target_freezes(cluster):
    job = gevent.spawn(stream, cluster.entries[0], "kimya")
    engine = busy_engine(cluster)
    engine.frozen = True
    try:
        assert job.get() == (full_answer("user: kimya", TOKENS), True, None)
    finally:
        engine.frozen = False
    cluster.wait_usable(4)


def test_disconnected_caller_frees_the_engine(cluster):
    entry = cluster.entries[0]
    resp = entry.chat("anaondoka", stream=True, max_tokens=2000, preload_content=False)
    resp.read(10)
    engine = busy_engine(cluster)
    resp.close()
    wait_until(lambda: not engine.streams, 3.0)


def test_request_that_crashes_targets_is_blocked(cluster):
    engines = cluster.engines("dar-a")
    before = sum(engine.crashes for engine in engines)
    other_streams = [
        gevent.spawn(stream, cluster.entries[i % 2], f"jirani {i}") for i in range(8)
    ]
    statuses = []
    for turn in range(6):
        resp = cluster.entries[turn % 2].chat(POISON, max_tokens=20)
        statuses.append(resp.status)
        gevent.sleep(0.2)
    gevent.joinall(other_streams, raise_error=True)
    crashed = sum(engine.crashes for engine in engines) - before
    assert crashed <= 2, [engine.crash_causes for engine in engines]
    assert 200 not in statuses
    assert statuses[-1] == 422
    for i, job in enumerate(other_streams):
        assert job.value == (full_answer(f"user: jirani {i}", TOKENS), True, None)
    cluster.wait_usable(4)


def test_stop_cuts_off_no_stream():
    performance = EnginePerformance(step_s=0.03, cold_s=0.1, batch=64)
    with Cluster(
        engines=4, entries=2, performance=performance, warm_cap=128
    ) as cluster:
        cluster.wait_usable(4)
        wait_until(
            lambda: not any(t["cold"] for e in cluster.entries for t in e.usable())
        )
        entry = cluster.entries[0]
        jobs = [gevent.spawn(stream, entry, f"kuzima {i}", 80) for i in range(STREAMS)]
        wait_until(lambda: entry.dump()["in_progress"] >= STREAMS)
        entry.send_signal(signal.SIGTERM)
        wait_until(lambda: entry.find_log("stopping"))
        gevent.sleep(0.1)
        refused = entry.chat("mpya", max_tokens=2)
        assert refused.status == 503
        assert refused.json()["error"]["code"] == 2004
        gevent.joinall(jobs, raise_error=True)
        for i, job in enumerate(jobs):
            assert job.value == (full_answer(f"user: kuzima {i}", 80), True, None)
        assert entry.wait() == 0
        assert entry.find_log("stopped")["cut_off"] == 0


def test_stop_cuts_off_no_request_whose_body_still_arrives():
    """Its head was accepted before the stop, so its caller isn't told to go away."""
    with Cluster(engines=4, entries=1) as cluster:
        cluster.wait_usable(4)
        entry = cluster.entries[0]
        body = json.dumps(
            {
                "model": "lesson",
                "max_tokens": 4,
                "messages": [{"role": "user", "content": "polepole"}],
            }
        ).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
            f"Authorization: Bearer {TOKEN}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        host, port = entry.url.removeprefix("http://").rsplit(":", 1)
        with socket.create_connection((host, int(port)), timeout=10.0) as sock:
            sock.sendall(head.encode() + body[:20])
            gevent.sleep(0.3)
            entry.send_signal(signal.SIGTERM)
            wait_until(lambda: entry.find_log("stopping"))
            gevent.sleep(2.0)
            sock.sendall(body[20:])
            answer = b"".join(iter(lambda: sock.recv(65536), b""))
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert json.loads(answer.partition(b"\r\n\r\n")[2])["choices"]
        assert entry.wait() == 0
        assert entry.find_log("stopped")["cut_off"] == 0
