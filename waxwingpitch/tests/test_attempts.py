"""Whether a request may be sent to another target."""

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
    may_send_again,
)


def build_route(kind: RouteKind, *, resumable: bool = False) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        timeout_s=4.0,
        aim_s=0.3,
        priority=1,
        max_attempts=2,
        shares=(ServiceShare("s", 1.0),),
        resumable=resumable,
    )


ONCE = build_route(RouteKind.NON_IDEMPOTENT)
REPEATABLE = build_route(RouteKind.IDEMPOTENT)
STREAM = build_route(RouteKind.STREAM)
RESUMABLE = build_route(RouteKind.STREAM, resumable=True)
SERVER_ERROR = Failed(Answer(AnswerHead(500, ()), b""))
CALLER_ERROR = Failed(Answer(AnswerHead(404, ()), b""))


@pytest.mark.parametrize("outcome", [Broken("x"), Stalled("x"), SERVER_ERROR])
@pytest.mark.parametrize("route", [ONCE, STREAM])
def test_what_may_have_run_once_is_not_sent_again(route, outcome):
    assert not may_send_again(route, Attempts(sends=1, runs=1), outcome)
    assert not may_send_again(route, Attempts(sends=1), outcome)


@pytest.mark.parametrize("route", [ONCE, STREAM, REPEATABLE, RESUMABLE])
def test_what_did_not_run_is_sent_again(route):
    assert may_send_again(route, Attempts(sends=1), NotRun("x"))
    assert not may_send_again(route, Attempts(sends=MAX_SENDS), NotRun("x"))


@pytest.mark.parametrize("outcome", [Broken("x"), Stalled("x"), SERVER_ERROR])
@pytest.mark.parametrize("route", [REPEATABLE, RESUMABLE])
def test_repeatable_request_runs_on_no_more_targets_than_its_route_allows(
    route, outcome
):
    assert may_send_again(route, Attempts(sends=1, runs=1), outcome)
    assert not may_send_again(route, Attempts(sends=2, runs=2), outcome)


def test_callers_own_error_is_not_repeated():
    assert not may_send_again(REPEATABLE, Attempts(sends=1, runs=1), CALLER_ERROR)
