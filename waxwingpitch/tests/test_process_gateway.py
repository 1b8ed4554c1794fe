"""The gateway as a process: settings file, graceful stop and logs."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import gevent
import pytest

from ..settings.gateway import Address
from ..telemetry.explain import explain, parse_lines
from .fleet_fake import PAIR
from .free_ports import find_port
from .gateway_client import Caller, call, chat
from .platform_standin import PlatformFake

ROOT = Path(__file__).parents[2]
START_S = 20.0

pytestmark = pytest.mark.processes

SETTINGS = """
node_name = "gw-1"
zone = "z"
bind_ip = "{ip}"
port_range = [{peers}, {peers}]
[zones]
z = "r"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.5
cpu_cores = 2
memory_mb = 300
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_period_s = 8
retry_ratio = 0.2
budget_slack = 100
budget_window_s = 10
cold_over = 1.5
cold_slack = 5
stall_ms = 6000
pass_ms = 120
[provider]
address = "{store}"
ttl_min_ms = 1000
"""


def find_loopback_ip(number: int = 0) -> str:
    """Return an address for a gateway of this run of the tests.

    The port for metrics is fixed, so that runs side by side need their own addresses.
    """
    run = os.getpid()
    return f"127.{number}.{run // 250 % 250 + 1}.{run % 250 + 1}"


def start(path: Path, output) -> subprocess.Popen:
    """Start a gateway process on a settings file."""
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "gevent.monkey",
            "--module",
            "waxwingpitch.gateway.main",
        ],
        cwd=ROOT,
        env={**os.environ, "WAXWINGPITCH_CONFIG": str(path)},
        stdout=output,
        stderr=subprocess.PIPE,
    )


@pytest.fixture
def platform():
    platform = PlatformFake(event_s=0.04)
    # Long latency objectives, so that delays on a busy machine do not look like
    # stalled targets.
    platform.configure(gap_aim_ms=3000, target_latency_ms=3000)
    yield platform
    platform.stop()


@pytest.fixture
def gateway(platform, tmp_path):
    """A running gateway: its process, its address for callers and its log."""
    front = find_port()
    path = tmp_path / "settings.toml"
    path.write_text(
        SETTINGS.format(
            ip=find_loopback_ip(),
            peers=find_port(),
            front=front,
            ready=find_port(),
            store=platform.store.address,
        )
    )
    log = tmp_path / "gateway.log"
    with log.open("wb") as output:
        process = start(path, output)
        address = Address("127.0.0.1", front)
        try:
            _wait_until_it_serves(address)
            yield process, address, log
        finally:
            if process.poll() is None:
                process.kill()
            process.wait(10)


def _wait_until_it_serves(address: Address) -> None:
    deadline = time.monotonic() + START_S
    while time.monotonic() < deadline:
        try:
            if chat(address, "probe", model=PAIR.name, events=1).status == 200:
                return
        except OSError:
            pass
        gevent.sleep(0.1)
    raise AssertionError(f"gateway answered no request within {START_S} s")


def _wait_for_line(log: Path, message: str) -> None:
    deadline = time.monotonic() + 2.0
    while time.monotonic() < deadline:
        if f'"message":"{message}"' in log.read_text():
            return
        gevent.sleep(0.005)
    raise AssertionError(f"no line {message!r} within 2 s")


def test_stop_cuts_nothing_off(platform, gateway):
    process, address, log = gateway
    streams = [Caller(address) for _ in range(8)]
    for number, caller in enumerate(streams):
        caller.send_chat(f"s{number}", model=PAIR.name, events=60)
    gevent.sleep(0.5)
    process.send_signal(signal.SIGTERM)
    _wait_for_line(log, "gateway stops")
    late = call(address, "/file/x", "late")
    assert late.status == 200
    assert late.headers["connection"] == "close"
    answers = [caller.read() for caller in streams]
    assert all(answer.is_complete for answer in answers)
    assert all(answer.events == list(range(1, 61)) for answer in answers)
    assert process.wait(9) == 0
    last = [json.loads(line) for line in log.read_text().splitlines()][-1]
    assert (last["message"], last["in_progress"]) == ("gateway stopped", 0)


def test_log_leads_from_an_id_to_its_cause(platform, gateway):
    process, address, log = gateway
    for target in platform.plain:
        platform.targets[target].faults.refuse = 99
    assert call(address, "/file/x", "lost-1").status == 503
    gevent.sleep(0.3)
    explanation = explain("lost-1", parse_lines("gw", log.read_text().splitlines()))
    messages = [line.message for line in explanation.decisions]
    assert messages[0] == "request placed"
    assert "attempt failed" in messages
    assert messages[-1] == "request refused"
    assert explanation.missing == {}


def test_wrong_setting_is_named(tmp_path):
    path = tmp_path / "settings.toml"
    text = SETTINGS.format(
        ip=find_loopback_ip(), peers=1, front=2, ready=3, store="here"
    )
    path.write_text(text)
    process = start(path, subprocess.DEVNULL)
    _, errors = process.communicate(timeout=START_S)
    assert process.returncode == 2
    line = errors.decode().strip()
    assert "provider.address" in line and "'here'" in line and "IP:port" in line


def test_requirements_of_the_build_are_the_packages_own():
    """The build script takes them from pyproject.toml, so that there is one list."""
    script = (ROOT / "deploy" / "build.sh").read_text()
    assert "pyproject.toml" in script
    assert not list((ROOT / "deploy").glob("*requirements*"))


def test_second_signal_does_not_cut_what_the_first_one_drains(platform, gateway):
    process, address, log = gateway
    caller = Caller(address)
    caller.send_chat("t1", model=PAIR.name, events=60)
    gevent.sleep(0.3)
    process.send_signal(signal.SIGTERM)
    gevent.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    answer = caller.read()
    assert answer.is_complete and answer.events == list(range(1, 61))
    assert process.wait(9) == 0


def test_hangup_cuts_no_request(platform, gateway):
    process, address, log = gateway
    kept, caller = Caller(address), Caller(address)
    kept.send("/file/x", "k1")
    assert kept.read().status == 200
    caller.send_chat("u1", model=PAIR.name, events=60)
    for _ in range(3):
        gevent.sleep(0.2)
        process.send_signal(signal.SIGHUP)
    kept.send("/file/x", "k2")
    assert kept.read().status == 200
    answer = caller.read()
    assert answer.is_complete and answer.events == list(range(1, 61))
    assert process.poll() is None


def test_kept_connections_lose_no_request_to_a_stop(platform, gateway):
    """Requests that the process read are answered, at whatever moment they come."""
    process, address, log = gateway
    platform.plain_s = 0.15
    lost = []

    def _call_again_and_again(caller: int) -> None:
        connection = None
        for number in range(60):
            request = f"v{caller}-{number}"
            try:
                connection = connection or Caller(address)
            except OSError:
                return
            try:
                connection.send("/file/x", request)
                answer = connection.read()
            except (OSError, IndexError):
                if platform.runs[request]:
                    lost.append(request)
                connection = None
                continue
            if not answer.is_complete:
                lost.append(request)
            if answer.headers.get("connection") == "close":
                connection = None
            gevent.sleep(0.037 * caller)

    callers = [gevent.spawn(_call_again_and_again, number) for number in range(8)]
    gevent.sleep(1.0)
    process.send_signal(signal.SIGTERM)
    assert process.wait(9) == 0
    gevent.joinall(callers, timeout=5.0)
    assert lost == []


def test_signal_while_a_process_starts_ends_it(platform, tmp_path):
    for number, delay_s in enumerate((0.5, 1.0, 1.5, 2.0)):
        path = tmp_path / f"{number}.toml"
        path.write_text(
            SETTINGS.format(
                ip=find_loopback_ip(),
                peers=find_port(),
                front=find_port(),
                ready=find_port(),
                store=platform.store.address,
            )
        )
        process = start(path, subprocess.DEVNULL)
        gevent.sleep(delay_s)
        process.send_signal(signal.SIGTERM)
        try:
            assert process.wait(8) in (0, -signal.SIGTERM)
        finally:
            process.kill()
            process.wait(5)
