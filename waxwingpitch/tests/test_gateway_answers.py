"""Checks on real sockets that callers get only complete answers to their requests."""

from __future__ import annotations

import socket
import time

import gevent
import pytest

from .gateway_client import Caller, call, start_gateway, wait_for
from .platform_standin import PlatformFake, TargetFaults

SEAL = "Response-Seal: seal.x\r\n"


@pytest.fixture(scope="module")
def platform():
    platform = PlatformFake()
    platform.configure()
    yield platform
    platform.stop()


@pytest.fixture(scope="module")
def gateway(platform):
    daemon = start_gateway(platform.store.address)
    wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
    yield daemon
    daemon.stop()


@pytest.fixture
def front(platform, gateway):
    yield gateway.settings.front
    for target in platform.plain:
        platform.targets[target].faults = TargetFaults()
    gateway.pool.close_idle(time.monotonic() + 1000.0)


def set_script(platform, script, *, is_early: bool = False) -> None:
    for target in platform.plain:
        platform.targets[target].faults = TargetFaults(script=script, is_early=is_early)


def answer_with(platform, head: str, body: bytes = b"", *, close: bool = False) -> None:
    """Make plain targets answer with a head and a body, then optionally close."""

    def _script(sock, request: str) -> None:
        echo = f"Attempt-Id: {request}\r\n"
        sock.sendall(f"HTTP/1.1 {head}{echo}\r\n".encode() + body)
        if close:
            raise OSError("closed by the script")

    set_script(platform, _script)


def send_raw(front, data: bytes) -> Caller:
    caller = Caller(front)
    caller.sock.sendall(data)
    return caller


def test_answer_without_length_is_relayed_completely(platform, front):
    answer_with(platform, "200 OK\r\n" + SEAL, b"to the end", close=True)
    answer = call(front, "/file/x", "a1")
    assert (answer.status, answer.body, answer.is_complete) == (
        200,
        b"to the end",
        True,
    )


def test_answer_without_length_that_is_reset_is_an_error(platform, front):
    """The end of the connection ends such an answer; its reset breaks it off."""

    def _script(sock, request: str) -> None:
        echo = f"Attempt-Id: {request}\r\n"
        sock.sendall(f"HTTP/1.1 200 OK\r\n{SEAL}{echo}\r\n".encode() + b"to the")
        gevent.sleep(0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        raise OSError("reset")

    set_script(platform, _script)
    for path in ("/file/x", "/read/x"):
        answer = call(front, path, "a1r" + path)
        assert answer.status in (502, 504)
        assert "response-seal" not in answer.headers


def test_chunked_answer_is_relayed_completely(platform, front):
    head = f"200 OK\r\n{SEAL}Transfer-Encoding: chunked\r\n"
    answer_with(platform, head, b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert call(front, "/file/x", "a2").body == b"abcde"


@pytest.mark.parametrize(
    ("head", "body"),
    [
        (f"200 OK\r\n{SEAL}Content-Length: 9\r\n", b"short"),
        (f"200 OK\r\n{SEAL}Transfer-Encoding: chunked\r\n", b"5\r\nab"),
        (f"200 OK\r\n{SEAL}Content-Length: x\r\n", b"body"),
        ("200 OK\r\nContent-Length: 2\r\n", b"no"),
        (f"200 OK\r\n{SEAL}Content-Encoding: gzip\r\nContent-Length: 2\r\n", b"zz"),
    ],
)
def test_broken_or_unsealed_success_is_an_error(platform, front, head, body):
    answer_with(platform, head, body, close=True)
    for path in ("/file/x", "/read/x"):
        answer = call(front, path, "a3" + path)
        assert answer.status in (502, 504)
        assert "response-seal" not in answer.headers


def test_malformed_answer_is_an_error(platform, front):
    set_script(
        platform, lambda sock, request: sock.sendall(b"\x16\x03 nonsense\r\n\r\n")
    )
    assert call(front, "/file/x", "a4").status in (502, 504)


def test_sealed_error_is_relayed_unchanged(platform, front):
    head = f"500 Oops\r\n{SEAL}Content-Length: 4\r\n"
    answer_with(platform, head, b"oops")
    answer = call(front, "/file/x", "a5")
    assert (answer.status, answer.body) == (500, b"oops")
    assert answer.headers["response-seal"] == "seal.x"


def test_surplus_answer_is_dropped(platform, front):
    """Bytes after a complete answer must not reach the connection's next request."""
    once = f"HTTP/1.1 200 OK\r\n{SEAL}Content-Length: 4\r\n"

    def _script(sock, request: str) -> None:
        own = f"{once}Attempt-Id: {request}\r\n\r\n".encode() + request[-4:].encode()
        sock.sendall(own + once.encode() + b"\r\nlies")

    set_script(platform, _script)
    bodies = [call(front, "/file/x", f"extra-{n:04}").body for n in range(8)]
    assert bodies == [f"{n:04}".encode() for n in range(8)]


def test_late_answer_to_another_request_is_not_relayed(platform, front):
    def _script(sock, request: str) -> None:
        head = f"HTTP/1.1 200 OK\r\n{SEAL}Content-Length: 5\r\n"
        sock.sendall(f"{head}Attempt-Id: other\r\n\r\n".encode() + b"other")
        gevent.sleep(0.05)
        sock.sendall(f"{head}Attempt-Id: {request}\r\n\r\n".encode() + b"right")

    set_script(platform, _script)
    assert call(front, "/file/x", "a6").body == b"right"


def test_early_answer_to_a_long_body(platform, front):
    """The target answers before it reads the body; it still gets all of the body."""

    def _script(sock, request: str) -> None:
        head = f"HTTP/1.1 413 Long\r\n{SEAL}Content-Length: 4\r\n"
        sock.sendall(f"{head}Attempt-Id: {request}\r\n\r\n".encode() + b"long")

    set_script(platform, _script, is_early=True)
    for number in range(3):
        body = bytes([65 + number]) * 60_000
        answer = call(front, "/file/x", f"early-{number}", body=body)
        assert (answer.status, answer.body) == (413, b"long")
        wait_for(lambda: f"early-{number}" in platform.bodies, 2.0)
        assert platform.bodies[f"early-{number}"] == body


def test_chunked_body_reaches_the_target(platform, front):
    head = (
        "POST /file/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: c1\r\n"
        "Authorization: Bearer key-1\r\nDeadline-Ms: 4000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    caller = send_raw(front, head.encode() + b"4\r\nabcd\r\n3\r\nefg\r\n")
    gevent.sleep(0.1)
    assert "c1" not in platform.request_headers
    caller.sock.sendall(b"0\r\n\r\n")
    assert caller.read().status == 200
    assert platform.bodies["c1"] == b"abcdefg"
    caller.close()


def test_smuggled_request_is_not_run(platform, front):
    """A request with both framings is refused; its body must not become a request."""
    inner = "POST /file/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: inner\r\n\r\n"
    head = (
        "POST /file/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: outer\r\n"
        "Authorization: Bearer key-1\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    )
    caller = send_raw(front, (head + inner).encode())
    assert caller.read().status == 400
    gevent.sleep(0.2)
    assert "inner" not in platform.request_headers
    assert "outer" not in platform.request_headers
    caller.close()


def test_limits_on_headers_and_body(platform, front):
    long_header = call(front, "/file/x", "l1", X_Long="y" * 20_000)
    assert long_header.status == 431
    assert call(front, "/file/x", "l2", body=b"z" * 70_000).status == 413
    assert not {"l1", "l2"} & platform.request_headers.keys()


def test_end_to_end_headers_reach_the_target(platform, front):
    call(
        front, "/file/x", "h1", X_Own="kept", Connection="keep-alive, X-Hop", X_Hop="a"
    )
    seen = platform.request_headers["h1"]
    assert seen["x-own"] == "kept"
    assert "x-hop" not in seen
    assert seen["expect-instance"] in platform.plain


def test_connections_are_kept_on_both_sides(platform, front):
    caller = Caller(front)
    sources = []
    set_script(
        platform,
        lambda sock, request: (
            sources.append(sock.getpeername()[1]),
            sock.sendall(
                f"HTTP/1.1 200 OK\r\n{SEAL}Attempt-Id: {request}\r\n"
                "Content-Length: 2\r\n\r\nok".encode()
            ),
        ),
    )
    for number in range(6):
        caller.send("/file/x", f"k{number}")
        assert caller.read().status == 200
    assert len(set(sources)) <= 2
    caller.close()
