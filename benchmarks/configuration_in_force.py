"""Time from the acceptance of a configuration until entry hosts apply it.

Runs real daemons and takes the times from their log lines.

Command: python -m benchmarks.configuration_in_force
"""

from __future__ import annotations

import datetime
import time

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from waxwingpitch.configuration import ConfigurationBuilder  # noqa: E402
from waxwingpitch.configuration.document import decode_stored  # noqa: E402
from waxwingpitch.configuration.submission import CONFIGURATION_KEY  # noqa: E402
from waxwingpitch.tests.cluster import Cluster, wait_until  # noqa: E402

ZONES = ("dar-a", "dar-b")
ENTRIES_PER_ZONE = 4
CHANGES = 25
CHANGE_INTERVAL_S = 0.3
MAX_DELAY_US = 60_000_000
PERCENTILES = (50, 95, 100)


def submit_change(cluster: Cluster, number: int) -> tuple[int, float]:
    """Submit a change; return its revision and when it was accepted."""
    current = decode_stored(cluster.client.get(CONFIGURATION_KEY).value)
    builder = ConfigurationBuilder(current)
    builder.add_workspace(f"change-{number}", priority=1)
    return cluster.submit(builder.build()).revision, time.time()


def read_times(entry) -> dict[int, float]:
    """Return when each revision came into force on an entry host."""
    return {
        line["revision"]: datetime.datetime.fromisoformat(line["at"]).timestamp()
        for line in entry.iter_log()
        if line["message"] == "configuration in force"
    }


def main() -> None:
    """Print percentiles of the time until a change is in force."""
    print("python -m benchmarks.configuration_in_force")
    histogram = HdrHistogram(1, MAX_DELAY_US, 3)
    with Cluster(zones=ZONES, engines=2, entries=ENTRIES_PER_ZONE) as cluster:
        cluster.wait_usable(4)
        accepted_at = {}
        for number in range(CHANGES):
            revision, at = submit_change(cluster, number)
            accepted_at[revision] = at
            gevent.sleep(CHANGE_INTERVAL_S)
        for entry in cluster.entries:
            wait_until(lambda: max(accepted_at) in read_times(entry), 11.0)
        missing = 0
        for entry in cluster.entries:
            in_force_at = read_times(entry)
            for revision, at in accepted_at.items():
                if revision not in in_force_at:
                    missing += 1
                    continue
                histogram.record_value(max(1, int((in_force_at[revision] - at) * 1e6)))
    shown = ", ".join(
        f"p{item} {histogram.get_value_at_percentile(item) / 1000:.1f} ms"
        for item in PERCENTILES
    )
    count = CHANGES * ENTRIES_PER_ZONE * len(ZONES)
    print(f"{count} times at {ENTRIES_PER_ZONE * len(ZONES)} entry hosts: {shown}")
    print(f"revisions skipped because a later one was already in force: {missing}")


if __name__ == "__main__":
    main()
