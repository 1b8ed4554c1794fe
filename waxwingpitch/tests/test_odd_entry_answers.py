"""Bytes that are no answer, or none yet, as the entry daemon's client reads them."""

from __future__ import annotations

import time

import gevent
import pytest
from gevent.server import StreamServer

from ..entry.kept_answers import rebuild_answer
from ..errors import Ran, RequestError
from ..ports.http import ConnectionLostError, HttpClient, ResponseTimeoutError
from ..requests.claims import StoredAnswer

TIMEOUT_S = 0.5
# Time after which a call without a final answer must have failed.
END_S = 1.5
# Time for which other greenlets may wait.
PAUSE_S = 0.3
REST = b"Content-Length: 3\r\n\r\nodd"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@pytest.fixture
def connect():
    """Start a server that serves each request by a function; return its client."""
    servers = []

    def _connect(serve) -> HttpClient:
        def _serve(sock, _) -> None:
            try:
                while sock.recv(4096):
                    serve(sock)
            except OSError:
                return  # the client has closed the connection

        servers.append(StreamServer(("127.0.0.1", 0), _serve))
        servers[-1].start()
        return HttpClient(f"http://127.0.0.1:{servers[-1].server_port}")

    yield _connect
    for server in servers:
        server.stop(timeout=0)


def send_slowly(sock) -> None:
    for _ in range(40):
        sock.sendall(CONTINUE)
        gevent.sleep(0.2)


def send_fast(sock) -> None:
    for _ in range(2000):
        sock.sendall(CONTINUE * 1000)
        gevent.sleep(0)


def send_half_a_head(sock) -> None:
    sock.sendall(b"HTTP/1.1 200 OK\r\n")
    for _ in range(40):
        sock.sendall(b"X: y\r\n")
        gevent.sleep(0.2)


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 +200 OK",
        b"HTTP/1.1 0200 OK",
        b"HTTP/1.1 2_00 OK",
        b"HTTP/1.1 2O0 OK",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 2000 OK",
        b"HTTP/1.1  200 OK",
        b"HTTP/0.9 200 OK",
        b"HTTP/1.9 200 OK",
        b"HTTP/2.0 200 OK",
        b"RTSP/1.0 200 OK",
    ],
)
def test_malformed_status_line_is_a_lost_connection(connect, line):
    client = connect(lambda sock: sock.sendall(line + b"\r\n" + REST))
    with pytest.raises(ConnectionLostError):
        client.send("GET", "/", timeout_s=TIMEOUT_S)


@pytest.mark.parametrize(
    "line",
    [b"HTTP/1.1 200", b"HTTP/1.1 200 ", b"HTTP/1.0 200 OK", b"HTTP/1.1 200 \xe9"],
)
def test_valid_status_line_is_an_answer(connect, line):
    client = connect(lambda sock: sock.sendall(CONTINUE + line + b"\r\n" + REST))
    assert client.send("GET", "/", timeout_s=TIMEOUT_S).data == b"odd"


@pytest.mark.parametrize("serve", [send_slowly, send_fast, send_half_a_head])
@pytest.mark.parametrize("name", ["send", "open_stream"])
def test_head_without_end_ends_in_time_and_lets_others_run(connect, name, serve):
    client = connect(serve)
    longest_s = 0.0

    def _measure() -> None:
        nonlocal longest_s
        while True:
            began_at = time.monotonic()
            gevent.sleep(0.01)
            longest_s = max(longest_s, time.monotonic() - began_at)

    others = gevent.spawn(_measure)
    started_at = time.monotonic()
    with gevent.Timeout(4 * END_S):
        with pytest.raises((ConnectionLostError, ResponseTimeoutError)):
            getattr(client, name)("GET", "/", timeout_s=TIMEOUT_S)
    assert time.monotonic() - started_at < END_S
    others.kill()
    assert longest_s < PAUSE_S


@pytest.mark.parametrize("status", [-1, 0, 99, 101, 199, 600, 999])
def test_stored_answer_with_an_odd_status_is_not_replayed(status):
    with pytest.raises(RequestError) as caught:
        rebuild_answer(StoredAnswer(status, "text/plain", b"odd"))
    assert caught.value.ran is Ran.YES
