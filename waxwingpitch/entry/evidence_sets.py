"""Evidence sets: numbered sets of evidence that heartbeats keep valid.

A peer requests the complete set only when its number has changed. Each heartbeat
carries the number and the age of the oldest observation of a host that is up; a peer
that has the set with this number applies that age to all of its hosts that are up.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..mesh import EvidenceSet, EvidenceSetState
from ..targets import EvidenceBook, Health, HostEvidence
from ..targets.evidence import report_key
from .evidence_wire import decode_evidence, encode_evidence

# Name of the set of the hosts that a process observes; others are named for a zone.
OBSERVED_SET = ""


@dataclass(frozen=True, slots=True)
class _OutgoingSet:
    """Latest number of a set and the content that it identifies."""

    number: int
    key: tuple


@dataclass(frozen=True, slots=True)
class _IncomingSet:
    """Latest complete set received from a peer."""

    number: int
    items: tuple[HostEvidence, ...]


class OutgoingSets:
    """Numbers and builds the sets that this process sends.

    Parameters
    ----------
    book
        Evidence from which the sets are selected.
    """

    def __init__(self, book: EvidenceBook):
        self._book = book
        self._sets: dict[str, _OutgoingSet] = {}

    def describe(self, name: str, hosts: Iterable[str], now: float) -> EvidenceSetState:
        """Return the state of a set; the number grows if the set has changed."""
        items = list(self._select_items(hosts, now))
        key = tuple((item.host, item.health, _report_key(item)) for item in items)
        known = self._sets.get(name)
        if known is None or known.key != key:
            known = _OutgoingSet(known.number + 1 if known else 1, key)
            self._sets[name] = known
        ages = (now - item.observed_at for item in items if item.health is Health.UP)
        return EvidenceSetState(name, known.number, int(max(ages, default=0.0) * 1000))

    def build(self, name: str, hosts: Iterable[str], now: float) -> EvidenceSet:
        """Return the complete set as a message."""
        hosts = list(hosts)
        state = self.describe(name, hosts, now)
        items = encode_evidence(self._select_items(hosts, now), now)
        return EvidenceSet(name, state.number, int(now * 1000), items)

    def _select_items(self, hosts: Iterable[str], now: float) -> Iterator[HostEvidence]:
        """Yield evidence; hosts that were up become silent when it expires."""
        for item in self._book.select(hosts):
            if item.health is Health.UP and now >= item.valid_until:
                yield HostEvidence(
                    item.host,
                    Health.SILENT,
                    item.valid_until,
                    item.valid_until,
                    item.report,
                )
            else:
                yield item


class IncomingSets:
    """Latest sets received from peers."""

    def __init__(self):
        self._sets: dict[tuple[str, str], _IncomingSet] = {}

    def store(
        self, peer: str, message: EvidenceSet, sent_at: float
    ) -> tuple[HostEvidence, ...]:
        """Store a complete set and return its evidence."""
        items = tuple(decode_evidence(message.items, sent_at))
        self._sets[(peer, message.name)] = _IncomingSet(message.number, items)
        return items

    def refresh(
        self, peer: str, state: EvidenceSetState, sent_at: float
    ) -> tuple[HostEvidence, ...] | None:
        """Return a known set's evidence with a new observation time.

        Returns None if the complete set must be requested.
        """
        known = self._sets.get((peer, state.name))
        if known is None or known.number != state.number:
            return None
        at = sent_at - state.age_ms / 1000.0
        return tuple(
            HostEvidence(item.host, item.health, at, item.since, item.report)
            for item in known.items
            if item.health is Health.UP
        )

    def forget(self, peer: str) -> None:
        """Remove the sets of a peer whose link is lost."""
        for key in [key for key in self._sets if key[0] == peer]:
            del self._sets[key]


def _report_key(evidence: HostEvidence) -> tuple | None:
    return report_key(evidence.report) if evidence.report is not None else None
