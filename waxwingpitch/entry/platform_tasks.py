"""Tasks that read the platform's services and post changes to the coordination task."""

from __future__ import annotations

import logging
import random

import gevent

from ..agreed import Document
from ..agreed.documents import AGREED_PREFIX
from ..errors import StoreError
from ..membership import rank_by_rendezvous
from ..ports import HostList, KeyValueStore, StoredChange
from ..task import PeriodicTask
from .coordination import Coordination
from .events import DocumentsUpdated, HostListUpdated
from .view import EntryView

WATCHERS_PER_ZONE = 3
WATCH_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 8.0
RETRY_DELAY_S = 0.5
HOST_LIST_INTERVAL_S = 0.5

logger = logging.getLogger(__name__)


class DocumentWatcher(PeriodicTask):
    """Follows the agreed documents in the key-value service.

    A few members of each zone use a long-polling watch. The others receive changes
    from them over the mesh and poll only at a long interval.

    Attributes
    ----------
    store_up
        Whether the last read from the key-value service succeeded.
    """

    interval_s = 0.0

    def __init__(
        self, view: EntryView, store: KeyValueStore, coordination: Coordination
    ):
        super().__init__()
        self.store_up = False
        self._view = view
        self._store = store
        self._coordination = coordination
        self._synced_version = 0

    def tick(self) -> None:
        """Watch or poll once."""
        is_watcher = self._is_watcher()
        wait_s = WATCH_TIMEOUT_S if is_watcher else 0.0
        try:
            change = self._store.watch(
                AGREED_PREFIX, self._synced_version, wait_s=wait_s
            )
        except StoreError as exc:
            self._update_store_state(False, exc.message)
            gevent.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))
            return
        self._update_store_state(True)
        self._post_documents(change)
        if not is_watcher:
            gevent.sleep(POLL_INTERVAL_S * random.uniform(0.8, 1.2))

    def _is_watcher(self) -> bool:
        alive = self._view.alive_in_zone()
        ranked = rank_by_rendezvous("watch", alive)
        return self._view.me.id in ranked[:WATCHERS_PER_ZONE]

    def _post_documents(self, change: StoredChange) -> None:
        self._synced_version = change.version
        docs = tuple(Document(e.key, e.version, e.value) for e in change.entries)
        if docs:
            self._coordination.post(DocumentsUpdated(docs))

    def _update_store_state(self, up: bool, reason: str = "") -> None:
        if up != self.store_up:
            self.store_up = up
            state = "reached" if up else "unreachable"
            logger.warning(f"key-value service {state}", extra={"why": reason})


class HostFollower(PeriodicTask):
    """Follows the platform's list of hosts."""

    interval_s = HOST_LIST_INTERVAL_S

    def __init__(self, view: EntryView, hosts: HostList, coordination: Coordination):
        super().__init__()
        self._view = view
        self._hosts = hosts
        self._coordination = coordination

    def tick(self) -> None:
        """Read the list once."""
        try:
            snapshot = self._hosts.fetch(self._view.hosts_version)
        except StoreError as exc:
            logger.debug("could not read the host list: %s", exc.message)
            return
        if snapshot is not None:
            self._coordination.post(HostListUpdated(snapshot))
