"""Tasks that follow the platform's store and keep this process's lease."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable

import gevent

from ..errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
)
from ..ports import KeyValueStore
from ..task import PeriodicTask
from .beliefs import MEMBER_PREFIX, GatewayView

WATCH_WAIT_S = 20.0
RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0

logger = logging.getLogger(__name__)


class StoreContact:
    """Whether the store answers this process, and since when.

    Attributes
    ----------
    answered_at
        Monotonic time of the last answer to any call.
    """

    def __init__(self, on_back: Callable[[], None]):
        self.answered_at = 0.0
        self.failing = False
        self._on_back = on_back

    def note_answer(self) -> None:
        """Note an answer."""
        self.answered_at = time.monotonic()
        if self.failing:
            self.failing = False
            logger.info("store answers again")
            self._on_back()

    def note_failure(self, exc: StoreError) -> None:
        """Note that a call failed."""
        if not self.failing:
            self.failing = True
            logger.warning("store does not answer", extra={"reason": exc.message})


class PrefixWatcher:
    """A greenlet that follows all keys below a prefix.

    Parameters
    ----------
    pause_s
        Returns the time to wait between two watches, in seconds: what changed
        meanwhile comes in one answer, since each call has its price.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        view: GatewayView,
        contact: StoreContact,
        pause_s: Callable[[], float],
    ):
        self._store = store
        self._prefix = prefix
        self._view = view
        self._contact = contact
        self._pause_s = pause_s
        self.listed = False
        view.mirror.note_followed(prefix, 0)
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to follow."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to follow."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        version = None
        retry_s = RETRY_MIN_S
        while True:
            try:
                if version is None:
                    version = self._list()
                else:
                    version = self._watch(version)
                retry_s = RETRY_MIN_S
            except StoreHistoryLostError:
                logger.info("history lost, listing", extra={"prefix": self._prefix})
                self._contact.note_answer()
                version = None
            except StoreError as exc:
                self._contact.note_failure(exc)
                gevent.sleep(retry_s * random.uniform(0.5, 1.0))
                retry_s = min(RETRY_MAX_S, retry_s * 2)

    def _list(self) -> int:
        listed = self._store.list(self._prefix)
        self._contact.note_answer()
        self._view.apply_list(self._prefix, listed)
        self._view.mirror.note_followed(self._prefix, listed.version)
        self.listed = True
        return listed.version

    def _watch(self, version: int) -> int:
        change = self._store.watch(self._prefix, version, wait_s=WATCH_WAIT_S)
        self._contact.note_answer()
        self._view.apply(change)
        self._view.mirror.note_followed(self._prefix, change.version)
        pause_s = self._pause_s()
        if pause_s > 0:
            gevent.sleep(pause_s)
        return max(version, change.version)


class LeaseKeeper(PeriodicTask):
    """Keeps one lease and the keys of this process that hang on it.

    Attributes
    ----------
    lease
        Id of the lease; None while there is none.
    valid_until
        Monotonic time until which the lease certainly holds.
    """

    interval_s = 1.0

    def __init__(
        self,
        store: KeyValueStore,
        contact: StoreContact,
        name: str,
        address: str,
        ttl_s: float,
    ):
        super().__init__()
        self._store = store
        self._contact = contact
        self._key = MEMBER_PREFIX + name
        self._address = address
        self._ttl_s = ttl_s
        self.lease: str | None = None
        self.valid_until = 0.0
        self._registered = False

    def tick(self) -> None:
        """Renew the lease and register this process."""
        started_at = time.monotonic()
        try:
            if self.lease is None or not self._store.renew_lease(self.lease):
                self._registered = False
                self.lease = None
                self.lease = self._store.grant_lease(self._ttl_s)
            self.valid_until = started_at + self._ttl_s
            self._contact.note_answer()
            if not self._registered:
                self._register()
        except StoreConflictError:
            logger.info("member record is another's", extra={"key": self._key})
        except StoreError as exc:
            self._contact.note_failure(exc)

    def put(self, key: str, value: bytes) -> int | None:
        """Create a key that ends with the lease; return its version, or None."""
        if self.lease is None or time.monotonic() >= self.valid_until:
            return None
        try:
            return self._store.put(key, value, expect=0, lease=self.lease)
        except StoreConflictError:
            return None
        except StoreAnswerLostError:
            entry = self._store.get(key)
            return entry.version if entry and entry.value == value else None

    def end(self) -> None:
        """End the lease, so that others need not wait for it to lapse."""
        if self.lease is not None:
            try:
                self._store.end_lease(self.lease)
            except StoreError as exc:
                logger.info("lease not ended", extra={"reason": exc.message})

    def end_peer_lease(self, lease: str) -> None:
        """End the lease of a process that has stopped.

        Raises
        ------
        StoreError
            The store does not answer, or refuses.
        """
        self._store.end_lease(lease)

    def _register(self) -> None:
        known = self._store.get(self._key)
        expect = 0 if known is None else known.version
        self._store.put(
            self._key, self._address.encode(), expect=expect, lease=self.lease
        )
        self._registered = True
