"""Order of requests that wait, by whether they can still be answered in time.

Answers load above what the replicas bear. In the order of arrival every request would
wait until its answer comes late. Here those that can still be in time go first within
each priority; the others take what capacity is left before their deadlines.
"""

from __future__ import annotations

import math

from .queue import FairQueue, Ticket


class FreshFirstQueue:
    """Two fair queues: requests that can still be answered in time, and the others.

    A ticket is moved to the second once its time has passed.

    Examples
    --------
    >>> queue = FreshFirstQueue()
    >>> queue.push(Ticket("old", "w", 0, 1.0, 1.0, deadline=9.0, in_time_until=1.0))
    True
    >>> queue.push(Ticket("new", "w", 0, 1.0, 1.0, deadline=9.0, in_time_until=3.0))
    True
    >>> queue.peek(now=2.0).request
    'new'
    """

    def __init__(self):
        self._fresh = FairQueue()
        self._late = FairQueue()
        self._next_move = math.inf

    def push(self, ticket: Ticket) -> bool:
        """Add a ticket; return False if its priority is full."""
        self._next_move = min(self._next_move, ticket.in_time_until)
        return self._fresh.push(ticket)

    def peek(self, now: float) -> Ticket | None:
        """Return the ticket that is next at a monotonic time."""
        return self._find_next(now).peek()

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the ticket that is next at a monotonic time."""
        return self._find_next(now).pop()

    def drop(self, request: str) -> None:
        """Remove the ticket of a caller that left."""
        self._fresh.drop(request)
        self._late.drop(request)

    def count_ahead(self, priority: int) -> int:
        """Return the tickets of a priority and those above it."""
        return self._fresh.count_ahead(priority) + self._late.count_ahead(priority)

    def __len__(self) -> int:
        return len(self._fresh) + len(self._late)

    def _find_next(self, now: float) -> FairQueue:
        self._move_late(now)
        fresh, late = self._fresh.peek(), self._late.peek()
        if late is None or (fresh is not None and fresh.priority <= late.priority):
            return self._fresh
        return self._late

    def _move_late(self, now: float) -> None:
        if now < self._next_move:
            return
        waiting = list(self._fresh)
        self._next_move = min(
            (item.in_time_until for item in waiting if item.in_time_until > now),
            default=math.inf,
        )
        for ticket in waiting:
            if ticket.in_time_until <= now:
                self._fresh.drop(ticket.request)
                self._late.push(ticket)
