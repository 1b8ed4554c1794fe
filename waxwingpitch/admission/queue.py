"""Fair queue: strict between priorities, start-time fair between workspaces."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

QUEUED_PER_PRIORITY = 512


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits for a target.

    Attributes
    ----------
    cost
        Expected work, in tokens or calls.
    deadline
        Monotonic deadline for the whole answer.
    payload
        What the dispatcher needs to answer the request.
    in_time_until
        Monotonic time until which it can still be answered in time if it is sent.
    """

    request: str
    workspace: str
    priority: int
    share: float
    cost: float
    deadline: float
    payload: Any = None
    in_time_until: float = math.inf


class _PriorityQueue:
    """Start-time fair queue of one priority."""

    def __init__(self):
        self.virtual = 0.0
        self.finish: dict[str, float] = {}
        self.heap: list[tuple[float, int, Ticket]] = []

    def push(self, ticket: Ticket, order: int) -> None:
        start = max(self.virtual, self.finish.get(ticket.workspace, 0.0))
        self.finish[ticket.workspace] = start + ticket.cost / ticket.share
        heapq.heappush(self.heap, (start, order, ticket))

    def pop(self) -> Ticket:
        start, _, ticket = heapq.heappop(self.heap)
        self.virtual = max(self.virtual, start)
        if not self.heap:
            self.finish.clear()
            self.virtual = 0.0
        return ticket


class FairQueue:
    """Queue of one service at one entry host.

    Parameters
    ----------
    bound
        Most tickets that wait in one priority.

    Examples
    --------
    >>> queue = FairQueue()
    >>> queue.push(Ticket("r", "w", 0, 1.0, 1.0, deadline=9.0))
    True
    >>> queue.pop().request
    'r'
    """

    def __init__(self, bound: int = QUEUED_PER_PRIORITY):
        self._bound = bound
        self._queues: dict[int, _PriorityQueue] = {}
        self._order = itertools.count()

    def push(self, ticket: Ticket) -> bool:
        """Add a ticket; return False if its priority is full."""
        queue = self._queues.setdefault(ticket.priority, _PriorityQueue())
        if len(queue.heap) >= self._bound:
            return False
        queue.push(ticket, next(self._order))
        return True

    def peek(self) -> Ticket | None:
        """Return the ticket that is next."""
        queue = self._first()
        return queue.heap[0][2] if queue is not None else None

    def pop(self) -> Ticket | None:
        """Remove and return the ticket that is next."""
        queue = self._first()
        return queue.pop() if queue is not None else None

    def drop_expired(
        self, now: float, arrived_before: float, arrival: Callable[[Ticket], float]
    ) -> Iterator[Ticket]:
        """Remove and yield the tickets past their deadline or waiting too long.

        Parameters
        ----------
        arrived_before
            Tickets that arrived earlier are removed.
        arrival
            Returns the time of arrival of a ticket.
        """

        def _is_over(ticket: Ticket) -> bool:
            return ticket.deadline <= now or arrival(ticket) < arrived_before

        for queue in self._queues.values():
            over = [item[2] for item in queue.heap if _is_over(item[2])]
            if over:
                queue.heap = [item for item in queue.heap if not _is_over(item[2])]
                heapq.heapify(queue.heap)
                yield from over

    def drop(self, request: str) -> None:
        """Remove the ticket of a caller that left."""
        for queue in self._queues.values():
            if any(item[2].request == request for item in queue.heap):
                queue.heap = [item for item in queue.heap if item[2].request != request]
                heapq.heapify(queue.heap)

    def count_ahead(self, priority: int) -> int:
        """Return the tickets that a new one of a priority would wait for."""
        return sum(
            len(queue.heap)
            for level, queue in self._queues.items()
            if level <= priority
        )

    def __len__(self) -> int:
        return sum(len(queue.heap) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Ticket]:
        """Yield the tickets, in no order."""
        for queue in self._queues.values():
            yield from (item[2] for item in queue.heap)

    def _first(self) -> _PriorityQueue | None:
        waiting = [level for level, queue in self._queues.items() if queue.heap]
        return self._queues[min(waiting)] if waiting else None
