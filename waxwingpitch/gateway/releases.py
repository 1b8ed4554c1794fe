"""Whether a target may join another group, and the evidence for that."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass

from ..groups.naming import GroupHead, parse_head
from ..groups.orders_to_targets import Open
from ..targets.records import Membership, MembershipReport, MemberState, TargetRecord
from .beliefs import GatewayView
from .replicas import GroupEpoch

# Time for which a head's answer on whether it still accepts requests is reused for the
# other members of its group.
RELEASE_CACHE_TTL_S = 0.5


@dataclass(frozen=True, slots=True)
class Release:
    """Judgement on whether a target may join another group.

    Attributes
    ----------
    reason
        What decided, for the logs.
    observed_at
        Monotonic time of a report that decided; None if there was none.
    version
        Version of an entry that decided; 0 if there was none.
    """

    is_granted: bool
    reason: str
    observed_at: float | None = None
    version: int = 0

    def describe(self, now: float) -> dict:
        """Return the judgement for a log line."""
        age_s = None if self.observed_at is None else now - self.observed_at
        return {
            "release": self.reason,
            "release_age_ms": None if age_s is None else round(1000 * age_s),
            "release_version": self.version,
        }


class Releases:
    """Judges whether targets may join another group.

    Parameters
    ----------
    probe
        Returns the report of a target, given its id and address; None if it does not
        answer.
    get_headless_groups
        Returns the groups whose heads have no entry and are known to accept no more
        requests for them.
    """

    def __init__(
        self,
        view: GatewayView,
        probe: Callable[[str, str], MembershipReport | None],
        get_headless_groups: Callable[[], Set[str]],
    ):
        self._view = view
        self._probe = probe
        self._get_headless_groups = get_headless_groups
        self._cache: dict[tuple[str, int, bool], tuple[float, Release]] = {}
        self._opening_groups: set[tuple[str, int]] = set()
        self._verified_targets: set[str] = set()
        self._fence = 0

    def reset(self, fence: int) -> None:
        """Discard what is known, as another planner has sent orders.

        Parameters
        ----------
        fence
            Version of the planner's key. Entries with a higher version were written
            after the previous planner's last order, and show the target's group after
            it, except for orders that were delivered late.
        """
        self._fence = fence
        self._opening_groups.clear()
        self._verified_targets.clear()

    def expect_open(self, order: Open) -> None:
        """Note that an order to open a group is about to be sent."""
        self._opening_groups.add((order.group, order.epoch))

    def forget_opened_groups(self, targets: Mapping[str, TargetRecord]) -> None:
        """Forget pending orders to open groups that the list shows as opened."""
        for record in targets.values():
            place = record.membership
            if place is not None and place.state in (
                MemberState.OPEN,
                MemberState.CLOSING,
            ):
                self._opening_groups.discard((place.group, place.epoch))

    def judge(self, record: TargetRecord, now: float) -> Release:
        """Judge whether a target may join another group.

        The list may be stale for targets that can't reach the store. An entry is relied
        on if it was written since this planner acquired its key; otherwise the target
        and its head are probed.
        """
        confirmed = self._confirm_membership(record, now)
        place = record.membership
        head = None if place is None else parse_head(place.group)
        if not confirmed.is_granted or head is None:
            return confirmed
        if place.group in self._get_headless_groups():
            return Release(True, "head is gone")
        listed = self._find_listed_release(record)
        if listed is not None:
            return listed
        key = (place.group, place.epoch, place.rank == 0)
        known = self._cache.get(key)
        if known is None or now - known[0] > RELEASE_CACHE_TTL_S:
            known = (now, self._probe_release(head, *key, now))
            self._cache = {
                other: item
                for other, item in self._cache.items()
                if now - item[0] <= RELEASE_CACHE_TTL_S
            }
            self._cache[key] = known
        return known[1]

    def _confirm_membership(self, record: TargetRecord, now: float) -> Release:
        """Judge whether a target's group in its record is current.

        That is so if the entry is newer than the planner's key, or if the target's own
        report confirms it.
        """
        known = self._view.targets.get(record.id)
        if known is None:
            return Release(False, "not listed")
        if known.version > self._fence:
            return Release(True, "own entry", version=known.version)
        if record.id in self._verified_targets:
            return Release(True, "own report, earlier", version=known.version)
        report = self._probe(record.id, record.address)
        if report is None:
            return Release(False, "no own report", now)
        self._view.apply_report(record.id, known.version, report)
        is_current = get_group_epoch(report.membership) == get_group_epoch(
            record.membership
        )
        if is_current:
            self._verified_targets.add(record.id)
        return Release(is_current, "own report", now)

    def _find_listed_release(self, record: TargetRecord) -> Release | None:
        """Return the release that the entry of a group's head shows, or None.

        An entry older than the planner's key is no evidence, nor is any entry while an
        order to open the group is pending.
        """
        key = get_group_epoch(record.membership)
        known = self._view.targets.get(parse_head(record.membership.group).id)
        if known is None or known.version <= self._fence or key in self._opening_groups:
            return None
        place = known.record.membership
        if get_group_epoch(place) != key:
            return Release(True, "head's entry, not a member", version=known.version)
        if record.membership.rank == 0 and place.state is MemberState.READY:
            return Release(True, "own entry, ready", version=known.version)
        return None

    def _probe_release(
        self, head: GroupHead, group: str, epoch: int, is_head: bool, now: float
    ) -> Release:
        """Probe a head, and judge whether it, or its members, may join another group.

        A head that is ready may still execute a delayed order to open. That order fails
        once the head has begun another one, so only its members have to wait.
        """
        report = self._probe(head.id, head.address)
        if report is None:
            is_gone = group in self._get_headless_groups()
            return Release(is_gone, "no report of its head", now)
        place = report.membership
        if place is None or (place.group, place.epoch) != (group, epoch):
            return Release(True, "head's report, not a member", now)
        if is_head:
            is_closed = place.state not in (MemberState.OPEN, MemberState.CLOSING)
            return Release(is_closed, f"own report, {place.state}", now)
        is_broken = place.state is MemberState.BROKEN
        return Release(is_broken, f"head's report, {place.state}", now)


def get_group_epoch(membership: Membership | None) -> GroupEpoch | None:
    """Return the group of a target and its epoch, or None without a group."""
    return None if membership is None else (membership.group, membership.epoch)
