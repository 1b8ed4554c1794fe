"""Locks by which only one suspect at a time is tried at a target.

A suspect is a request that was in flight when a target crashed. A crash during its
trial can then be attributed to one request, whichever entry host sent it. Trials are
rare, so each lock is a key with a lease in the key-value service. While the service is
down, only the entry host that ranks first by rendezvous hashing in the target's zone
may run trials there.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from ..errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from ..membership import MemberList, split_cap
from ..ports import KeyValueStore
from ..targets import Target
from .view import EntryView

TRIAL_LEASE_S = 60.0
TRIAL_PREFIX = "trials/"

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class TrialLock:
    """A held lock that permits the trial of a suspect at one target.

    Attributes
    ----------
    version
        Version of the key; 0 if it was not written because the service was down.
    """

    key: str
    version: int


class TrialLocks:
    """Acquires and releases trial locks.

    Parameters
    ----------
    view
        State of the cluster as known to this process.
    store
        The key-value service.
    """

    def __init__(self, view: EntryView, store: KeyValueStore):
        self._view = view
        self._store = store

    def acquire(self, target: Target, request: str) -> TrialLock | None:
        """Acquire a target's lock.

        Returns
        -------
        TrialLock or None
            None if the lock is held or it is not known who holds it.
        """
        key, value = TRIAL_PREFIX + target.id, request.encode()
        try:
            lease = self._store.grant_lease(TRIAL_LEASE_S)
            return TrialLock(key, self._store.put(key, value, expect=0, lease=lease))
        except StoreConflictError:
            return None
        except StoreAnswerLostError:
            return self._confirm_by_read(key, value)
        except StoreUnavailableError:
            return self._acquire_without_store(target, key)

    def release(self, lock: TrialLock) -> None:
        """Release a lock; if the service is down, it expires with its lease."""
        if not lock.version:
            return
        try:
            self._store.delete(lock.key, expect=lock.version)
        except StoreError as exc:
            logger.info(
                "trial lock not released; it expires with its lease",
                extra={"why": exc.message},
            )

    def _confirm_by_read(self, key: str, value: bytes) -> TrialLock | None:
        try:
            entry = self._store.get(key)
        except StoreError:
            return None
        if entry is None or entry.value != value:
            return None
        return TrialLock(key, entry.version)

    def _acquire_without_store(self, target: Target, key: str) -> TrialLock | None:
        members = self._view.agreed.lists.get(target.zone, MemberList(target.zone))
        if not members.members or not split_cap(members, self._view.me, key, 1):
            return None
        return TrialLock(key, 0)
