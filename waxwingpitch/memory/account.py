"""Account of the memory and connections that callers hold, and what is evicted if full.

The load it is for: hundreds of callers outside anyone's control, each within the
limits for a single request, that send heads of many small fields, trailers without end
or large bodies, and leave them incomplete; beside them ordinary small requests, which
are served.

It bounds the sum over one process, and is not shared: it ends with its process. A
request that is being served is never evicted; what it holds is released at the latest
by its deadline.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from .common import (
    CONNECTION_BYTES,
    EVICTABLE,
    CallerBounds,
    HoldKind,
    Rejection,
    RejectionReason,
)

# What ordinary requests stay below. They may use all of the memory, larger ones a
# share, so that large requests that are being served leave room for small ones.
SMALL_BYTES = 16 * 1024
LARGE_SHARE = 0.8
# Share of what may be evicted that is evicted at once, so that a full account is not
# searched for each read.
EVICTED_SHARE = 0.1
# Bytes that a caller must send to count as making progress.
PROGRESS_BYTES = 16 * 1024
# Added to the time without progress, so that size decides between callers that have
# just sent something.
PROGRESS_MARGIN_S = 0.05
# Time without progress from which a request counts as one that does not arrive.
STALLED_S = 1.0
# Time for which an idle connection stays, as a request may be on its way.
QUIET_S = 0.5
# Share of the connections from which idle and stalled ones are closed for new ones. The
# rest is for those that are told that they are rejected, and linger.
FULL_SHARE = 0.9
# Share of the memory that open connections alone may take.
CONNECTIONS_MEMORY_SHARE = 0.4
# Time to retry after a rejection; the memory is full for as long as the shortest
# time-outs of callers' requests.
RETRY_AFTER_S = 0.5

Evict = Callable[[Rejection], None]


class CallerHold:
    """What one connection holds.

    Attributes
    ----------
    is_served
        Whether a request of the connection is being served.
    is_ending
        Whether the last answer was sent, or the connection is being rejected.
    """

    def __init__(self, account: CallerAccount, evict: Evict, now: float):
        self._account = account
        self._by_kind: dict[HoldKind, int] = {}
        self._unmarked_bytes = 0
        self.evict = evict
        self.total_bytes = 0
        self.is_served = False
        self.is_ending = False
        self.active_at = self.progress_at = now

    def set(self, kind: HoldKind, size: int) -> None:
        """Record how much is held for a kind now."""
        added = size - self._by_kind.get(kind, 0)
        if added:
            self._by_kind[kind] = size
            self.total_bytes += added
            self._account.add(kind, added)

    def receive(self, size: int, now: float) -> None:
        """Record that the caller sent bytes."""
        self.active_at = now
        self._unmarked_bytes += size
        if self._unmarked_bytes >= PROGRESS_BYTES:
            self.mark_progress(now)

    def mark_progress(self, now: float) -> None:
        """Record that a request began, ended, or has made progress."""
        self._unmarked_bytes = 0
        self.active_at = self.progress_at = now

    def admit(self, now: float) -> Rejection | None:
        """Return why what this connection holds is rejected, if it is.

        Others that hold more, or make less progress, are evicted instead.
        """
        return self._account.admit(self, now)

    def release_evicted(self) -> None:
        """Record that nothing is held any more for what was not being served."""
        for kind in EVICTABLE:
            self.set(kind, 0)

    def close(self) -> None:
        """Record that the connection has been closed."""
        self._account.close(self)

    @property
    def evictable_bytes(self) -> int:
        """What is held for requests that are not being served."""
        return sum(self._by_kind.get(kind, 0) for kind in EVICTABLE)

    @property
    def request_bytes(self) -> int:
        """What is held beside the connection itself."""
        return self.total_bytes - self._by_kind.get(HoldKind.CONNECTION, 0)

    @property
    def has_incomplete(self) -> bool:
        """Whether a part of a request has arrived."""
        return self.evictable_bytes > self._by_kind.get(HoldKind.WAITING, 0)

    def clear(self) -> None:
        """Record that nothing is held, the connection included."""
        for kind in self._by_kind:
            self.set(kind, 0)


class CallerAccount:
    """What all callers of a process hold.

    Attributes
    ----------
    bounds
        What they may hold together.
    max_connections
        Connections that may be open, by these bounds.
    rejections
        Number of rejections so far by reason.

    Examples
    --------
    >>> account = CallerAccount(CallerBounds(memory_bytes=1024 * 1024, connections=10))
    >>> hold, _ = account.open(print, 0.0)
    >>> hold.set(HoldKind.BODY, 2 * 1024 * 1024)
    >>> hold.admit(0.0).status
    503
    >>> hold.close()
    >>> account.held_bytes, account.connections
    (0, 0)
    """

    def __init__(self, bounds: CallerBounds):
        self.bounds = bounds
        self.rejections: Counter[RejectionReason] = Counter()
        self.max_connections = max(
            1,
            min(
                bounds.connections,
                int(bounds.memory_bytes * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES),
            ),
        )
        self._full_connections = max(1, int(self.max_connections * FULL_SHARE))
        self._holds: set[CallerHold] = set()
        self._by_kind: Counter[HoldKind] = Counter()
        self.held_bytes = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._holds)

    @property
    def by_kind(self) -> dict[HoldKind, int]:
        """What is held, by kind."""
        return {kind: self._by_kind[kind] for kind in HoldKind}

    def open(
        self, evict: Evict, now: float
    ) -> tuple[CallerHold | None, Rejection | None]:
        """Return the hold of a new connection, and why it is rejected, if it is.

        There is no hold if the connection must be closed at once.

        Parameters
        ----------
        evict
            Takes from the connection all that is not being served, and closes it.
        """
        if len(self._holds) >= self.max_connections:
            return None, self._reject(RejectionReason.CONNECTIONS, 0)
        rejection = None
        if len(self._holds) >= self._full_connections:
            rejection = self._free_connection(now)
        hold = CallerHold(self, evict, now)
        self._holds.add(hold)
        hold.set(HoldKind.CONNECTION, CONNECTION_BYTES)
        return hold, rejection

    def admit(self, hold: CallerHold, now: float) -> Rejection | None:
        """Evict what is over the bound; return a rejection if that is this hold."""
        bound = self.bounds.memory_bytes
        if hold.request_bytes > SMALL_BYTES:
            bound = int(bound * LARGE_SHARE)
        if self.held_bytes <= bound:
            return None
        least = 0 if hold.request_bytes <= SMALL_BYTES else SMALL_BYTES
        candidates = [other for other in self._holds if other.evictable_bytes > least]
        candidates.sort(key=lambda other: self._rank(other, now))
        evictable = sum(other.evictable_bytes for other in candidates)
        goal = bound - int(evictable * EVICTED_SHARE)
        for other in candidates:
            if self.held_bytes <= goal:
                return None
            rejection = self._reject_for_memory(other, now)
            if other is hold:
                return rejection
            other.evict(rejection)
            other.release_evicted()
        return None

    def close(self, hold: CallerHold) -> None:
        """Release all that a connection held; a second call changes nothing."""
        hold.clear()
        self._holds.discard(hold)

    def add(self, kind: HoldKind, size: int) -> None:
        """Record that a hold has changed."""
        self._by_kind[kind] += size
        self.held_bytes += size

    def count_rejection(self, reason: RejectionReason) -> None:
        """Count a rejection."""
        self.rejections[reason] += 1

    @staticmethod
    def _rank(hold: CallerHold, now: float) -> tuple[bool, bool, float]:
        """Return a key that is least for what is evicted first.

        Small requests come last, complete ones after incomplete ones; then those that
        hold most for the longest time without progress come first.
        """
        stalled_s = max(0.0, now - hold.progress_at) + PROGRESS_MARGIN_S
        return (
            hold.evictable_bytes <= SMALL_BYTES,
            not hold.has_incomplete,
            -hold.evictable_bytes * stalled_s,
        )

    def _free_connection(self, now: float) -> Rejection | None:
        """Close a connection on which nothing arrives; reject the new one if none."""
        quiet = [
            hold
            for hold in self._holds
            if not hold.is_served
            and not hold.is_ending
            and now - hold.active_at >= QUIET_S
        ]
        stalled = [
            hold
            for hold in self._holds
            if hold.has_incomplete
            and not hold.is_served
            and not hold.is_ending
            and now - hold.progress_at >= QUIET_S
        ]
        if quiet:
            victim = min(quiet, key=lambda hold: (hold.has_incomplete, hold.active_at))
        elif stalled:
            victim = min(stalled, key=lambda hold: hold.progress_at)
        else:
            return self._reject(RejectionReason.CONNECTIONS, CONNECTION_BYTES)
        victim.evict(self._reject(RejectionReason.STALLED, victim.total_bytes, 408))
        return None

    def _reject_for_memory(self, hold: CallerHold, now: float) -> Rejection:
        if hold.has_incomplete and now - hold.progress_at >= STALLED_S:
            return self._reject(RejectionReason.STALLED, hold.total_bytes, 408)
        return self._reject(RejectionReason.MEMORY, hold.total_bytes)

    def _reject(
        self, reason: RejectionReason, held_bytes: int, status: int = 503
    ) -> Rejection:
        self.count_rejection(reason)
        retry_after_s = RETRY_AFTER_S if status == 503 else None
        return Rejection(status, reason, retry_after_s, held_bytes)
