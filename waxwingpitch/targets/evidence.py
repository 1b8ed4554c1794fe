"""Evidence about hosts, each with the deadline until which it may be used."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..ports import TargetReport

EVIDENCE_VALID_S = 6.0
KEPT_S = 600.0


class Health(enum.IntEnum):
    """What an observation found."""

    UP = 1
    REFUSED = 2
    SILENT = 3


@dataclass(frozen=True, slots=True)
class HostEvidence:
    """One observation of a host.

    Attributes
    ----------
    observed_at
        Monotonic time at which the observation began.
    since
        Monotonic time since which the health has been the same.
    report
        What the host said last; kept while it is silent.
    """

    host: str
    health: Health
    observed_at: float
    since: float
    report: TargetReport | None

    @property
    def valid_until(self) -> float:
        """Monotonic deadline until which the evidence may be used."""
        return self.observed_at + EVIDENCE_VALID_S

    def fresh_report(self, now: float) -> TargetReport | None:
        """Return the report of a host that is up, if it may still be used."""
        if self.health is Health.UP and now < self.valid_until:
            return self.report
        return None


class EvidenceBook:
    """Newest evidence about each host."""

    def __init__(self):
        self._latest: dict[str, HostEvidence] = {}

    def note_report(self, report: TargetReport, at: float) -> bool:
        """Take in a report; return whether it says something new."""
        return self.note(report.host, Health.UP, at, report)

    def note_failure(self, host: str, health: Health, at: float) -> bool:
        """Take in a failed observation; return whether it says something new."""
        return self.note(host, health, at, None)

    def note(
        self, host: str, health: Health, at: float, report: TargetReport | None
    ) -> bool:
        """Take in an observation unless a later one is known.

        Returns
        -------
        bool
            Whether other entry hosts should hear of it at once.
        """
        known = self._latest.get(host)
        if known is not None and known.observed_at > at:
            return False
        unchanged = known is not None and known.health is health
        since = known.since if unchanged else at
        if report is None and known is not None:
            report = known.report
        self._latest[host] = HostEvidence(host, health, at, since, report)
        return not unchanged or _differs(known.report, report)

    def get(self, host: str) -> HostEvidence | None:
        """Return the newest evidence about a host."""
        return self._latest.get(host)

    def fresh_report(self, host: str, now: float) -> TargetReport | None:
        """Return the report of a host, if it may still be used."""
        known = self._latest.get(host)
        return known.fresh_report(now) if known is not None else None

    def select(self, hosts: Iterable[str]) -> Iterator[HostEvidence]:
        """Yield the evidence about some hosts."""
        for host in hosts:
            known = self._latest.get(host)
            if known is not None:
                yield known

    def forget_old(self, now: float) -> None:
        """Forget hosts that nothing was heard of for long."""
        for host, known in list(self._latest.items()):
            if now - known.observed_at > KEPT_S:
                del self._latest[host]

    def __len__(self) -> int:
        return len(self._latest)


def _differs(left: TargetReport | None, right: TargetReport | None) -> bool:
    if left is None or right is None:
        return left is not right
    return report_key(left) != report_key(right)


def report_key(report: TargetReport) -> tuple:
    """Return what peers must hear of when it changes; load is not part of it."""
    return (
        report.incarnation,
        report.warmth,
        report.leaving,
        report.ready,
        report.group,
        report.epoch,
        report.loaded,
    )
