"""Targets whose entries were deleted, and which of them are still in use.

The judgement is that of :mod:`waxwingpitch.targets.liveness`.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from ..targets.liveness import (
    NEGATIVE_KINDS,
    OWN,
    REACHED_TTL_S,
    STORE,
    Evidence,
    EvidenceKind,
    LivenessBook,
    LivenessState,
    Verdict,
    are_cut_off,
    judge,
)
from ..targets.records import MembershipReport, TargetRecord
from .replicas import KnownTarget

# Time for which the removal of a target from the list is remembered, for the planner.
REMOVED_RETENTION_S = 20.0
# Time before the first deletion from which new targets count as replacements.
REPLACED_BEFORE_S = 3.0
# Targets of which this gateway reaches none, after which its links are presumed lost.
MIN_UNREACHED = 3

logger = logging.getLogger(__name__)


class ExpiredTargets:
    """Judges the targets whose entries were deleted.

    Parameters
    ----------
    listed
        Targets with an entry, by id; the caller changes it.

    Attributes
    ----------
    removed
        Targets that were recently removed from the list, each with its last record
        and the monotonic time of its removal.
    in_use
        Those that are alive, so that they count as listed.
    find_responses
        Returns what is known of a target's responses, given its id.
    is_cut
        Returns whether this gateway's links to all targets are presumed lost.
    may_stay
        Returns whether a target, given its record, may be in use without an entry.
    is_probed
        Returns whether this gateway probes a target, given its record and whether many
        targets of its service and zone have no entry.
    on_verdict
        Called with each verdict that differs from the one before.
    on_gone
        Called with the id of each target that is found to be gone and had not
        announced that it leaves.
    """

    def __init__(self, listed: Mapping[str, KnownTarget]):
        self.removed: dict[str, tuple[KnownTarget, float]] = {}
        self.in_use: dict[str, KnownTarget] = {}
        self.find_responses: Callable[[str], Iterable[Evidence]] = lambda target: ()
        self.is_cut: Callable[[], bool] = lambda: False
        self.may_stay: Callable[[TargetRecord], bool] = lambda record: True
        self.is_probed: Callable[[TargetRecord, bool], bool] = (
            lambda record, is_store_cut: True
        )
        self.on_verdict: Callable[[Verdict], None] = lambda verdict: None
        self.on_gone: Callable[[str], None] = lambda target: None
        self._listed = listed
        self._book = LivenessBook()
        self._verdicts: dict[str, Verdict] = {}
        self._added_at: dict[str, float] = {}
        self._unblamed: set[str] = set()
        self._back_until: dict[str, float] = {}
        self._cut_off: set[tuple[str, str]] = set()

    def add(
        self,
        known: KnownTarget,
        now: float,
        *,
        is_blamed: bool = True,
        back_until: float = math.inf,
    ) -> None:
        """Note that a target's entry was deleted.

        Parameters
        ----------
        is_blamed
            Whether ``on_gone`` is called for it.
        back_until
            Monotonic time by which its entry is written again if it lives.
        """
        target = known.record.id
        self.removed[target] = (known, now)
        self._back_until[target] = back_until
        if is_blamed:
            self._unblamed.discard(target)
        else:
            self._unblamed.add(target)

    def handle_listed(self, known: KnownTarget, now: float, *, is_new: bool) -> None:
        """Note that a target is listed.

        Parameters
        ----------
        is_new
            Whether it was not listed before.
        """
        target = known.record.id
        was_removed = self.removed.pop(target, None) is not None
        self._back_until.pop(target, None)
        if is_new and not was_removed:
            self._added_at[target] = now
        if was_removed:
            self._log(known, Verdict(LivenessState.ALIVE, "listed again"), now)
        self._verdicts.pop(target, None)
        self._book.forget(target)
        self.in_use.pop(target, None)

    def drop(self, target: str) -> None:
        """Use a target no longer, as it said that it leaves."""
        if target not in self.removed:
            return
        known, at = self.removed[target]
        record = replace(known.record, leaving=True)
        self.removed[target] = (replace(known, record=record), at)
        self.in_use.pop(target, None)

    def record_failure(self, target: str, kind: EvidenceKind, now: float) -> None:
        """Note that a target did not answer a probe of this gateway."""
        if target in self.removed:
            self._book.record(target, Evidence(kind, OWN, now))

    def record_answer(
        self, target: str, report: MembershipReport, now: float
    ) -> str | None:
        """Note a target's answer to a probe; return its zone if its record changed."""
        if target not in self.removed:
            return None
        self._book.record(target, Evidence(EvidenceKind.ANSWERED, OWN, now))
        known, at = self.removed[target]
        record = known.record.update(report)
        if record == known.record:
            return None
        known = replace(known, record=record)
        self.removed[target] = (known, at)
        if target not in self.in_use:
            return None
        self.in_use[target] = known
        return record.zone

    def record_reached(
        self, peer: str, ages_s: Mapping[str, float], now: float
    ) -> None:
        """Note which targets a peer has reached, and how long ago."""
        for target, age_s in ages_s.items():
            if target in self.removed:
                item = Evidence(EvidenceKind.ANSWERED, peer, now - age_s)
                self._book.record(target, item)

    def list_reached(self, now: float) -> dict[str, float]:
        """Return what peers are told: the ages of answers to probes, by target."""
        return self._book.list_reached(now)

    def find_not_gone(self, target: str) -> KnownTarget | None:
        """Return a target without an entry that is not judged gone."""
        if target not in self.removed:
            return None
        state = self._verdicts.get(target, _UNJUDGED).state
        return None if state is LivenessState.GONE else self.removed[target][0]

    def find_report(
        self, target: str, address: str, now: float
    ) -> MembershipReport | None:
        """Return what a target reports that answers, whether it leaves or not.

        Only the group and the weights in it are known; None if no answer to a probe of
        this gateway is recent.
        """
        if target not in self.removed or not self._book.answers(target, now):
            return None
        record = self.removed[target][0].record
        if record.address != address:
            return None
        return MembershipReport(0, 1.0, record.membership, record.model, record.staged)

    def list_probed(self) -> list[KnownTarget]:
        """Return the targets that are to be probed."""
        return [
            known
            for target, (known, _) in self.removed.items()
            if not self._is_replaced(target) and self._is_probed(known.record)
        ]

    def may_relay_to(self, address: str) -> bool:
        """Return whether a target at an address may be reached for a peer."""
        return any(
            known.record.address == address and not known.record.leaving
            for target, (known, _) in self.removed.items()
            if self._verdicts.get(target, _UNJUDGED).state is not LivenessState.GONE
        )

    def update(self, now: float) -> set[str]:
        """Judge all anew; return the zones in which targets in use have changed."""
        changed: set[str] = set()
        if not self.removed:
            return changed
        addresses = {
            known.record.address: target for target, known in self._listed.items()
        }
        self._cut_off = self._find_cut_off(now)
        has_links = self._finds_links(now)
        for target, (known, at) in list(self.removed.items()):
            record = known.record
            if addresses.get(record.address, target) != target:
                self._book.record(target, Evidence(EvidenceKind.REPLACED, STORE, at))
            verdict = judge(
                Evidence(self._find_entry_kind(record, now), STORE, at),
                [*self._book.list_evidence(target), *self._list_responses(known)],
                is_store_cut=self._is_cut_off(record),
                has_links=has_links,
                now=now,
                is_probed=self._is_probed(record),
            )
            self._take(known, verdict, changed, now)
        return changed

    def expire(self, now: float) -> None:
        """Forget removed targets that are not in use and whose retention is over."""
        for target, (_, removed_at) in list(self.removed.items()):
            is_over = now - removed_at > REMOVED_RETENTION_S
            if is_over and target not in self.in_use:
                del self.removed[target]
                del self._back_until[target]
                self._verdicts.pop(target, None)
                self._book.forget(target)
        for target, at in list(self._added_at.items()):
            if now - at > REMOVED_RETENTION_S:
                del self._added_at[target]

    def describe(self, now: float) -> list[dict]:
        """Return the verdicts for the dump."""
        return [
            {"target": target, **_describe(verdict, now)}
            for target, verdict in self._verdicts.items()
        ]

    def _take(
        self, known: KnownTarget, verdict: Verdict, changed: set[str], now: float
    ) -> None:
        target = known.record.id
        before = self._verdicts.get(target)
        self._verdicts[target] = verdict
        if before is None or before.state is not verdict.state:
            self._log(known, verdict, now)
        if verdict.state is LivenessState.ALIVE:
            if target not in self.in_use:
                self.in_use[target] = known
                changed.add(known.record.zone)
        elif self.in_use.pop(target, None) is not None:
            changed.add(known.record.zone)
        is_new = before is None or before.state is not LivenessState.GONE
        is_blamed = target not in self._unblamed and not known.record.leaving
        if verdict.state is LivenessState.GONE and is_new and is_blamed:
            self.on_gone(target)

    def _list_responses(self, known: KnownTarget) -> list[Evidence]:
        """Return the responses of a target, which may head a group, since it joined."""
        return [
            item
            for item in self.find_responses(known.record.id)
            if item.at >= known.membership_since
        ]

    def _finds_links(self, now: float) -> bool:
        """Return whether this gateway reaches targets, as far as it has tried."""
        if self.is_cut():
            return False
        unreached = sum(
            any(
                item.source == OWN and item.kind in NEGATIVE_KINDS
                for item in self._book.list_evidence(target)
            )
            for target in self.removed
        )
        if unreached < MIN_UNREACHED or self._book.list_reached(now):
            return True
        return any(
            item.source == OWN and now - item.at <= REACHED_TTL_S
            for target in self._listed
            for item in self.find_responses(target)
        )

    def _find_cut_off(self, now: float) -> set[tuple[str, str]]:
        """Return the services and zones whose targets seem cut off from the store."""
        expired: Counter[tuple[str, str]] = Counter()
        since: dict[tuple[str, str], float] = {}
        for known, at in self.removed.values():
            if not known.record.leaving:
                key = known.record.service, known.record.zone
                expired[key] += 1
                since[key] = min(at, since.get(key, at))
        listed = Counter(
            (known.record.service, known.record.zone)
            for known in self._listed.values()
            if not known.record.leaving
        )
        added: Counter[tuple[str, str]] = Counter()
        for target, at in self._added_at.items():
            if target in self._listed:
                record = self._listed[target].record
                key = record.service, record.zone
                added[key] += at >= since.get(key, at) - REPLACED_BEFORE_S
        return {
            key
            for key, count in expired.items()
            if are_cut_off(listed[key], count, added[key])
        }

    def _find_entry_kind(self, record: TargetRecord, now: float) -> EvidenceKind:
        if record.leaving:
            return EvidenceKind.ENTRY_REMOVED
        if now >= self._back_until[record.id]:
            return EvidenceKind.ENTRY_NOT_BACK
        return EvidenceKind.ENTRY_EXPIRED

    def _is_probed(self, record: TargetRecord) -> bool:
        return self.is_probed(record, self._is_cut_off(record))

    def _is_cut_off(self, record: TargetRecord) -> bool:
        key = record.service, record.zone
        return key in self._cut_off and self.may_stay(record)

    def _is_replaced(self, target: str) -> bool:
        return any(
            item.kind is EvidenceKind.REPLACED
            for item in self._book.list_evidence(target)
        )

    def _log(self, known: KnownTarget, verdict: Verdict, now: float) -> None:
        record = known.record
        logger.info(
            "target judged",
            extra={
                "target": record.id,
                "service": record.service,
                "zone": record.zone,
                **_describe(verdict, now),
            },
        )
        self.on_verdict(verdict)


_UNJUDGED = Verdict(LivenessState.UNKNOWN, "not judged yet")


def _describe(verdict: Verdict, now: float) -> dict:
    item = verdict.evidence
    return {
        "state": verdict.state.value,
        "reason": verdict.reason,
        "evidence": None if item is None else item.kind.value,
        "source": None if item is None else item.source,
        "age_ms": None if item is None else round(1000 * (now - item.at)),
    }
