"""What callers get when requests may leave their zone, against two other rules.

``python -m benchmarks.zone_spillover [HOSTS]`` plays each load on three zones with the
decision of the package, with it switched off, and with the rule of before: the least
loaded replica of any zone plus a constant, and a queue that is served 1.5 times and
0.1 s sooner.
"""

from __future__ import annotations

import math
import sys
from collections import Counter
from dataclasses import asdict
from functools import partial

from waxwingpitch.routing.common import (
    Leave,
    LeaveReason,
    LocalLoad,
    TimeNeed,
    ZoneReport,
)
from waxwingpitch.routing.zones import OtherZones
from waxwingpitch.tests.zone_load import SIZES, ZONES, ZoneLoad

REPORT_TTL_S = 1.0
ZONE_PREFERENCE = 0.15
QUEUE_RATIO = 1.5
QUEUE_MARGIN_S = 0.1
NO_FREE_SLOT = 9.0


class FormerChoice:
    """The rule of before, behind the present interface."""

    def __init__(self, zone: str):
        self._others: dict[str, list] = {}
        self._declined: dict[str, float] = {}

    def update(self, zone: str, report: ZoneReport, now: float) -> None:
        self._others[zone] = [report, now, 0]
        self._declined.pop(zone, None)

    def record_sent(self, zone: str, now: float) -> None:
        self._others[zone][2] += 1

    def record_declined(self, zone: str, *, has_waited: bool) -> None:
        self._declined[zone] = True

    def may_gain(self, first_event_s: float, need: TimeNeed, now: float) -> bool:
        return True

    def choose(self, load: LocalLoad, need: TimeNeed, now: float) -> Leave | None:
        zone = None
        if load.is_queued or not load.waiting:
            here = load.utilisation if load.has_free else NO_FREE_SLOT
            zone = self._find_free(here, now)
        if zone is not None:
            return Leave(zone, False, LeaveReason.FREE_SLOT, 0.0, 0.0)
        if not load.is_queued and not load.has_free:
            zone = self._find_shorter_queue(load, now)
        if zone is not None:
            return Leave(zone, True, LeaveReason.SHORTER_QUEUE, 0.0, 0.0)
        return None

    def _find_free(self, utilisation: float, now: float) -> str | None:
        costs = {}
        for zone, (report, at, sent) in self._others.items():
            is_usable = now - at < REPORT_TTL_S and zone not in self._declined
            if is_usable and report.free > sent and not report.waiting:
                share = sent / max(1, report.slots)
                costs[zone] = report.lowest_utilisation + share + ZONE_PREFERENCE
        zone = min(costs, key=costs.get, default=None)
        return zone if zone is not None and costs[zone] < utilisation else None

    def _find_shorter_queue(self, load: LocalLoad, now: float) -> str | None:
        here_s = math.inf
        if load.slots:
            here_s = (load.waiting + 1) * load.service_s / load.slots
        waits = {
            zone: (report.waiting + sent + 1) * report.service_s / report.slots
            for zone, (report, at, sent) in self._others.items()
            if now - at < REPORT_TTL_S and report.slots
        }
        zone = min(waits, key=waits.get, default=None)
        if zone is None or waits[zone] * QUEUE_RATIO + QUEUE_MARGIN_S > here_s:
            return None
        return zone


def _burst(zone: str, now: float, *, usual: float = 0.6, peak: float = 1.5) -> float:
    return peak if zone == "a" and 2.0 <= now < 5.0 else usual


def _peak_in_turn(zone: str, now: float) -> float:
    return 1.3 if int(now / 2) % 3 == ZONES.index(zone) else 0.6


LOADS = {
    "even, 0.7": {"load": lambda zone, now: 0.7},
    "even, 0.9": {"load": lambda zone, now: 0.9},
    "burst in a, others 0.6": {"load": _burst},
    "burst in a, others 0.9": {"load": partial(_burst, usual=0.9, peak=1.53)},
    "bursts in a and c": {
        "load": lambda zone, now: _burst("b" if zone == "b" else "a", now, peak=1.3)
    },
    "b loses half": {"load": lambda zone, now: 0.6, "losses": ((2.0, "b", 0.5),)},
    "b loses all": {"load": lambda zone, now: 0.6, "losses": ((2.0, "b", 1.0),)},
    "peaks in turn": {"load": _peak_in_turn, "seconds": 12.0},
    "all short, 1.5": {"load": lambda zone, now: 1.5},
    "2 of 3 reports lost": {
        "load": _burst,
        "is_heard": lambda sender, receiver, now: int(now * 5) % 3 == 0,
    },
    "no reports, 1.5 s to 4 s": {
        "load": _burst,
        "is_heard": lambda sender, receiver, now: not 1.5 < now < 4.0,
    },
    "two owners": {"load": _burst, "owners": 2},
    "owners of a and b end": {
        "load": _burst,
        "owner_ends": ((3.0, "a"), (3.5, "b")),
    },
}
# Small loads differ by chance, so several are summed.
SEEDS = {8: range(8), 300: range(1)}
WAYS = {
    "decides": OtherZones,
    "off": partial(OtherZones, is_on=False),
    "before": FormerChoice,
}


def main() -> None:
    """Print a line for each size, load and rule."""
    sizes = [int(arg) for arg in sys.argv[1:]] or list(SIZES)
    print(
        f"{'hosts':>5} {'load':24} {'rule':8} {'asked':>6} {'on time':>8} {'late':>6} "
        f"{'refused':>8} {'left':>6} {'declined':>8} {'opposite':>8} "
        f"{'missed b, c':>11}"
    )
    for hosts in sizes:
        for name, options in LOADS.items():
            for way, build_zones in WAYS.items():
                _print_line(hosts, name, way, build_zones, options)


def _print_line(hosts: int, name: str, way: str, build_zones, options: dict) -> None:
    total, others = Counter(), Counter()
    for seed in SEEDS[hosts]:
        played = ZoneLoad(hosts=hosts, build_zones=build_zones, seed=seed, **options)
        played.play()
        total.update(asdict(played.sum_outcomes()))
        total.update(declined=played.declined, opposite=played.count_opposite())
        for zone in ("b", "c"):
            others.update(asdict(played.outcomes[zone]))
    asked = total["asked"]
    print(
        f"{hosts:5} {name:24} {way:8} {asked:6} {total['on_time'] / asked:8.3f} "
        f"{total['late'] / asked:6.3f} {total['refused'] / asked:8.3f} "
        f"{total['left'] / asked:6.3f} {total['declined']:8} {total['opposite']:8} "
        f"{others['late'] + others['refused']:11}"
    )


if __name__ == "__main__":
    main()
