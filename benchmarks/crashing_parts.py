"""Targets that end until a part of prompts is blocked, without a network.

Plays a load of 60 requests a second before 4 gateways and 20 targets for 8 seconds; 12
in 100 requests hold a part that crashes their target as it begins to answer. Prints the
crashes, the time from the first to the last, and the sound requests refused meanwhile.
Then the processor time in which one gateway judges the loss of 150 targets with 7
requests in flight at each.

Command: python -m benchmarks.crashing_parts
"""

from __future__ import annotations

import random
import statistics
import time

from waxwingpitch.requests.blame import BlameBook
from waxwingpitch.requests.culprits import CrashItem
from waxwingpitch.tests.crash_load import Load

SEEDS = 30
LOST_TARGETS = 150
REQUESTS_A_TARGET = 7
# Share of the requests at a lost target that have begun to answer.
OUTPUT_SHARE = 0.7


def main() -> None:
    """Print the figures."""
    loads = [Load(seed, "bad") for seed in range(SEEDS)]
    for load in loads:
        load.play()
    _print("crashes", [len(load.crashes) for load in loads])
    _print("seconds", [load.crashes[-1] - load.crashes[0] for load in loads])
    refused = [
        sum(count for (is_bad, _), count in load.refused.items() if not is_bad)
        for load in loads
    ]
    _print("sound requests refused", refused)
    _print(f"ms to judge the loss of {LOST_TARGETS} targets", _judge_losses())


def _print(name: str, values: list[float]) -> None:
    middle = statistics.median(values)
    print(f"{name}: {min(values):.4g} to {max(values):.4g}, median {middle:.4g}")


def _judge_losses() -> list[float]:
    times = []
    for seed in range(SEEDS):
        draw = random.Random(seed)
        book = BlameBook()
        started_at = time.process_time()
        for target in range(LOST_TARGETS):
            book.merge(_draw_lost_requests(draw, target))
            book.find_blocked(("first",))
        times.append(1000 * (time.process_time() - started_at))
    return times


def _draw_lost_requests(draw: random.Random, target: int) -> list[CrashItem]:
    return [
        CrashItem(
            f"{target}:1",
            (
                "first",
                f"shared-{draw.randrange(40)}",
                f"rare-{draw.randrange(400)}",
                f"request {target}-{number}",
            ),
            sent_at=1.0,
            broken_at=2.0 + 0.001 * target,
            had_output=draw.random() < OUTPUT_SHARE,
        )
        for number in range(REQUESTS_A_TARGET)
    ]


if __name__ == "__main__":
    main()
