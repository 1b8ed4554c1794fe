"""Requests that wait for a slot at its owner: which wait, in which order, and how long.

The load it is for: bursts above the capacity, a lasting overload, and replicas that are
lost for seconds, with routes that differ in objective, priority and size.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Container, Iterator
from dataclasses import dataclass, replace

from ..admission import OnTimeFirstQueue, Ticket
from ..admission.forecast import (
    REPLICA_REPLACEMENT_S,
    Pressure,
    Refuse,
    decide_admission,
    find_latest_on_time_start,
    find_latest_start,
    forecast_wait_s,
    limit_retry_after,
)
from ..admission.queue import limit_cost
from ..admission.service_times import ServiceTimes
from ..admission.taken import TakenCapacity
from .common import SlotRequest

# Weight of the newest request in the mean cost.
NEWEST_SAMPLE_WEIGHT = 0.05
# Priority of requests that have run in part, above all those that callers can have.
RESUME_PRIORITY = -1
# Multiple of a mean service time, of unknown spread, that is left for a request.
ADOPTED_SPREAD = 2.0
# Requests in flight of which the cost is remembered.
MAX_COSTS = 8192
# Time between two looks for requests that can't be served in time any more.
EVICTION_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Waiting:
    """A client's request, by the number that the client gave it.

    Attributes
    ----------
    is_passed_on
        Whether another zone's owner passed it on.
    """

    client: str
    number: int
    request: SlotRequest
    is_passed_on: bool = False

    @property
    def priority(self) -> int:
        """Priority in the queue; requests that have run in part come first."""
        has_run = self.request.resume_deadline is not None
        return RESUME_PRIORITY if has_run else self.request.priority

    def is_paused(self, now: float) -> bool:
        """Whether its host must not use some replicas now."""
        return bool(self.request.excluded) and now < self.request.excluded_until


class WaitingRequests:
    """Queue of one owner, with what it knows of service times and of its load."""

    def __init__(self):
        self._queue = OnTimeFirstQueue()
        self._adopted_service_s: float | None = None
        self._service_times = ServiceTimes()
        self._first_event_times = ServiceTimes()
        self._costs: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._mean_cost = 0.0
        self._taken = TakenCapacity()
        self._recent_per_s = (0.0, -math.inf)
        self._next_eviction_at = -math.inf

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[Waiting]:
        """Yield the requests that wait, in no particular order."""
        return (ticket.payload for ticket in self._queue)

    def count_ahead(self, waiting: Waiting) -> int:
        """Return the number of requests of a request's priority and higher ones."""
        return self._queue.count_ahead(waiting.priority)

    def add(
        self,
        waiting: Waiting,
        pressure: Pressure,
        now: float,
        *,
        is_accepted: bool = False,
    ) -> Refuse | None:
        """Queue a request, or return its refusal if it can't be served in time.

        Parameters
        ----------
        is_accepted
            Whether it was accepted before, so that it is only refused once others leave
            it no time.
        """
        req = waiting.request
        known_cost = self._mean_cost or req.cost
        self._mean_cost = known_cost + NEWEST_SAMPLE_WEIGHT * (req.cost - known_cost)
        latest_start_at = find_latest_start(
            now, req.deadline, self._find_long_service_s(req)
        )
        until = latest_start_at
        if req.resume_deadline is not None:
            until = max(now, req.resume_deadline)
        ticket = Ticket(
            request=_name_ticket(waiting.client, waiting.number),
            workspace=req.workspace,
            priority=waiting.priority,
            share=1.0,
            cost=limit_cost(req.cost, self._mean_cost),
            deadline=until,
            payload=waiting,
            latest_start_at=self._find_latest_on_time_start(req, now),
        )
        is_on_time = self._can_be_on_time(ticket, pressure, now)
        if not is_on_time and not is_accepted:
            decision = decide_admission(
                pressure,
                now=now,
                deadline=req.deadline,
                latest_start_at=latest_start_at,
                taken_per_s=self._find_taken_per_s(ticket.priority, pressure, now),
                resume_deadline=req.resume_deadline,
            )
            if isinstance(decision, Refuse):
                return decision
        if self._queue.push(ticket, is_late=not is_on_time):
            return None
        wait_s = forecast_wait_s(pressure)
        return Refuse(limit_retry_after(wait_s, req.deadline - now))

    def _find_taken_per_s(self, priority: int, pressure: Pressure, now: float) -> float:
        """Return what others will take before a late request.

        Nothing if none waits: the next slot that is freed is then its own.
        """
        if not pressure.waiting:
            return 0.0
        return self._taken.find_per_s(priority, now)

    def peek(
        self, now: float, per_s: float, passed_over: Container[str] = ()
    ) -> Ticket | None:
        """Return the ticket to serve next, if so many are served in a second.

        Parameters
        ----------
        passed_over
            Names of tickets that are left out.
        """
        return self._queue.peek(now, per_s, passed_over)

    def take(self, ticket: Ticket) -> None:
        """Remove a ticket, as served."""
        self._queue.take(ticket)

    def drop(self, client: str, number: int) -> None:
        """Forget a request, if it waits."""
        self._queue.drop(_name_ticket(client, number))

    def drop_expired(self, now: float) -> list[Waiting]:
        """Remove and return the requests that can't end before their deadlines."""
        return self._drop(item for item in self._queue if item.deadline <= now)

    def drop_hopeless(self, now: float, per_s: float) -> list[Waiting]:
        """Remove and return those that others, or lost replicas, leave no time.

        A replica that was lost counts until it is usually replaced, so that a short
        silence of one does not empty the queue.

        Parameters
        ----------
        per_s
            Requests that are served in a second.
        """
        if now < self._next_eviction_at or not len(self._queue):
            return []
        self._next_eviction_at = now + EVICTION_INTERVAL_S
        recent_per_s, at = self._recent_per_s
        if per_s >= recent_per_s or now - at > REPLICA_REPLACEMENT_S:
            self._recent_per_s = (per_s, now)
        hopeless = self._queue.list_hopeless(now, max(per_s, self._recent_per_s[0]))
        return self._drop(item for item in hopeless if item.priority >= 0)

    def note_grant(self, waiting: Waiting, now: float) -> None:
        """Count what a request takes of the capacity, and remember its size."""
        is_late = now > self._find_latest_on_time_start(waiting.request, now)
        is_left_over = is_late and not self._queue.has_on_time(waiting.priority, now)
        self._taken.record(waiting.priority, is_left_over=is_left_over, now=now)
        self._costs[waiting.client, waiting.number] = waiting.request.cost
        if len(self._costs) > MAX_COSTS:
            self._costs.popitem(last=False)

    def forget_grant(self, client: str, number: int) -> None:
        """Forget the size of a request that has ended."""
        self._costs.pop((client, number), None)

    def record_times(
        self, client: str, number: int, service_s: float, first_event_s: float
    ) -> float | None:
        """Record the times that a request took, by its size if that is known.

        Returns the service time as a multiple of the mean for its size, if that is
        known.
        """
        cost = self._costs.pop((client, number), None)
        mean_s = None if cost is None else self._service_times.find_mean_s(cost)
        self._service_times.record(cost, service_s)
        self._first_event_times.record(cost, first_event_s)
        return service_s / mean_s if mean_s else None

    def adopt_service_s(self, service_s: float) -> None:
        """Use the mean that another owner measured until there is one of its own."""
        self._adopted_service_s = service_s

    def _drop(self, tickets: Iterator[Ticket]) -> list[Waiting]:
        dropped = list(tickets)
        for ticket in dropped:
            self._queue.drop(ticket.request)
        return [ticket.payload for ticket in dropped]

    def _find_long_service_s(self, req: SlotRequest) -> float | None:
        """Return a service time that few exceed; None if nothing is known of it."""
        long_s = self._service_times.find_long_s(req.cost)
        if long_s is None and self._adopted_service_s is not None:
            return self._adopted_service_s * ADOPTED_SPREAD
        return long_s

    def _find_latest_on_time_start(self, req: SlotRequest, now: float) -> float:
        first_event_s = self._first_event_times.find_long_s(req.cost)
        return find_latest_on_time_start(now, req.due_at, first_event_s or 0.0)

    def _can_be_on_time(self, ticket: Ticket, pressure: Pressure, now: float) -> bool:
        """Whether a request is expected to start in time for its objective."""
        latest_start_at = min(ticket.latest_start_at, ticket.deadline)
        per_s = pressure.served_per_s
        if not per_s or latest_start_at <= now:
            return False
        ahead = replace(pressure, waiting=self._queue.count_before(ticket, now, per_s))
        return now + forecast_wait_s(ahead) <= latest_start_at


def _name_ticket(client: str, number: int) -> str:
    return f"{client}/{number}"
