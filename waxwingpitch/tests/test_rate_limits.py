"""Targets that state a limit of requests a second for all gateways together."""

from __future__ import annotations

import time

import gevent
import pytest

from ..forwarding import AnswerHead
from ..platform import HeaderNames, decode_rate_limit
from .gateway_client import call, start_gateway, wait_for
from .platform_standin import PlatformFake, TargetFaults

WINDOW_S = 4.0


def answer_with_limit(state: dict, arrivals: list[float]):
    """Return a script that answers calls and states a limit."""

    def _script(sock, request: str) -> None:
        arrivals.append(time.monotonic())
        limit = state["limit"]
        lines = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nResponse-Seal: s\r\n"
        lines += "".join(f"Server-Limit: {value}\r\n" for value in limit)
        sock.sendall(f"{lines}Content-Length: 0\r\n\r\n".encode())

    return _script


@pytest.mark.parametrize(
    "values, expected",
    [
        ((), None),
        ((b"1.5",), 1.5),
        ((b"0",), 0.0),
        ((b"1e9",), 1e9),
        ((b"3", b"2"), 2.0),
        ((b"nan", b"2"), 2.0),
    ],
)
def test_lowest_rate_limit_of_an_answer_is_read(values, expected):
    head = AnswerHead(200, tuple((b"Server-Limit", value) for value in values))
    assert decode_rate_limit(head.find_all(HeaderNames.RATE_LIMIT)) == expected


@pytest.mark.parametrize("value", [b"nan", b"-1", b"inf", b"", b"many"])
def test_rate_limit_that_is_no_number_is_not_taken_for_none(value):
    with pytest.raises(ValueError, match="rate limit"):
        decode_rate_limit([value])


def test_target_gets_no_more_from_all_gateways_than_the_rate_that_it_states(platform):
    limited, other = platform.plain
    arrivals = {limited: [], other: []}
    for target, limit in ((limited, ["1.5"]), (other, [])):
        script = answer_with_limit({"limit": limit}, arrivals[target])
        platform.targets[target].faults = TargetFaults(script=script)
    daemons = [start_gateway(platform.store.address, f"gw-{n}") for n in range(3)]
    try:
        for daemon in daemons:
            wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
        wait_for(lambda: all(daemon.dump()["peers"] for daemon in daemons))
        started_at = time.monotonic()
        number = 0
        while time.monotonic() - started_at < WINDOW_S + 1.0:
            front = daemons[number % 3].settings.front
            assert call(front, "/read/x", f"r{number}").status == 200
            number += 1
            gevent.sleep(0.02)
    finally:
        for daemon in daemons:
            daemon.stop()
    counts = [
        sum(at - WINDOW_S < other_at <= at for other_at in arrivals[limited])
        for at in arrivals[limited]
    ]
    assert max(counts) <= 1.5 * 1.5 * WINDOW_S + 5
    assert len(arrivals[limited]) >= 1.5 * WINDOW_S * 0.8


def test_target_that_states_no_rate_any_more_is_used_as_before(platform):
    limited, other = platform.plain
    state, arrivals = {"limit": ["1"]}, {limited: [], other: []}
    for target, stated in ((limited, state), (other, {"limit": []})):
        script = answer_with_limit(stated, arrivals[target])
        platform.targets[target].faults = TargetFaults(script=script)
    daemon = start_gateway(platform.store.address)
    try:
        wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
        for number in range(20):
            call(daemon.settings.front, "/read/x", f"a{number}")
        assert len(arrivals[limited]) <= 2
        assert daemon.dump()["slots"]["rate_limits"] == {limited: 1.0}
        state["limit"] = []
        wait_for(
            lambda: call(daemon.settings.front, "/read/x", "b")
            and not daemon.dump()["slots"]["rate_limits"]
        )
        before = len(arrivals[limited])
        for number in range(20):
            call(daemon.settings.front, "/read/x", f"c{number}")
        assert len(arrivals[limited]) - before >= 5
    finally:
        daemon.stop()


def test_gateway_whose_targets_take_no_requests_for_now_stays_ready():
    platform = PlatformFake(size=0)
    platform.configure()
    state, arrivals = {"limit": ["0"]}, []
    for target in platform.plain:
        script = answer_with_limit(state, arrivals)
        platform.targets[target].faults = TargetFaults(script=script)
    daemon = start_gateway(platform.store.address)
    try:
        wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
        for number in range(4):
            call(daemon.settings.front, "/read/x", f"a{number}", deadline_ms=500)
        assert daemon.dump()["slots"]["rate_limits"] == dict.fromkeys(platform.plain, 0)
        gevent.sleep(0.5)
        assert len(arrivals) == 2
        assert daemon.find_unready_reason() is None
    finally:
        daemon.stop()
        platform.stop()
