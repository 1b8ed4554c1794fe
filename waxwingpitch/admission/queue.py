"""Start-time fair queue with strict priorities, fair between workspaces."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass
from typing import Any

# Most tickets that are queued in one priority.
QUEUED_PER_PRIORITY = 512
# A workspace pays for a request between the mean cost over this and times this. Large
# requests, up to 4 times the mean, are so served at least half as often as others.
COST_RANGE = 2.0


def limit_cost(cost: float, mean_cost: float) -> float:
    """Return the cost that a workspace is charged for a request."""
    if mean_cost <= 0:
        return cost
    return max(mean_cost / COST_RANGE, min(cost, mean_cost * COST_RANGE))


@dataclass(frozen=True, slots=True)
class Ticket:
    """A queued request.

    Attributes
    ----------
    priority
        Number of its priority; lower numbers are served first.
    share
        Weight of its workspace.
    cost
        Expected work, in tokens or calls.
    deadline
        Monotonic deadline for the whole answer.
    payload
        Data that the dispatcher attaches to the request.
    latest_start_at
        Monotonic time by which it must be sent to meet its latency objective.
    """

    request: str
    workspace: str
    priority: int
    share: float
    cost: float
    deadline: float
    payload: Any = None
    latest_start_at: float = math.inf


class _PriorityQueue:
    """Start-time fair queue of one priority.

    Tickets are served by start tag, and by arrival for equal tags.
    """

    def __init__(self):
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        self.heap: list[tuple[float, int, Ticket]] = []

    def find_start_tag(self, workspace: str) -> float:
        return max(self.virtual_time, self.finish_tags.get(workspace, 0.0))

    def push(self, ticket: Ticket, order: int) -> None:
        start_tag = self.find_start_tag(ticket.workspace)
        self.finish_tags[ticket.workspace] = start_tag + ticket.cost / ticket.share
        heapq.heappush(self.heap, (start_tag, order, ticket))

    def remove(self, request: str, *, is_charged: bool) -> bool:
        """Remove a ticket, if there is one; its workspace pays only if it is charged.

        Without a refund, a workspace whose tickets are dropped or become late would be
        charged for work that it does not get, and be served after all others.
        """
        found = next((item for item in self.heap if item[2].request == request), None)
        if found is None:
            return False
        workspace, order = found[2].workspace, found[1]
        refund = 0.0 if is_charged else found[2].cost / found[2].share
        if refund:
            finish_tag = self.finish_tags.get(workspace, 0.0) - refund
            self.finish_tags[workspace] = max(self.virtual_time, finish_tag)
        self.heap = [
            (
                (max(self.virtual_time, tag - refund), at, ticket)
                if ticket.workspace == workspace and at > order
                else (tag, at, ticket)
            )
            for tag, at, ticket in self.heap
            if at != order
        ]
        heapq.heapify(self.heap)
        return True

    def pop(self) -> Ticket:
        start_tag, _, ticket = heapq.heappop(self.heap)
        self.virtual_time = max(self.virtual_time, start_tag)
        if not self.heap:
            self.finish_tags.clear()
            self.virtual_time = 0.0
        return ticket


class FairQueue:
    """Queue of one service at one entry host.

    Parameters
    ----------
    bound
        Most tickets that are queued in one priority.

    Examples
    --------
    >>> queue = FairQueue()
    >>> queue.push(Ticket("r", "w", 0, 1.0, 1.0, deadline=9.0))
    True
    >>> queue.pop().request
    'r'
    """

    def __init__(self, bound: float = QUEUED_PER_PRIORITY):
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

    def peek(self, passed_over: Container[str] = ()) -> Ticket | None:
        """Return the ticket to serve next; those passed over are left out."""
        if not passed_over:
            queue = self._find_first()
            return queue.heap[0][2] if queue is not None else None
        for _, queue in sorted(self._queues.items()):
            for _, _, ticket in sorted(queue.heap, key=lambda item: item[:2]):
                if ticket.request not in passed_over:
                    return ticket
        return None

    def pop(self) -> Ticket | None:
        """Remove and return the ticket to serve next."""
        queue = self._find_first()
        return queue.pop() if queue is not None else None

    def drop_expired(
        self, now: float, arrived_before: float, arrival: Callable[[Ticket], float]
    ) -> Iterator[Ticket]:
        """Remove and yield the tickets past their deadline or their longest wait.

        Parameters
        ----------
        arrived_before
            Monotonic time; tickets that arrived earlier are removed.
        arrival
            Returns the arrival time of a ticket.
        """

        def _is_expired(ticket: Ticket) -> bool:
            return ticket.deadline <= now or arrival(ticket) < arrived_before

        for queue in self._queues.values():
            expired = [item[2] for item in queue.heap if _is_expired(item[2])]
            if expired:
                queue.heap = [item for item in queue.heap if not _is_expired(item[2])]
                heapq.heapify(queue.heap)
                yield from expired

    def drop(self, request: str) -> None:
        """Remove a request's tickets as not served; one asked again has two."""
        for queue in self._queues.values():
            while queue.remove(request, is_charged=False):
                pass

    def take(self, ticket: Ticket) -> None:
        """Remove a ticket that is served, possibly before its turn."""
        queue = self._queues.get(ticket.priority)
        if queue is not None and queue.heap:
            if queue.heap[0][2] is ticket:
                queue.pop()
            else:
                queue.remove(ticket.request, is_charged=True)

    def count_before(self, ticket: Ticket) -> int:
        """Return the number of tickets that are served before one that is added."""
        count = self.count_ahead(ticket.priority - 1)
        queue = self._queues.get(ticket.priority)
        if queue is None:
            return count
        start_tag = queue.find_start_tag(ticket.workspace)
        return count + sum(tag <= start_tag for tag, _, _ in queue.heap)

    def count(self, priority: int) -> int:
        """Return the number of tickets of a priority."""
        queue = self._queues.get(priority)
        return 0 if queue is None else len(queue.heap)

    def list_priority(self, priority: int) -> list[Ticket]:
        """Return the tickets of a priority, in no particular order."""
        queue = self._queues.get(priority)
        return [] if queue is None else [item[2] for item in queue.heap]

    def count_ahead(self, priority: int) -> int:
        """Return the number of tickets ahead of a new one of a priority."""
        return sum(
            len(queue.heap)
            for level, queue in self._queues.items()
            if level <= priority
        )

    def __len__(self) -> int:
        return sum(len(queue.heap) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Ticket]:
        """Yield the queued tickets, in no particular order."""
        for queue in self._queues.values():
            yield from (item[2] for item in queue.heap)

    def _find_first(self) -> _PriorityQueue | None:
        waiting = [level for level, queue in self._queues.items() if queue.heap]
        return self._queues[min(waiting)] if waiting else None
