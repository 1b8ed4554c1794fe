"""Choice of another zone for a request, by the reports of the owners there.

The load it is for: zones that are short of slots while others have some free, or whose
queues differ in length.
"""

from __future__ import annotations

import math

from .common import ZoneReport
from .placement import ZONE_PREFERENCE

# Age at which the report of another zone is no longer used.
REPORT_TTL_S = 1.0
# A request waits in another zone if its queue there is served this much sooner.
QUEUE_RATIO = 1.5
QUEUE_MARGIN_S = 0.1


class _OtherZone:
    """Another zone's report, and the requests sent there since."""

    def __init__(self, report: ZoneReport, at: float, declined_at: float):
        self.report = report
        self.at = at
        self.sent = 0
        self.declined_at = declined_at

    def find_wait_s(self) -> float:
        """Return the time until its queue with one more request is served."""
        if not self.report.slots:
            return math.inf
        waiting = self.report.waiting + self.sent + 1
        return waiting * self.report.service_s / self.report.slots


class OtherZones:
    """What an owner of slots knows of the other zones."""

    def __init__(self):
        self._zones: dict[str, _OtherZone] = {}

    def update(self, zone: str, report: ZoneReport, now: float) -> None:
        """Take note of another zone's report."""
        known = self._zones.get(zone)
        declined_at = -1.0 if known is None else known.declined_at
        self._zones[zone] = _OtherZone(report, now, declined_at)

    def record_sent(self, zone: str) -> None:
        """Count a request that is sent to another zone."""
        self._zones[zone].sent += 1

    def record_declined(self, zone: str, now: float) -> None:
        """Record that another zone declined a request, or did not answer."""
        known = self._zones.get(zone)
        if known is not None:
            known.declined_at = now

    def find_free(self, utilisation: float, now: float) -> str | None:
        """Return the zone with the least loaded replica, if it is clearly below ours.

        Parameters
        ----------
        utilisation
            Utilisation of this zone's least loaded replica after one more request.
        """
        costs = {}
        for zone, other in self._zones.items():
            report = other.report
            is_recent = now - other.at < REPORT_TTL_S
            if not is_recent or other.declined_at >= other.at:
                continue
            if report.free - other.sent <= 0 or report.waiting:
                continue
            share = other.sent / max(1, report.slots)
            costs[zone] = report.lowest_utilisation + share + ZONE_PREFERENCE
        zone = min(costs, key=costs.get, default=None)
        return zone if zone is not None and costs[zone] < utilisation else None

    def find_shorter_queue(self, wait_s: float, now: float) -> str | None:
        """Return the zone whose queue is served clearly sooner than this one's.

        Parameters
        ----------
        wait_s
            Time until this zone's queue with one more request is served.
        """
        waits = {
            zone: other.find_wait_s()
            for zone, other in self._zones.items()
            if now - other.at < REPORT_TTL_S
        }
        zone = min(waits, key=waits.get, default=None)
        if zone is None or waits[zone] * QUEUE_RATIO + QUEUE_MARGIN_S > wait_s:
            return None
        return zone
