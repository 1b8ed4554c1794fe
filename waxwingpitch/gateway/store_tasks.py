"""Tasks that watch the platform's store and renew this process's lease."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import gevent

from ..clocks import boot_time
from ..errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
)
from ..ports import KeyValueStore
from ..task import PeriodicTask
from .beliefs import GatewayView
from .freshness import TIMELY_PREFIXES, Freshness

WATCH_WAIT_S = 10.0
# Wait of watch calls for what must be known in time, of the first one, and of those
# while calls fail. A call that the store has swallowed is only given up at its timeout.
SHORT_WATCH_WAIT_S = 0.5
# Bounds of the time for which an answer is waited for beyond that.
MIN_WATCH_MARGIN_S = 0.5
MAX_WATCH_MARGIN_S = 3.0
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 1.0

logger = logging.getLogger(__name__)


class StoreHealth:
    """Whether the store answers this process.

    Parameters
    ----------
    on_recovery
        Called when the store answers again after a failure.

    Attributes
    ----------
    answered_at
        Boot time of the last answer to any call.
    failing
        Whether a call has failed since that answer.
    is_checked
        Whether this process calls the store at least every second.
    """

    def __init__(self, on_recovery: Callable[[], None]):
        self.answered_at = 0.0
        self.failing = False
        self.is_checked = False
        self._on_recovery = on_recovery

    def record_answer(self) -> None:
        """Record that a call was answered."""
        self.answered_at = boot_time()
        if self.failing:
            self.failing = False
            logger.info("store answers again")
            self._on_recovery()

    def record_failure(self, exc: StoreError) -> None:
        """Record that a call failed."""
        if not self.failing:
            self.failing = True
            logger.warning("store does not answer", extra={"reason": exc.message})


class PrefixWatcher:
    """A greenlet that keeps the mirror of all keys below a prefix up to date.

    Parameters
    ----------
    pause_s
        Returns the time to wait between two watch calls, in seconds. Changes during
        the pause arrive in one answer, which saves calls to the store.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        view: GatewayView,
        store_health: StoreHealth,
        freshness: Freshness,
        pause_s: Callable[[], float],
    ):
        self._store = store
        self._prefix = prefix
        self._view = view
        self._store_health = store_health
        self._freshness = freshness
        self._pause_s = pause_s
        self._margin_s = MIN_WATCH_MARGIN_S
        self._is_proved = False
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the watch loop."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the watch loop."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        version = self._view.mirror.get_synced(self._prefix) or None
        self._is_proved = False
        backoff_s = BACKOFF_MIN_S
        while True:
            try:
                if version is None:
                    version = self._list()
                else:
                    version = self._watch(version)
                backoff_s = BACKOFF_MIN_S
            except StoreHistoryLostError:
                logger.info("history lost, listing", extra={"prefix": self._prefix})
                self._store_health.record_answer()
                version = None
            except StoreError as exc:
                self._store_health.record_failure(exc)
                self._margin_s = min(MAX_WATCH_MARGIN_S, 2 * self._margin_s)
                gevent.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
            except Exception:
                logger.exception("watch failed", extra={"prefix": self._prefix})
                gevent.sleep(BACKOFF_MAX_S)

    def _list(self) -> int:
        started_at = boot_time()
        listed = self._store.list(self._prefix)
        self._store_health.record_answer()
        self._view.apply_list(self._prefix, listed)
        self._view.mirror.mark_synced(self._prefix, listed.version)
        self._freshness.confirm(self._prefix, started_at)
        return listed.version

    def _watch(self, version: int) -> int:
        is_cautious = self._store_health.failing or not self._is_proved
        is_short = is_cautious or self._prefix in TIMELY_PREFIXES
        wait_s = SHORT_WATCH_WAIT_S if is_short else WATCH_WAIT_S
        started_at = boot_time()
        change = self._store.watch(
            self._prefix, version, wait_s=wait_s, margin_s=self._margin_s
        )
        self._is_proved = True
        self._store_health.record_answer()
        self._view.apply(change)
        self._view.mirror.mark_synced(self._prefix, change.version)
        self._record_answer(started_at, wait_s)
        pause_s = self._pause_s()
        if pause_s > 0:
            gevent.sleep(pause_s)
        return max(version, change.version)

    def _record_answer(self, started_at: float, wait_s: float) -> None:
        """Take what is known for as old as the answer, if this process was paused."""
        now, due_at = boot_time(), started_at + wait_s
        self._freshness.confirm(self._prefix, min(now, due_at))
        margin_s = 2 * (now - due_at)
        if margin_s > 0:
            self._margin_s = min(MAX_WATCH_MARGIN_S, max(MIN_WATCH_MARGIN_S, margin_s))


class LeaseKeeper(PeriodicTask):
    """Keeps a lease of this process while one is needed.

    Attributes
    ----------
    is_needed
        Whether this process may hold keys.
    lease
        Id of the lease; None while there is none.
    valid_until
        Boot time before which the lease can't expire, counted from the start of the
        last successful renewal.
    """

    interval_s = 1.0

    def __init__(self, store: KeyValueStore, store_health: StoreHealth, ttl_s: float):
        super().__init__()
        self._store = store
        self._store_health = store_health
        self._ttl_s = ttl_s
        self.is_needed = False
        self.lease: str | None = None
        self.valid_until = 0.0

    def require(self, is_needed: bool) -> None:
        """Say whether a lease is needed."""
        if is_needed and not self.is_needed:
            self.wake()
        self.is_needed = is_needed
        self._store_health.is_checked = is_needed

    def tick(self) -> None:
        """Renew the lease, or get one."""
        if not self.is_needed:
            return
        started_at = boot_time()
        try:
            if self.lease is None or not self._store.renew_lease(self.lease):
                self.lease = None
                self.lease = self._store.grant_lease(self._ttl_s)
            self.valid_until = started_at + self._ttl_s
            self._store_health.record_answer()
        except StoreError as exc:
            self._store_health.record_failure(exc)

    def put(self, key: str, value: bytes) -> int | None:
        """Create a key that is deleted when the lease ends; return its version.

        Returns
        -------
        int or None
            None if there is no valid lease, or if another process holds the key.

        Raises
        ------
        StoreError
            The store does not answer, or refuses the call.
        """
        if self.lease is None or boot_time() >= self.valid_until:
            return None
        try:
            return self._store.put(key, value, expect=0, lease=self.lease)
        except StoreConflictError:
            return None
        except StoreAnswerLostError:
            entry = self._store.get(key)
            return entry.version if entry and entry.value == value else None

    def end(self) -> None:
        """Hold no lease from now on, and revoke the one held, in the background."""
        lease, self.lease, self.valid_until = self.lease, None, 0.0
        if lease is not None:
            gevent.spawn(self._revoke, lease)

    def revoke(self) -> None:
        """Revoke the lease, so that others need not wait for it to expire."""
        if self.lease is not None:
            self._revoke(self.lease)

    def _revoke(self, lease: str) -> None:
        try:
            self._store.revoke_lease(lease)
        except StoreError as exc:
            logger.info(
                "own lease not revoked; its keys stay until it expires",
                extra={"reason": exc.message},
            )

    def revoke_peer_lease(self, lease: str) -> None:
        """Revoke the lease of a peer that has stopped.

        Raises
        ------
        StoreError
            The store does not answer, or refuses the call.
        """
        self._store.revoke_lease(lease)
