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
from ..gateway.probing import fetch_report
from ..ports.http import ConnectionLostError, HttpClient
from .fleet_fake import PAIR
from .free_ports import find_port
from .gateway_client import call, chat, start_gateway, wait_for
from .platform_standin import PlatformFake, TargetFaults
from .test_begun_answers import begin_stream, check
from .test_links import REQUEST, build_pool

ODD = ("000", "099", "600", "999")
EVENTS = 8
# Protocols whose answers the parser takes too.
PROTOCOLS = ("HTTP/0.9", "HTTP/2.0", "RTSP/1.0", "ICE/1.0", "RTSP/1.1")
HINTS = b"HTTP/1.1 103 Early Hints\r\n\r\n"
# Time until a request whose only target answers oddly has its answer.
ANSWER_S = 1.0


def build_answer(status: str, request: str = "", protocol="HTTP/1.1") -> bytes:
    """Return a whole answer that bears all that a valid one does."""
    return (
        f"{protocol} {status} Odd\r\nAttempt-Id: {request}\r\nResponse-Seal: seal.x\r\n"
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


@pytest.mark.parametrize("size", [1, 1000])
@pytest.mark.parametrize("before", [b"", b"\r\n", HINTS], ids=["", "blank", "103"])
@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_answer_of_another_protocol_is_no_answer(protocol, before, size):
    reader = AnswerReader()
    data = before + build_answer("200", protocol=protocol)
    with pytest.raises(ValueError):
        for start in range(0, len(data), size):
            reader.feed(data[start : start + size])
    assert reader.head is None


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_answer_of_another_protocol_behind_an_answer_is_surplus(protocol):
    reader = AnswerReader()
    reader.feed(build_answer("200"))
    reader.feed(build_answer("200", protocol=protocol))
    assert reader.complete and reader.has_surplus_bytes


@pytest.mark.parametrize("path", ["/file/x", "/read/x"])
@pytest.mark.parametrize("protocol", PROTOCOLS[:3])
def test_caller_does_not_get_an_answer_of_another_protocol(
    platform, gateway, protocol, path
):
    def _script(sock, request: str) -> None:
        sock.sendall(build_answer("200", request, protocol))

    for target in platform.plain:
        platform.targets[target].faults = TargetFaults(script=_script)
    answer = call(gateway.settings.front, path, f"p{protocol[:4]}{path[1:5]}")
    assert answer.status == 502
    assert "response-seal" not in answer.headers


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


@pytest.mark.parametrize("status", [*ODD, "101", "200 in RTSP/1.0"])
def test_odd_status_is_no_proof_of_not_run(platform, gateway, status):
    status, _, protocol = status.partition(" in ")

    def _script(sock, request: str) -> None:
        answer = build_answer(status, request, protocol or "HTTP/1.1")
        sock.sendall(answer.replace(b"Response-Seal", b"Not-Executed"))

    for target in platform.plain:
        platform.targets[target].faults = TargetFaults(script=_script)
    name = f"n{status}{protocol[:4]}"
    assert call(gateway.settings.front, "/file/x", name).status == 502
    assert platform.runs[name] == 1


@pytest.mark.parametrize("is_sealed", [False, True])
@pytest.mark.parametrize("status", ["200", "202", "302"])
def test_status_of_no_refusal_is_no_proof_of_not_run(
    platform, gateway, status, is_sealed
):
    def _script(sock, request: str) -> None:
        fields = b"Not-Executed: 1\r\n" + b"Response-Seal: seal.x\r\n" * is_sealed
        answer = build_answer(status, request)
        sock.sendall(answer.replace(b"Response-Seal: seal.x\r\n", fields))

    for target in platform.plain:
        platform.targets[target].faults = TargetFaults(script=_script)
    name = f"r{status}{is_sealed}"
    answer = call(gateway.settings.front, "/file/x", name)
    assert answer.status == (int(status) if is_sealed else 502)
    assert platform.runs[name] == 1


def test_interim_answer_is_no_proof_of_not_run(platform, gateway):
    def _script(sock, request: str) -> None:
        fields = b"Not-Executed: 1\r\nAttempt-Id: %s\r\n" % request.encode()
        sock.sendall(b"HTTP/1.1 103 Early\r\n" + fields + b"\r\n")
        sock.sendall(build_answer("503", request).replace(b"-Seal", b"-Other"))

    for target in platform.plain:
        platform.targets[target].faults = TargetFaults(script=_script)
    assert call(gateway.settings.front, "/file/x", "interim-1").status == 502
    assert platform.runs["interim-1"] == 1


def test_interim_answers_without_end_are_a_failure(platform, gateway):
    def _script(sock, request: str) -> None:
        sock.sendall(HINTS * 4000)

    for target in platform.plain:
        platform.targets[target].faults = TargetFaults(script=_script)
    started_at = time.monotonic()
    assert call(gateway.settings.front, "/file/x", "interim-2").status == 502
    assert time.monotonic() - started_at < ANSWER_S


def test_interim_answers_now_and_then_are_no_progress(platform, gateway):
    """The call ends at its deadline, and the stream goes on elsewhere."""

    def _script(sock, request: str) -> None:
        for _ in range(20):
            sock.sendall(HINTS)
            gevent.sleep(0.2)

    for target in platform.plain:
        platform.targets[target].faults = TargetFaults(script=_script)
    started_at = time.monotonic()
    options = {"deadline_ms": 1000}
    assert call(gateway.settings.front, "/file/x", "slow-1", **options).status == 504
    assert time.monotonic() - started_at < 1.0 + ANSWER_S
    platform.stream_scripts = [_script]
    answer = chat(gateway.settings.front, "slow-2", model=PAIR.name, events=EVENTS)
    assert answer.is_complete
    check(answer)


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


@pytest.mark.parametrize("status", [*ODD, "101"])
def test_target_that_reports_with_an_odd_status_has_not_ended(
    gateway, odd_target, status
):
    address = odd_target(status)
    with pytest.raises(ValueError):
        fetch_report(gateway.pool, "t", address)
    assert not gateway._has_ended("t", address)
    assert gateway._is_reachable("t", address)


@pytest.mark.parametrize("status", [*ODD, "103", "199"])
def test_odd_status_is_a_lost_connection_to_the_entry_daemon(odd_target, status):
    client = HttpClient(f"http://{odd_target(status)}")
    with pytest.raises(ConnectionLostError):
        client.send("GET", "/", timeout_s=ANSWER_S)
