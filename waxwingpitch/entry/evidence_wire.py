"""Conversion of evidence between monotonic times and ages on the wire."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ..mesh import EvidenceItem
from ..ports import TargetReport, Warmth
from ..targets import Health, HostEvidence

FLAG_WARM = 1
FLAG_LEAVING = 2
FLAG_READY = 4
OFFSET_WINDOW_S = 60.0


class ClockOffsets:
    """Estimates how much longer a message took than the fastest one of its link.

    The estimate corrects the age of evidence in messages that waited in a buffer,
    which would otherwise appear more recent than it is.
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
        """Remove the offset of a peer whose link is new."""
        self._smallest.pop(peer, None)


def encode_evidence(
    evidence: Iterable[HostEvidence], now: float
) -> tuple[EvidenceItem, ...]:
    """Encode evidence, with ages in place of times."""
    return tuple(_encode_one(item, now) for item in evidence)


def _encode_one(evidence: HostEvidence, now: float) -> EvidenceItem:
    report = evidence.report or TargetReport(evidence.host, "")
    flags = (
        (FLAG_WARM if report.warmth is Warmth.WARM else 0)
        | (FLAG_LEAVING if report.leaving else 0)
        | (FLAG_READY if report.ready else 0)
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
    """Decode evidence, with times of observation on this process's clock.

    Items with an unknown health value are left out.
    """
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
        warmth=Warmth.WARM if item.flags & FLAG_WARM else Warmth.COLD,
        leaving=bool(item.flags & FLAG_LEAVING),
        ready=bool(item.flags & FLAG_READY),
        load=item.load,
        group=item.group,
        epoch=item.epoch,
        loaded=item.loaded,
    )
