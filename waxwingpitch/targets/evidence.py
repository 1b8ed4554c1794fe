"""Evidence about hosts, with the deadline until which each item may be used."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..ports import TargetReport

# Age up to which evidence may be used.
EVIDENCE_VALID_S = 6.0
# Age after which evidence is removed.
EVIDENCE_RETENTION_S = 600.0


class Health(enum.IntEnum):
    """Result of an observation."""

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
        Last report of the host; kept while the host does not answer.
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
        """Return the report if the host is up and the evidence is still valid."""
        if self.health is Health.UP and now < self.valid_until:
            return self.report
        return None


class EvidenceBook:
    """Latest evidence about each host."""

    def __init__(self):
        self._latest: dict[str, HostEvidence] = {}

    def record_report(self, report: TargetReport, at: float) -> bool:
        """Record a report; return whether peers should be notified at once."""
        return self.record(report.host, Health.UP, at, report)

    def record_failure(self, host: str, health: Health, at: float) -> bool:
        """Record a failed observation; return whether to notify peers at once."""
        return self.record(host, health, at, None)

    def record(
        self, host: str, health: Health, at: float, report: TargetReport | None
    ) -> bool:
        """Record an observation unless a later one is known.

        Returns
        -------
        bool
            Whether the evidence changed such that peers should be notified at once.
        """
        known = self._latest.get(host)
        if known is not None and known.observed_at > at:
            return False
        unchanged = known is not None and known.health is health
        since = known.since if unchanged else at
        if report is None and known is not None:
            report = known.report
        self._latest[host] = HostEvidence(host, health, at, since, report)
        return not unchanged or _has_changed(known.report, report)

    def get(self, host: str) -> HostEvidence | None:
        """Return the latest evidence about a host."""
        return self._latest.get(host)

    def fresh_report(self, host: str, now: float) -> TargetReport | None:
        """Return the report of a host that is up, if it is still valid."""
        known = self._latest.get(host)
        return known.fresh_report(now) if known is not None else None

    def select(self, hosts: Iterable[str]) -> Iterator[HostEvidence]:
        """Yield the evidence about some hosts."""
        for host in hosts:
            known = self._latest.get(host)
            if known is not None:
                yield known

    def forget_old(self, now: float) -> None:
        """Remove evidence older than the retention period."""
        for host, known in list(self._latest.items()):
            if now - known.observed_at > EVIDENCE_RETENTION_S:
                del self._latest[host]

    def __len__(self) -> int:
        return len(self._latest)


def _has_changed(left: TargetReport | None, right: TargetReport | None) -> bool:
    if left is None or right is None:
        return left is not right
    return report_key(left) != report_key(right)


def report_key(report: TargetReport) -> tuple:
    """Return the fields whose changes are sent to peers at once; load is not one."""
    return (
        report.incarnation,
        report.warmth,
        report.leaving,
        report.ready,
        report.group,
        report.epoch,
        report.loaded,
    )
