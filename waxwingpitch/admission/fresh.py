"""Queue that prefers requests that can still meet their latency objective.

Handles load above the capacity of the replicas. With first-in, first-out order, the
queue would grow until every answer is late. Here, within each priority, requests that
can still meet their latency objective are served first; late ones use the capacity
that is left, until their deadlines.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from .queue import FairQueue, Ticket


class OnTimeFirstQueue:
    """Two fair queues: one for requests that are on time, one for late ones.

    A ticket is late once its ``latest_start_at`` has passed.

    Examples
    --------
    >>> queue = OnTimeFirstQueue()
    >>> queue.push(Ticket("old", "w", 0, 1.0, 1.0, deadline=9.0, latest_start_at=1.0))
    True
    >>> queue.push(Ticket("new", "w", 0, 1.0, 1.0, deadline=9.0, latest_start_at=3.0))
    True
    >>> queue.peek(now=2.0).request
    'new'
    """

    def __init__(self):
        self._on_time = FairQueue()
        self._late = FairQueue()
        self._next_move_at = math.inf

    def push(self, ticket: Ticket) -> bool:
        """Add a ticket; return False if its priority is full."""
        self._next_move_at = min(self._next_move_at, ticket.latest_start_at)
        return self._on_time.push(ticket)

    def peek(self, now: float) -> Ticket | None:
        """Return the ticket to serve next at a monotonic time."""
        return self._find_next(now).peek()

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the ticket to serve next at a monotonic time."""
        return self._find_next(now).pop()

    def drop(self, request: str) -> None:
        """Remove a request's ticket, if it is queued."""
        self._on_time.drop(request)
        self._late.drop(request)

    def count_ahead(self, priority: int) -> int:
        """Return the number of tickets of a priority and of higher ones."""
        return self._on_time.count_ahead(priority) + self._late.count_ahead(priority)

    def __len__(self) -> int:
        return len(self._on_time) + len(self._late)

    def __iter__(self) -> Iterator[Ticket]:
        """Yield the queued tickets, in no particular order."""
        yield from self._on_time
        yield from self._late

    def _find_next(self, now: float) -> FairQueue:
        self._move_late(now)
        on_time, late = self._on_time.peek(), self._late.peek()
        if late is None or (on_time is not None and on_time.priority <= late.priority):
            return self._on_time
        return self._late

    def _move_late(self, now: float) -> None:
        if now < self._next_move_at:
            return
        waiting = list(self._on_time)
        self._next_move_at = min(
            (item.latest_start_at for item in waiting if item.latest_start_at > now),
            default=math.inf,
        )
        for ticket in waiting:
            if ticket.latest_start_at <= now:
                self._on_time.drop(ticket.request)
                self._late.push(ticket)
