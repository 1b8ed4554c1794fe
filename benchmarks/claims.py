"""Calls to the key-value service per non-idempotent call, by call rate.

Command: python -m benchmarks.claims
"""

from __future__ import annotations

import time

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402

from waxwingpitch.tests.cluster import Cluster  # noqa: E402

RATES_PER_S = (1, 10, 100)
DURATION_S = 8.0
ENTRY_HOSTS = 4


def measure(cluster: Cluster, rate: int) -> None:
    """Send calls at a rate and print the store's reads and writes per call."""
    before, started_at = dict(cluster.store.calls), time.monotonic()
    jobs = []
    count = int(rate * DURATION_S)
    for number in range(count):
        due_at = started_at + number / rate
        gevent.sleep(max(0.0, due_at - time.monotonic()))
        entry = cluster.entries[number % ENTRY_HOSTS]
        jobs.append(gevent.spawn(entry.mark, f"m{rate}-{number}"))
    gevent.joinall(jobs)
    gevent.sleep(0.5)
    took_s = time.monotonic() - started_at
    served = sum(job.successful() and job.value.status == 200 for job in jobs)
    calls = {
        kind: cluster.store.calls[kind] - before.get(kind, 0)
        for kind in ("read", "write", "limited")
    }
    idle_calls = {
        "read": cluster.idle_calls_per_s["read"] * took_s,
        "write": cluster.idle_calls_per_s["write"] * took_s,
    }
    print(
        f"{rate:7} {served:6}/{count:<6} "
        f"{(calls['write'] - idle_calls['write']) / count:12.2f} "
        f"{(calls['read'] - idle_calls['read']) / count:11.2f} "
        f"{calls['write'] / took_s:9.1f} {calls['limited']:8}"
    )


def main() -> None:
    """Print a line for each rate, net of the store calls of an idle cluster."""
    print("python -m benchmarks.claims")
    print("calls/s served        writes/call  reads/call  writes/s  limited")
    with Cluster(engines=1, entries=ENTRY_HOSTS) as cluster:
        cluster.wait_usable(1, service="attendance")
        before, started_at = dict(cluster.store.calls), time.monotonic()
        gevent.sleep(4.0)
        took_s = time.monotonic() - started_at
        cluster.idle_calls_per_s = {
            kind: (cluster.store.calls[kind] - before.get(kind, 0)) / took_s
            for kind in ("read", "write")
        }
        for rate in RATES_PER_S:
            measure(cluster, rate)


if __name__ == "__main__":
    main()
