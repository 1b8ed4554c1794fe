"""Whether a target is alive, judged from all evidence about it and its age.

The store's entry is one item of evidence among others. It expires when the target can't
reach the store, although gateways may still reach the target.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

# Age up to which an answer shows that a target lives. Targets whose entries are missing
# are probed twice a second, and a probe may take half a second.
REACHED_TTL_S = 2.0
# Time after its entry was deleted for which a target counts as alive without an answer,
# while entries of many targets are missing: the first probe is under way.
FIRST_PROBE_S = 0.6
# Time after its entry was deleted for which a target that is not probed counts as
# unknown: entries of others that are cut off as well expire within it.
SETTLE_S = 0.5
# Time after which a target is gone that could not be probed, as this gateway has no
# links.
UNPROBED_TTL_S = 15.0
# Share of a service's targets in a zone, and their least number, whose entries must be
# missing to be taken for cut off from the store. Planned changes that are not announced
# take up to a fifth.
CUT_OFF_SHARE = 0.3
MIN_CUT_OFF = 2

# Source of what this gateway observes itself.
OWN = "here"
STORE = "store"
PEERS = "peers"


class EvidenceKind(enum.StrEnum):
    """What was observed of a target.

    Attributes
    ----------
    ENTRY_PRESENT
        The store has its entry.
    ENTRY_EXPIRED
        The store has deleted its entry; it had not announced that it leaves.
    ENTRY_REMOVED
        It announced that it leaves, and its entry was deleted.
    ENTRY_NOT_BACK
        Its entry expired while the store was away, and was not written again in time.
    ANSWERED
        It answered a probe.
    SILENT
        A probe was not answered in time.
    UNREACHED
        No connection could be opened to it, nor by the peers that were asked.
    REPLACED
        Another target, or a later start of it, has its address.
    RESPONSE
        It sent a response, or a part of one, to a request.
    """

    ENTRY_PRESENT = "entry present"
    ENTRY_EXPIRED = "entry expired"
    ENTRY_REMOVED = "entry removed"
    ENTRY_NOT_BACK = "entry not back"
    ANSWERED = "probe answered"
    SILENT = "probe not answered"
    UNREACHED = "not reached"
    REPLACED = "replaced"
    RESPONSE = "response"


POSITIVE_KINDS = frozenset({EvidenceKind.ANSWERED, EvidenceKind.RESPONSE})
NEGATIVE_KINDS = frozenset({EvidenceKind.SILENT, EvidenceKind.UNREACHED})


@dataclass(frozen=True, slots=True)
class Evidence:
    """An observation of a target.

    Attributes
    ----------
    source
        ``OWN``, ``STORE``, ``PEERS`` or the name of the peer that observed it.
    at
        Monotonic time of the observation.
    """

    kind: EvidenceKind
    source: str
    at: float


class LivenessState(enum.StrEnum):
    """Judgement of a target.

    Attributes
    ----------
    ALIVE
        It may get requests, as far as its entry says.
    LEAVING
        It answers, but its entry was deleted while those of most others are present: it
        leaves without having announced it. It gets no new requests.
    UNKNOWN
        Nothing shows whether it is alive. It gets no new requests.
    GONE
        It has ended.
    """

    ALIVE = "alive"
    LEAVING = "leaving"
    UNKNOWN = "unknown"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Verdict:
    """A judgement and the reason for it.

    Attributes
    ----------
    evidence
        The item that decided; None if there was none.
    """

    state: LivenessState
    reason: str
    evidence: Evidence | None = None


def judge(
    entry: Evidence,
    evidence: Iterable[Evidence],
    *,
    is_store_cut: bool,
    has_links: bool,
    now: float,
    is_probed: bool = True,
) -> Verdict:
    """Judge a target.

    Parameters
    ----------
    entry
        What the store shows.
    evidence
        The latest item of each kind from each source.
    is_store_cut
        Whether the entries of many targets of its service and zone are missing; see
        ``are_cut_off``.
    has_links
        Whether this gateway reaches targets, so that it can tell that one is gone.
    is_probed
        Whether this gateway probes it.

    Examples
    --------
    >>> expired = Evidence(EvidenceKind.ENTRY_EXPIRED, STORE, 10.0)
    >>> answer = Evidence(EvidenceKind.ANSWERED, "gw-2", 11.0)
    >>> judge(
    ...     expired, [answer], is_store_cut=True, has_links=False, now=11.5
    ... ).state.value
    'alive'
    """
    items = sorted(evidence, key=lambda item: item.at, reverse=True)
    for item in items:
        if item.kind is EvidenceKind.REPLACED:
            return Verdict(LivenessState.GONE, "address in use by another", item)
    match entry.kind:
        case EvidenceKind.ENTRY_PRESENT:
            return Verdict(LivenessState.ALIVE, "listed", entry)
        case EvidenceKind.ENTRY_REMOVED:
            return Verdict(LivenessState.GONE, "left as announced", entry)
        case EvidenceKind.ENTRY_NOT_BACK:
            return Verdict(
                LivenessState.GONE, "not listed again after an outage", entry
            )
    found = _judge_expired(entry, items, has_links=has_links, now=now)
    match found.state:
        case LivenessState.ALIVE if not is_store_cut:
            return Verdict(
                LivenessState.LEAVING, "answers, few entries missing", found.evidence
            )
        case LivenessState.UNKNOWN if (
            not is_store_cut and not is_probed and now - entry.at >= SETTLE_S
        ):
            return Verdict(LivenessState.GONE, "few entries missing", entry)
        case LivenessState.UNKNOWN if (
            is_store_cut and found.evidence is entry and now - entry.at < FIRST_PROBE_S
        ):
            return Verdict(
                LivenessState.ALIVE, "many entries missing, not probed yet", entry
            )
    return found


def are_cut_off(listed: int, expired: int, added: int) -> bool:
    """Return whether targets whose entries are missing seem cut off from the store.

    Parameters
    ----------
    listed
        Targets of a service and zone with an entry.
    expired
        Those whose entries were deleted although they had not announced to leave.
    added
        Those that were listed for the first time meanwhile, which replace others.
    """
    missing = expired - added
    return missing >= max(MIN_CUT_OFF, CUT_OFF_SHARE * (listed + missing))


def _judge_expired(
    entry: Evidence, items: list[Evidence], *, has_links: bool, now: float
) -> Verdict:
    """Judge a target whose entry expired by items in order of age, newest first."""
    failed: dict[str, Evidence] = {}
    unreached_at: dict[str, float] = {}
    for item in items:
        if item.kind in NEGATIVE_KINDS:
            failed.setdefault(item.source, item)
        if item.kind is EvidenceKind.UNREACHED:
            unreached_at.setdefault(item.source, item.at)
    own_failure = failed.get(OWN)
    for item in items:
        is_fresh = now - item.at <= REACHED_TTL_S
        is_refuted = unreached_at.get(item.source, item.at) > item.at
        if item.source == OWN and not has_links:
            is_refuted = False
        if item.kind in POSITIVE_KINDS and is_fresh and not is_refuted:
            return Verdict(LivenessState.ALIVE, "reached", item)
    if own_failure is not None and own_failure.at >= entry.at and has_links:
        return Verdict(LivenessState.GONE, "not reached", own_failure)
    if now - entry.at >= UNPROBED_TTL_S:
        return Verdict(LivenessState.GONE, "not reached for long", entry)
    if own_failure is not None and not has_links:
        return Verdict(LivenessState.UNKNOWN, "own links lost", own_failure)
    return Verdict(LivenessState.UNKNOWN, "not probed yet", entry)


class LivenessBook:
    """The latest evidence about targets, by kind and source."""

    def __init__(self):
        self._items: dict[str, dict[tuple[EvidenceKind, str], Evidence]] = {}

    def record(self, target: str, item: Evidence) -> None:
        """Record an observation; an older one than that known is ignored."""
        known = self._items.setdefault(target, {})
        key = (item.kind, item.source)
        if key not in known or known[key].at < item.at:
            known[key] = item

    def list_evidence(self, target: str) -> list[Evidence]:
        """Return the evidence about a target."""
        return list(self._items.get(target, {}).values())

    def answers(self, target: str, now: float) -> bool:
        """Return whether a target answered this gateway's last probe, not long ago.

        One that was not answered in time does not count, as a target that is silent for
        a moment serves on.
        """
        known = self._items.get(target, {})
        answer = known.get((EvidenceKind.ANSWERED, OWN))
        if answer is None or now - answer.at > REACHED_TTL_S:
            return False
        ends = (EvidenceKind.UNREACHED, EvidenceKind.REPLACED)
        return not any(
            known[kind, OWN].at >= answer.at for kind in ends if (kind, OWN) in known
        )

    def list_reached(self, now: float) -> dict[str, float]:
        """Return the ages of recent answers to this gateway's probes, by target."""
        key = (EvidenceKind.ANSWERED, OWN)
        return {
            target: now - known[key].at
            for target, known in self._items.items()
            if key in known and now - known[key].at <= REACHED_TTL_S
        }

    def forget(self, target: str) -> None:
        """Drop the evidence about a target, as it was listed anew or is forgotten."""
        self._items.pop(target, None)
