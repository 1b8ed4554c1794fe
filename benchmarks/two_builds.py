"""An older and the present build side by side, while hosts are replaced in turn.

Builds a commit of the repository's history in a temporary folder and starts three
gateways of it as processes, before the stand-ins of the platform on loopback. Replaces
them one after the other by gateways of the present build, then back, under load, with a
configuration a second that adds a key and with targets that state rates. Prints the
calls by status, those that ran twice or ran and were refused as not run, the streams
that were not complete, the calls that were denied though their key had been confirmed
for longer than operators allow, and the links that gateways closed for a message.

Command: python -m gevent.monkey --module benchmarks.two_builds COMMIT [--seconds N]
"""

from __future__ import annotations

import argparse
import itertools
import json
import os
import signal
import subprocess
import sys
import tarfile
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from io import BytesIO
from pathlib import Path

import gevent

from waxwingpitch.settings.gateway import Address
from waxwingpitch.tests.fleet_fake import PAIR
from waxwingpitch.tests.gateway_client import call, chat, find_port, wait_for
from waxwingpitch.tests.platform_standin import PlatformFake, TargetFaults
from waxwingpitch.tests.test_process_gateway import SETTINGS
from waxwingpitch.tests.test_rate_limits import answer_with_limit

ROOT = Path(__file__).parents[1]
GATEWAYS = 3
CALLERS = 12
# Time in which operators expect a configuration to be in force.
CONFIGURATION_S = 2.0
CONFIGURE_INTERVAL_S = 1.0
START_S = 30.0
STOP_S = 12.0
PROMISES = (408, 421, 429, 503)
KEPT_KEYS = 8
# Requests a second that each plain target states as its limit.
STATED_PER_S = "40"


@dataclass
class Host:
    """One host: its settings file, log and the process that runs there."""

    number: int
    folder: Path
    store: str
    process: subprocess.Popen | None = None

    def __post_init__(self):
        ip = f"127.0.3.{self.number}"
        self.front = Address(ip, find_port())
        base = find_port()
        text = SETTINGS.format(
            ip=ip,
            peers=base,
            front=self.front.port,
            ready=find_port(),
            store=self.store,
        )
        text = text.replace("gw-1", f"gw-{self.number}").replace(
            f"[{base}, {base}]", f"[{base}, {base + 1}]"
        )
        store = f'address = "{self.store}"'
        text = text.replace(store, "STORE").replace("127.0.0.1", ip)
        self.path.write_text(text.replace("STORE", store))

    @property
    def path(self) -> Path:
        return self.folder / f"{self.number}.toml"

    @property
    def log(self) -> Path:
        return self.folder / f"{self.number}.log"

    def start(self, build: Path) -> None:
        """Start a gateway of the build in a folder, and wait until it serves."""
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "gevent.monkey",
                    "--module",
                    "waxwingpitch.gateway.main",
                ],
                cwd=build,
                env={
                    **os.environ,
                    "PYTHONPATH": str(build),
                    "WAXWINGPITCH_CONFIG": str(self.path),
                },
                stdout=output,
                stderr=output,
            )
        wait_for(self._serves, START_S)

    def stop(self) -> None:
        """Stop the process as the platform does, and wait for its end."""
        self.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_S
        while self.process.poll() is None and time.monotonic() < deadline:
            gevent.sleep(0.05)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def _serves(self) -> bool:
        try:
            return call(self.front, "/read/x", "probe").status == 200
        except (OSError, IndexError):
            return False


@dataclass
class Load:
    """Callers, and what they got.

    Attributes
    ----------
    confirmed_at
        Monotonic time at which the store had the configuration with a key, by key.
    """

    platform: PlatformFake
    hosts: list[Host]
    statuses: dict[str, int] = field(default_factory=dict)
    denied: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    confirmed_at: dict[str, float] = field(default_factory=dict)
    numbers: itertools.count = field(default_factory=itertools.count)

    def run(self) -> None:
        """Make calls and streams in turn until the greenlet is killed."""
        while True:
            number = next(self.numbers)
            host = self.hosts[number % len(self.hosts)]
            try:
                self._ask(host, f"r{number}", number % 3 == 0)
            except (OSError, IndexError):
                self.statuses[f"r{number}"] = 0  # refused or closed while replaced
            gevent.sleep(0.05)

    def configure(self) -> None:
        """Write a configuration with another key each second."""
        keys = []
        for number in itertools.count():
            keys = [*keys, f"key-new-{number}"][-KEPT_KEYS:]
            self.platform.configure(keys=("key-1", *keys))
            self.confirmed_at[keys[-1]] = time.monotonic()
            gevent.sleep(CONFIGURE_INTERVAL_S)

    def _ask(self, host: Host, name: str, is_stream: bool) -> None:
        now = time.monotonic()
        known = [
            key for key, at in self.confirmed_at.items() if now - at > CONFIGURATION_S
        ]
        key = known[-1] if known else "key-1"
        if is_stream:
            answer = chat(host.front, name, model=PAIR.name, events=6, key=key)
            if answer.status == 200 and answer.events != [1, 2, 3, 4, 5, 6]:
                self.broken.append(name)
        else:
            answer = call(host.front, "/file/x", name, key=key)
        self.statuses[name] = answer.status
        if answer.status in (401, 403, 404):
            self.denied.append(name)


def build_commit(commit: str, folder: Path) -> Path:
    """Lay a commit of the repository's history out in a folder."""
    data = subprocess.run(
        ["git", "archive", commit], cwd=ROOT, check=True, capture_output=True
    ).stdout
    with tarfile.open(fileobj=BytesIO(data)) as archive:
        archive.extractall(folder, filter="data")
    return folder


def replace_in_turn(hosts: list[Host], build: Path, pause_s: float) -> None:
    """Replace the gateways one after the other by those of a build."""
    for host in hosts:
        host.stop()
        host.start(build)
        gevent.sleep(pause_s)


def count_lines(hosts: list[Host], message: str) -> int:
    """Return how often the gateways logged a message."""
    return sum(
        f'"message":{json.dumps(message)}' in line
        for host in hosts
        for line in host.log.read_text().splitlines()
    )


def main() -> None:
    """Play the replacement and print what it cost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("commit")
    parser.add_argument("--seconds", type=float, default=4.0, help="between hosts")
    args = parser.parse_args()
    platform = PlatformFake(plain=3)
    platform.configure()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        older = build_commit(args.commit, folder / "older")
        hosts = [
            Host(n, folder, platform.store.address) for n in range(1, GATEWAYS + 1)
        ]
        load = Load(platform, hosts)
        tasks = []
        try:
            for host in hosts:
                host.start(older)
            tasks = [gevent.spawn(load.configure)]
            tasks += [gevent.spawn(load.run) for _ in range(CALLERS)]
            for target in platform.plain:
                script = answer_with_limit({"limit": [STATED_PER_S]}, [])
                platform.targets[target].faults = TargetFaults(script=script)
            gevent.sleep(2 * CONFIGURATION_S)
            replace_in_turn(hosts, ROOT, args.seconds)
            replace_in_turn(hosts, older, args.seconds)
        finally:
            gevent.killall(tasks)
            for host in hosts:
                if host.process is not None:
                    host.stop()
        _print_result(args.commit, platform, hosts, load)
    platform.stop()


def _print_result(commit, platform, hosts, load: Load) -> None:
    calls = {name: status for name, status in load.statuses.items() if status}
    twice = [name for name in load.statuses if platform.runs[name] > 1]
    false = [
        name
        for name, status in calls.items()
        if status in PROMISES and platform.runs[name]
    ]
    closed = count_lines(hosts, "malformed mesh message; closing the link")
    print(f"commit {commit}: statuses {dict(Counter(load.statuses.values()))}")
    print(f"ran twice {len(twice)}, refused though run {len(false)}")
    print(f"streams not complete {len(load.broken)}, denied {len(load.denied)}")
    print(f"links closed for a message {closed}")


if __name__ == "__main__":
    main()
