"""Assigns requests to replicas, and queues them while all replicas are full."""

from __future__ import annotations

import math
import random
import time
from collections import defaultdict, deque
from dataclasses import dataclass

from gevent.event import AsyncResult

from ..admission import OnTimeFirstQueue, Ticket
from ..admission.forecast import Pressure, Refuse, decide_admission
from ..routing.placement import ReplicaLoad, choose_replica
from ..targets.loads import LoadBook
from ..targets.pauses import PauseBook
from ..targets.progress import ProgressBook
from .beliefs import GatewayView, Replica

# Weight of the newest sample in an exponentially weighted moving average.
NEWEST_SAMPLE_WEIGHT = 0.05
# Service time assumed until the first request has been served.
INITIAL_SERVICE_S = 1.0
# Priority of requests that have run in part, above all those that callers can have.
RESUME_PRIORITY = -1


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that was assigned no replica and is therefore not sent.

    Attributes
    ----------
    retry_after_s
        Time after which the caller may retry, in seconds.
    """

    retry_after_s: float
    reason: str
    pressure: Pressure


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot of a replica.

    Attributes
    ----------
    cost
        Expected work, in tokens or calls.
    avoid
        Ids of replicas that it was already sent to.
    resume_deadline
        Monotonic time until which the caller of a request that has run in part waits
        for the next part; None if it has not run.
    due_at
        Monotonic time by which the answer, or its first event, is due to meet the
        route's latency objective.
    """

    request: str
    service: str
    model: str
    workspace: str
    priority: int
    cost: float
    deadline: float
    avoid: frozenset[str] = frozenset()
    resume_deadline: float | None = None
    due_at: float = math.inf


class _ColdRateLimit:
    """Limits this gateway to its share of the request rate of a cold target."""

    def __init__(self):
        self._sent: dict[str, deque[float]] = defaultdict(deque)

    def has_room(self, replica: Replica, rate: float, peers: int, now: float) -> bool:
        if replica.cold_until <= now or rate <= 0:
            self._sent.pop(replica.id, None)
            return True
        sent = self._sent[replica.id]
        while sent and now - sent[0] > 1.0:
            sent.popleft()
        return len(sent) < max(1, int(rate / peers))

    def record(self, replica: Replica, now: float) -> None:
        if replica.cold_until > now:
            self._sent[replica.id].append(now)


class Dispatcher:
    """Chooses replicas for the requests to all services at this gateway."""

    def __init__(
        self, zone: str, view: GatewayView, loads: LoadBook, progress: ProgressBook
    ):
        self._zone = zone
        self._view = view
        self._loads = loads
        self._progress = progress
        self.pauses = PauseBook()
        self._rng = random.Random(zone)
        self._queues: dict[tuple[str, str], OnTimeFirstQueue] = defaultdict(
            OnTimeFirstQueue
        )
        self._first_event_s: dict[tuple[str, str], float] = {}
        self._service_s: dict[tuple[str, str], float] = {}
        self._refused: dict[tuple[str, str], deque[float]] = defaultdict(deque)
        self._cold_limit = _ColdRateLimit()

    def acquire(self, slot_request: SlotRequest) -> Replica | Refused:
        """Occupy a replica's slot and return the replica, waiting for one if needed."""
        key = (slot_request.service, slot_request.model)
        queue = self._queues[key]
        now = time.monotonic()
        if len(queue) == 0 or slot_request.resume_deadline is not None:
            replica = self._choose(slot_request, now)
            if replica is not None:
                self._occupy_slot(replica, now)
                return replica
        pressure = self._measure_pressure(key, slot_request, now)
        decision = decide_admission(
            pressure,
            now=now,
            deadline=slot_request.deadline,
            resume_deadline=slot_request.resume_deadline,
        )
        if isinstance(decision, Refuse):
            self._refused[key].append(now)
            return Refused(decision.retry_after_s, "no slot in time", pressure)
        return self._wait_for_slot(queue, slot_request, now, decision.until, pressure)

    def release(self, replica: Replica) -> None:
        """Release a slot of a replica."""
        self._loads.remove(replica.id)
        self.assign_free_slots()

    def record_service_time(self, replica: Replica, took_s: float) -> None:
        """Record how long a replica took to serve a request."""
        key = (replica.service, replica.model)
        mean_s = self._service_s.get(key, INITIAL_SERVICE_S)
        self._service_s[key] = mean_s + NEWEST_SAMPLE_WEIGHT * (took_s - mean_s)

    def record_first_event_time(self, replica: Replica, took_s: float) -> None:
        """Record how long a replica took to the first event, or to the whole answer."""
        key = (replica.service, replica.model)
        mean_s = self._first_event_s.get(key, took_s)
        self._first_event_s[key] = mean_s + NEWEST_SAMPLE_WEIGHT * (took_s - mean_s)

    def assign_free_slots(self) -> None:
        """Assign free slots to waiting requests."""
        now = time.monotonic()
        for queue in self._queues.values():
            while (ticket := queue.peek(now)) is not None:
                slot_request, result = ticket.payload
                replica = self._choose(slot_request, now)
                if replica is None:
                    break
                queue.pop(now)
                self._occupy_slot(replica, now)
                result.set(replica)

    def count_in_flight(self, replica: Replica) -> int:
        """Return the known number of requests in flight at a replica."""
        return self._loads.count_in_flight(replica.id, time.monotonic())

    def count_queued(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def estimate_unmet_demand(self, service: str, model: str) -> float:
        """Estimate the slots that requests without one would use, at all gateways.

        Extrapolated from this gateway: requests that wait and, weighted by their
        service time, those refused within the last second.
        """
        key = (service, model)
        now = time.monotonic()
        refused = self._refused[key]
        while refused and now - refused[0] > 1.0:
            refused.popleft()
        service_s = self._service_s.get(key, INITIAL_SERVICE_S)
        peers = max(1, len(self._view.list_peers()))
        return (len(self._queues[key]) + len(refused) * service_s) * peers

    def _wait_for_slot(
        self,
        queue: OnTimeFirstQueue,
        slot_request: SlotRequest,
        now: float,
        until: float,
        pressure: Pressure,
    ) -> Replica | Refused:
        result: AsyncResult = AsyncResult()
        ticket = Ticket(
            request=slot_request.request,
            workspace=slot_request.workspace,
            priority=(
                slot_request.priority
                if slot_request.resume_deadline is None
                else RESUME_PRIORITY
            ),
            share=1.0,
            cost=slot_request.cost,
            deadline=until,
            payload=(slot_request, result),
            latest_start_at=slot_request.due_at
            - self._find_first_event_s(slot_request),
        )
        if not queue.push(ticket):
            return Refused(1.0, "queue is full", pressure)
        try:
            replica = result.get(timeout=until - now, block=True)
        except BaseException as exc:
            queue.drop(slot_request.request)
            if result.ready():
                self.release(result.get_nowait())
            if not isinstance(exc, TimeoutError) and not _is_timeout(exc):
                raise
            return Refused(0.5, "waited too long", pressure)
        return replica

    def _find_first_event_s(self, slot_request: SlotRequest) -> float:
        return self._first_event_s.get((slot_request.service, slot_request.model), 0.0)

    def _choose(self, slot_request: SlotRequest, now: float) -> Replica | None:
        service = self._view.find_service(slot_request.service)
        rate = 0.0 if service is None else service.cold_per_s
        replicas = {
            item.id: item
            for item in self._view.find_replicas(
                slot_request.service, slot_request.model
            )
            if self._accepts_requests(item, now)
        }
        peers = max(1, len(self._view.list_peers()))
        loads = [
            ReplicaLoad(
                id=item.id,
                zone=item.zone,
                outstanding=self._loads.count_in_flight(item.id, now),
                capacity=item.capacity,
            )
            for item in replicas.values()
            if self._cold_limit.has_room(item, rate, peers, now)
        ]
        untried = [load for load in loads if load.id not in slot_request.avoid]
        chosen = choose_replica(untried, zone=self._zone, tie_break=self._rng.random())
        if chosen is None and slot_request.avoid and not untried:
            chosen = choose_replica(
                loads, zone=self._zone, tie_break=self._rng.random()
            )
        return None if chosen is None else replicas[chosen.id]

    def _occupy_slot(self, replica: Replica, now: float) -> None:
        self._loads.add(replica.id)
        self._cold_limit.record(replica, now)

    def _measure_pressure(self, key, slot_request: SlotRequest, now: float) -> Pressure:
        replicas = self._view.find_replicas(*key)
        slots = sum(
            item.capacity for item in replicas if self._accepts_requests(item, now)
        )
        resumes_at = self.pauses.find_first_end((item.id for item in replicas), now)
        ahead = self._queues[key].count_ahead(slot_request.priority)
        peers = max(1, len(self._view.list_peers()))
        return Pressure(
            slots=slots,
            waiting=ahead * peers,
            service_s=self._service_s.get(key, INITIAL_SERVICE_S),
            pause_s=None if resumes_at is None else resumes_at - now,
        )

    def _accepts_requests(self, replica: Replica, now: float) -> bool:
        """Return whether a replica is neither suspected nor asked for a pause."""
        return not (
            self._progress.is_suspected(replica.id, replica.epoch, now)
            or self.pauses.is_paused(replica.id, now)
        )


def _is_timeout(exc: BaseException) -> bool:
    return type(exc).__name__ == "Timeout"
