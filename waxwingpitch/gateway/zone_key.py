"""Exclusive planning of one zone's replica groups, guarded by a key in the store.

Only one process can create the key, which is bound to its lease. While the store
answers no entry host, no other process can acquire the key. The holder then goes on
planning even after its lease has expired, and can hand planning over to a peer when
it stops.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import gevent

from ..agreed.versions import get_era
from ..clocks import boot_time
from ..errors import StoreError
from ..mesh.messages import PlanningHandover
from .beliefs import PLANNER_PREFIX, GatewayView
from .store_tasks import LeaseKeeper

# Time that a process of another zone leaves a zone's key vacant before it acquires it.
REMOTE_ACQUIRE_DELAY_S = 2.0
# Safety margin before the lease expires, in case the process is paused meanwhile.
LEASE_MARGIN_S = 0.5
ACQUIRE_RETRY_S = 0.5
# An epoch is the key's version times this number plus a counter, so that epochs grow
# from one holder to the next.
EPOCHS_PER_REVISION = 1000

logger = logging.getLogger(__name__)


class ZoneKey:
    """One zone's planner key, and whether this process holds it.

    Parameters
    ----------

    Attributes
    ----------
    is_preferred
        Whether this process is the zone's head; others acquire the key only after a
        delay.
    fence
        Fencing token of this process's orders: version of the key that it acquired or
        was handed over; 0 if there is none.
    """

    def __init__(
        self,
        zone: str,
        *,
        name: str,
        view: GatewayView,
        lease_keeper: LeaseKeeper,
        is_store_unavailable: Callable[[], bool],
    ):
        self.zone = zone
        self.fence = 0
        self._name = name
        self.is_preferred = False
        self._view = view
        self._lease_keeper = lease_keeper
        self._is_store_unavailable = is_store_unavailable
        self._lease: str | None = None
        self._epoch_counter = 0
        self._vacant_since: float | None = None
        self._handover: PlanningHandover | None = None

    @property
    def is_held(self) -> bool:
        """Whether this process may send orders in the zone now."""
        if self.fence == 0 or get_era(self.fence) != self._view.mirror.era:
            return False
        if boot_time() < self._view.older_keys_until:
            return False
        owner = self._name if self._handover is None else self._handover.owner
        if self._view.find_planner(self.zone) not in (owner, None):
            return False
        if self._is_store_unavailable():
            return True
        return (
            self._handover is None
            and self._lease == self._lease_keeper.lease
            and boot_time() < self._lease_keeper.valid_until - LEASE_MARGIN_S
        )

    def next_epoch(self) -> int:
        """Return an epoch higher than all earlier ones of this and other holders."""
        self._epoch_counter += 1
        return self.fence * EPOCHS_PER_REVISION + self._epoch_counter

    def try_acquire(self) -> bool:
        """Create the key if it is vacant; return whether this process did.

        Raises
        ------
        StoreError
            The store does not answer, or refuses the call.
        """
        self._discard_handover()
        now = time.monotonic()
        if self._view.find_planner(self.zone) is not None:
            self._vacant_since = None
            return False
        if self._vacant_since is None:
            self._vacant_since = now
        if not self.is_preferred and now - self._vacant_since < REMOTE_ACQUIRE_DELAY_S:
            return False
        lease = self._lease_keeper.lease
        if lease is None or not self._view.route_table:
            return False
        version = self._lease_keeper.put(
            PLANNER_PREFIX + self.zone, self._name.encode()
        )
        if version is None:
            self._vacant_since = now
            gevent.sleep(ACQUIRE_RETRY_S)
            return False
        self.fence = version
        self._lease = lease
        self._epoch_counter = 0
        logger.info("plans zone", extra={"zone": self.zone, "fence": version})
        return True

    def hand_over(self) -> PlanningHandover | None:
        """Release the key to a peer; None if it is not held or needs no handover.

        While the store answers, none is needed: the key is deleted with the lease.
        """
        if not self.is_held or not self._is_store_unavailable():
            return None
        owner, lease = self._name, self._lease or ""
        if self._handover is not None:
            owner, lease = self._handover.owner, self._handover.lease
        handover = PlanningHandover(
            self.zone, owner, self.fence, self._epoch_counter, lease
        )
        self.fence = 0
        return handover

    def take_over(self, handover: PlanningHandover) -> bool:
        """Take over the key of a holder that stopped; return whether it succeeded."""
        if not self._is_store_unavailable() or self.is_held:
            return False
        self._handover = handover
        self.fence = handover.fence
        self._epoch_counter = handover.counter
        logger.info(
            "plans zone for a holder that stopped",
            extra={"zone": self.zone, "fence": handover.fence, "owner": handover.owner},
        )
        return True

    def _discard_handover(self) -> None:
        """Discard a handover once the store answers, as its lease may have expired."""
        if self._handover is None or self._is_store_unavailable():
            return
        lease = self._handover.lease
        self._handover = None
        self.fence = 0
        try:
            self._lease_keeper.revoke_peer_lease(lease)
        except StoreError as exc:
            logger.info(
                "lease of a planning handover not revoked",
                extra={"reason": exc.message},
            )
