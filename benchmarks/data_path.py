"""Cost of the data path: latency through an entry host and directly to an engine.

Each round runs both in turn, so that noise on the machine affects both alike.

Command: python -m benchmarks.data_path
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from waxwingpitch.ports import GenerateRequest, HttpModelTarget  # noqa: E402
from waxwingpitch.standins import EnginePerformance  # noqa: E402
from waxwingpitch.tests.cluster import Cluster, wait_until  # noqa: E402

STREAMS = (4, 16, 48)
ANSWER_TOKENS = 150
STEP_S = 0.02
ROUNDS = 2
MAX_LATENCY_US = 60_000_000


class TokenTimes:
    """First-token and between-token times on one path."""

    def __init__(self):
        self.first = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.between = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.tokens = 0

    def run(self, read: Callable[[], object]) -> None:
        """Record the times between the chunks of one answer."""
        last_at = time.monotonic()
        first = True
        for _ in read():
            now = time.monotonic()
            histogram = self.first if first else self.between
            histogram.record_value(max(1, int((now - last_at) * 1e6)))
            last_at, first = now, False
            self.tokens += 1

    def describe(self) -> str:
        """Return the median and the 95th percentile of both, in milliseconds."""
        parts = []
        for histogram in (self.first, self.between):
            for percentile in (50, 95):
                value = histogram.get_value_at_percentile(percentile)
                parts.append(f"{value / 1000:7.2f}")
        return " ".join(parts)


def read_direct(cluster: Cluster, number: int):
    """Yield the chunks of an answer directly from an engine."""
    engine = cluster.engines("dar-a")[number % 4]
    client = HttpModelTarget(engine.address)
    req = GenerateRequest(
        f"direct-{number}-{time.monotonic_ns()}",
        1,
        engine.group,
        engine.epoch,
        "somo",
        f"user: direct {number}",
        ANSWER_TOKENS,
    )
    yield from client.generate(req, progress_timeout_s=10.0)


def read_through_entry(cluster: Cluster, number: int):
    """Yield events that carry content, through the entry daemon."""
    resp = cluster.entries[0].chat(
        f"direct {number}", stream=True, max_tokens=ANSWER_TOKENS, preload_content=False
    )
    partial_event = b""
    for chunk in resp.stream(65536):
        *events, partial_event = (partial_event + chunk).split(b"\n\n")
        yield from (event for event in events if b'"content":"' in event[60:])
    resp.release_conn()


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(cluster: Cluster, streams: int) -> None:
    """Measure both paths in turn; print their latencies and the entry's CPU use."""
    paths = {
        "direct": (read_direct, TokenTimes()),
        "entry": (read_through_entry, TokenTimes()),
    }
    cpu_s = wall_s = 0.0
    for _ in range(ROUNDS):
        for name, (read, token_times) in paths.items():
            before, started_at = read_cpu_s(cluster.entries[0].pid), time.monotonic()
            jobs = [
                gevent.spawn(token_times.run, lambda n=n, r=read: r(cluster, n))
                for n in range(streams)
            ]
            gevent.joinall(jobs, raise_error=True)
            if name == "entry":
                cpu_s += read_cpu_s(cluster.entries[0].pid) - before
                wall_s += time.monotonic() - started_at
    for name, (_, token_times) in paths.items():
        print(f"{streams:7} {name:7} {token_times.describe()}")
    tokens = streams * ANSWER_TOKENS * ROUNDS
    print(
        f"{streams:7} entry: {cpu_s * 1e6 / tokens:.0f} us a token, "
        f"{tokens / wall_s:.0f} tokens/s, {cpu_s / wall_s * 100:.0f}% of a core"
    )


def main() -> None:
    """Print the lines of each number of streams."""
    print("python -m benchmarks.data_path")
    print("streams way     first-p50 first-p95 between-p50 between-p95 (ms)")
    performance = EnginePerformance(step_s=STEP_S, cold_s=0.1, batch=64)
    with Cluster(engines=4, entries=1, performance=performance) as cluster:
        cluster.wait_usable(4)
        entry = cluster.entries[0]
        wait_until(lambda: not any(t["cold"] for t in entry.usable()))
        for streams in STREAMS:
            measure(cluster, streams)


if __name__ == "__main__":
    main()
