"""A planned stop ends no request without an answer that it had time to give."""

from __future__ import annotations

import socket
import time
from dataclasses import replace

import gevent
import pytest
from gevent import monkey

from ..configuration.routes import CallerLimits, RouteKind
from ..forwarding import Answer, AnswerHead, CallerListener
from ..forwarding.relay import RelayAnswer, ask_relay
from ..gateway import GatewayDaemon, serving, stop_times
from ..gateway.stop_times import may_begin, plan_stop
from ..settings.gateway import Address
from .gateway_client import Caller, build_settings, call, wait_for


class StoppingListener:
    """A listener with a handler of the test, which can be drained."""

    def __init__(self, handler, **limits):
        caller_limits = CallerLimits(**limits)
        self.listener = CallerListener("127.0.0.1", 0, handler, lambda: caller_limits)
        self.listener.start()

    @property
    def address(self) -> Address:
        return Address("127.0.0.1", self.listener.port)

    def connect(self) -> Caller:
        caller = Caller(self.address)
        wait_for(lambda: self.listener._conns)
        return caller

    def drain(self) -> gevent.Greenlet:
        self.listener.disable_keep_alive()
        self.listener.stop_accepting()
        return gevent.spawn(self._drain)

    def _drain(self) -> None:
        for _ in range(100):
            self.listener.close_idle()
            gevent.sleep(0.02)


def answer_after(delay_s: float):
    def _handle(req, resp) -> None:
        gevent.sleep(delay_s)
        resp.send_answer(Answer(AnswerHead(200, ()), b"done"))

    return _handle


@pytest.fixture
def start_stoppable(platform, monkeypatch):
    """Start a gateway with a short stop, at whose end its sockets close."""
    monkeypatch.setattr(stop_times, "BALANCER_REMOVAL_S", 0.3)
    daemons = []

    def _start(stop_s: float) -> GatewayDaemon:
        settings = build_settings(platform.store.address)
        bounds = replace(settings.bounds, stop_s=stop_s)
        daemon = GatewayDaemon(replace(settings, bounds=bounds))
        daemon._stopped.rawlink(lambda _: close_sockets(daemon))
        daemon.start()
        daemons.append(daemon)
        wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
        assert call(daemon.settings.front, "/file/x", "ready").status == 200
        return daemon

    yield _start
    for daemon in daemons:
        daemon.stop()


def close_sockets(daemon: GatewayDaemon) -> None:
    """End all connections as the exit of the process does."""
    for conn in list(daemon._listener._conns):
        conn._sock._sock.shutdown(socket.SHUT_RDWR)


def read_or_none(caller: Caller):
    """Return the answer, or None if the connection ends without one."""
    try:
        return caller.read()
    except (OSError, IndexError):
        return None


# The stop ends only when all accepted requests are answered.


def test_requests_that_are_accepted_last_are_answered_before_the_exit(
    platform, start_stoppable
):
    daemon = start_stoppable(6.0)
    platform.plain_s = 0.3
    daemon._listener._server.stop_accepting()
    callers = [Caller(daemon.settings.front) for _ in range(8)]
    for number, caller in enumerate(callers):
        caller.send("/file/x", f"a{number}")
    daemon._begin_stop()
    answers = [read_or_none(caller) for caller in callers]
    assert [answer and answer.status for answer in answers] == [200] * 8
    assert daemon._stopped.wait(6.0)


# Guards against requests of peers that are cut halfway, as the gateway that passes them
# on stops and has no callers of its own.
def test_stop_waits_for_the_connections_that_are_passed_on_for_peers(
    platform, start_stoppable
):
    daemon = start_stoppable(6.0)
    target = platform.targets[platform.plain[0]]
    answer, relayed = ask_relay(str(daemon.settings.relay), target.address, 1.0)
    assert answer is RelayAnswer.OPEN
    daemon._begin_stop()
    assert not daemon._stopped.wait(1.5)
    relayed.close()
    assert daemon._stopped.wait(1.0)


def test_request_that_arrives_at_the_end_of_a_stop_is_not_run_and_cut(
    platform, start_stoppable, monkeypatch
):
    daemon = start_stoppable(6.0)
    platform.plain_s = 0.3
    caller = Caller(daemon.settings.front)
    caller.send("/file/x", "e1")
    assert caller.read().status == 200
    gevent.sleep(0.3)

    def _remove_slowly() -> None:
        caller.send("/file/x", "e2")
        gevent.sleep(0.15)

    monkeypatch.setattr(daemon._registration, "remove", _remove_slowly)
    daemon._begin_stop()
    assert daemon._stopped.wait(6.0)
    answer = read_or_none(caller)
    assert platform.runs["e2"] == 0 or answer is not None


# Connections whose request is on its way.


def test_request_on_a_connection_that_was_just_accepted_is_answered():
    server = StoppingListener(answer_after(0.0))
    caller = server.connect()
    server.drain()
    gevent.sleep(0.1)
    caller.send("/x", "n1")
    assert read_or_none(caller).status == 200


def test_request_that_was_read_in_part_at_a_stop_is_answered():
    server = StoppingListener(answer_after(0.0))
    caller = server.connect()
    gevent.sleep(0.6)
    caller.sock.sendall(b"GET /x HTTP/1.1\r\nHost: h")
    gevent.sleep(0.05)
    server.drain()
    gevent.sleep(0.7)
    caller.sock.sendall(b".example\r\n\r\n")
    assert read_or_none(caller).status == 200


def test_connections_without_a_request_do_not_hold_up_a_stop():
    server = StoppingListener(answer_after(0.0))
    caller = server.connect()
    caller.send("/x", "i1")
    caller.read()
    server.connect()
    server.drain()
    wait_for(lambda: not server.listener._conns, 2.0)


# The last answer of a connection.


def test_answer_after_the_signal_tells_the_caller_that_the_connection_ends():
    server = StoppingListener(answer_after(0.2))
    caller = server.connect()
    caller.send("/x", "c1")
    gevent.sleep(0.05)
    server.drain()
    assert caller.read().headers.get("connection") == "close"


def test_request_that_has_partly_come_behind_another_is_answered_at_a_stop():
    server = StoppingListener(answer_after(0.2))
    caller = server.connect()
    caller.send("/x", "b1")
    caller.sock.sendall(b"GET /x HTTP/1.1\r\nHost: h")
    gevent.sleep(0.05)
    server.drain()
    assert caller.read().status == 200
    caller.sock.sendall(b".example\r\n\r\n")
    second = read_or_none(caller)
    assert second is not None and second.headers["connection"] == "close"


def test_request_after_a_stream_that_began_before_the_signal_is_answered():
    def _stream(req, resp) -> None:
        resp.start_stream(AnswerHead(200, ()), ())
        resp.send_chunk(b"id: 1\n\n")
        gevent.sleep(0.3)
        resp.end_stream()

    server = StoppingListener(_stream)
    caller = server.connect()
    caller.send("/x", "s1")
    gevent.sleep(0.1)
    server.drain()
    first = caller.read()
    assert first.is_complete and "connection" not in first.headers
    gevent.sleep(0.05)
    caller.send("/x", "s2")
    second = read_or_none(caller)
    assert second is not None and second.headers["connection"] == "close"


def test_late_request_does_not_reset_the_last_answer_on_its_way():
    size = 1_000_000

    def _answer(req, resp) -> None:
        gevent.sleep(0.1)
        resp.send_answer(Answer(AnswerHead(200, ()), b"x" * size))

    server = StoppingListener(_answer)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((server.address.host, server.address.port))
    sock.settimeout(5.0)
    request = b"GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n"
    sock.sendall(request)
    gevent.sleep(0.05)
    server.drain()
    received = len(sock.recv(1000))
    gevent.sleep(0.2)
    sock.sendall(request)
    while data := sock.recv(65536):
        received += len(data)
    assert received > size


def test_refusal_of_a_body_that_is_too_long_reaches_the_caller():
    server = StoppingListener(answer_after(0.0), body_bytes=1000)
    caller = server.connect()
    head = b"POST /x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8000000\r\n\r\n"
    caller.sock.sendall(head + b"x" * 8_000_000)
    answer = read_or_none(caller)
    assert answer is not None and answer.status == 413


# Requests that can't end before the process does.


def test_call_that_may_have_run_is_answered_before_the_exit(platform, start_stoppable):
    daemon = start_stoppable(2.0)
    for target in platform.plain:
        platform.targets[target].faults.hang = True
    caller = Caller(daemon.settings.front)
    caller.send("/file/x", "h1")
    gevent.sleep(0.1)
    daemon._begin_stop()
    answer = read_or_none(caller)
    assert answer is not None and answer.status == 504
    assert daemon._stopped.wait(2.0)


# Guards against requests that are cut, as the process stood still from before the time
# of their last answer until after the end of the drain.
def test_call_is_answered_after_a_standstill_at_the_end_of_a_stop(
    platform, start_stoppable
):
    daemon = start_stoppable(2.0)
    for target in platform.plain:
        platform.targets[target].faults.hang = True
    caller = Caller(daemon.settings.front)
    caller.send("/file/x", "h1")
    gevent.sleep(0.1)
    daemon._begin_stop()
    gevent.sleep(1.3)
    monkey.get_original("time", "sleep")(0.7)
    answer = read_or_none(caller)
    assert answer is not None and answer.status == 504
    assert daemon._stopped.wait(2.0)


def test_request_that_waits_for_a_slot_is_refused_before_the_exit(
    platform, start_stoppable
):
    daemon = start_stoppable(2.0)
    for target in platform.plain:
        platform.targets[target].faults.hang = True
    callers = [Caller(daemon.settings.front) for _ in range(13)]
    for number, caller in enumerate(callers):
        caller.send("/file/x", f"w{number}", deadline_ms=4000)
        gevent.sleep(0.01)
    gevent.sleep(0.1)
    waiting = daemon.slots.client.count_pending()
    assert waiting >= 1
    daemon._begin_stop()
    answers = [read_or_none(caller) for caller in callers]
    assert None not in answers
    refused = [answer for answer in answers if answer.status == 503]
    assert len(refused) == waiting
    assert all("retry-after" in answer.headers for answer in refused)


def test_stream_that_comes_late_in_a_stop_is_refused_and_not_run(
    platform, start_stoppable, monkeypatch
):
    monkeypatch.setattr(stop_times, "BALANCER_REMOVAL_S", 3.3)
    monkeypatch.setattr(stop_times, "BALANCER_REMOVAL_SHARE", 0.5)
    daemon = start_stoppable(8.0)
    platform.configure(kind="stream")
    gevent.sleep(0.3)
    caller = Caller(daemon.settings.front)
    daemon._begin_stop()
    gevent.sleep(3.1)
    caller.send("/file/x", "t1")
    answer = read_or_none(caller)
    assert answer.status == 503 and "retry-after" in answer.headers
    assert answer.headers["connection"] == "close"
    assert platform.runs["t1"] == 0


def test_begun_stream_goes_on_until_the_drain_ends(platform, start_stoppable):
    daemon = start_stoppable(3.0)
    platform.configure(kind="stream")
    gevent.sleep(0.3)

    def _script(sock, request: str) -> None:
        head = f"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: {request}\r\n\r\n"
        sock.sendall(head.encode())
        for number in range(1, 60):
            sock.sendall(f"id: {number}\ndata: x\n\n".encode())
            gevent.sleep(0.1)

    for target in platform.plain:
        platform.targets[target].faults.script = _script
    caller = Caller(daemon.settings.front)
    caller.send("/file/x", "g1")
    gevent.sleep(0.1)
    signalled_at = time.monotonic()
    daemon._begin_stop()
    answer = caller.read()
    assert not answer.is_complete
    assert time.monotonic() - signalled_at > 2.65
    assert len(answer.events) > 22


ROUTE_OBJECTIVE_S = 0.4


@pytest.mark.parametrize(
    ("kind", "arrived_at", "begins"),
    [
        (RouteKind.STREAM, 102.7, True),
        (RouteKind.STREAM, 102.9, False),
        (RouteKind.NON_IDEMPOTENT, 102.9, True),
        (RouteKind.NON_IDEMPOTENT, 106.0, True),
        (RouteKind.IDEMPOTENT, 106.2, False),
    ],
)
def test_request_that_cannot_end_in_a_stop_does_not_begin(kind, arrived_at, begins):
    times = plan_stop(100.0, 8.0)
    assert may_begin(times, arrived_at, kind, ROUTE_OBJECTIVE_S) == begins


@pytest.mark.parametrize("stop_s", [1.0, 3.0, 5.0, 8.0, 30.0])
def test_stop_breaks_streams_off_in_its_last_sixth_only(stop_s):
    times = plan_stop(100.0, stop_s)
    assert 100.0 + stop_s * 5 / 6 <= times.drained_by < 100.0 + stop_s
    assert 100.0 < times.accepts_until < times.answers_by < times.drained_by
    assert times.streams_until <= min(103.0, times.answers_by)


# Unexpected errors.


def test_unexpected_error_in_a_handler_is_answered(
    platform, start_stoppable, monkeypatch
):
    daemon = start_stoppable(6.0)

    def _fail(*args):
        raise RuntimeError("for the test")

    monkeypatch.setattr(serving, "route_request", _fail)
    answer = call(daemon.settings.front, "/file/x", "u1")
    assert answer.status == 500
    assert answer.headers["attempt-id"] == "u1"


@pytest.mark.parametrize(
    ("part", "step"),
    [
        ("_peers", "announce_stop"),
        ("_registration", "stop"),
        ("_web", "stop"),
        ("_planners", "hand_over"),
    ],
)
def test_error_in_a_step_does_not_keep_a_process_from_stopping(
    start_stoppable, monkeypatch, part, step
):
    daemon = start_stoppable(3.0)

    def _fail():
        raise RuntimeError("for the test")

    task = getattr(daemon, part)
    task = task[0] if part == "_planners" else task
    with monkeypatch.context() as patched:
        patched.setattr(task, step, _fail)
        daemon._begin_stop()
        assert daemon._stopped.wait(3.0)


# The time of the signal.


# Guards against streams that begin later than the operators allow, as a process that
# stood still when the signal came counts its times from when it went on.
def test_times_of_a_stop_count_from_before_a_standstill(start_stoppable):
    daemon = start_stoppable(6.0)
    gevent.sleep(0.3)
    stood_still_at = time.monotonic()
    monkey.get_original("time", "sleep")(0.8)
    daemon._begin_stop()
    wait_for(lambda: daemon._server.stop_times)
    times = daemon._server.stop_times
    assert times.signalled_at <= stood_still_at
    assert times.streams_until <= stood_still_at + stop_times.STREAMS_BEGIN_S


# Guards against the same where housekeeping runs before the signal is heard, as it does
# if the process stood still while it waited for events.
def test_times_of_a_stop_count_from_before_a_standstill_that_a_tick_follows(
    start_stoppable,
):
    daemon = start_stoppable(6.0)
    gevent.sleep(0.3)
    stood_still_at = time.monotonic()
    monkey.get_original("time", "sleep")(0.8)
    daemon._tick()
    daemon._begin_stop()
    wait_for(lambda: daemon._server.stop_times)
    times = daemon._server.stop_times
    assert times.signalled_at <= stood_still_at


# Guards against streams that are broken off before the last sixth, if the signal came
# at the end of a standstill.
def test_begun_streams_are_drained_from_when_the_signal_was_heard():
    times = plan_stop(100.0, 8.0, heard_at=103.0)
    assert times.drained_by >= 103.0 + 8.0 * 5 / 6
    # Not later than needed, as the process may be killed at 108.
    assert plan_stop(100.0, 8.0, heard_at=100.5).drained_by < 108.0
    assert times.streams_until <= 103.0
    assert times.answers_by <= 108.0


# Guards against a process that ends with a request that it has just read, as no
# connection was counted yet when the drain looked.
def test_connection_that_was_accepted_last_is_counted_when_accepting_ends():
    server = StoppingListener(answer_after(0.2))
    server.listener._server.stop_accepting()
    caller = Caller(server.address)
    accepted, address = server.listener._listening.accept()
    gevent.spawn(server.listener._accept, accepted, address)
    server.listener.stop_accepting()
    assert server.listener.open_connections == 1
    caller.close()
