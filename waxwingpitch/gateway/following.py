"""Follows the platform's store: some gateways read it, the others follow these.

Each zone's head follows the head of the first zone, in an order that all know, that the
store answers; the first of them reads the store. All other gateways follow the head of
their zone. A gateway that hears no one it could follow reads the store itself.
"""

from __future__ import annotations

import logging
import time
import zlib
from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import lru_cache

import gevent

from ..agreed.mirror import StoreMirror
from ..clocks import boot_time
from ..errors import StoreError
from ..mesh.fleet_messages import (
    FleetStatus,
    RemovedItem,
    StoredItem,
    StoreUpdate,
    Subscription,
)
from ..mesh.messages import Message
from ..platform import OPERATOR_PREFIX, TARGET_PREFIX
from ..ports import KeyValueStore, StoredChange, StoredDeletion, StoredEntry
from .beliefs import GATEWAY_PREFIX, GatewayView
from .freshness import STALE_AFTER_S, Freshness, to_age_ms
from .store_tasks import PrefixWatcher, StoreHealth

# Interval at which a subscription is repeated, and time after which it has ended.
SUBSCRIBE_INTERVAL_S = 0.5
SUBSCRIPTION_TTL_S = 2.0
# Time for which a source whose updates did not arrive is passed over.
FAILED_SOURCE_S = 5.0
# Time in which changes are collected for one message.
PUSH_DELAY_S = 0.01
# Values from this size on are compressed: a head sends its zone a configuration of
# half a megabyte over a link of 10 Mbit/s and more.
MIN_COMPRESSED_BYTES = 4096
COMPRESSION_LEVEL = 1
MAX_VALUE_BYTES = 2 * 1024 * 1024
PREFIXES = (OPERATOR_PREFIX, GATEWAY_PREFIX)

logger = logging.getLogger(__name__)


class StoreFollower:
    """Keeps the mirror up to date, from the store or from another gateway.

    Parameters
    ----------
    send
        Sends a message to a peer; returns False if it is not linked.
    multicast
        Sends a message to several peers, encoding it once.
    find_pause_s
        Returns the time between two watch calls for targets, in seconds.

    Attributes
    ----------
    on_news
        Called when another source is followed, and when what is known here gets old or
        is new again, as peers choose their sources by that.
    """

    def __init__(
        self,
        store: KeyValueStore,
        view: GatewayView,
        store_health: StoreHealth,
        send: Callable[[str, Message], bool],
        multicast: Callable[[Message, list[str]], None],
        find_pause_s: Callable[[], float],
    ):
        self._store = store
        self._view = view
        self._store_health = store_health
        self._send = send
        self._multicast = multicast
        self._find_pause_s = find_pause_s
        self._freshness = Freshness()
        self._is_stale = False
        self._source: str | None = ""
        self._source_since = 0.0
        self._failed_until: dict[str | None, float] = {}
        self.on_news: Callable[[], None] = lambda: None
        self._subscribed_at = 0.0
        self._wants_targets = False
        self._watchers: dict[str, PrefixWatcher] = {}
        self._followers: dict[str, tuple[float, dict[str, int]]] = {}
        self._is_push_due = False

    @property
    def source(self) -> str | None:
        """Gateway that is followed; None while the store is read, "" at the start."""
        return self._source

    @property
    def data_age_s(self) -> float:
        """Age of what is known here of the store, for what must be known in time."""
        return self._freshness.find_age_s(self._list_timely_prefixes())

    @property
    def configuration_age_s(self) -> float:
        """Age of what is known here of what the operators wrote."""
        return self._freshness.find_age_s((OPERATOR_PREFIX,))

    def read_configuration(self) -> None:
        """Read what the operators wrote, once, before another gateway is followed."""
        try:
            listed = self._store.list(OPERATOR_PREFIX)
        except StoreError as exc:
            self._store_health.record_failure(exc)
            logger.info("configuration not read", extra={"reason": exc.message})
            return
        self._store_health.record_answer()
        if self._view.mirror.get_synced(OPERATOR_PREFIX) < listed.version:
            self._view.apply_list(OPERATOR_PREFIX, listed)
            self._view.mirror.mark_synced(OPERATOR_PREFIX, listed.version)

    def list_failed_sources(self) -> frozenset[str | None]:
        """Return the sources lately followed by which what is known here got old."""
        now = boot_time()
        if self._source != "":
            followed_s = now - self._source_since
            if min(followed_s, self.data_age_s) >= STALE_AFTER_S:
                self._failed_until[self._source] = now + FAILED_SOURCE_S
        return frozenset(
            source for source, until in self._failed_until.items() if until > now
        )

    def list_changes(self) -> dict[str, int]:
        """Return the versions of the last known changes, by prefix."""
        mirror = self._view.mirror
        return {
            prefix: mirror.get_latest_change(prefix)
            for prefix in self._list_prefixes()
            if mirror.get_synced(prefix)
        }

    def follow(self, source: str | None, *, wants_targets: bool) -> None:
        """Follow a gateway, or read the store if it is None.

        Called a few times a second.

        Parameters
        ----------
        wants_targets
            Whether the targets' entries are needed.
        """
        if source != self._source:
            logger.info("store source", extra={"source": source or "store"})
            self._source = source
            self._source_since = boot_time()
            self._subscribed_at = 0.0
            self.on_news()
        self._log_age()
        self._wants_targets = wants_targets
        self._run_watchers(self._list_prefixes() if source is None else ())
        now = time.monotonic()
        if source is not None and now - self._subscribed_at >= SUBSCRIBE_INTERVAL_S:
            positions = {
                prefix: self._view.mirror.get_synced(prefix)
                for prefix in self._list_prefixes()
            }
            if self._send(source, Subscription(positions)):
                self._subscribed_at = now

    def restart_watches(self) -> None:
        """Call the store anew, as it answers again and may have lost earlier calls."""
        prefixes = tuple(self._watchers)
        self._run_watchers(())
        self._run_watchers(prefixes)

    def stop(self) -> None:
        """Stop reading the store."""
        self._run_watchers(())

    def handle_subscription(self, peer: str, message: Subscription) -> None:
        """Send a peer what it lacks, now and whenever something changes."""
        self._followers[peer] = (time.monotonic(), dict(message.positions))
        self._push([peer])

    def handle_update(self, peer: str, message: StoreUpdate) -> None:
        """Apply changes that the followed gateway sent."""
        apply_store_update(self._view, message)
        synced = self._view.mirror.get_synced(message.prefix)
        if peer == self._source and message.age_ms >= 0 and synced >= message.version:
            known_at = boot_time() - message.age_ms / 1000
            self._freshness.confirm(message.prefix, known_at)

    def handle_status(self, peer: str, status: FleetStatus) -> None:
        """Take what is known here for as new as the source's, if it is the same."""
        if peer != self._source:
            return
        known_at = boot_time() - status.data_age_ms / 1000
        for prefix in self._list_prefixes():
            synced = self._view.mirror.get_synced(prefix)
            change = status.changes.get(prefix)
            if synced and (not status.changes or _is_reached(synced, change)):
                self._freshness.confirm(prefix, known_at)

    def handle_lost_peer(self, peer: str) -> None:
        """Stop sending changes to a peer."""
        self._followers.pop(peer, None)

    def schedule_push(self) -> None:
        """Send changes to the followers soon, several in one message."""
        if not self._is_push_due and self._followers:
            self._is_push_due = True
            gevent.spawn_later(PUSH_DELAY_S, self._push_all)

    def list_followers_of_targets(self) -> list[str]:
        """Return the peers that follow the targets' entries here."""
        return [
            peer
            for peer, (_, positions) in self._followers.items()
            if TARGET_PREFIX in positions
        ]

    def _log_age(self) -> None:
        """Log once that what is known here gets old, and that it is new again."""
        age_s = self.data_age_s
        is_known = self._freshness.knows(self._list_timely_prefixes())
        is_stale = age_s >= STALE_AFTER_S
        if is_stale != self._is_stale and self._source != "":
            self._is_stale = is_stale
            self.on_news()
            logger.log(
                logging.WARNING if is_stale else logging.INFO,
                "knowledge of the store is old" if is_stale else "knowledge is new",
                extra={
                    "age_ms": int(1000 * age_s) if is_known else None,
                    "source": self._source or "store",
                },
            )

    def _list_timely_prefixes(self) -> list[str]:
        prefixes = [OPERATOR_PREFIX]
        if self._wants_targets and self._view.mirror.get_synced(TARGET_PREFIX):
            prefixes.append(TARGET_PREFIX)
        return prefixes

    def _list_prefixes(self) -> tuple[str, ...]:
        return (*PREFIXES, TARGET_PREFIX) if self._wants_targets else PREFIXES

    def _run_watchers(self, prefixes: Iterable[str]) -> None:
        for prefix in self._watchers.keys() - set(prefixes):
            self._watchers.pop(prefix).stop()
        for prefix in prefixes:
            if prefix not in self._watchers:
                pause_s = self._find_pause_s if prefix == TARGET_PREFIX else _no_pause
                watcher = PrefixWatcher(
                    self._store,
                    prefix,
                    self._view,
                    self._store_health,
                    self._freshness,
                    pause_s,
                )
                self._watchers[prefix] = watcher
                watcher.start()

    def _push_all(self) -> None:
        self._is_push_due = False
        now = time.monotonic()
        for peer, (at, _) in list(self._followers.items()):
            if now - at > SUBSCRIPTION_TTL_S:
                del self._followers[peer]
        self._push(list(self._followers))

    def _push(self, peers: list[str]) -> None:
        """Send peers what they lack; those at the same position get one message."""
        age_ms = to_age_ms(self.data_age_s)
        behind: dict[tuple[str, int], list[str]] = defaultdict(list)
        for peer in peers:
            for prefix, position in self._followers[peer][1].items():
                behind[prefix, position].append(peer)
        for (prefix, position), receivers in behind.items():
            update = build_store_update(self._view.mirror, prefix, position, age_ms)
            if update is None:
                continue
            self._multicast(update, receivers)
            for peer in receivers:
                self._followers[peer][1][prefix] = update.version


def build_store_update(
    mirror: StoreMirror, prefix: str, after: int, age_ms: int = -1
) -> StoreUpdate | None:
    """Return what a peer lacks that knows the changes up to a version; None if nothing.

    A peer that may know keys whose deletion is not known here gets everything.
    """
    synced = mirror.get_synced(prefix)
    if synced <= after:
        return None
    is_complete = after == 0 or not mirror.has_history(prefix, after)
    change = mirror.list_after(prefix, 0 if is_complete else after)
    return StoreUpdate(
        prefix,
        after,
        synced,
        tuple(map(_encode_item, change.entries)),
        (
            ()
            if is_complete
            else tuple(RemovedItem(item.key, item.version) for item in change.deletions)
        ),
        is_complete,
        age_ms,
    )


def apply_store_update(view: GatewayView, message: StoreUpdate) -> None:
    """Apply changes that another gateway sent."""
    entries = tuple(map(_decode_item, message.items))
    if message.complete:
        listed = StoredChange(message.version, entries)
        if message.version > view.mirror.get_synced(message.prefix):
            view.apply_list(message.prefix, listed)
    else:
        removed = tuple(
            StoredDeletion(item.key, item.version) for item in message.removed
        )
        view.apply(StoredChange(message.version, entries, removed))
        if message.after > view.mirror.get_synced(message.prefix):
            return  # an update before this one was lost
    view.mirror.mark_synced(message.prefix, message.version)


def _encode_item(entry: StoredEntry) -> StoredItem:
    if len(entry.value) < MIN_COMPRESSED_BYTES:
        return StoredItem(entry.key, entry.version, entry.value)
    return StoredItem(entry.key, entry.version, _compress(entry.value), True)


@lru_cache(maxsize=4)
def _compress(value: bytes) -> bytes:
    return zlib.compress(value, COMPRESSION_LEVEL)


def _decode_item(item: StoredItem) -> StoredEntry:
    value = item.value
    if item.is_compressed:
        value = zlib.decompressobj().decompress(value, MAX_VALUE_BYTES)
    return StoredEntry(item.key, item.version, value)


def _is_reached(synced: int, change: int | None) -> bool:
    return change is not None and synced >= change


def _no_pause() -> float:
    return 0.0
