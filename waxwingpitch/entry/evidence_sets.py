"""Evidence sets: what a process vouches for, refreshed by number.

A set is sent whole only when it changes. From then on a heartbeat says, with the
set's number and the age of its oldest observation, that all of it still holds.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..mesh import EvidenceSet, EvidenceSetState
from ..targets import EvidenceBook, Health, HostEvidence
from ..targets.evidence import report_key
from .evidence_wire import decode_evidence, encode_evidence

OWN_SET = ""


@dataclass(frozen=True, slots=True)
class _Outgoing:
    """The last state of a set that peers were told of."""

    number: int
    key: tuple


@dataclass(frozen=True, slots=True)
class _Incoming:
    """A set that a peer sent."""

    number: int
    items: tuple[HostEvidence, ...]


class OutgoingSets:
    """Numbers the sets that this process vouches for.

    Parameters
    ----------
    book
        Evidence of this process.
    """

    def __init__(self, book: EvidenceBook):
        self._book = book
        self._sets: dict[str, _Outgoing] = {}

    def describe(self, name: str, hosts: Iterable[str], now: float) -> EvidenceSetState:
        """Return the state of a set, under a new number if it changed."""
        items = list(self._select(hosts, now))
        key = tuple((item.host, item.health, _key_of(item)) for item in items)
        known = self._sets.get(name)
        if known is None or known.key != key:
            known = _Outgoing(known.number + 1 if known else 1, key)
            self._sets[name] = known
        ages = (now - item.observed_at for item in items if item.health is Health.UP)
        return EvidenceSetState(name, known.number, int(max(ages, default=0.0) * 1000))

    def build(self, name: str, hosts: Iterable[str], now: float) -> EvidenceSet:
        """Return a whole set as it is sent."""
        hosts = list(hosts)
        state = self.describe(name, hosts, now)
        items = encode_evidence(self._select(hosts, now), now)
        return EvidenceSet(name, state.number, int(now * 1000), items)

    def _select(self, hosts: Iterable[str], now: float) -> Iterator[HostEvidence]:
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
    """Sets that peers vouch for."""

    def __init__(self):
        self._sets: dict[tuple[str, str], _Incoming] = {}

    def store(
        self, peer: str, message: EvidenceSet, sent_at: float
    ) -> tuple[HostEvidence, ...]:
        """Take in a whole set and return its evidence."""
        items = tuple(decode_evidence(message.items, sent_at))
        self._sets[(peer, message.name)] = _Incoming(message.number, items)
        return items

    def refresh(
        self, peer: str, state: EvidenceSetState, sent_at: float
    ) -> tuple[HostEvidence, ...] | None:
        """Return a set's evidence with its new age, or None if it must be asked for."""
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
        """Forget the sets of a peer whose link is lost."""
        for key in [key for key in self._sets if key[0] == peer]:
            del self._sets[key]


def _key_of(evidence: HostEvidence) -> tuple | None:
    return report_key(evidence.report) if evidence.report is not None else None
