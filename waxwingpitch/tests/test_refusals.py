"""Refusals as not run, which promise that a call neither ran nor will run."""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import fields

import gevent
import pytest

from ..forwarding.exchange import format_request, send_request
from ..gateway.probing import fetch_report
from .gateway_client import call, start_gateway, wait_for
from .plain_target import PlainFaults, PlainTarget
from .platform_standin import PlatformFake

PROMISES = (408, 421, 429, 503)


@pytest.fixture
def platform():
    platform = PlatformFake(plain=0)
    platform.configure()
    yield platform
    platform.stop()


@pytest.fixture
def runs():
    return Counter()


@pytest.fixture
def gateway(platform):
    daemon = start_gateway(platform.store.address)
    yield daemon
    daemon.stop()


@pytest.fixture
def targets(platform, gateway, runs):
    targets = [PlainTarget(f"real-{n}", runs, seed=n) for n in range(2)]
    for target in targets:
        platform.store.write(f"servers/{target.id}", target.describe())
    wait_for(lambda: len(gateway.view.find_replicas("plain", "")) == 2)
    yield targets
    for target in targets:
        target.stop()


def list_broken_promises(statuses: dict[str, int], runs: Counter) -> list[str]:
    """Return the calls that ran twice, or ran and were refused as not run."""
    return [
        request
        for request, status in statuses.items()
        if runs[request] > 1 or (runs[request] and status in PROMISES)
    ]


def call_many(front, count: int, at_once: int) -> dict[str, int]:
    """Make calls that may run once each, and return their statuses by id."""
    statuses = {}

    def _call(first: int) -> None:
        for number in range(first, count, at_once):
            try:
                answer = call(front, "/file/x", f"call-{number}", deadline_ms=1500)
            except (OSError, IndexError):
                statuses[f"call-{number}"] = 0
            else:
                statuses[f"call-{number}"] = answer.status

    gevent.joinall([gevent.spawn(_call, first) for first in range(at_once)])
    return statuses


@pytest.mark.parametrize("unnamed", [0.0, 1.0])
def test_refusal_that_is_repeated_on_a_kept_connection_is_no_proof_of_not_run(
    gateway, targets, runs, unnamed
):
    for target in targets:
        target.faults = PlainFaults(refuse=0.4, repeat_refusal=1.0, unnamed=unnamed)
    statuses = call_many(gateway.settings.front, 200, 4)
    assert list_broken_promises(statuses, runs) == []
    served = [status for status in statuses.values() if status == 200]
    assert len(served) > 0.8 * len(statuses)


@pytest.mark.parametrize("seed", range(3))
def test_calls_run_once_and_are_not_refused_once_run_whatever_targets_do(
    gateway, targets, runs, seed
):
    draw = random.Random(seed)
    for target in targets:
        target.faults = PlainFaults(
            **{
                item.name: draw.choice((0.0, 0.02, 0.2))
                for item in fields(PlainFaults)
                if item.type == "float"
            }
        )
        target.slots = draw.choice((1, 2, 6))
        target.queue = draw.choice((1, 6, 30))
        target.work_s = draw.choice((0.01, 0.05, 0.2))

    def _restart_in_turn() -> None:
        while True:
            gevent.sleep(draw.uniform(0.2, 1.5))
            draw.choice(targets).restart(draw.uniform(0.0, 0.3))

    restarts = gevent.spawn(_restart_in_turn)
    try:
        statuses = call_many(gateway.settings.front, 600, 30)
    finally:
        restarts.kill()
    assert list_broken_promises(statuses, runs) == []
    assert 200 in statuses.values()


@pytest.mark.parametrize("status", [408, 429, 503])
def test_failure_of_a_target_that_ran_a_call_is_not_passed_on_as_a_promise(
    gateway, targets, runs, status
):
    for target in targets:
        target.faults = PlainFaults(own_status=status)
    answer = call(gateway.settings.front, "/file/x", "once")
    assert runs["once"] == 1
    assert answer.status == 502
    assert "response-seal" not in answer.headers


def test_late_copy_of_a_refusal_is_not_taken_for_the_answer_to_a_report(
    gateway, targets
):
    target = targets[0]
    target.faults = PlainFaults(refuse=1.0, late_copy=1.0)
    target.report_s = 0.06
    pool = gateway.pool
    data = format_request(
        b"POST",
        b"/file/x",
        target.address,
        ((b"Attempt-Id", b"refused"), (b"Deadline-Ms", b"1000")),
        b"",
    )
    for _ in range(10):
        conn = send_request(pool, target.address, data, timeout_s=1.0)
        head = conn.read_head(time.monotonic() + 1.0)
        assert head.status == 503
        pool.release(conn, head, time.monotonic())
        assert fetch_report(pool, target.id, target.address).orders == 0
