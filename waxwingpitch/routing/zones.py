"""Decides whether a request leaves its zone, and for which other one.

The load it is for: bursts, peaks and lost replicas that leave one zone short of slots
while others have some free; zones that are all short; reports of other zones that are
old or lost; and several zones, or two owners of one, that send to the same zone.

A request leaves if its caller gains more than the callers of the other zone lose and
the link costs. What counts is the probability that a response is late, and to a smaller
part how late it is.

The state is soft. It bounds what one owner sends to a zone between two of its reports.
When the owner ends, the next one starts from the next reports and may send as much
again; two owners of a zone may together send twice their share. The other zone declines
what it has no free slot for.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from statistics import NormalDist

from .common import Leave, LeaveReason, LocalLoad, TimeNeed, ZoneReport

# Age at which the report of another zone is no longer used.
REPORT_TTL_S = 1.0
# Time after its last report for which a zone may still send requests to others.
SENDER_TTL_S = 5.0
# Time before the arrival of a report within which what was sent may be missing from it.
REPORT_LAG_S = 0.05
# One-way delay between zones for which the configuration states none.
DEFAULT_DELAY_S = 0.002
# Messages over the link before the first event returns: the request for a slot and its
# grant, and the request itself and its response.
LINK_CROSSINGS = 4
# Least gain, as the probability that a response is late. It covers the bytes on the
# link and the error of the forecast, so that chance differences between zones that are
# evenly loaded move nothing.
MIN_GAIN = 0.3
# Loss by a response that is late by one more latency objective, relative to the loss by
# being late at all: a late response is of much less use, however late it is.
LATENESS_WEIGHT = 0.2
# Standard deviation of the time to the first event, as a share of its mean.
RUN_DEVIATION = 0.3

_NORMAL = NormalDist()


@dataclass(frozen=True, slots=True)
class _Wait:
    """Expected wait for a slot and its standard deviation, in seconds."""

    mean_s: float
    deviation_s: float

    @classmethod
    def until_served(cls, ahead: float, service_s: float, slots: float) -> _Wait:
        """Return the wait until a number of requests have been served.

        Their ends are taken as a Poisson process, as those of many slots are.
        """
        mean_s = ahead * service_s / slots
        return cls(mean_s, mean_s / math.sqrt(ahead))

    def measure_loss(self, run_s: float, need: TimeNeed, now: float) -> float:
        """Return the probability to be late, and the weighted expected lateness.

        Parameters
        ----------
        run_s
            Time from the slot to the first event.
        """
        late_s = self.mean_s + run_s - (need.due_at - now)
        deviation_s = math.hypot(self.deviation_s, run_s * RUN_DEVIATION)
        if not deviation_s:
            probability, expected_s = float(late_s > 0), max(0.0, late_s)
        else:
            normalised = late_s / deviation_s
            probability = _NORMAL.cdf(normalised)
            density = _NORMAL.pdf(normalised)
            expected_s = late_s * probability + deviation_s * density
        return probability + LATENESS_WEIGHT * expected_s / need.objective_s


_NO_WAIT = _Wait(0.0, 0.0)


class _OtherZone:
    """Another zone's last report, and what was sent there."""

    def __init__(self):
        self.report: ZoneReport | None = None
        self.at = -math.inf
        self.sent: deque[float] = deque()
        self.has_declined = False
        self.has_dropped = False

    def is_known(self, now: float) -> bool:
        """Return whether a recent report says that it has slots."""
        return now - self.at < REPORT_TTL_S and self.report.slots > 0

    def is_short(self, now: float) -> bool:
        """Return whether it may send requests to other zones."""
        age_s = now - self.at
        return age_s < SENDER_TTL_S and (age_s >= REPORT_TTL_S or not self.count_room())

    def count_sent(self) -> int:
        """Return the number of requests sent there that its report may lack."""
        while self.sent and self.sent[0] < self.at - REPORT_LAG_S:
            self.sent.popleft()
        return len(self.sent)

    def count_room(self) -> int:
        """Return the slots that its own callers are not expected to need.

        The requests that it has in flight vary by their square root, as those of
        independent callers do; that many free slots are left to its own callers.
        """
        if self.report.waiting:
            return 0
        return max(0, int(self.report.free - math.sqrt(self.report.in_flight)))


class OtherZones:
    """What one owner of slots knows of the other zones, and its choice among them.

    Parameters
    ----------
    zone
        Zone of the owner.
    is_on
        Whether requests may leave a zone that has a usable replica.

    Attributes
    ----------
    delays_s
        One-way delays to other zones, where they are known.
    batch_slowdown
        Relative increase of the service time from an empty to a full replica.
    """

    def __init__(self, zone: str, *, is_on: bool = True):
        self.delays_s: Mapping[str, float] = {}
        self.batch_slowdown = 0.0
        self._zone = zone
        self._is_on = is_on
        self._others: dict[str, _OtherZone] = {}

    def update(self, zone: str, report: ZoneReport, now: float) -> None:
        """Take note of another zone's report."""
        other = self._others.setdefault(zone, _OtherZone())
        other.report, other.at = report, now
        other.has_declined = other.has_dropped = False

    def record_sent(self, zone: str, now: float) -> None:
        """Count a request that is sent to another zone."""
        self._others[zone].sent.append(now)

    def record_declined(self, zone: str, *, has_waited: bool) -> None:
        """Record that a zone had no free slot for a request, or did not answer.

        Parameters
        ----------
        has_waited
            Whether the request waited there, so that its owner must have gone.
        """
        other = self._others.get(zone)
        if other is not None:
            other.has_declined = True
            other.has_dropped |= has_waited

    def may_gain(self, first_event_s: float, need: TimeNeed, now: float) -> bool:
        """Return whether a request that gets a slot at once may gain by leaving.

        Only a less loaded replica elsewhere can be faster, and it matters only if the
        response may be late on a full one here.
        """
        if not self._is_on or not self.batch_slowdown:
            return False
        slowest_s = first_event_s * (1 + self.batch_slowdown) * (1 + RUN_DEVIATION)
        return slowest_s > need.due_at - now

    def choose(self, load: LocalLoad, need: TimeNeed, now: float) -> Leave | None:
        """Return where a request goes instead of staying in its zone, or None."""
        if not load.has_free and not load.slots:
            return self._choose_without_replica(load, now)
        if not self._is_on:
            return None
        wait, busy = _NO_WAIT, load.utilisation
        if not load.has_free:
            busy = 1.0
            wait = _Wait.until_served(load.waiting + 1, load.service_s, load.slots)
        run_s = self._find_first_event_s(load, busy)
        loss = wait.measure_loss(run_s, need, now)
        if loss < MIN_GAIN:
            return None
        leaves = (
            self._weigh(zone, other, load, need, loss, now)
            for zone, other in self._iter_usable(now)
        )
        return max(
            (leave for leave in leaves if leave and leave.gain >= MIN_GAIN),
            key=lambda leave: leave.gain,
            default=None,
        )

    def _iter_usable(self, now: float) -> Iterator[tuple[str, _OtherZone]]:
        for zone, other in self._others.items():
            if other.is_known(now) and not other.has_declined:
                yield zone, other

    def _weigh(
        self,
        zone: str,
        other: _OtherZone,
        load: LocalLoad,
        need: TimeNeed,
        loss: float,
        now: float,
    ) -> Leave | None:
        """Return the gain if a request leaves for a zone."""
        report, sent = other.report, other.count_sent()
        senders = self._list_senders(zone, now)
        room = self._count_share(zone, other.count_room(), senders)
        # What the other senders have sent since the report is taken to be as much.
        added = sent * len(senders)
        link_s = LINK_CROSSINGS * self._find_delay_s(zone)
        if room > sent:
            busy = min(1.0, report.lowest_utilisation + added / report.slots)
            run_s = self._find_first_event_s(load, busy)
            there = _NO_WAIT.measure_loss(run_s + link_s, need, now)
            # It slows each of those that run on its replica by a part of this.
            slowdown = self.batch_slowdown * busy
            harm = run_s * slowdown / (1 + slowdown) / need.objective_s
        elif load.is_queued or load.has_free:
            return None
        else:
            run_s = self._find_first_event_s(load, 1.0)
            ahead = report.waiting + added + 1
            wait = _Wait.until_served(ahead, report.service_s, report.slots)
            there = wait.measure_loss(run_s + link_s, need, now)
            harm = self._measure_harm(wait, ahead, run_s, need, now)
        return Leave(
            zone,
            may_wait=room <= sent,
            reason=LeaveReason.FREE_SLOT if room > sent else LeaveReason.SHORTER_QUEUE,
            gain=loss - there - harm,
            report_age_s=now - other.at,
        )

    def _measure_harm(
        self, wait: _Wait, ahead: int, run_s: float, need: TimeNeed, now: float
    ) -> float:
        """Return what the callers of a zone lose by one more request in its queue.

        It delays those that arrive until its turn, about as many as are ahead of it, by
        one turn. They are taken to have the latency objective of the request.
        """
        theirs = TimeNeed(now + need.objective_s, need.objective_s)
        delayed = _Wait(wait.mean_s * (ahead + 1) / ahead, wait.deviation_s)
        before = wait.measure_loss(run_s, theirs, now)
        return ahead * (delayed.measure_loss(run_s, theirs, now) - before)

    def _choose_without_replica(self, load: LocalLoad, now: float) -> Leave | None:
        """Return the zone that serves a request soonest, unless a pause ends before.

        It is not limited to the share of its zone, as it can't be served otherwise. A
        zone that has declined has no free slot, but may let it wait.
        """
        waits: dict[str, tuple[float, float]] = {}
        for zone, other in self._others.items():
            if not other.is_known(now) or other.has_dropped:
                continue
            report, sent = other.report, other.count_sent()
            free = 0 if other.has_declined or report.waiting else report.free - sent
            wait_s = 0.0
            if free <= 0:
                ahead = report.waiting + max(0, sent - report.free) + 1
                wait_s = ahead * report.service_s / report.slots
            link_s = LINK_CROSSINGS * self._find_delay_s(zone)
            waits[zone] = wait_s + link_s, -free / report.slots
        zone = min(waits, key=waits.get, default=None)
        if zone is None:
            return None
        wait_s, _ = waits[zone]
        if load.pause_s is not None and load.pause_s <= wait_s:
            return None
        return Leave(
            zone,
            may_wait=waits[zone][1] >= 0,
            reason=LeaveReason.NO_REPLICA,
            gain=math.inf,
            report_age_s=now - self._others[zone].at,
        )

    def _list_senders(self, target: str, now: float) -> list[str]:
        """Return this zone and the others that may send to a zone at the same time."""
        short = [
            zone
            for zone, other in self._others.items()
            if zone != target and other.is_short(now)
        ]
        return sorted([self._zone, *short])

    def _count_share(self, target: str, room: int, senders: list[str]) -> int:
        """Return this zone's part of the room that a zone has.

        The parts of all senders add up to the room; what is left over goes to those
        that follow the zone by name.
        """
        ordered = sorted(senders, key=lambda zone: (zone < target, zone))
        rank = ordered.index(self._zone)
        return (room + len(senders) - 1 - rank) // len(senders)

    def _find_first_event_s(self, load: LocalLoad, utilisation: float) -> float:
        """Return the time to the first event on a replica of a utilisation."""
        usual = 1 + self.batch_slowdown * load.mean_utilisation
        return load.first_event_s * (1 + self.batch_slowdown * utilisation) / usual

    def _find_delay_s(self, zone: str) -> float:
        return self.delays_s.get(zone, DEFAULT_DELAY_S)
