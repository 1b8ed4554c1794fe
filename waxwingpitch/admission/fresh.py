"""Queue that prefers requests that can still meet their latency objective.

Handles load above the capacity of the replicas: bursts of some seconds, and a lasting
overload. With first-in, first-out order, the queue would grow until every answer is
late. Here, within each priority, requests that can still meet their latency objective
are served first; late ones use the capacity that is left. A late one that has to start
now to meet its deadline goes before both, as it was accepted and is to be served.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterator

from .queue import QUEUED_PER_PRIORITY, FairQueue, Ticket


class OnTimeFirstQueue:
    """Two fair queues: one for requests that are on time, one for late ones.

    A ticket is late once its ``latest_start_at`` has passed, or if it is added as late
    because it is not expected to be served before.

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
        # Tickets that become late were accepted and must not be lost, so that the bound
        # is applied to newcomers; the others wait until their deadlines at most.
        self._late = FairQueue(bound=math.inf)
        self._next_move_at = math.inf
        # By priority, a rate at which, and the time until which, no late ticket has to
        # be served at once; a ticket that is added or served otherwise keeps that true.
        self._calm: dict[int, tuple[float, float]] = {}

    def push(self, ticket: Ticket, *, is_late: bool = False) -> bool:
        """Add a ticket; return False if its priority is full."""
        if is_late:
            if self._late.count(ticket.priority) >= QUEUED_PER_PRIORITY:
                return False
            return self._push_late(ticket)
        self._next_move_at = min(self._next_move_at, ticket.latest_start_at)
        return self._on_time.push(ticket)

    def peek(
        self,
        now: float,
        per_s: float = math.inf,
        passed_over: Container[str] = (),
    ) -> Ticket | None:
        """Return the ticket to serve next at a monotonic time.

        Parameters
        ----------
        per_s
            Requests that are served in a second.
        passed_over
            Names of tickets that are left out.
        """
        self._move_late(now)
        on_time = self._on_time.peek(passed_over)
        late = self._late.peek(passed_over)
        if late is None or (on_time is not None and on_time.priority < late.priority):
            return on_time
        for ticket in self._list_urgent(late.priority, now, per_s):
            if ticket.request not in passed_over:
                return ticket
        if on_time is not None and on_time.priority == late.priority:
            return on_time
        return late

    def pop(self, now: float, per_s: float = math.inf) -> Ticket | None:
        """Remove and return the ticket to serve next at a monotonic time."""
        ticket = self.peek(now, per_s)
        if ticket is not None:
            self.take(ticket)
        return ticket

    def take(self, ticket: Ticket) -> None:
        """Remove a ticket that is served."""
        self._on_time.take(ticket)
        self._late.take(ticket)

    def drop(self, request: str) -> None:
        """Remove a request's ticket, if it is queued, as not served."""
        self._on_time.drop(request)
        self._late.drop(request)

    def count_ahead(self, priority: int) -> int:
        """Return the number of tickets of a priority and of higher ones."""
        return self._on_time.count_ahead(priority) + self._late.count_ahead(priority)

    def count_before(self, ticket: Ticket, now: float, per_s: float) -> int:
        """Return the number of tickets served before one that is added as on time."""
        self._move_late(now)
        priority = ticket.priority
        wait_s = max(0.0, ticket.latest_start_at - now)
        return (
            self._on_time.count_before(ticket)
            + self._late.count_ahead(priority - 1)
            + len(self._list_urgent(priority, now, per_s, after_s=wait_s))
        )

    def has_on_time(self, priority: int, now: float) -> bool:
        """Whether a ticket of a priority waits that can meet its objective."""
        self._move_late(now)
        return self._on_time.count(priority) > 0

    def list_hopeless(self, now: float, per_s: float) -> list[Ticket]:
        """Return the tickets that can't be served before their deadlines.

        Higher priorities go first, then earlier deadlines: as tickets that have to
        start at once go before those that can be on time, no other order serves more.
        """
        hopeless = []
        order = sorted(self, key=lambda item: (item.priority, item.deadline))
        ahead = 0
        for ticket in order:
            if ahead > (ticket.deadline - now) * per_s:
                hopeless.append(ticket)
            else:
                ahead += 1
        return hopeless

    def __len__(self) -> int:
        return len(self._on_time) + len(self._late)

    def __iter__(self) -> Iterator[Ticket]:
        """Yield the queued tickets, in no particular order."""
        yield from self._on_time
        yield from self._late

    def _list_urgent(
        self, priority: int, now: float, per_s: float, *, after_s: float = 0.0
    ) -> list[Ticket]:
        """Return the late tickets that have to be served without pause, after a time.

        Some deadline among them is only met if all up to it are served one by one. A
        ticket that misses its deadline even so has no claim.
        """
        if math.isinf(per_s) or not self._late.count(priority):
            return []
        known_per_s, calm_until = self._calm.get(priority, (math.inf, -math.inf))
        if per_s >= known_per_s and now + after_s < calm_until:
            return []
        waiting = sorted(
            self._late.list_priority(priority), key=lambda item: item.deadline
        )
        in_time: list[Ticket] = []
        urgent = 0
        slack_s = math.inf
        for ticket in waiting:
            left_s = ticket.deadline - now
            if left_s <= 0 or len(in_time) / per_s > left_s:
                continue
            in_time.append(ticket)
            slack_s = min(slack_s, left_s - len(in_time) / per_s)
            if len(in_time) / per_s >= left_s - after_s:
                urgent = len(in_time)
        self._calm[priority] = (per_s, now + slack_s)
        return in_time[:urgent]

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
                self._push_late(ticket)

    def _push_late(self, ticket: Ticket) -> bool:
        per_s, calm_until = self._calm.get(ticket.priority, (math.inf, -math.inf))
        calm_until = min(calm_until, ticket.deadline) - 1 / per_s
        self._calm[ticket.priority] = (per_s, calm_until)
        return self._late.push(ticket)
