"""Requests that were in flight when a target crashed.

After one crash a request is a suspect: it is retried only while no other suspect runs
at the same target. A second crash blocks its fingerprint for ``SUSPECT_TTL_S``. A
suspect that completes is cleared.
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
    """Whether a request may be sent to a target."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "blocked"


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """Crashes during which requests with a fingerprint were in flight.

    Attributes
    ----------
    crashes
        Incarnations of the targets that crashed.
    until
        Monotonic time at which the record expires.
    """

    fingerprint: str
    crashes: frozenset[str]
    until: float


class SuspectBook:
    """Suspects known to one entry host; merging is commutative and idempotent."""

    def __init__(self):
        self._records: dict[str, SuspectRecord] = {}

    def judge(self, fingerprint: str, now: float) -> Verdict:
        """Return whether a request may be sent to a target."""
        record = self._records.get(fingerprint)
        if record is None or record.until <= now:
            return Verdict.CLEAR
        if len(record.crashes) >= BLOCK_CRASHES:
            return Verdict.BLOCKED
        return Verdict.SUSPECT

    def record_crash(
        self, fingerprint: str, incarnation: str, now: float
    ) -> SuspectRecord:
        """Record that a request was in flight when a target crashed."""
        record = SuspectRecord(
            fingerprint, frozenset({incarnation}), now + SUSPECT_TTL_S
        )
        self.merge([record])
        return self._records[fingerprint]

    def clear(self, fingerprint: str) -> None:
        """Remove the record of a suspect that completed, unless it is blocked."""
        record = self._records.get(fingerprint)
        if record is not None and len(record.crashes) < BLOCK_CRASHES:
            del self._records[fingerprint]

    def merge(self, records: Iterable[SuspectRecord]) -> tuple[SuspectRecord, ...]:
        """Merge records of peers and return those that changed the known ones."""
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
        """Yield the records that have not expired, and remove the others."""
        for record in list(self._records.values()):
            if record.until > now:
                yield record
            else:
                del self._records[record.fingerprint]


def fingerprint_request(service: str, *parts: bytes | bytearray) -> str:
    """Return the fingerprint of a request's content, whose parts are not copied."""
    digest = xxhash.xxh3_128(service.encode())
    for part in parts:
        digest.update(b"\0")
        digest.update(part)
    return digest.hexdigest()
