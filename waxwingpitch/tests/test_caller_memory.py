"""What callers' connections hold on real sockets, and how they are rejected for it."""

from __future__ import annotations

import contextlib
import socket
import time
from dataclasses import replace

import gevent
import pytest

from ..configuration.routes import CallerLimits
from ..errors import SettingsError
from ..forwarding import Answer, AnswerHead, CallerListener
from ..gateway.host_bounds import find_caller_bounds, find_max_relayed
from ..memory import CallerAccount, CallerBounds, HoldKind, RejectionReason
from ..platform.settings import load_platform_settings
from .gateway_client import build_settings, wait_for
from .gateway_processes import SETTINGS

HEAD_BYTES = 64 * 1024
BODY_BYTES = 4 * 1024 * 1024
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
REQUEST = HEAD + b"Content-Length: 2\r\n\r\n{}"
SMALL = CallerBounds(memory_bytes=1024 * 1024, connections=10)


class Front:
    """A listener whose handler the test chooses."""

    def __init__(self, bounds: CallerBounds, **limits):
        fields = {
            "header_bytes": HEAD_BYTES,
            "body_bytes": BODY_BYTES,
            "header_timeout_s": 0.3,
            "idle_timeout_s": 0.5,
        }
        caller_limits = CallerLimits(**{**fields, **limits})
        self.account = CallerAccount(bounds)
        self.requests = []
        self.handler = self.answer
        self.listener = CallerListener(
            "127.0.0.1",
            0,
            lambda req, resp: self.handler(req, resp),
            lambda: caller_limits,
            self.account,
        )
        self.listener.start()

    def answer(self, req, resp) -> None:
        self.requests.append(req)
        resp.send_answer(Answer(AnswerHead(200, ()), b"%d" % len(req.body)))

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.listener.port), 5.0)

    def await_empty(self) -> None:
        wait_for(lambda: self.account.connections == 0, 3.0)
        assert self.account.held_bytes == 0
        assert not self.listener._conns


@pytest.fixture
def start_front():
    fronts = []

    def _start(bounds: CallerBounds = SMALL, **limits) -> Front:
        fronts.append(Front(bounds, **limits))
        return fronts[-1]

    yield _start
    for front in fronts:
        front.listener.stop_accepting()


def read_all(sock: socket.socket) -> bytes:
    """Return all that arrives until the gateway closes the connection."""
    parts = []
    with contextlib.suppress(ConnectionResetError):
        while data := sock.recv(65536):
            parts.append(data)
    return b"".join(parts)


def send_quietly(sock: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):
        sock.sendall(data)


def read_status(sock: socket.socket) -> int:
    return int(read_all(sock).split()[1])


# Guards against what a connection holds being kept after its end, in each way to end;
# an account that is never empty again would reject ordinary requests for ever.


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (REQUEST.replace(b"Host", b"Connection: close\r\nHost"), 200),
        (REQUEST * 20, 200),
        (HEAD + b"a:b\r\n" * 100, 408),
        (CHUNKED + b"2\r\nab", 408),
        (CHUNKED + b"2\r\nab\r\n0\r\nx: y\r\n", 408),
        (b"nonsense\r\n\r\n", 400),
        (HEAD + b"x: " + b"y" * HEAD_BYTES + b"\r\n\r\n", 431),
        (CHUNKED + b"0\r\n" + b"x: y\r\n" * (HEAD_BYTES // 6 + 20), 431),
        (HEAD + b"Content-Length: %d\r\n\r\n" % (BODY_BYTES + 1), 408),
        (HEAD + b"Content-Length: 900000\r\n\r\n" + b"d" * 900000, 503),
    ],
    ids=[
        "last answer",
        "idle",
        "head open",
        "body open",
        "trailers open",
        "malformed",
        "head too large",
        "trailers too large",
        "body missing",
        "evicted",
    ],
)
def test_ended_connection_holds_nothing(start_front, data, status):
    front = start_front()
    with front.connect() as sock:
        send_quietly(sock, data)
        assert read_status(sock) == status
        front.await_empty()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        HEAD + b"a:b\r\n" * 100,
        CHUNKED + b"2\r\nab",
        CHUNKED + b"2\r\nab\r\n0\r\nx: y\r\n",
        REQUEST,
        REQUEST * 5,
        REQUEST + HEAD,
    ],
    ids=["nothing", "head", "body", "trailers", "served", "waiting", "part behind"],
)
def test_connection_that_its_caller_ends_holds_nothing(start_front, data):
    front = start_front(header_timeout_s=5.0, idle_timeout_s=5.0)
    front.handler = lambda req, resp: gevent.sleep(5.0)
    sock = front.connect()
    sock.sendall(data)
    wait_for(lambda: front.account.connections == 1)
    gevent.sleep(0.1)
    assert front.account.held_bytes > 0
    sock.close()
    front.await_empty()


def test_connection_whose_handler_fails_holds_nothing(start_front):
    front = start_front()

    def _fail(req, resp) -> None:
        raise ValueError("a fault of the handler")

    front.handler = _fail
    with front.connect() as sock:
        sock.sendall(REQUEST)
        assert read_all(sock) == b""
        front.await_empty()


def test_connection_closed_by_a_stop_holds_nothing(start_front):
    front = start_front(idle_timeout_s=30.0)
    with front.connect() as sock:
        sock.sendall(REQUEST)
        sock.recv(4096)
        gevent.sleep(0.6)
        front.listener.close_idle()
        front.await_empty()


def test_answered_request_holds_nothing_while_its_connection_stays(start_front):
    front = start_front(idle_timeout_s=30.0)
    with front.connect() as sock:
        sock.sendall(HEAD + b"Content-Length: 100000\r\n\r\n" + b"d" * 100000)
        assert b"200 OK" in sock.recv(4096)
        held = {kind for kind, size in front.account.by_kind.items() if size}
        assert held == {HoldKind.CONNECTION}


# Guards against requests that wait behind another one without being counted.
def test_requests_behind_another_one_are_counted(start_front):
    front = start_front(header_timeout_s=5.0)
    front.handler = lambda req, resp: gevent.sleep(5.0)
    with front.connect() as sock:
        sock.sendall((HEAD + b"Content-Length: 9000\r\n\r\n" + b"d" * 9000) * 4)
        wait_for(lambda: front.account.by_kind[HoldKind.WAITING] > 3 * 9000)
        assert 9000 < front.account.by_kind[HoldKind.SERVED] < 2 * 9000


# Guards against a rejection that is lost because unread bytes reset its connection.
def test_rejection_reaches_a_caller_that_goes_on_sending(start_front):
    front = start_front()
    with front.connect() as sock:
        head = HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        sender = gevent.spawn(send_quietly, sock, head + b"d" * BODY_BYTES)
        answer = read_all(sock)
        sender.join(5.0)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: 0.50\r\n" in answer
    assert b"\r\nConnection: close\r\n" in answer
    assert front.account.rejections == {RejectionReason.MEMORY: 1}
    assert front.requests == []


# Guards against callers that hold the memory and send nothing more; they are told that
# their requests did not run, also while another greenlet takes the memory from them.
def test_stuck_callers_are_evicted_for_others(start_front):
    front = start_front(header_timeout_s=30.0)
    head = HEAD + b"Content-Length: 900000\r\n\r\n"
    stuck = [front.connect() for _ in range(4)]
    for sock in stuck:
        sock.sendall(head + b"d" * 180000)
    wait_for(lambda: front.account.by_kind[HoldKind.BODY] >= 4 * 180000)
    with front.connect() as sock:
        sock.sendall(HEAD + b"Content-Length: 300000\r\n\r\n" + b"d" * 300000)
        assert sock.recv(4096).endswith(b"300000")
    statuses = []
    for sock in stuck:
        sock.settimeout(0.5)
        with contextlib.suppress(TimeoutError):
            statuses.append(read_status(sock))
        sock.close()
    assert statuses
    assert set(statuses) <= {503, 408}
    front.await_empty()


# Guards against a request that is being served and is aborted for others' memory, or
# for what comes behind it on its connection.
def test_served_request_is_answered_although_the_memory_is_full(start_front):
    front = start_front(header_timeout_s=30.0)

    def _answer_late(req, resp) -> None:
        gevent.sleep(0.8)
        front.answer(req, resp)

    front.handler = _answer_late
    body = HEAD + b"Content-Length: 500000\r\n\r\n" + b"d" * 500000
    with front.connect() as sock, front.connect() as other:
        sock.sendall(body)
        wait_for(lambda: front.account.by_kind[HoldKind.SERVED])
        sock.sendall(body[:-1])
        other.sendall(body)
        assert read_status(other) == 503
        answers = read_all(sock)
    assert answers.startswith(b"HTTP/1.1 200 ")
    assert b"\r\n\r\n500000HTTP/1.1 503 " in answers
    assert len(front.requests) == 1
    front.await_empty()


def build_smallest_bounds() -> CallerBounds:
    """Return the bounds of the smallest hosts."""
    settings = build_settings("127.0.0.1:1")
    return find_caller_bounds(replace(settings, memory_mb=152.0, max_fds=1535))


def write_settings(path, limits: str) -> str:
    fields = {"name": "gw", "zone": "z", "zones": 'z = "r"', "ip": "127.0.0.1"}
    ports = {"peers": 1, "front": 2, "ready": 3, "store": "127.0.0.1:4", "slack": 5}
    text = SETTINGS.format(
        **fields, **ports, bootstrap="false", memory_mb=152, max_fds=1535
    )
    file = path / "settings.toml"
    file.write_text(text.replace("max_fds = 1535\n", limits))
    return str(file)


@pytest.mark.parametrize(
    ("limits", "expected"), [("", 4096), ("max_fds = 1535\n", 1535)]
)
def test_descriptors_have_a_default(tmp_path, limits, expected):
    settings = load_platform_settings(write_settings(tmp_path, limits))
    assert settings.max_fds == expected


def test_wrong_descriptors_are_named(tmp_path):
    path = write_settings(tmp_path, 'max_fds = "many"\n')
    with pytest.raises(SettingsError, match="limits.max_fds: 'many' is invalid; valid"):
        load_platform_settings(path)


# Guards against settings that leave nothing for callers, so that all are rejected.
def test_settings_without_memory_leave_some_for_callers():
    settings = build_settings("127.0.0.1:1")
    bounds = find_caller_bounds(replace(settings, memory_mb=0.0, max_fds=0))
    assert bounds.memory_bytes > 2 * BODY_BYTES
    assert bounds.connections > 0


# Guards against callers, targets and relays that exceed the descriptors together.
@pytest.mark.parametrize("max_fds", [1535, 4100, 8192])
def test_descriptors_suffice_for_all_uses(max_fds):
    settings = replace(build_settings("127.0.0.1:1"), max_fds=max_fds)
    callers = find_caller_bounds(settings).connections
    relayed = find_max_relayed(settings)
    assert 2 * callers + 2 * relayed <= 0.9 * (max_fds - 200)


# Guards against a bound that rejects a single request within the limits of the
# configuration, whichever form it has.
@pytest.mark.parametrize("line", [b"a:\r\n", b"ab:cd\r\n", b"!x:\t\xff\r\n"])
def test_largest_head_of_many_lines_is_served_on_the_smallest_host(start_front, line):
    front = start_front(build_smallest_bounds(), header_timeout_s=5.0)
    # Each line counts as if it had a space behind its colon.
    lines = (HEAD_BYTES - 200) // (len(line) + 1)
    with front.connect() as sock:
        sock.sendall(HEAD + line * lines + b"Content-Length: 2\r\n\r\n{}")
        assert sock.recv(4096).endswith(b"\r\n\r\n2")
    assert len(front.requests[0].headers) == lines + 2


@pytest.mark.parametrize("size", [64, 4096])
def test_largest_body_in_chunks_is_served_on_the_smallest_host(start_front, size):
    front = start_front(build_smallest_bounds(), header_timeout_s=5.0)
    chunk = b"%x\r\n%s\r\n" % (size, b"d" * size)
    with front.connect() as sock:
        sock.settimeout(20.0)
        sock.sendall(CHUNKED + chunk * (BODY_BYTES // size) + b"0\r\n\r\n")
        assert sock.recv(4096).endswith(b"\r\n\r\n%d" % BODY_BYTES)


# Guards against trailers that become headers of their request, or of the next one.
def test_trailers_are_dropped(start_front):
    front = start_front(idle_timeout_s=5.0)
    trailers = b"x: 1\r\n" * (HEAD_BYTES // 8)
    with front.connect() as sock:
        sock.sendall(CHUNKED + b"2\r\nab\r\n0\r\n" + trailers + b"\r\n" + REQUEST)
        wait_for(lambda: len(front.requests) == 2)
    assert [req.find(b"x") for req in front.requests] == [None, None]
    assert [bytes(req.body) for req in front.requests] == [b"ab", b"{}"]


# Guards against a process that runs out of descriptors: callers above the bound wait to
# be accepted, and are answered once others have ended.
def test_connections_are_bounded(start_front):
    front = start_front(idle_timeout_s=30.0, header_timeout_s=30.0)
    front.handler = lambda req, resp: (gevent.sleep(0.5), front.answer(req, resp))
    socks = [front.connect() for _ in range(30)]
    for sock in socks:
        send_quietly(sock, REQUEST.replace(b"Host", b"Connection: close\r\nHost"))
    most = 0
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        most = max(most, front.listener.open_connections)
        gevent.sleep(0.01)
    assert 0 < most <= SMALL.connections
    statuses = [read_status(sock) for sock in socks]
    for sock in socks:
        sock.close()
    assert set(statuses) <= {200, 503}
    assert 200 in statuses
    front.await_empty()
