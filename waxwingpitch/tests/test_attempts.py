"""Rules by which a request may be retried on another target."""

from __future__ import annotations

import pytest

from ..configuration.routes import Route, RouteKind, ServiceShare
from ..forwarding import Answer, AnswerHead
from ..gateway.attempts import (
    MAX_SENDS,
    Attempts,
    Broken,
    Failed,
    NotRun,
    Stalled,
    is_retry_allowed,
)


def build_route(kind: RouteKind, *, resumable: bool = False) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        timeout_s=4.0,
        latency_objective_s=0.3,
        priority=1,
        max_attempts=2,
        shares=(ServiceShare("s", 1.0),),
        resumable=resumable,
    )


NON_REPEATABLE = build_route(RouteKind.NON_IDEMPOTENT)
REPEATABLE = build_route(RouteKind.IDEMPOTENT)
STREAM = build_route(RouteKind.STREAM)
RESUMABLE = build_route(RouteKind.STREAM, resumable=True)
SERVER_ERROR = Failed(Answer(AnswerHead(500, ()), b""))
CLIENT_ERROR = Failed(Answer(AnswerHead(404, ()), b""))


@pytest.mark.parametrize("outcome", [Broken("x"), Stalled("x"), SERVER_ERROR])
@pytest.mark.parametrize("route", [NON_REPEATABLE, STREAM])
def test_unrepeatable_request_that_may_have_run_is_not_retried(route, outcome):
    assert not is_retry_allowed(route, Attempts(sends=1, runs=1), outcome)
    assert not is_retry_allowed(route, Attempts(sends=1), outcome)


@pytest.mark.parametrize("route", [NON_REPEATABLE, STREAM, REPEATABLE, RESUMABLE])
def test_request_that_did_not_run_is_retried(route):
    assert is_retry_allowed(route, Attempts(sends=1), NotRun("x"))
    assert not is_retry_allowed(route, Attempts(sends=MAX_SENDS), NotRun("x"))


@pytest.mark.parametrize("outcome", [Broken("x"), Stalled("x"), SERVER_ERROR])
@pytest.mark.parametrize("route", [REPEATABLE, RESUMABLE])
def test_repeatable_request_runs_on_no_more_targets_than_its_route_allows(
    route, outcome
):
    assert is_retry_allowed(route, Attempts(sends=1, runs=1), outcome)
    assert not is_retry_allowed(route, Attempts(sends=2, runs=2), outcome)


def test_client_error_is_not_retried():
    assert not is_retry_allowed(REPEATABLE, Attempts(sends=1, runs=1), CLIENT_ERROR)


def test_pauses_of_a_stream_are_measured():
    attempts = Attempts(last_forwarded_at=10.0)
    for event, at in enumerate([10.3, 10.4, 10.9, 11.0], start=1):
        attempts.record_forwarded(event, at)
    assert attempts.first_event_at == 10.3
    assert attempts.longest_pause_s == pytest.approx(0.5)
    assert attempts.last_event == 4


def test_runs_on_ended_targets_are_discarded():
    attempts = Attempts()
    attempts.record_run("a", "10.0.0.1:1")
    attempts.record_run("b", "10.0.0.2:1")
    attempts.discard_ended_runs(lambda target, address: target == "a")
    assert attempts.runs == 1
    assert attempts.may_have_run


def test_silent_target_that_may_have_read_a_request_counts_as_a_run():
    attempts = Attempts()
    attempts.begin("a", 1.0)
    assert is_retry_allowed(RESUMABLE, attempts, Stalled("x"))
    attempts.record_run("a", "10.0.0.1:1")
    attempts.begin("b", 2.0)
    assert not is_retry_allowed(RESUMABLE, attempts, Stalled("x"))
