"""Finds what requests that crash their targets have in common.

Any request in flight when its target crashed may be the cause, by any of its keys: the
parts of the prompt that it shares with others, and its fingerprint. Sound requests
share some of these keys and run beside it. A key is blocked if it explains several
crashes, one after the other, and no request with it has been served since. Of keys that
explain the same crashes those are sound of which requests were served before.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace
from operator import attrgetter

import xxhash

from .culprits import (
    CrashItem,
    Culprit,
    count_in_turn,
    find_culprits,
    select_in_turn,
)

# Crashes in turn from which all gateways are told that a request with the key was
# served. Fewer block no part, and are common.
CLEAR_CRASHES = 2
# Time for which a crash counts, and for which it does while it blocks a key.
EVIDENCE_TTL_S = 120.0
BLOCK_TTL_S = 600.0
MAX_ITEMS = 2048
# Parts of prompts for which the last request that was served is remembered.
MAX_SERVED_PARTS = 8192
# Crashes told to a new peer for each blocked key.
MAX_TOLD_ITEMS = 16


def build_part_key(service: str, part: str) -> str:
    """Return the key of a part of prompts."""
    return xxhash.xxh3_64_hexdigest(f"{service}\0{part}".encode())


class BlameBook:
    """Crashes and the requests in flight, and the keys that are blocked for them.

    Gateways that merge the same crashes, in any order, block the same keys, but for
    those of requests that they served between the crashes.
    """

    def __init__(self):
        self._items: dict[tuple[str, str], CrashItem] = {}
        self._until: dict[tuple[str, str], float] = {}
        self._cleared_at: dict[str, float] = {}
        self._served_at: dict[str, float] = {}
        self._by_key: dict[str, list[CrashItem]] = {}
        self._culprits: dict[str, Culprit] = {}
        self._is_stale = False

    def merge(self, items: Iterable[CrashItem]) -> None:
        """Add crashes; those that are known or have expired are ignored."""
        for item in items:
            name = item.incarnation, item.fingerprint
            if name not in self._items:
                self._items[name] = item
                self._until[name] = item.broken_at + EVIDENCE_TTL_S
                self._is_stale = True
        excess = max(0, len(self._items) - MAX_ITEMS)
        for name in heapq.nsmallest(excess, self._until, key=self._until.__getitem__):
            self._drop(name)

    def find_blocked(self, keys: Iterable[str]) -> Culprit | None:
        """Return the blocked key among a request's keys, if any."""
        return next(self.iter_blocked(keys), None)

    def iter_blocked(self, keys: Iterable[str]) -> Iterator[Culprit]:
        """Yield the blocked keys among a request's keys."""
        self._update()
        if self._culprits:
            yield from (self._culprits[key] for key in keys if key in self._culprits)

    def find_served(self, keys: Sequence[str], sent_at: float) -> tuple[str, ...]:
        """Return the keys of a served request that all gateways should clear.

        Earlier crashes of requests with its other keys no longer block them here.

        Parameters
        ----------
        keys
            Keys of the request, its fingerprint last.
        sent_at
            Monotonic time at which the request was sent.
        """
        self._remember_served(keys, sent_at)
        self._update()
        if not self._by_key:
            return ()
        return tuple(key for key in keys if self._is_cleared_by(key, sent_at))

    def clear(self, keys: Iterable[str], at: float) -> None:
        """Ignore earlier crashes of requests with these keys, as one was served."""
        for key in keys:
            self._cleared_at[key] = max(at, self._cleared_at.get(key, at))
        self._is_stale = True

    def list_cleared(self) -> dict[str, float]:
        """Return the monotonic times at which keys were cleared."""
        return dict(self._cleared_at)

    def count_crashes(self, key: str) -> int:
        """Return the number of crashes that count against a key."""
        self._update()
        return len({item.incarnation for item in self._by_key.get(key, ())})

    def list_blocking(self) -> tuple[CrashItem, ...]:
        """Return the crashes for which keys are blocked, the latest of each key.

        They follow one another, so that they block the key at another gateway too, and
        are without the keys of which a request was served since.
        """
        self._update()
        latest = {
            (item.incarnation, item.fingerprint): self._without_cleared(item)
            for culprit in self._culprits.values()
            for item in select_in_turn(culprit.items)[-MAX_TOLD_ITEMS:]
        }
        return tuple(latest.values())

    def list_culprits(self) -> tuple[Culprit, ...]:
        """Return the blocked keys, for the dump and the log."""
        self._update()
        return tuple(self._culprits.values())

    def expire(self, now: float) -> None:
        """Remove what no longer counts."""
        expired = [name for name, until in self._until.items() if until <= now]
        for name in expired:
            self._drop(name)
        for key, at in list(self._cleared_at.items()):
            if at + BLOCK_TTL_S <= now:
                del self._cleared_at[key]
        while self._served_at:
            key = next(iter(self._served_at))
            if self._served_at[key] + BLOCK_TTL_S > now:
                break
            del self._served_at[key]

    def find_served_at(self, key: str) -> float | None:
        """Return when a key that is not blocked was last served; None if unknown."""
        times = [
            known[key] for known in (self._cleared_at, self._served_at) if key in known
        ]
        return None if key in self._culprits else max(times, default=None)

    def _remember_served(self, keys: Sequence[str], sent_at: float) -> None:
        """Remember when a request was served, in the order in which this happened.

        Fingerprints, which are of little use unless targets crashed, are not kept else.
        """
        for key in keys if keys[-1] in self._by_key else keys[:-1]:
            self._served_at[key] = max(sent_at, self._served_at.pop(key, sent_at))
        for _ in range(len(self._served_at) - MAX_SERVED_PARTS):
            del self._served_at[next(iter(self._served_at))]

    def _without_cleared(self, item: CrashItem) -> CrashItem:
        parts = (
            key
            for key in item.keys[:-1]
            if item.broken_at > self._cleared_at.get(key, -math.inf)
        )
        return replace(item, keys=(*parts, item.fingerprint))

    def _is_cleared_by(self, key: str, sent_at: float) -> bool:
        items = self._by_key.get(key, ())
        if len(items) < CLEAR_CRASHES or sent_at < items[0].broken_at:
            return False
        return count_in_turn(items) >= CLEAR_CRASHES

    def _list_since_served(self, key: str, items: list[CrashItem]) -> list[CrashItem]:
        served_at = self._served_at[key]
        return [item for item in items if item.broken_at > served_at]

    def _drop(self, name: tuple[str, str]) -> None:
        del self._items[name], self._until[name]
        self._is_stale = True

    def _update(self) -> None:
        if not self._is_stale:
            return
        self._is_stale = False
        by_key: defaultdict[str, list[CrashItem]] = defaultdict(list)
        for item in sorted(self._items.values(), key=attrgetter("broken_at")):
            for key in item.keys:
                by_key[key].append(item)
        for key in self._cleared_at.keys() & by_key.keys():
            cleared_at = self._cleared_at[key]
            by_key[key] = [item for item in by_key[key] if item.broken_at > cleared_at]
            if not by_key[key]:
                del by_key[key]
        self._by_key = dict(by_key)
        unserved = self._by_key.copy()
        for key in self._served_at.keys() & by_key.keys():
            unserved[key] = self._list_since_served(key, by_key[key])
        culprits = find_culprits(unserved, self._served_at.keys())
        self._culprits = {item.key: item for item in culprits}
        for culprit in self._culprits.values():
            for item in culprit.items:
                name = item.incarnation, item.fingerprint
                self._until[name] = item.broken_at + BLOCK_TTL_S
