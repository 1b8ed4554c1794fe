"""Goodput and first-token latency at 0.5 to 3 times the capacity.

Command: python -m benchmarks.overload
"""

from __future__ import annotations

from collections import Counter

from gevent import monkey

monkey.patch_all()

from waxwingpitch.load import LoadProfile, LoadRunner  # noqa: E402
from waxwingpitch.load.profile import LoadWorkspace  # noqa: E402
from waxwingpitch.load.report import Ending, build_report  # noqa: E402
from waxwingpitch.standins import EnginePerformance  # noqa: E402
from waxwingpitch.standins.answers import full_answer  # noqa: E402
from waxwingpitch.tests.cluster import (  # noqa: E402
    LOW_PRIORITY_TOKEN,
    TOKEN,
    Cluster,
    wait_until,
)

ENGINES = 4
BATCH = 8
STEP_S = 0.02
MEAN_ANSWER_TOKENS = 40
CAPACITY_PER_S = ENGINES * BATCH / (STEP_S * (MEAN_ANSWER_TOKENS + 1))
FACTORS = (0.5, 1.0, 2.0, 3.0)
DURATION_S = 10.0
HIGH_PRIORITY_SHARE = 0.25


def build_profile(factor: float) -> LoadProfile:
    """Return a profile at a multiple of the capacity, a quarter of it at priority 0."""
    return LoadProfile(
        rate=CAPACITY_PER_S * factor,
        duration_s=DURATION_S,
        workspaces=(
            LoadWorkspace("form-two", TOKEN, HIGH_PRIORITY_SHARE, 0),
            LoadWorkspace("homework", LOW_PRIORITY_TOKEN, 1 - HIGH_PRIORITY_SHARE, 5),
        ),
        model="lesson",
        service="attendance",
        marks=0.0,
        answer_tokens=MEAN_ANSWER_TOKENS,
        seed=3,
    )


def measure(cluster: Cluster, factor: float) -> None:
    """Run one load and print a line."""
    urls = [entry.url for entry in cluster.entries]
    runner = LoadRunner(build_profile(factor), urls, expected_answer=full_answer)
    runner.run()
    report = build_report(runner.outcomes, Counter())
    high = [item for item in runner.outcomes if item.priority == 0]
    served = sum(item.ending is Ending.SERVED for item in high)
    first = report.first_token.get(0)
    low = report.first_token.get(5)
    goodput = report.endings.get(Ending.SERVED, 0) / DURATION_S
    print(
        f"{factor:6.1f} {goodput:9.1f} {goodput / CAPACITY_PER_S:9.0%} "
        f"{served / max(1, len(high)):12.1%} {first.p50_ms:8.0f} {first.p95_ms:8.0f} "
        f"{low.p95_ms if low else 0:10.0f} {report.guarantee_violations:7}"
    )


def main() -> None:
    """Print a line for each multiple of the capacity."""
    print("python -m benchmarks.overload")
    print(f"capacity {CAPACITY_PER_S:.0f} requests/s, seed 3")
    print("factor goodput/s of-capac. high-served high-p50 high-p95 low-p95-ms broken")
    performance = EnginePerformance(
        step_s=STEP_S, batch=BATCH, cold_s=0.1, cold_cap=BATCH
    )
    with Cluster(
        engines=ENGINES,
        entries=2,
        performance=performance,
        warm_cap=BATCH,
        cold_cap=BATCH,
    ) as cluster:
        cluster.wait_usable(ENGINES)
        for entry in cluster.entries:
            wait_until(lambda: not any(t["cold"] for t in entry.usable()))
        for factor in FACTORS:
            measure(cluster, factor)


if __name__ == "__main__":
    main()
