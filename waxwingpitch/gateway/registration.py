"""Registers this process in the store, and finds the other entry hosts."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import gevent

from ..agreed.versions import get_era
from ..errors import StoreError
from ..ports import KeyValueStore
from ..slots import EntryHost
from .beliefs import GATEWAY_PREFIX, GatewayView
from .host_records import HOST_PREFIX, encode_host
from .store_tasks import StoreHealth

# Bounds of the time for which a starting process waits to be found before it lists the
# entry hosts itself.
MIN_DISCOVERY_DELAY_S = 0.05
MAX_DISCOVERY_DELAY_S = 0.5
MIN_RETRY_S = 0.2
MAX_RETRY_S = 2.0
CHECK_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


class Registration:
    """Writes the record of this entry host, and again if it was removed.

    A record has no lease: that a host is lost is seen on its links, and the head of its
    zone removes the record later.

    Parameters
    ----------
    has_found_peers
        Returns whether another entry host is linked.
    """

    def __init__(
        self,
        store: KeyValueStore,
        view: GatewayView,
        store_health: StoreHealth,
        local: EntryHost,
        has_found_peers: Callable[[], bool],
    ):
        self._store = store
        self._view = view
        self._store_health = store_health
        self._local = local
        self._has_found_peers = has_found_peers
        self._greenlet: gevent.Greenlet | None = None
        self._written = 0
        self._is_settled = False

    @property
    def is_settled(self) -> bool:
        """Whether this process was once found, or has listed the entry hosts itself."""
        self._is_settled |= self._has_found_peers()
        return self._is_settled

    def start(self) -> None:
        """Start to register."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop registering."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def remove(self) -> None:
        """Delete the record, as this process stops."""
        entry = self._view.mirror.get(HOST_PREFIX + self._local.name)
        if entry is None or entry.value != encode_host(self._local):
            return
        try:
            self._store.delete(entry.key, expect=entry.version)
        except StoreError as exc:
            logger.info("own record not removed", extra={"reason": exc.message})

    def remove_lost(self, name: str) -> None:
        """Delete the record of a host that has been lost for long."""
        entry = self._view.mirror.get(HOST_PREFIX + name)
        if entry is None:
            return
        try:
            self._store.delete(entry.key, expect=entry.version)
            logger.info("record of a lost entry host removed", extra={"host": name})
        except StoreError as exc:
            logger.info(
                "record of a lost entry host not removed",
                extra={"host": name, "reason": exc.message},
            )

    def _run(self) -> None:
        self._register()
        gevent.sleep(random.uniform(MIN_DISCOVERY_DELAY_S, MAX_DISCOVERY_DELAY_S))
        if not self._has_found_peers():
            self._list_hosts()
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            if self._was_removed():
                self._register()

    def _register(self) -> None:
        """Write the record unconditionally, whatever an earlier process left."""
        key = HOST_PREFIX + self._local.name

        def _write() -> None:
            self._written = self._store.overwrite(key, encode_host(self._local))

        self._retry(_write)

    def _list_hosts(self) -> None:
        self._retry(self._apply_list)
        self._is_settled = True

    def _apply_list(self) -> None:
        listed = self._store.list(GATEWAY_PREFIX)
        self._view.apply_list(GATEWAY_PREFIX, listed)
        self._view.mirror.mark_synced(GATEWAY_PREFIX, listed.version)

    def _was_removed(self) -> bool:
        synced = self._view.mirror.get_synced(GATEWAY_PREFIX)
        entry = self._view.mirror.get(HOST_PREFIX + self._local.name)
        if synced < self._written and get_era(synced) == get_era(self._written):
            return False
        return entry is None or entry.value != encode_host(self._local)

    def _retry(self, call: Callable[[], object]) -> None:
        pause_s = MIN_RETRY_S
        while True:
            try:
                call()
            except StoreError as exc:
                self._store_health.record_failure(exc)
                gevent.sleep(pause_s * random.uniform(0.5, 1.0))
                pause_s = min(MAX_RETRY_S, pause_s * 2)
            except Exception:
                logger.exception("registration failed")
                gevent.sleep(MAX_RETRY_S)
            else:
                self._store_health.record_answer()
                return
