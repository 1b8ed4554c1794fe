"""The server of the product's own interface, while it stops."""

from __future__ import annotations

import socket

import gevent
import pytest

from ..http_server import HttpServer
from .cluster import wait_until

ANSWER = b"x" * 16_000_000


@pytest.fixture
def server():
    def _app(environ, start_response):
        environ["wsgi.input"].read()
        body = ANSWER if environ["PATH_INFO"] == "/long" else b"done"
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    server = HttpServer("127.0.0.1", 0, _app)
    server.start()
    yield server
    server.stop(timeout=0.1)


@pytest.fixture
def sock(server):
    with socket.create_connection(server.address, timeout=5.0) as sock:
        yield sock


def read_all(sock: socket.socket) -> bytes:
    """Return what arrives until the server closes the connection."""
    return b"".join(iter(lambda: sock.recv(1_000_000), b""))


def test_request_is_in_progress_while_its_body_arrives(server, sock):
    sock.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
    wait_until(lambda: server.in_progress == 1, 2.0)
    server.is_stopping = True
    sock.sendall(b"cd")
    assert read_all(sock).endswith(b"\r\n\r\ndone")
    wait_until(lambda: server.in_progress == 0, 2.0)


def test_request_is_in_progress_until_its_caller_has_read_the_answer(server, sock):
    server.is_stopping = True
    sock.sendall(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
    gevent.sleep(0.2)
    assert server.in_progress == 1
    assert read_all(sock).endswith(ANSWER)
    wait_until(lambda: server.in_progress == 0, 2.0)


def test_answer_says_that_its_connection_ends_while_the_server_stops(server, sock):
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    sock.sendall(request)
    assert b"connection: close" not in sock.recv(1000).lower()
    server.is_stopping = True
    sock.sendall(request)
    assert b"connection: close" in read_all(sock).lower()
