"""Answers while an availability zone leaves service and returns, with real processes.

Fails if an answer is wrong, lost or doubled, or if the zone that was taken out of
service receives new work more than 2 s after the change was accepted.

Command: python -m benchmarks.zone_change
"""

from __future__ import annotations

import sys
import time
from dataclasses import replace
from pathlib import Path

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402

from waxwingpitch.configuration import ConfigurationBuilder  # noqa: E402
from waxwingpitch.configuration.document import decode_stored  # noqa: E402
from waxwingpitch.configuration.submission import CONFIGURATION_KEY  # noqa: E402
from waxwingpitch.load import LoadRunner, read_profile, render_report  # noqa: E402
from waxwingpitch.load.report import build_report  # noqa: E402
from waxwingpitch.standins import EnginePerformance  # noqa: E402
from waxwingpitch.standins.answers import full_answer  # noqa: E402
from waxwingpitch.tests.cluster import Cluster, wait_until  # noqa: E402

ZONES = ("dar-a", "dar-b", "dar-c")
OUT_AT_S = 8.0
IN_AT_S = 16.0
DURATION_S = 24.0
NEW_WORK_LIMIT_S = 2.0
PROFILE = Path(__file__).parents[1] / "examples" / "ubao.jsonc"


def set_zone(cluster: Cluster, zone: str, in_service: bool) -> float:
    """Take a zone into or out of service; return when the change was accepted."""
    current = decode_stored(cluster.client.get(CONFIGURATION_KEY).value)
    builder = ConfigurationBuilder(current)
    builder.set_zone_in_service(zone, in_service)
    cluster.submit(builder.build())
    return time.monotonic()


class NewWorkMonitor:
    """Records when the engines of a zone last received a new request."""

    def __init__(self, cluster: Cluster, zone: str):
        self._engines = cluster.engines(zone)
        self._known: set[str] = set()
        self.last_new_at = 0.0

    def run(self) -> None:
        """Poll the engines every 10 ms."""
        while True:
            active = {req for engine in self._engines for req in engine.streams}
            if active - self._known:
                self.last_new_at = time.monotonic()
            self._known |= active
            gevent.sleep(0.01)


def change_zone(cluster: Cluster, zone: str) -> float:
    """Take a zone out of service and back; return how long new work reached it."""
    gevent.sleep(OUT_AT_S)
    new_work = NewWorkMonitor(cluster, zone)
    poller = gevent.spawn(new_work.run)
    accepted_at = set_zone(cluster, zone, False)
    gevent.sleep(IN_AT_S - OUT_AT_S)
    poller.kill()
    set_zone(cluster, zone, True)
    return max(0.0, new_work.last_new_at - accepted_at)


def main() -> int:
    """Print the report of each phase; return 1 if a guarantee is violated."""
    print("python -m benchmarks.zone_change")
    profile = replace(read_profile(PROFILE), duration_s=DURATION_S)
    performance = EnginePerformance(step_s=0.02, cold_s=3.0, cold_cap=2)
    with Cluster(
        zones=ZONES,
        engines=8,
        entries=2,
        hosts_per_replica=2,
        services=3,
        performance=performance,
    ) as cluster:
        cluster.wait_usable(12)
        for entry in cluster.entries:
            wait_until(lambda: not any(t["cold"] for t in entry.usable()))
        urls = [entry.url for entry in cluster.entries]
        runner = LoadRunner(profile, urls, expected_answer=full_answer)
        change = gevent.spawn(change_zone, cluster, "dar-a")
        runner.run()
        new_work_s = change.get()
        effects = cluster.effects
    phases = {
        "before": (0.0, OUT_AT_S),
        "zone out": (OUT_AT_S, IN_AT_S),
        "zone back": (IN_AT_S, DURATION_S),
    }
    violations = 0
    for name, (start, end) in phases.items():
        phase_outcomes = [item for item in runner.outcomes if start <= item.at_s < end]
        marks = {item.mark for item in phase_outcomes}
        phase_effects = type(effects)({k: v for k, v in effects.items() if k in marks})
        report = build_report(phase_outcomes, phase_effects)
        violations += report.guarantee_violations
        print(f"== {name}", render_report(report), sep="\n")
    print(
        f"new work reached the zone for {new_work_s:.3f} s (limit {NEW_WORK_LIMIT_S} s)"
    )
    print(f"seed {profile.seed}, broken promises {violations}")
    return int(violations > 0 or new_work_s > NEW_WORK_LIMIT_S)


if __name__ == "__main__":
    sys.exit(main())
