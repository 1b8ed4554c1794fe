"""Translation of evidence between monotonic deadlines and ages on the wire."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ..mesh import EvidenceItem
from ..ports import TargetReport, Warmth
from ..targets import Health, HostEvidence

WARM = 1
LEAVING = 2
READY = 4
OFFSET_WINDOW_S = 60.0


class ClockOffsets:
    """Tells how long a message was delayed beyond the fastest one of its link.

    A message that waited in a buffer would otherwise make old evidence look
    fresh.
    """

    def __init__(self):
        self._smallest: dict[str, tuple[float, float]] = {}

    def delay_s(self, peer: str, sent_ms: int, received_at: float) -> float:
        """Return the extra delay of a message, in seconds."""
        offset = received_at - sent_ms / 1000.0
        smallest, until = self._smallest.get(peer, (offset, 0.0))
        if offset < smallest or received_at >= until:
            smallest, until = min(offset, smallest), received_at + OFFSET_WINDOW_S
            self._smallest[peer] = (smallest, until)
        return offset - smallest

    def forget(self, peer: str) -> None:
        """Forget a peer whose link is new."""
        self._smallest.pop(peer, None)


def encode_evidence(
    evidence: Iterable[HostEvidence], now: float
) -> tuple[EvidenceItem, ...]:
    """Return evidence as it is sent."""
    return tuple(_encode_one(item, now) for item in evidence)


def _encode_one(evidence: HostEvidence, now: float) -> EvidenceItem:
    report = evidence.report or TargetReport(evidence.host, "")
    flags = (
        (WARM if report.warmth is Warmth.WARM else 0)
        | (LEAVING if report.leaving else 0)
        | (READY if report.ready else 0)
    )
    return EvidenceItem(
        host=evidence.host,
        age_ms=max(0, int((now - evidence.observed_at) * 1000)),
        health=int(evidence.health),
        incarnation=report.incarnation,
        flags=flags,
        load=report.load,
        group=report.group,
        epoch=report.epoch,
        loaded=report.loaded,
    )


def decode_evidence(
    items: Iterable[EvidenceItem], sent_at: float
) -> Iterator[HostEvidence]:
    """Yield evidence with its time of observation on this process's clock."""
    for item in items:
        if item.health not in set(Health):
            continue
        observed_at = sent_at - item.age_ms / 1000.0
        report = _decode_report(item) if item.incarnation else None
        yield HostEvidence(
            item.host, Health(item.health), observed_at, observed_at, report
        )


def _decode_report(item: EvidenceItem) -> TargetReport:
    return TargetReport(
        host=item.host,
        incarnation=item.incarnation,
        warmth=Warmth.WARM if item.flags & WARM else Warmth.COLD,
        leaving=bool(item.flags & LEAVING),
        ready=bool(item.flags & READY),
        load=item.load,
        group=item.group,
        epoch=item.epoch,
        loaded=item.loaded,
    )
