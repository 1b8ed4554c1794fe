"""What the statuses of peers tell about the store, and whom to follow by them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ..clocks import boot_time
from ..mesh.fleet_messages import FleetStatus
from .freshness import STALE_AFTER_S
from .roster import Roster
from .store_tasks import StoreHealth

# Age after which a peer's status says nothing about the store or its weight loads.
STATUS_TTL_S = 2.0
# Gateways by which knowledge of the store may come; four in sound operation.
MAX_PATH = 8


class PeerStatuses:
    """The latest status of each linked peer."""

    def __init__(self, roster: Roster, store_health: StoreHealth):
        self._roster = roster
        self._store_health = store_health
        self._statuses: dict[str, tuple[float, FleetStatus]] = {}

    def record(self, peer: str, status: FleetStatus) -> None:
        """Replace a peer's status."""
        self._statuses[peer] = (boot_time(), status)

    def drop(self, peer: str) -> None:
        """Forget a peer whose link ended."""
        self._statuses.pop(peer, None)

    def iter_recent(self) -> Iterator[tuple[float, FleetStatus]]:
        """Yield the recent statuses, each with its age."""
        now = boot_time()
        for at, status in self._statuses.values():
            if now - at < STATUS_TTL_S:
                yield now - at, status

    def list_cut(self) -> frozenset[str]:
        """Return the peers that said lately that they reach no targets."""
        now = boot_time()
        return frozenset(
            peer
            for peer, (at, status) in self._statuses.items()
            if status.is_cut and now - at < STATUS_TTL_S
        )

    @property
    def store_age_s(self) -> float:
        """Time since the store last answered this process."""
        return boot_time() - self._store_health.answered_at

    def find_path(self, source: str | None) -> tuple[str, ...]:
        """Return the gateways by which what a source knows comes, itself first."""
        if not source:
            return ()
        known = self._statuses.get(source)
        if known is None:
            return (source,)
        status = known[1]
        further = status.path or ((status.follows,) if status.follows else ())
        return (source, *further)[:MAX_PATH]

    def find_source(
        self,
        zones: Iterable[str],
        present: str | None,
        *,
        failed: frozenset[str | None] = frozenset(),
    ) -> str | None:
        """Return the gateway to follow; None to read the store, "" if not yet known.

        Parameters
        ----------
        zones
            All zones, in the order in which their heads are followed.
        present
            Whom this process follows now.
        failed
            Whom it has followed in vain lately; None for the store.
        """
        name, zone = self._roster.local.name, self._roster.local.zone
        head = self._roster.find_head(zone)
        if head == name:
            return self._find_source_of_head(zones, present, failed)
        if head is None:
            return present
        if head not in failed and self._is_followable(head):
            return head
        deputies = [item for item in self._roster.list_heads(zone) if item != head]
        if name in deputies:
            return self._find_source_of_head(zones, present, failed)
        sound = (item for item in deputies if item not in failed)
        # A whole zone must not read the store at once when its head fails.
        return next(filter(self._is_followable, sound), head)

    def _find_source_of_head(
        self,
        zones: Iterable[str],
        present: str | None,
        failed: frozenset[str | None],
    ) -> str | None:
        is_answered = None not in failed and (
            not self._store_health.failing or self.store_age_s < STALE_AFTER_S
        )
        for zone in zones:
            if zone == self._roster.local.zone:
                if is_answered:
                    return None
                continue
            head = self._roster.find_head(zone)
            if head is not None and head not in failed and self._is_followable(head):
                return head
            if head is None and present == "" and self._roster.may_have_head(zone):
                return ""
        if is_answered:
            return None
        deputies = self._roster.list_heads(self._roster.local.zone)
        sound = (item for item in deputies if item not in failed)
        return next(filter(self._is_followable, sound), None)

    def _is_followable(self, peer: str) -> bool:
        """Return whether a peer's knowledge is fresh and does not come from here.

        Gateways that follow each other in a circle would take it for fresh for a while.
        """
        path = self.find_path(peer)
        if self._roster.local.name in path or len(path) == MAX_PATH:
            return False
        return self._is_in_touch(peer)

    def _is_in_touch(self, peer: str) -> bool:
        """Return whether a peer's knowledge of the store is fresh."""
        known = self._statuses.get(peer)
        if known is None:
            return True  # linked just now
        at, status = known
        return status.data_age_ms / 1000 + boot_time() - at < STALE_AFTER_S
