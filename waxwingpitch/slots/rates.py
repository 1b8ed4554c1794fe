"""Limits of requests a second that targets state for all entry hosts together.

The load it is for: targets in need that are asked by many entry hosts, owners of slots
that are lost or believed in twice, and limits of less than one request a second.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

# Span over which requests are counted against a limit.
WINDOW_S = 4.0
# Longest such span, for low limits. A target that takes no request is tried once in it,
# as only its answers tell that the limit has ended.
MAX_WINDOW_S = 10.0
# Span in which a target gets no more than a second's requests.
BURST_WINDOW_S = 1.0
# Span of the sends that entry hosts report. It is shorter than ``WINDOW_S`` by the age
# that reports may have, so that no send is counted again once its owner forgot it.
REPORT_WINDOW_S = 3.4


@dataclass(frozen=True, slots=True)
class ReportedSends:
    """What an entry host tells of its requests to a target with a limit.

    Attributes
    ----------
    per_s
        Limit that the entry host knows.
    sent
        Requests that it sent within ``REPORT_WINDOW_S``.
    """

    target: str
    per_s: float
    sent: int


@dataclass(slots=True, frozen=True)
class _Stated:
    """A target's limit, and the times and clients of the requests granted to it.

    Attributes
    ----------
    per_s
        None if the target states no limit any more.
    is_reported
        Whether it is known from an entry host's report only.
    """

    per_s: float | None
    is_reported: bool
    grants: deque[tuple[float, str]] = field(default_factory=deque)


class StatedRates:
    """Limits that targets state, and the requests that one owner granted to them.

    Attributes
    ----------
    share
        Share of each limit that this owner uses, from 0 to 1.

    Examples
    --------
    >>> rates = StatedRates()
    >>> rates.state("t", 0.5)
    True
    >>> rates.record("t", "host", 0.0)
    >>> rates.record("t", "host", 1.5)
    >>> rates.has_room("t", 3.0), rates.has_room("t", 4.1)
    (False, True)
    """

    def __init__(self):
        self.share = 1.0
        self._stated: dict[str, _Stated] = {}

    def state(self, target: str, per_s: float | None) -> bool:
        """Take note of a target's limit; return whether it changed.

        Parameters
        ----------
        per_s
            Requests a second; None if the target states none any more.
        """
        return self._set(target, per_s, is_reported=False)

    def find(self, target: str) -> float | None:
        """Return the limit that a target states, in requests a second, or None."""
        known = self._stated.get(target)
        return None if known is None else known.per_s

    def limit_slots(self, target: str, capacity: int, service_s: float) -> float:
        """Return the slots that requests can use at a target.

        Parameters
        ----------
        service_s
            Mean service time of a request, in seconds.
        """
        per_s = self.find(target)
        if per_s is None:
            return capacity
        return min(capacity, per_s * self.share * service_s)

    def count_room(self, target: str, now: float) -> float:
        """Return the number of requests that a target may get now."""
        known = self._stated.get(target)
        if known is None or known.per_s is None:
            return math.inf
        per_s = known.per_s * self.share
        window_s = min(MAX_WINDOW_S, max(WINDOW_S, 1 / per_s if per_s else math.inf))
        grants = known.grants
        while grants and now - grants[0][0] > window_s:
            grants.popleft()
        lately = 0
        for at, _ in reversed(grants):
            if now - at > BURST_WINDOW_S:
                break
            lately += 1
        allowed = max(1, math.floor(per_s * window_s))
        burst = max(1, math.ceil(per_s * BURST_WINDOW_S))
        return max(0, min(allowed - len(grants), burst - lately))

    def has_room(self, target: str, now: float) -> bool:
        """Return whether a target may get a request now."""
        return self.count_room(target, now) > 0

    def record(self, target: str, client: str, now: float) -> None:
        """Count a request granted to a client, if the target states a limit."""
        known = self._stated.get(target)
        if known is not None and known.per_s is not None:
            known.grants.append((now, client))

    def merge(self, client: str, report: ReportedSends, now: float) -> None:
        """Count what a client sent by the grants of another owner.

        Its limit is used only if no answer has told this owner one.
        """
        known = self._stated.get(report.target)
        if known is None or known.is_reported:
            self._set(report.target, report.per_s, is_reported=True)
        known = self._stated[report.target]
        counted = sum(name == client for _, name in known.grants)
        for _ in range(report.sent - counted):
            self.record(report.target, client, now)

    def keep(self, targets) -> None:
        """Forget all targets but these."""
        for target in self._stated.keys() - targets:
            del self._stated[target]

    def describe(self) -> dict[str, float]:
        """Return the limits in force, by target."""
        return {
            target: known.per_s
            for target, known in self._stated.items()
            if known.per_s is not None
        }

    def _set(self, target: str, per_s: float | None, *, is_reported: bool) -> bool:
        known = self._stated.get(target)
        grants = deque() if known is None else known.grants
        self._stated[target] = _Stated(per_s, is_reported, grants)
        return per_s != (None if known is None else known.per_s)


class RecentSends:
    """Requests that an entry host sent to targets with a limit, for its reports.

    Examples
    --------
    >>> sends = RecentSends()
    >>> sends.record("t", 1.5, 0.0)
    >>> sends.list_reports(1.0)
    [ReportedSends(target='t', per_s=1.5, sent=1)]
    >>> sends.list_reports(9.0)
    []
    """

    def __init__(self):
        self._limits: dict[str, float] = {}
        self._times: dict[str, deque[float]] = {}

    def record(self, target: str, per_s: float | None, now: float) -> None:
        """Count a request to a target; forget the target if it states no limit."""
        if per_s is None:
            self._limits.pop(target, None)
            self._times.pop(target, None)
            return
        self._limits[target] = per_s
        self._times.setdefault(target, deque()).append(now)

    def list_reports(self, now: float) -> list[ReportedSends]:
        """Return the sends within ``REPORT_WINDOW_S``, by target."""
        for target, times in list(self._times.items()):
            while times and now - times[0] > REPORT_WINDOW_S:
                times.popleft()
            if not times:
                del self._times[target], self._limits[target]
        return [
            ReportedSends(target, self._limits[target], len(times))
            for target, times in self._times.items()
        ]
