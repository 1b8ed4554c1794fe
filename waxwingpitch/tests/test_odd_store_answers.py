"""Answers of the platform's store that do not say what became of a write."""

from __future__ import annotations

import pytest
from gevent.server import StreamServer

from ..errors import StoreAnswerLostError, StoreUnavailableError
from ..platform.store import PlatformStore

REVISION = b'{"revision": 7}'


@pytest.fixture
def connect():
    """Start a store that gives one answer to every call; return its client."""
    servers = []

    def _connect(status: str, body: bytes = REVISION, fields: str = ""):
        def _serve(sock, _) -> None:
            while sock.recv(65536):
                head = f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}"
                sock.sendall(head.encode() + b"\r\n\r\n" + body)

        servers.append(StreamServer(("127.0.0.1", 0), _serve))
        servers[-1].start()
        return PlatformStore(f"127.0.0.1:{servers[-1].server_port}")

    yield _connect
    for server in servers:
        server.stop(timeout=0)


@pytest.mark.parametrize(
    "status", ["000", "101", "103", "201", "204", "205", "301", "408", "500", "502"]
)
def test_write_with_an_odd_status_may_have_taken_effect(connect, status):
    with pytest.raises(StoreAnswerLostError):
        connect(status).put("key", b"value", expect=0)


@pytest.mark.parametrize(
    ("body", "fields"),
    [
        (b"", ""),
        (b"{}", ""),
        (b'{"revision": "x"}', ""),
        (REVISION, "Store-Era: x\r\n"),
        (REVISION, "Store-Era: " + "9" * 5000 + "\r\n"),
    ],
    ids=["empty", "no revision", "text", "odd era", "large era"],
)
def test_write_whose_answer_can_not_be_read_may_have_taken_effect(
    connect, body, fields
):
    with pytest.raises(StoreAnswerLostError):
        connect("200", body, fields).put("key", b"value", expect=0)


@pytest.mark.parametrize("status", ["400", "403", "429", "503"])
def test_refused_write_had_no_effect(connect, status):
    with pytest.raises(StoreUnavailableError):
        connect(status).put("key", b"value", expect=0)


@pytest.mark.parametrize("status", ["000", "101", "201", "204", "412", "500"])
def test_read_with_an_odd_status_is_no_answer(connect, status):
    with pytest.raises(StoreUnavailableError):
        connect(status).get("key")
