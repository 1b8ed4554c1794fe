"""Requests that were in flight when a target crashed.

After one crash a request is a suspect: it is tried again only while no other
suspect runs at the same target. The second crash blocks its fingerprint for a
while. A request that completes is cleared.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

SUSPECT_TTL_S = 600.0
BLOCK_CRASHES = 2
MAX_SUSPECTS = 4096


class Verdict(enum.StrEnum):
    """Whether a request may be tried."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "blocked"


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """Crashes at which a fingerprint was in flight.

    Attributes
    ----------
    crashes
        Incarnations of the targets that crashed.
    until
        Monotonic deadline until which the record counts.
    """

    fingerprint: str
    crashes: frozenset[str]
    until: float


class SuspectBook:
    """Suspects known to one entry host; merging is commutative and idempotent."""

    def __init__(self):
        self._records: dict[str, SuspectRecord] = {}

    def judge(self, fingerprint: str, now: float) -> Verdict:
        """Return whether a request may be tried."""
        record = self._records.get(fingerprint)
        if record is None or record.until <= now:
            return Verdict.CLEAR
        if len(record.crashes) >= BLOCK_CRASHES:
            return Verdict.BLOCKED
        return Verdict.SUSPECT

    def note_crash(
        self, fingerprint: str, incarnation: str, now: float
    ) -> SuspectRecord:
        """Record that a request was in flight when a target crashed."""
        record = SuspectRecord(
            fingerprint, frozenset({incarnation}), now + SUSPECT_TTL_S
        )
        self.merge([record])
        return self._records[fingerprint]

    def clear(self, fingerprint: str) -> None:
        """Forget a suspect that completed; blocked ones stay."""
        record = self._records.get(fingerprint)
        if record is not None and len(record.crashes) < BLOCK_CRASHES:
            del self._records[fingerprint]

    def merge(self, records: Iterable[SuspectRecord]) -> tuple[SuspectRecord, ...]:
        """Take in records of peers and return those that say something new."""
        return tuple(
            merged for record in records if (merged := self._merge_one(record))
        )

    def _merge_one(self, record: SuspectRecord) -> SuspectRecord | None:
        known = self._records.get(record.fingerprint)
        if known is not None and record.crashes <= known.crashes:
            return None
        crashes = record.crashes | (known.crashes if known else frozenset())
        until = max(record.until, known.until if known else 0.0)
        merged = SuspectRecord(record.fingerprint, crashes, until)
        self._records[record.fingerprint] = merged
        self._evict_oldest()
        return merged

    def _evict_oldest(self) -> None:
        if len(self._records) > MAX_SUSPECTS:
            oldest = min(self._records.values(), key=lambda record: record.until)
            del self._records[oldest.fingerprint]

    def iter_records(self, now: float) -> Iterator[SuspectRecord]:
        """Yield the records that still count."""
        for record in list(self._records.values()):
            if record.until > now:
                yield record
            else:
                del self._records[record.fingerprint]


def fingerprint_request(service: str, content: bytes) -> str:
    """Return the fingerprint of a request's content."""
    return xxhash.xxh3_128_hexdigest(service.encode() + b"\0" + content)
