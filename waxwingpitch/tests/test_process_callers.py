"""A gateway process whose callers send much that is legal and end no request."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable, Iterable

import gevent
import pytest

from .gateway_client import call, wait_for
from .gateway_processes import GatewayProcess
from .platform_standin import PlatformFake
from .test_process_endless_bytes import read_peak_mb

# Memory and descriptors of the smallest hosts, the latter lowered so that few callers
# reach the limit.
MEMORY_MB = 152
MAX_FDS = 400
# Descriptors that hosts reserve for files.
RESERVED_FDS = 200
# The rest is for what the process does beside its callers' requests.
MAX_PEAK_SHARE = 0.8
HEAD_BYTES = 64 * 1024
BODY_BYTES = 4 * 1024 * 1024
LIMITS = {"max_header_bytes": HEAD_BYTES, "max_body_bytes": BODY_BYTES}
MANY_CALLERS = 220
CALLERS = 40
# Time for which callers that have sent all stay open, below the time-outs in force.
OPEN_S = 1.5
SEND_TIMEOUT_S = 4.0
PIECE_BYTES = 64 * 1024

HEAD = (
    b"POST /read/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd-%d\r\n"
    b"Authorization: Bearer key-1\r\nDeadline-Ms: 4000\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

pytestmark = pytest.mark.processes


def send_short_lines(number: int) -> Iterable[bytes]:
    """Yield a head of short lines whose end is missing."""
    head = HEAD % number
    yield head + b"ab:cd\r\n" * ((HEAD_BYTES - len(head) - 100) // 7)


def send_odd_lines(number: int) -> Iterable[bytes]:
    """Yield a head of odd lines, all different, and a body whose end is missing."""
    head = HEAD % number + b"Content-Length: 4\r\n"
    odd = [b"!%x:\t\xff%x\r\n" % (line, line) for line in range(4096)]
    while sum(map(len, odd)) > HEAD_BYTES - len(head) - 100:
        odd.pop()
    yield head + b"".join(odd) + b"\r\nabc"


def send_trailers(number: int) -> Iterable[bytes]:
    """Yield a chunked body, and eight times as many trailers as a head may have."""
    yield HEAD % number + CHUNKED + b"1\r\nx\r\n0\r\n"
    for _ in range(8):
        yield b"x: y\r\n" * (HEAD_BYTES // 6)


def send_whole_body(number: int) -> Iterable[bytes]:
    """Yield a whole request with the longest body."""
    yield HEAD % number + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    yield b"d" * BODY_BYTES


def send_pieces(number: int) -> Iterable[bytes]:
    """Yield the longest body, in pieces, but for its last byte."""
    yield HEAD % number + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield b"d" * PIECE_BYTES
    yield b"d" * (PIECE_BYTES - 1)


def send_small_chunks(number: int) -> Iterable[bytes]:
    """Yield a quarter of the longest body in chunks of 16 bytes, without an end."""
    yield HEAD % number + CHUNKED
    for _ in range(BODY_BYTES // 4 // PIECE_BYTES):
        yield (b"10\r\n" + b"d" * 16 + b"\r\n") * (PIECE_BYTES // 16)


@pytest.fixture
def platform():
    platform = PlatformFake(size=0, plain=2)
    platform.plain_s = 1.0
    platform.configure(limits=LIMITS)
    yield platform
    platform.stop()


@pytest.fixture
def gateway(platform, tmp_path):
    gateway = GatewayProcess(
        tmp_path,
        platform.store.address,
        ("z",),
        0,
        20,
        memory_mb=MEMORY_MB,
        max_fds=MAX_FDS,
    )
    gateway.start(is_first=True)
    gateway.wait_until_it_serves()
    wait_for(lambda: ask(gateway, "before") == 200)
    yield gateway
    gateway.kill()


def ask(gateway: GatewayProcess, request: str) -> int | None:
    """Return the status of an ordinary request; None if there was no answer."""
    try:
        return call(gateway.front, "/read/x", request).status
    except (OSError, IndexError):
        return None


def send_and_stay(
    gateway: GatewayProcess, pieces: Iterable[bytes], until: float
) -> bytes:
    """Send all, unless the gateway closes; return what it answered meanwhile."""
    answer = b""
    address = (gateway.front.host, gateway.front.port)
    with socket.create_connection(address, SEND_TIMEOUT_S) as sock:
        try:
            for piece in pieces:
                sock.sendall(piece)
        except OSError:
            return answer
        try:
            sock.settimeout(max(0.1, until - time.monotonic()))
            answer = sock.recv(4096)
            gevent.sleep(max(0.0, until - time.monotonic()))
        except OSError:
            pass  # nothing was answered, or the gateway reset the connection
    return answer


def send_safely(gateway: GatewayProcess, pieces: Iterable[bytes], until: float):
    try:
        return send_and_stay(gateway, pieces, until)
    except OSError:
        return None  # not accepted


def count_descriptors(gateway: GatewayProcess) -> int:
    return len(os.listdir(f"/proc/{gateway.pid}/fd"))


# Guards against a process that uses up its memory or its descriptors for callers whose
# requests are each within the limits, or that serves nobody after them.
@pytest.mark.parametrize(
    ("build", "callers"),
    [
        (send_short_lines, MANY_CALLERS),
        (send_odd_lines, MANY_CALLERS),
        (send_trailers, CALLERS),
        (send_whole_body, CALLERS),
        (send_pieces, CALLERS),
        (send_small_chunks, CALLERS),
    ],
    ids=["short lines", "odd lines", "trailers", "bodies", "pieces", "small chunks"],
)
def test_callers_do_not_use_up_a_process(
    gateway, build: Callable[[int], Iterable[bytes]], callers: int
):
    until = time.monotonic() + OPEN_S
    crowd = [
        gevent.spawn(send_safely, gateway, build(number), until)
        for number in range(callers)
    ]
    descriptors = 0
    while not all(one.ready() for one in crowd):
        descriptors = max(descriptors, count_descriptors(gateway))
        gevent.sleep(0.05)
    wait_for(lambda: ask(gateway, f"after-{time.monotonic()}") == 200)
    peak_mb = read_peak_mb(gateway.pid)
    print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
    assert peak_mb < MEMORY_MB * MAX_PEAK_SHARE
    assert descriptors < MAX_FDS - RESERVED_FDS
