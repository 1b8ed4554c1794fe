"""What callers get from owners of slots in a burst, by route and workspace.

The table gives the requests that are answered on time, late (before the deadline),
after it ("missed"), those that were refused in the end, and those without any outcome
("open"); "value" adds what they are worth.

Run with ``python -m benchmarks.admission_queue``, also on builds of before.
"""

from __future__ import annotations

from waxwingpitch.tests.queue_load import PANTRY, SAME, SCMU, SIZES, Play


def main() -> None:
    """Print a line for each load, and one for each route and workspace."""
    print("python -m benchmarks.admission_queue")
    loads = [
        ("check", SAME, 0.85, 0),
        ("scmu", SCMU, 0.85, 0),
        ("scmu, loss", SCMU, 0.7, 1),
        ("pantry", PANTRY, 0.85, 0),
        ("sizes", SIZES, 0.85, 0),
        ("sizes, overload", SIZES, 1.5, 0),
    ]
    for hosts, replicas, slots in ((8, 3, 7), (300, 30, 7)):
        for name, routes, load, loss in loads:
            for burst in (1.5, 1.7):
                lost = loss * replicas // 3
                play = Play(routes, replicas, slots, load, burst, 1, lost).run()
                at_once = sum(item < 0.05 for item in play.refused_after_s)
                print(
                    f"\n{hosts} hosts, {name}, burst {burst}: value {play.value:.0f}, "
                    f"refusals {len(play.refused_after_s)}, {at_once} at once, "
                    f"open {play.count_open()}"
                )
                for item, counts in play.counts.items():
                    total = counts.total()
                    shares = "  ".join(
                        f"{key} {counts[key] / total:6.1%}"
                        for key in ("on time", "late", "missed", "refused")
                    )
                    print(f"  {item:17} {total:6}  {shares}")


if __name__ == "__main__":
    main()
