"""Answers whose status allows no body, as callers read them byte by byte."""

from __future__ import annotations

import socket

import gevent
import pytest

from ..forwarding import AnswerReader
from .fleet_fake import PAIR
from .gateway_client import Caller, chat, start_gateway, wait_for
from .platform_standin import PlatformFake
from .test_begun_answers import EVENTS, answer_with, begin_stream, check

BODILESS = {
    "204": answer_with("204 No Content", b"\r\n"),
    "204 with a length": answer_with("204 No Content", b"Content-Length: 3\r\n\r\nodd"),
    "204 in chunks": answer_with(
        "204 No Content", b"Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n"
    ),
    "205": answer_with("205 Reset Content", b"Content-Length: 0\r\n\r\n"),
}


@pytest.fixture(scope="module")
def platform():
    platform = PlatformFake(size=8, models=(PAIR,))
    platform.configure()
    yield platform
    platform.stop()


@pytest.fixture(scope="module")
def gateway(platform):
    daemon = start_gateway(platform.store.address)
    wait_for(lambda: len(daemon.view.find_replicas("pool", PAIR.name)) == 4)
    yield daemon
    daemon.stop()


def read_all(sock: socket.socket) -> bytes:
    """Return all that arrives until the gateway has been quiet for a moment."""
    data = b""
    sock.settimeout(0.5)
    try:
        while part := sock.recv(65536):
            data += part
    except TimeoutError:
        gevent.sleep(0)
    return data


@pytest.mark.parametrize("answer", list(BODILESS))
def test_nothing_follows_the_head_of_a_stream_without_a_body(platform, gateway, answer):
    platform.stream_scripts = [BODILESS[answer]]
    caller = Caller(gateway.settings.front)
    name = f"n-{answer}".replace(" ", "-")
    caller.send_chat(name, model=PAIR.name, events=EVENTS)
    head, _, rest = read_all(caller.sock).partition(b"\r\n\r\n")
    caller.close()
    assert head.startswith(b"HTTP/1.1 %s " % answer[:3].encode())
    assert b"seal.x" in head
    assert b"chunked" not in head
    assert rest == b""


@pytest.mark.parametrize("times", [1, 8])
@pytest.mark.parametrize("answer", list(BODILESS))
def test_begun_stream_does_not_end_with_an_answer_without_a_body(
    platform, gateway, answer, times
):
    platform.stream_scripts = [begin_stream, *[BODILESS[answer]] * times]
    name = f"b-{answer}-{times}".replace(" ", "-")
    result = chat(gateway.settings.front, name, model=PAIR.name, events=EVENTS)
    platform.stream_scripts = []
    check(result)


@pytest.mark.parametrize("status", ["204", "304"])
@pytest.mark.parametrize(
    ("field", "is_reusable"),
    [
        ("Content-Length: 3", False),
        ("Transfer-Encoding: chunked", False),
        ("Content-Length: 0", True),
        ("X: y", True),
    ],
)
def test_connection_on_which_a_body_may_follow_is_not_used_again(
    status, field, is_reusable
):
    reader = AnswerReader()
    reader.feed(f"HTTP/1.1 {status} Odd\r\n{field}\r\n\r\n".encode())
    assert reader.complete
    assert reader.keep_alive == is_reusable
