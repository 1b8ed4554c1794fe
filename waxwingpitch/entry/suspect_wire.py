"""Conversion of suspect records between deadlines and remaining time on the wire."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ..mesh import SuspectItem
from ..requests.suspects import SUSPECT_TTL_S, SuspectRecord


def encode_suspects(
    records: Iterable[SuspectRecord], now: float
) -> tuple[SuspectItem, ...]:
    """Encode records, with the remaining time in place of the deadline."""
    return tuple(
        SuspectItem(
            record.fingerprint,
            tuple(sorted(record.crashes)),
            int((record.until - now) * 1000),
        )
        for record in records
    )


def decode_suspects(items: Iterable[SuspectItem], at: float) -> Iterator[SuspectRecord]:
    """Decode records, with deadlines on this process's clock."""
    for item in items:
        remaining_s = min(SUSPECT_TTL_S, item.left_ms / 1000.0)
        yield SuspectRecord(item.fingerprint, frozenset(item.crashes), at + remaining_s)
