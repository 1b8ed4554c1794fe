"""The right to plan one zone's replica groups.

It goes with a key in the store, that only one process can create. While the store
answers nobody, no other process can become the holder, so that the right lasts, and a
holder that stops can hand it to a peer.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import gevent

from ..errors import StoreError
from ..mesh.messages import PlanningRight
from .beliefs import PLANNER_PREFIX, GatewayView
from .store_tasks import LeaseKeeper

# Time that a candidate from another zone waits before it takes a zone's key.
FOREIGN_WAIT_S = 2.0
# Part of the lease that is left unused, against a paused process.
LEASE_MARGIN_S = 0.5
RETRY_S = 0.5
EPOCHS_PER_REVISION = 1000

logger = logging.getLogger(__name__)


class ZoneKey:
    """One zone's key, as one process holds it or not.

    Parameters
    ----------
    at_home
        Whether this process is in that zone; others wait before they step in.

    Attributes
    ----------
    fence
        Version of the key under which this process last planned; 0 if it never did.
    """

    def __init__(
        self,
        zone: str,
        *,
        name: str,
        at_home: bool,
        view: GatewayView,
        keeper: LeaseKeeper,
        is_store_unavailable: Callable[[], bool],
    ):
        self.zone = zone
        self.fence = 0
        self._name = name
        self._at_home = at_home
        self._view = view
        self._keeper = keeper
        self._is_store_unavailable = is_store_unavailable
        self._lease: str | None = None
        self._counter = 0
        self._vacant_since: float | None = None
        self._received: PlanningRight | None = None

    @property
    def is_held(self) -> bool:
        """Whether this process may give orders in the zone now."""
        if self.fence == 0:
            return False
        owner = self._name if self._received is None else self._received.owner
        if self._view.find_planner(self.zone) not in (owner, None):
            return False
        if self._is_store_unavailable():
            return True
        return (
            self._received is None
            and self._lease == self._keeper.lease
            and time.monotonic() < self._keeper.valid_until - LEASE_MARGIN_S
        )

    def next_epoch(self) -> int:
        """Return a number higher than all before, at any holder."""
        self._counter += 1
        return self.fence * EPOCHS_PER_REVISION + self._counter

    def try_acquire(self) -> bool:
        """Create the key if it is vacant; return whether this process did.

        Raises
        ------
        StoreError
            The store does not answer, or refuses.
        """
        self._return_received()
        now = time.monotonic()
        if self._view.find_planner(self.zone) is not None:
            self._vacant_since = None
            return False
        if self._vacant_since is None:
            self._vacant_since = now
        if not self._at_home and now - self._vacant_since < FOREIGN_WAIT_S:
            return False
        lease = self._keeper.lease
        if lease is None or not self._view.route_table:
            return False
        version = self._keeper.put(PLANNER_PREFIX + self.zone, self._name.encode())
        if version is None:
            self._vacant_since = now
            gevent.sleep(RETRY_S)
            return False
        self.fence = version
        self._lease = lease
        self._counter = 0
        logger.info("plans zone", extra={"zone": self.zone, "fence": version})
        return True

    def hand_over(self) -> PlanningRight | None:
        """Give the right up for a peer; None if there is none to give.

        While the store answers, the end of the lease makes room for others.
        """
        if not self.is_held or not self._is_store_unavailable():
            return None
        owner, lease = self._name, self._lease or ""
        if self._received is not None:
            owner, lease = self._received.owner, self._received.lease
        right = PlanningRight(self.zone, owner, self.fence, self._counter, lease)
        self.fence = 0
        return right

    def take_over(self, right: PlanningRight) -> bool:
        """Take the right that its holder gave up; return whether it holds."""
        if not self._is_store_unavailable() or self.is_held:
            return False
        self._received = right
        self.fence = right.fence
        self._counter = right.counter
        logger.info(
            "plans zone for a holder that stopped",
            extra={"zone": self.zone, "fence": right.fence, "owner": right.owner},
        )
        return True

    def _return_received(self) -> None:
        """Drop a received right once the store answers anybody: it may have lapsed."""
        if self._received is None or self._is_store_unavailable():
            return
        lease = self._received.lease
        self._received = None
        self.fence = 0
        try:
            self._keeper.end_other(lease)
        except StoreError as exc:
            logger.info("received lease not ended", extra={"reason": exc.message})
