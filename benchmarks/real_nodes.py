"""Processor time, memory and mesh traffic of real, idle entry daemons.

Gives figures from small fleets to compare with those of control_slopes.

Command: python -m benchmarks.real_nodes
"""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402

from waxwingpitch.tests.cluster import Cluster  # noqa: E402

SIZES = (2, 4, 8)
ENGINES = 20
ZONES = ("dar-a", "dar-b")
DURATION_S = 8.0
IMPORTS = {
    "interpreter": "",
    "pass-through": "import gevent.pywsgi, bottle, urllib3",
    "with mesh": "import gevent.pywsgi, bottle, urllib3, websockets.sync.server, cbor2",
    "whole daemon": "import waxwingpitch.entry.main",
}


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of one process since its start."""

    cpu_s: float
    resident_kb: int
    messages: int
    sent_bytes: int


def read_usage(entry) -> Usage:
    """Read the usage of an entry daemon."""
    with open(f"/proc/{entry.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    peers = entry.dump()["peers"]
    return Usage(
        ticks / os.sysconf("SC_CLK_TCK"),
        read_resident_kb(entry.pid),
        peers["sent_messages"],
        peers["sent_bytes"],
    )


def read_resident_kb(pid: int | str) -> int:
    """Read the resident memory of a process."""
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return int(line.split()[1])


def measure_imports() -> None:
    """Print the resident memory after the imports of each kind of process."""
    print_rss = (
        "print(next(x for x in open('/proc/self/status') if 'VmRSS' in x).split()[1])"
    )
    for name, code in IMPORTS.items():
        patch = "from gevent import monkey; monkey.patch_all(); " if code else ""
        completed = subprocess.run(
            [sys.executable, "-c", f"{patch}{code}\n{print_rss}"],
            capture_output=True,
            text=True,
            check=True,
        )
        print(f"{name:13} {int(completed.stdout) / 1024:6.1f} MB")


def measure_nodes(count: int) -> None:
    """Print the mean usage of idle entry daemons."""
    with Cluster(
        zones=ZONES, engines=ENGINES // 2, entries=count // 2, hosts_per_replica=2
    ) as cluster:
        cluster.wait_usable(ENGINES // 2)
        gevent.sleep(2.0)
        before = [read_usage(entry) for entry in cluster.entries]
        gevent.sleep(DURATION_S)
        after = [read_usage(entry) for entry in cluster.entries]
        observed = sum(len(entry.dump()["observes"]) for entry in cluster.entries)
    pairs = list(zip(before, after))
    cpu = (
        sum(end.cpu_s - start.cpu_s for start, end in pairs) / count / DURATION_S * 100
    )
    messages = (
        sum(end.messages - start.messages for start, end in pairs) / count / DURATION_S
    )
    sent = (
        sum(end.sent_bytes - start.sent_bytes for start, end in pairs)
        / count
        / DURATION_S
    )
    resident = sum(usage.resident_kb for usage in after) / count / 1024
    print(
        f"{count:5} {observed / count:8.1f} {cpu:6.2f} {messages:10.1f} "
        f"{sent / 1000:8.2f} {resident:7.1f}"
    )


def main() -> None:
    """Print both tables."""
    print("python -m benchmarks.real_nodes")
    measure_imports()
    print("nodes observed core-% messages/s payload-KB/s MB")
    for count in SIZES:
        measure_nodes(count)


if __name__ == "__main__":
    main()
