"""Gives requests their replicas, and lets them wait while all are full."""

from __future__ import annotations

import math
import random
import time
from collections import defaultdict, deque
from dataclasses import dataclass

from gevent.event import AsyncResult

from ..admission import FreshFirstQueue, Ticket
from ..admission.forecast import Pressure, Refuse, decide_admission
from ..routing.placement import ReplicaLoad, choose_replica
from ..targets.loads import LoadBook
from ..targets.progress import ProgressBook
from .beliefs import GatewayView, Replica

# Weight of the newest figure in a running mean.
NEWEST_WEIGHT = 0.05
FIRST_SERVICE_S = 1.0
# Queue of requests that have run in part, before all that callers ask for.
BEGUN_PRIORITY = -1


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that got no replica; it has not run.

    Attributes
    ----------
    retry_after_s
        Time after which the caller may come back, in seconds.
    """

    retry_after_s: float
    reason: str
    pressure: Pressure


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs of its replica.

    Attributes
    ----------
    cost
        Expected work, in tokens or calls.
    avoid
        Replicas that it was already sent to.
    begun_until
        Monotonic time until which the caller of a request that has run in part waits
        for it to go on.
    aim_at
        Monotonic time until which its answer, or the first event, is in time.
    """

    request: str
    service: str
    model: str
    workspace: str
    priority: int
    cost: float
    deadline: float
    avoid: frozenset[str] = frozenset()
    begun_until: float | None = None
    aim_at: float = math.inf


class _ColdLimit:
    """Share of a cold target's rate that this entry host may use."""

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

    def note(self, replica: Replica, now: float) -> None:
        if replica.cold_until > now:
            self._sent[replica.id].append(now)


class Dispatcher:
    """Chooses replicas for all services of this entry host."""

    def __init__(
        self, zone: str, view: GatewayView, loads: LoadBook, progress: ProgressBook
    ):
        self._zone = zone
        self._view = view
        self._loads = loads
        self._progress = progress
        self._rng = random.Random(zone)
        self._queues: dict[tuple[str, str], FreshFirstQueue] = defaultdict(
            FreshFirstQueue
        )
        self._first_s: dict[tuple[str, str], float] = {}
        self._service_s: dict[tuple[str, str], float] = {}
        self._refused: dict[tuple[str, str], deque[float]] = defaultdict(deque)
        self._cold = _ColdLimit()

    def acquire(self, demand: Demand) -> Replica | Refused:
        """Return a replica with a slot taken, waiting for one if need be."""
        key = (demand.service, demand.model)
        queue = self._queues[key]
        now = time.monotonic()
        if len(queue) == 0 or demand.begun_until is not None:
            replica = self._choose(demand, now)
            if replica is not None:
                self._take(replica, now)
                return replica
        pressure = self._measure(key, demand, now)
        decision = decide_admission(
            pressure,
            now=now,
            deadline=demand.deadline,
            begun_until=demand.begun_until,
        )
        if isinstance(decision, Refuse):
            self._refused[key].append(now)
            return Refused(decision.retry_after_s, "no slot in time", pressure)
        return self._wait(queue, demand, now, decision.until, pressure)

    def release(self, replica: Replica) -> None:
        """Give a slot back."""
        self._loads.remove(replica.id)
        self.pump()

    def note_served(self, replica: Replica, took_s: float) -> None:
        """Note how long a request took at a replica."""
        key = (replica.service, replica.model)
        known = self._service_s.get(key, FIRST_SERVICE_S)
        self._service_s[key] = known + NEWEST_WEIGHT * (took_s - known)

    def note_first(self, replica: Replica, took_s: float) -> None:
        """Note how long a replica took to the first event, or to a whole answer."""
        key = (replica.service, replica.model)
        known = self._first_s.get(key, took_s)
        self._first_s[key] = known + NEWEST_WEIGHT * (took_s - known)

    def pump(self) -> None:
        """Give free slots to the requests that wait."""
        now = time.monotonic()
        for queue in self._queues.values():
            while (ticket := queue.peek(now)) is not None:
                demand, result = ticket.payload
                replica = self._choose(demand, now)
                if replica is None:
                    break
                queue.pop(now)
                self._take(replica, now)
                result.set(replica)

    def count_at(self, replica: Replica) -> int:
        """Return the requests in progress at a replica, as far as known."""
        return self._loads.count_at(replica.id, time.monotonic())

    def count_waiting(self) -> int:
        """Return the requests that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def estimate_unserved(self, service: str, model: str) -> float:
        """Return the slots that requests without one would take, at all entry hosts.

        Counts those that wait and, for the time that they would have run, those that
        were refused within the last second.
        """
        key = (service, model)
        now = time.monotonic()
        refused = self._refused[key]
        while refused and now - refused[0] > 1.0:
            refused.popleft()
        service_s = self._service_s.get(key, FIRST_SERVICE_S)
        peers = max(1, len(self._view.list_peers()))
        return (len(self._queues[key]) + len(refused) * service_s) * peers

    def _wait(
        self,
        queue: FreshFirstQueue,
        demand: Demand,
        now: float,
        until: float,
        pressure: Pressure,
    ) -> Replica | Refused:
        result: AsyncResult = AsyncResult()
        ticket = Ticket(
            request=demand.request,
            workspace=demand.workspace,
            priority=(
                demand.priority if demand.begun_until is None else BEGUN_PRIORITY
            ),
            share=1.0,
            cost=demand.cost,
            deadline=until,
            payload=(demand, result),
            in_time_until=demand.aim_at - self._find_first_s(demand),
        )
        if not queue.push(ticket):
            return Refused(1.0, "queue is full", pressure)
        try:
            replica = result.get(timeout=until - now, block=True)
        except BaseException as exc:
            queue.drop(demand.request)
            if result.ready():
                self.release(result.get_nowait())
            if not isinstance(exc, TimeoutError) and not _is_timeout(exc):
                raise
            return Refused(0.5, "waited too long", pressure)
        return replica

    def _find_first_s(self, demand: Demand) -> float:
        return self._first_s.get((demand.service, demand.model), 0.0)

    def _choose(self, demand: Demand, now: float) -> Replica | None:
        service = self._view.find_service(demand.service)
        rate = 0.0 if service is None else service.cold_per_s
        replicas = {
            item.id: item
            for item in self._view.find_replicas(demand.service, demand.model)
            if not self._progress.is_suspect(item.id, item.epoch, now)
        }
        peers = max(1, len(self._view.list_peers()))
        loads = [
            ReplicaLoad(
                id=item.id,
                zone=item.zone,
                outstanding=self._loads.count_at(item.id, now),
                capacity=item.capacity,
            )
            for item in replicas.values()
            if self._cold.has_room(item, rate, peers, now)
        ]
        fresh = [load for load in loads if load.id not in demand.avoid]
        chosen = choose_replica(fresh, zone=self._zone, tie=self._rng.random())
        if chosen is None and demand.avoid and not fresh:
            chosen = choose_replica(loads, zone=self._zone, tie=self._rng.random())
        return None if chosen is None else replicas[chosen.id]

    def _take(self, replica: Replica, now: float) -> None:
        self._loads.add(replica.id)
        self._cold.note(replica, now)

    def _measure(self, key, demand: Demand, now: float) -> Pressure:
        replicas = self._view.find_replicas(*key)
        slots = sum(
            item.capacity
            for item in replicas
            if not self._progress.is_suspect(item.id, item.epoch, now)
        )
        ahead = self._queues[key].count_ahead(demand.priority)
        peers = max(1, len(self._view.list_peers()))
        return Pressure(
            slots=slots,
            waiting=ahead * peers,
            service_s=self._service_s.get(key, FIRST_SERVICE_S),
        )


def _is_timeout(exc: BaseException) -> bool:
    return type(exc).__name__ == "Timeout"
