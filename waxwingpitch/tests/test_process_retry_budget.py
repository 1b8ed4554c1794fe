"""The retry budget of gateways as processes that are killed or stopped in turn."""

from __future__ import annotations

import itertools
import math
import socket
import time
from collections import Counter

import gevent
import pytest
from gevent.event import Event

from .gateway_client import call
from .gateway_processes import GatewayProcess
from .platform_standin import PlatformFake

ZONES = ("z", "y", "x")
GATEWAYS = 6
RATIO, SLACK, WINDOW_S = 0.2, 20, 10.0
RUN_S = 22.0
REQUESTS_PER_S = 50
PAUSE_S = 1.0
# Log lines that show how an excess of retries was paid.
LOGGED = ("retries paid", "slots owned", "gateway started", "process stood still")

pytestmark = pytest.mark.processes


class ResettingTargets:
    """Plain targets in all zones that run each call and then reset its connection."""

    def __init__(self):
        self.platform = PlatformFake(size=0, plain=2 * len(ZONES))
        self.platform.configure()
        self.platform.plain_s = 0.005
        self.arrivals: list[tuple[float, str]] = []
        for number, target in enumerate(self.platform.plain):
            item = self.platform.targets[target]
            item.faults.script = self._reset
            entry = {
                "service": "plain",
                "address": item.address,
                "zone": ZONES[number % len(ZONES)],
                "version": "v1",
                "capacity": 6,
                "state": "ready",
                "seq": 9,
                "cold_left_ms": 0,
                "born": item.started_ms,
            }
            self.platform.store.write(f"servers/{target}", entry)

    def _reset(self, sock, request: str) -> None:
        self.arrivals.append((time.monotonic(), request))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        raise OSError("reset")

    def list_repeats(self) -> list[float]:
        """Return the times of arrivals beyond the first of each request."""
        seen: Counter[str] = Counter()
        repeats = []
        for at, request in self.arrivals:
            seen[request] += 1
            if seen[request] > 1:
                repeats.append(at)
        return repeats


@pytest.fixture
def targets():
    targets = ResettingTargets()
    yield targets
    targets.platform.stop()


@pytest.fixture
def gateways(targets, tmp_path):
    store = targets.platform.store.address
    found = [
        GatewayProcess(tmp_path, store, ZONES, number, SLACK)
        for number in range(GATEWAYS)
    ]
    try:
        for item in found:
            item.start(is_first=True)
        for item in found:
            item.wait_until_it_serves()
        gevent.sleep(2.0)
        yield found
    finally:
        for item in found:
            item.kill()


def replace_in_turn(gateways, end, stopped: Event) -> None:
    """End the gateways one after the other, both of a zone first, and start them."""
    order = [
        gateways[number + other]
        for number in range(len(ZONES))
        for other in range(0, GATEWAYS, len(ZONES))
    ]
    for item in itertools.cycle(order):
        if stopped.wait(PAUSE_S):
            return
        end(item)
        item.start(is_first=False)


def ask(gateways, request: str) -> None:
    """Ask one gateway after the other until one accepts the connection."""
    for item in gateways:
        try:
            call(item.front, "/read/x", request, deadline_ms=2000)
        except ConnectionRefusedError:
            continue
        except (OSError, IndexError):
            pass  # the gateway has just ended
        return


def count_most_over(repeats: list[float], asked: list[float]) -> tuple[int, float]:
    """Return the repeats in the worst window, and those that it allows."""

    def count(times, start, end) -> int:
        return sum(start < at <= end for at in times)

    worst = (0, math.inf)
    for end in repeats:
        start = end - WINDOW_S
        asks = max(
            count(asked, start - shift, end - shift)
            for shift in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        item = (count(repeats, start, end), RATIO * asks + SLACK)
        worst = max(worst, item, key=lambda item: item[0] - item[1])
    return worst


def print_budgets(gateways) -> None:
    """Print who owned slots and what retries were paid from, to trace an excess."""
    for item in gateways:
        for line in item.log.read_text().splitlines():
            if any(text in line for text in LOGGED):
                print(f"{item.name} {line}")


# Guards against a budget that starts anew with each owner of slots.
@pytest.mark.parametrize("how", ["none", "kill", "stop"])
def test_replaced_gateways_do_not_exceed_the_retry_budget(targets, gateways, how):
    ends = {"kill": GatewayProcess.kill, "stop": GatewayProcess.stop}
    stopped, replacing = Event(), None
    if how in ends:
        replacing = gevent.spawn(replace_in_turn, gateways, ends[how], stopped)
    asked, tasks = [], []
    until = time.monotonic() + RUN_S
    while time.monotonic() < until:
        first = len(asked) % GATEWAYS
        order = gateways[first:] + gateways[:first]
        tasks.append(gevent.spawn(ask, order, f"r{len(asked)}"))
        asked.append(time.monotonic())
        gevent.sleep(1 / REQUESTS_PER_S)
    # A greenlet that is killed while it starts a process would leave it behind.
    stopped.set()
    gevent.joinall([*tasks, *filter(None, [replacing])])
    repeats = targets.list_repeats()
    count, allowed = count_most_over(repeats, asked)
    print(f"{len(asked)} asked, {len(repeats)} repeats; {count} where {allowed:.0f}")
    if count > allowed:
        print_budgets(gateways)
    assert repeats
    assert count <= allowed
