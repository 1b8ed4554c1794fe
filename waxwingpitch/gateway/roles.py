"""What this process does for the others: leading, planning, reading the store."""

from __future__ import annotations

import logging
from collections.abc import Sequence

import gevent

from ..platform import TARGET_PREFIX
from .beliefs import GatewayView
from .following import StoreFollower
from .peers import PeerTask
from .planning import ZonePlanner
from .registration import Registration
from .roster import Roster, order_zones
from .store_tasks import LeaseKeeper

# Time for which a process must be the head or the next host before it plans, so that
# hosts that start at the same time know each other.
CANDIDATE_DELAY_S = 0.8
# Time for which a process that took no targets' entries follows them again before it
# owns slots.
CATCH_UP_S = 1.0
# Time without a link after which the record of an entry host is removed, and until the
# removal is tried again.
LOST_HOST_S = 20.0
REMOVAL_INTERVAL_S = 5.0

logger = logging.getLogger(__name__)


class Roles:
    """Adapts the roles of a gateway to the live entry hosts.

    Parameters
    ----------
    zones
        All availability zones.
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        *,
        roster: Roster,
        view: GatewayView,
        peers: PeerTask,
        follower: StoreFollower,
        registration: Registration,
        lease_keeper: LeaseKeeper,
        planners: Sequence[ZonePlanner],
    ):
        self._zones = zones
        self._zone_order = order_zones(zones)
        self._roster = roster
        self._view = view
        self._peers = peers
        self._follower = follower
        self._registration = registration
        self._lease_keeper = lease_keeper
        self._planners = planners
        self._zone = roster.local.zone
        self._candidate_since: float | None = None
        self._ready_from = 0.0
        self._wanted_targets = True
        self._removals: dict[str, float] = {}

    @property
    def planned_zones(self) -> list[str]:
        """Zones that this process plans."""
        return [planner.zone for planner in self._planners if planner.is_holder]

    def tick(self, now: float, *, is_stopping: bool) -> tuple[str, ...]:
        """Take up and give up roles; return the zones whose targets are served here."""
        is_settled = self._registration.is_settled
        zones: tuple[str, ...] = (self._zone,)
        if is_settled:
            zones = self._roster.list_served_zones(self._zones)
        is_head = self._roster.find_head(self._zone) == self._roster.local.name
        may_plan = is_head or self._roster.is_among_first(
            f"head {self._zone}", self._zone
        )
        self._assign_planning(zones, is_head, may_plan, now, is_stopping=is_stopping)
        wants_targets = may_plan or bool(self.planned_zones) or self._may_own()
        # A host that stops is the last resort of its zone, while it drains.
        wants_targets |= is_stopping and self._wanted_targets
        self._update_readiness(wants_targets, now)
        if is_settled:
            self._follow_store(wants_targets)
        if is_head:
            self._remove_lost_hosts(now)
        return zones

    def _assign_planning(
        self,
        zones: tuple[str, ...],
        is_head: bool,
        may_plan: bool,
        now: float,
        *,
        is_stopping: bool,
    ) -> None:
        """Let the head and the next host plan, and others give planning up."""
        if not may_plan or is_stopping or not self._registration.is_settled:
            self._candidate_since = None
        elif self._candidate_since is None:
            self._candidate_since = now
        since = self._candidate_since
        is_candidate = since is not None and now - since >= CANDIDATE_DELAY_S
        for planner in self._planners:
            planner.set_role(
                is_candidate=is_candidate and planner.zone in zones,
                is_preferred=is_head,
            )
        planned = self.planned_zones
        self._lease_keeper.require(may_plan or bool(planned))
        is_store_lost = self._peers.witnesses.is_store_unavailable()
        if planned and not may_plan and not is_store_lost:
            logger.info("planning given up", extra={"zones": planned})
            self._lease_keeper.end()

    def _may_own(self) -> bool:
        """Return whether this process owns slots, or would own them next."""
        return any(
            self._roster.is_among_first(f"slots {key}", self._zone)
            for key in self._view.list_slot_keys(self._zone)
        )

    def _update_readiness(self, wants_targets: bool, now: float) -> None:
        """Own no slots on a view of the targets that was not kept up to date."""
        if wants_targets and not self._wanted_targets:
            self._ready_from = now + CATCH_UP_S
        self._wanted_targets = wants_targets
        has_targets = self._view.mirror.get_synced(TARGET_PREFIX) > 0
        self._roster.is_ready = (
            wants_targets
            and has_targets
            and self._view.cfg is not None
            and now >= self._ready_from
        )

    def _follow_store(self, wants_targets: bool) -> None:
        """Read the store, or follow the one that this process should follow now."""
        source = self._peers.statuses.find_source(
            self._zone_order,
            self._follower.source,
            failed=self._follower.list_failed_sources(),
        )
        if source != "":
            self._follower.follow(source, wants_targets=wants_targets)

    def _remove_lost_hosts(self, now: float) -> None:
        """Remove the records of this zone's hosts that have been lost for long."""
        for name in self._roster.list_long_lost(LOST_HOST_S):
            if now - self._removals.get(name, -REMOVAL_INTERVAL_S) < REMOVAL_INTERVAL_S:
                continue
            self._removals[name] = now
            gevent.spawn(self._registration.remove_lost, name)
