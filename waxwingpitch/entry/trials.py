"""Trials of suspects: one at a time at each target, over all entry hosts.

A crash during a trial then speaks against one request only. Trials are rare, so
they are agreed in the key-value service; while it is down, the best-ranked entry
host of a target's zone may try there.
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
    """The right to try a suspect at a target.

    Attributes
    ----------
    version
        Version of the key; 0 if the service was down.
    """

    key: str
    version: int


class TrialLocks:
    """Begins and ends trials.

    Parameters
    ----------
    view
        What the process knows.
    store
        The key-value service.
    """

    def __init__(self, view: EntryView, store: KeyValueStore):
        self._view = view
        self._store = store

    def acquire(self, target: Target, request: str) -> TrialLock | None:
        """Return the right to a trial, or None if another one is under way."""
        key, value = TRIAL_PREFIX + target.id, request.encode()
        try:
            lease = self._store.grant_lease(TRIAL_LEASE_S)
            return TrialLock(key, self._store.put(key, value, expect=0, lease=lease))
        except StoreConflictError:
            return None
        except StoreAnswerLostError:
            return self._read_back(key, value)
        except StoreUnavailableError:
            return self._begin_alone(target, key)

    def release(self, lock: TrialLock) -> None:
        """Give a trial back; its lease does so if the service is down."""
        if not lock.version:
            return
        try:
            self._store.delete(lock.key, expect=lock.version)
        except StoreError as exc:
            logger.info("trial ends with its lease", extra={"why": exc.message})

    def _read_back(self, key: str, value: bytes) -> TrialLock | None:
        try:
            entry = self._store.get(key)
        except StoreError:
            return None
        if entry is None or entry.value != value:
            return None
        return TrialLock(key, entry.version)

    def _begin_alone(self, target: Target, key: str) -> TrialLock | None:
        members = self._view.agreed.lists.get(target.zone, MemberList(target.zone))
        if not members.members or not split_cap(members, self._view.me, key, 1):
            return None
        return TrialLock(key, 0)
