"""A gateway process whose targets answer many requests without end, all at once."""

from __future__ import annotations

import _socket
import os
import time
from collections import Counter

import gevent
import pytest

from .endless_source import send_without_end
from .gateway_client import call
from .gateway_processes import GatewayProcess
from .platform_standin import PlatformFake, _send

ENDLESS = 120
TARGETS = 24
MEMORY_MB = 300
RUN_S = 8.0
HEAD = b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: "
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

pytestmark = pytest.mark.processes


def read_peak_mb(pid: int) -> float:
    """Return the highest resident memory of a process so far."""
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


@pytest.fixture
def platform():
    platform = PlatformFake(size=0, plain=TARGETS)
    platform.configure(max_attempts=1)
    yield platform
    platform.stop()


@pytest.fixture
def gateway(platform, tmp_path):
    gateway = GatewayProcess(tmp_path, platform.store.address, ("z",), 0, 20)
    gateway.start(is_first=True)
    gateway.wait_until_it_serves()
    gevent.sleep(1.0)
    yield gateway
    gateway.kill()


# Guards against a process that ends with all its callers' requests, as the answers of
# faulty targets have a limit each and none together.
@pytest.mark.parametrize(
    ("first", "data"),
    [
        (b"\r\n", b"d" * 4096),
        (b"Content-Length: 999999999999\r\n\r\n", b"d" * 4096),
        (CHUNKED, b"1\r\nd\r\n" * 700),
        (CHUNKED + b"1;", b"e" * 4096),
        (b"", b"x: y\r\n" * 700),
        (CHUNKED + b"0\r\n", b"x: y\r\n" * 700),
    ],
    ids=["unframed", "length", "small chunks", "extension", "head", "trailers"],
)
def test_many_answers_without_end_stay_within_the_memory(
    platform, gateway, first, data
):
    threads = []

    def answer(sock, request: str) -> None:
        if not request.startswith("endless"):
            names = {"Response-Seal": "s", "Attempt-Id": request}
            _send(sock, 200, names, b"whole")
            return
        sock.sendall(HEAD + request.encode() + b"\r\n" + first)
        own = _socket.socket(fileno=os.dup(sock.fileno()))
        threads.append(request)
        send_without_end(own, data)
        raise OSError("a thread goes on")

    for target in platform.plain:
        platform.targets[target].faults.script = answer

    def ask(request: str) -> int | None:
        try:
            return call(gateway.front, "/read/x", request, deadline_ms=4000).status
        except (OSError, IndexError):
            return None

    flooded = [gevent.spawn(ask, f"endless-{number}") for number in range(ENDLESS)]
    until = time.monotonic() + RUN_S
    others: Counter[int | None] = Counter()
    while time.monotonic() < until:
        others[ask(f"sound-{others.total()}")] += 1
        gevent.sleep(0.1)
    gevent.joinall(flooded)
    peak_mb = read_peak_mb(gateway.pid)
    ends = Counter(one.value for one in flooded)
    print(f"{len(threads)} begun, {peak_mb:.0f} MB; flooded {ends}, others {others}")
    assert len(threads) > ENDLESS / 2
    assert peak_mb < MEMORY_MB / 2
    assert others[200] >= 0.9 * others.total()
    assert ends.keys() <= {502, 503, 504}
