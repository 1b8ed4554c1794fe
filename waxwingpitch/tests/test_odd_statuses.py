"""Answers with a status that HTTP does not have, on all ways of an answer."""

from __future__ import annotations

import time

import gevent
import pytest
from gevent.server import StreamServer

from ..forwarding import AnswerReader, TargetBrokenError
from ..forwarding.exchange import send_request
from ..forwarding.relay import RelayListener
from ..forwarding.targets import open_socket
from ..ports.http import ConnectionLostError, HttpClient
from .fleet_fake import PAIR
from .gateway_client import call, chat, find_port, start_gateway, wait_for
from .platform_standin import PlatformFake, TargetFaults
from .test_begun_answers import begin_stream, check
from .test_links import REQUEST, build_pool

ODD = ("000", "099", "600", "999")
EVENTS = 8
# Time until a request whose only target answers oddly has its answer.
ANSWER_S = 1.0


def build_answer(status: str, request: str = "") -> bytes:
    """Return a whole answer that bears all that a valid one does."""
    return (
        f"HTTP/1.1 {status} Odd\r\nAttempt-Id: {request}\r\nResponse-Seal: seal.x\r\n"
        "Content-Length: 3\r\n\r\nodd"
    ).encode()


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
    wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
    yield daemon
    daemon.stop()


@pytest.fixture
def odd_target():
    """Addresses of targets that answer each request with an odd status."""
    servers = []

    def _start(status: str) -> str:
        def _serve(sock, _) -> None:
            while sock.recv(4096):
                sock.sendall(build_answer(status))

        servers.append(StreamServer(("127.0.0.1", 0), _serve))
        servers[-1].start()
        return f"127.0.0.1:{servers[-1].server_port}"

    yield _start
    for server in servers:
        server.stop(timeout=0)


@pytest.fixture
def relay():
    """Address of a peer that passes on what targets send."""
    port = find_port()
    listener = RelayListener(
        open_socket, lambda address: True, lambda: False, lambda address: True
    )
    listener.start("127.0.0.1", port)
    yield f"127.0.0.1:{port}"
    listener.stop()


@pytest.mark.parametrize("size", [1, 1000])
@pytest.mark.parametrize("status", ODD)
def test_bytes_with_an_odd_status_are_no_answer(status, size):
    reader = AnswerReader()
    data = build_answer(status)
    with pytest.raises(ValueError, match=status.lstrip("0") or "0"):
        for start in range(0, len(data), size):
            reader.feed(data[start : start + size])
    assert reader.head is None


@pytest.mark.parametrize("status", ODD)
def test_valid_answer_behind_one_with_an_odd_status_is_not_taken_for_it(status):
    reader = AnswerReader()
    with pytest.raises(ValueError):
        reader.feed(build_answer(status) + build_answer("200"))
    assert reader.head is None


@pytest.mark.parametrize("path", ["/file/x", "/read/x"])
@pytest.mark.parametrize("status", ODD)
def test_caller_of_a_call_does_not_get_an_odd_status(platform, gateway, status, path):
    """It gets an error of the gateway at once, as the request may have run."""

    def _script(sock, request: str) -> None:
        sock.sendall(build_answer(status, request))

    for target in platform.plain:
        platform.targets[target].faults = TargetFaults(script=_script)
    started_at = time.monotonic()
    answer = call(gateway.settings.front, path, f"c{status}{path[1:5]}")
    assert time.monotonic() - started_at < ANSWER_S
    assert answer.status == 502
    assert "response-seal" not in answer.headers


@pytest.mark.parametrize("begins", [False, True])
@pytest.mark.parametrize("status", ODD)
def test_stream_goes_on_elsewhere_after_an_odd_status(
    platform, gateway, status, begins
):
    def _script(sock, request: str) -> None:
        sock.sendall(build_answer(status, request))
        gevent.sleep(ANSWER_S)

    platform.stream_scripts = [*[begin_stream] * begins, _script]
    name = f"s{status}{begins}"
    started_at = time.monotonic()
    answer = chat(gateway.settings.front, name, model=PAIR.name, events=EVENTS)
    platform.stream_scripts = []
    assert answer.status == 200
    check(answer)
    if not begins:
        assert answer.is_complete and time.monotonic() - started_at < ANSWER_S


@pytest.mark.parametrize("status", ODD)
def test_odd_status_behind_a_peer_is_no_answer(relay, odd_target, status):
    conn = send_request(build_pool(relay), odd_target(status), REQUEST, timeout_s=1.0)
    with pytest.raises(TargetBrokenError):
        conn.read_head(time.monotonic() + ANSWER_S)
    conn.close()


@pytest.mark.parametrize("status", [*ODD, "103", "199"])
def test_odd_status_is_a_lost_connection_to_the_entry_daemon(odd_target, status):
    client = HttpClient(f"http://{odd_target(status)}")
    with pytest.raises(ConnectionLostError):
        client.send("GET", "/", timeout_s=ANSWER_S)
