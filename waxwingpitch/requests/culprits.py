"""Search for the keys that explain crashes of targets.

A key is a part of a prompt, or the fingerprint of a request. One that is in a request
that was in flight at each of several crashes, one after the other, explains them.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain
from operator import attrgetter

# Weight of crashes in turn from which a request is blocked by its fingerprint, or by a
# part of its prompt, which sound requests may share.
BLOCK_CRASHES_FINGERPRINT = 2.0
BLOCK_CRASHES_PART = 3.0
# The same for a part of which requests were served before, if parts that are new were
# in flight at these crashes too.
BLOCK_CRASHES_SERVED_PART = 5.0
# How much a crash counts against a request that had output, if others that were in
# flight had none: targets mostly crash before, but some just after their first output.
OUTPUT_WEIGHT = 0.6
# Least share of a culprit's crashes that a rival explains too.
RIVAL_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class CrashItem:
    """A request that was in flight when an incarnation of a target crashed.

    Attributes
    ----------
    incarnation
        Id and start time of the target.
    keys
        Keys of the request: parts of its prompt in their order, then its fingerprint.
    sent_at, broken_at
        Monotonic times at which it was sent and at which its connection broke.
    had_output
        Whether a part of its answer had arrived.
    """

    incarnation: str
    keys: tuple[str, ...]
    sent_at: float
    broken_at: float
    had_output: bool = False

    @property
    def fingerprint(self) -> str:
        """Key of requests with the same content."""
        return self.keys[-1]

    @property
    def target(self) -> str:
        """Id of the target."""
        return self.incarnation.rpartition(":")[0]


@dataclass(frozen=True, slots=True)
class Culprit:
    """A key that explains crashes.

    Attributes
    ----------
    items
        The requests with this key that were in flight at the crashes it explains.
    rivals
        Other parts that explain most of these crashes as well.
    """

    key: str
    items: tuple[CrashItem, ...]
    rivals: frozenset[str] = frozenset()

    @property
    def crashes(self) -> int:
        """Number of incarnations that crashed."""
        return len({item.incarnation for item in self.items})

    @property
    def first_crash_at(self) -> float:
        """Monotonic time of the first crash."""
        return min(item.broken_at for item in self.items)

    @property
    def last_crash_at(self) -> float:
        """Monotonic time of the last crash."""
        return max(item.broken_at for item in self.items)

    @property
    def is_fingerprint(self) -> bool:
        """Whether the key stands for a single request and its repeats."""
        return self.items[0].fingerprint == self.key


def select_in_turn(items: Iterable[CrashItem]) -> list[CrashItem]:
    """Return a request of each of most crashes of which each followed the one before.

    Requests that were sent before the first of several crashes say little: an event
    such as a loss of power may have ended all of their targets.

    Examples
    --------
    >>> at_once = [CrashItem("a", ("k",), 0.0, 1.0), CrashItem("b", ("k",), 0.5, 1.0)]
    >>> [item.incarnation for item in select_in_turn(at_once)]
    ['a']
    >>> in_turn = [*at_once, CrashItem("c", ("k",), 1.1, 1.4)]
    >>> [item.incarnation for item in select_in_turn(in_turn)]
    ['a', 'c']
    """
    selected: list[CrashItem] = []
    seen: set[str] = set()
    last_broken_at = -math.inf
    for item in sorted(items, key=attrgetter("broken_at")):
        if item.sent_at >= last_broken_at and item.incarnation not in seen:
            last_broken_at = item.broken_at
            seen.add(item.incarnation)
            selected.append(item)
    return selected


def count_in_turn(items: Iterable[CrashItem]) -> int:
    """Return the largest number of crashes of which each followed the one before."""
    return len(select_in_turn(items))


def find_silent_crashes(items: Iterable[CrashItem]) -> frozenset[str]:
    """Return the incarnations at whose crash a request without output was in flight."""
    return frozenset(item.incarnation for item in items if not item.had_output)


def weigh_in_turn(items: list[CrashItem], silent: Container[str]) -> float:
    """Return how much the crashes of which each followed the one before count.

    Parameters
    ----------
    silent
        Incarnations at whose crash a request without output was in flight.
    """
    with_own_silent = find_silent_crashes(items)
    return math.fsum(
        (
            OUTPUT_WEIGHT
            if item.incarnation in silent and item.incarnation not in with_own_silent
            else 1.0
        )
        for item in select_in_turn(items)
    )


def find_culprits(
    items_by_key: dict[str, list[CrashItem]], served: Container[str] = ()
) -> Iterator[Culprit]:
    """Yield the keys that explain the crashes.

    Those of which no request was served before come first, then those that explain most
    crashes, then the last of a request's keys, which fewest requests share. What a key
    explains counts against no other one.

    Parameters
    ----------
    served
        Keys of which a request was served before the crashes.
    """
    # Most keys were in flight at one crash only, or at several that came together.
    remaining = {
        key: items
        for key, items in items_by_key.items()
        if len(items) >= BLOCK_CRASHES_FINGERPRINT
        and count_in_turn(items) >= BLOCK_CRASHES_FINGERPRINT
    }
    if not remaining:
        return
    silent = find_silent_crashes(chain.from_iterable(items_by_key.values()))
    with_new_parts = _list_with_new_parts(items_by_key, served)
    while True:
        # With fewer items no other key becomes a culprit.
        candidates = [
            Culprit(key, tuple(items))
            for key, items in remaining.items()
            if _is_culprit(key, items, served, with_new_parts, silent)
        ]
        if not candidates:
            return
        found = max(
            candidates,
            key=lambda item: (item.key not in served, item.crashes, _find_depth(item)),
        )
        rivals = _find_rivals(found, items_by_key, served)
        yield Culprit(found.key, found.items, rivals)
        explained = {item.incarnation for item in found.items}
        remaining = {
            candidate.key: [
                item for item in candidate.items if item.incarnation not in explained
            ]
            for candidate in candidates
        }


def _list_with_new_parts(
    items_by_key: dict[str, list[CrashItem]], served: Container[str]
) -> frozenset[str]:
    """Return the incarnations at whose crash parts were in flight that were new."""
    return frozenset(
        item.incarnation
        for key, items in items_by_key.items()
        if key not in served
        for item in items
        if item.fingerprint != key
    )


def _is_culprit(
    key: str,
    items: list[CrashItem],
    served: Container[str],
    with_new_parts: frozenset[str],
    silent: frozenset[str],
) -> bool:
    if len(items) < BLOCK_CRASHES_FINGERPRINT:
        return False
    weight = weigh_in_turn(items, silent)
    if items[0].fingerprint == key:
        return weight >= BLOCK_CRASHES_FINGERPRINT
    if key not in served:
        return weight >= BLOCK_CRASHES_PART
    alone = [item for item in items if item.incarnation not in with_new_parts]
    return (
        weigh_in_turn(alone, silent) >= BLOCK_CRASHES_PART
        or weight >= BLOCK_CRASHES_SERVED_PART
    )


def _find_rivals(
    found: Culprit, items_by_key: dict[str, list[CrashItem]], served: Container[str]
) -> frozenset[str]:
    """Return the other parts that were in flight at most of a culprit's crashes."""
    explained = {item.incarnation for item in found.items}
    return frozenset(
        key
        for key, items in items_by_key.items()
        if key != found.key
        and (items and items[0].fingerprint != key)
        and (key not in served or found.key in served)
        and len({item.incarnation for item in items} & explained)
        >= RIVAL_SHARE * len(explained)
    )


def _find_depth(culprit: Culprit) -> int:
    return max(item.keys.index(culprit.key) for item in culprit.items)
