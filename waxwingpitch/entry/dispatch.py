"""Dispatcher task of one service: queues requests and assigns targets."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from gevent.event import AsyncResult

from ..admission import FairQueue, Ticket
from ..configuration import Service, Spill
from ..errors import RequestError, ResultCode
from ..membership import MemberList, is_within_share, split_cap
from ..routing import Candidate, Router, RoutingRequest, build_policy
from ..targets import ConcurrencyWindow, Target
from ..task import Task
from .view import EntryView

# Interval at which queued requests are checked while nothing happens.
RECHECK_INTERVAL_S = 0.1
# Longest wait while the service has no usable target.
NO_TARGET_WAIT_S = 2.0
# Weight of the newest sample in the moving average of the service time.
SERVICE_TIME_EWMA_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.5
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class TargetRequirements:
    """What a request needs from a target.

    Attributes
    ----------
    routing
        Input of the routing policies.
    avoid
        Ids of targets that failed the request; used only if there is no other.
    suspect
        Whether a request with the same fingerprint was in flight at a crash.
    arrived_at
        Monotonic time of arrival.
    """

    routing: RoutingRequest = RoutingRequest()
    avoid: frozenset[str] = frozenset()
    suspect: bool = False
    arrived_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Assignment:
    """A target to which a request may be sent until the assignment is released."""

    target: Target
    request: str
    suspect: bool
    started_at: float


@dataclass(frozen=True, slots=True)
class Acquire:
    """Requests a target; the future gets an Assignment or a RequestError."""

    ticket: Ticket
    fut: AsyncResult


@dataclass(frozen=True, slots=True)
class Release:
    """Ends an assignment."""

    assignment: Assignment
    completed: bool


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Removes the ticket of a request that no longer waits."""

    request: str


@dataclass(frozen=True, slots=True)
class Wake:
    """Dispatches again after a change that may have added capacity."""


@dataclass(frozen=True, slots=True)
class _Payload:
    requirements: TargetRequirements
    fut: AsyncResult = field(compare=False)


DispatchMessage = Acquire | Release | Withdraw | Wake


class Dispatcher(Task[DispatchMessage]):
    """Owns the queue and the outstanding requests of one service.

    Parameters
    ----------
    service
        Name of the service.
    view
        State of the cluster as known to this process.
    router
        Chooses among the targets below their concurrency limits.

    Attributes
    ----------
    queue
        Requests that wait for a target.
    suspect_queue
        Suspects that wait for a trial.
    outstanding
        Number of this process's requests in flight, by target id.
    """

    def __init__(self, service: str, view: EntryView, router: Router):
        super().__init__()
        self.queue = FairQueue()
        self.suspect_queue = FairQueue()
        self.outstanding: Counter[str] = Counter()
        self._service = service
        self._view = view
        self._router = router
        self._windows: dict[str, ConcurrencyWindow] = {}
        self._trials: dict[str, str] = {}
        self._service_time_s = INITIAL_SERVICE_TIME_S

    def acquire(self, ticket: Ticket, requirements: TargetRequirements) -> Assignment:
        """Wait for a target.

        Raises
        ------
        RequestError
            The request is refused as not run.
        """
        fut = AsyncResult()
        self.post(Acquire(_attach_payload(ticket, _Payload(requirements, fut)), fut))
        try:
            return fut.get()
        except BaseException:
            if not fut.ready():
                self.post(Withdraw(ticket.request))
                fut.rawlink(self._release_unused)
            raise

    def is_within_shares(self, members: MemberList) -> bool:
        """Return whether requests in flight at cold targets are within their shares.

        The shares are those that a member list gives this process.
        """
        service = self._find_service()
        if service is None:
            return True
        return all(
            is_within_share(
                members,
                self._view.me,
                target.id,
                service.cold_cap,
                self.outstanding[target.id],
            )
            for target in self._find_usable(service)
            if target.cold and target.zone == members.zone
        )

    def _release_unused(self, fut: AsyncResult) -> None:
        if fut.successful():
            self.post(Release(fut.value, completed=False))

    @property
    def _queued(self) -> int:
        return len(self.queue) + len(self.suspect_queue)

    def idle_s(self) -> float | None:
        return RECHECK_INTERVAL_S if self._queued else None

    def on_idle(self) -> None:
        self._dispatch()

    def handle(self, message: DispatchMessage) -> None:
        match message:
            case Acquire(ticket=ticket, fut=fut):
                self._enqueue(ticket, fut)
            case Release():
                self._release(message)
            case Withdraw(request=request):
                self.queue.drop(request)
                self.suspect_queue.drop(request)
            case Wake():
                pass
        if self._queued:
            self._dispatch()

    def _enqueue(self, ticket: Ticket, fut: AsyncResult) -> None:
        service = self._find_service()
        if service is None:
            fut.set_exception(_build_error(ResultCode.UNKNOWN_SERVICE, self._service))
            return
        if ticket.payload.requirements.suspect:
            self._enqueue_suspect(ticket, fut)
            return
        wait_s = self._estimate_wait_s(service, ticket)
        left_s = ticket.deadline - time.monotonic()
        if wait_s > min(service.max_wait_s, left_s):
            text = f"expected wait {wait_s:.1f} s"
            fut.set_exception(
                _build_error(
                    ResultCode.DEADLINE_UNREACHABLE, text, retry_after_s=wait_s
                )
            )
        elif not self.queue.push(ticket):
            text = f"queue of priority {ticket.priority} is full"
            fut.set_exception(
                _build_error(
                    ResultCode.QUEUE_FULL, text, retry_after_s=max(1.0, wait_s)
                )
            )

    def _enqueue_suspect(self, ticket: Ticket, fut: AsyncResult) -> None:
        """Queue a suspect separately, so that no other request waits for its trial."""
        if not self.suspect_queue.push(ticket):
            fut.set_exception(
                _build_error(
                    ResultCode.QUEUE_FULL,
                    "too many requests wait for a trial",
                    retry_after_s=RETRY_AFTER_S,
                )
            )

    def _estimate_wait_s(self, service: Service, ticket: Ticket) -> float:
        ahead = self.queue.count_ahead(ticket.priority)
        if not ahead:
            return 0.0
        slots = sum(
            self._concurrency_limit(service, target)
            for target in self._find_usable(service)
        )
        return ahead * self._service_time_s / slots if slots else 0.0

    def _release(self, message: Release) -> None:
        assignment = message.assignment
        target = assignment.target
        self.outstanding[target.id] -= 1
        if self.outstanding[target.id] <= 0:
            del self.outstanding[target.id]
        if self._trials.get(target.id) == assignment.request:
            del self._trials[target.id]
        now = time.monotonic()
        if message.completed:
            took_s = now - assignment.started_at
            self._service_time_s += SERVICE_TIME_EWMA_WEIGHT * (
                took_s - self._service_time_s
            )
        report = self._view.evidence.fresh_report(target.hosts[0], now)
        if report is not None:
            self._window(target).adapt_to_load(report.load, now)

    def _dispatch(self) -> None:
        now = time.monotonic()
        service = self._find_service()
        self._refuse_expired(service, now)
        for queue in (self.suspect_queue, self.queue):
            self._dispatch_queue(queue, service, now)

    def _dispatch_queue(
        self, queue: FairQueue, service: Service | None, now: float
    ) -> None:
        while (ticket := queue.peek()) is not None:
            payload: _Payload = ticket.payload
            if service is None:
                queue.pop()
                payload.fut.set_exception(
                    _build_error(ResultCode.UNKNOWN_SERVICE, self._service)
                )
                continue
            candidate = self._choose(service, payload.requirements)
            if candidate is None:
                return
            queue.pop()
            payload.fut.set(self._assign(ticket, candidate.target, now))

    def _refuse_expired(self, service: Service | None, now: float) -> None:
        """Refuse requests that waited too long; suspects may wait to their deadline."""
        max_wait_s = service.max_wait_s if service is not None else 0.0
        usable = service is not None and any(True for _ in self._find_usable(service))
        limit_s = max_wait_s if usable else min(NO_TARGET_WAIT_S, max_wait_s)
        code = ResultCode.DEADLINE_UNREACHABLE if usable else ResultCode.NO_TARGET
        expired = [
            *self.queue.drop_expired(now, now - limit_s, _arrived_at),
            *self.suspect_queue.drop_expired(now, 0.0, _arrived_at),
        ]
        for ticket in expired:
            waited_s = now - _arrived_at(ticket)
            text = f"no target had room after {waited_s:.1f} s"
            ticket.payload.fut.set_exception(
                _build_error(code, text, retry_after_s=RETRY_AFTER_S)
            )

    def _choose(
        self, service: Service, requirements: TargetRequirements
    ) -> Candidate | None:
        usable = list(self._find_usable(service))
        untried = [item for item in usable if item.id not in requirements.avoid]
        for targets in self._iter_tiers(service, untried or usable):
            candidates = [
                candidate
                for target in targets
                if (candidate := self._build_candidate(service, target, requirements))
                is not None
            ]
            if candidates:
                policy = build_policy(service)
                return self._router.choose(policy, requirements.routing, candidates)
        return None

    def _iter_tiers(
        self, service: Service, usable: list[Target]
    ) -> Iterator[list[Target]]:
        """Yield the targets of this zone, then those that the spill setting allows."""
        zone = self._view.me.zone
        yield [target for target in usable if target.zone == zone]
        region = self._region_of(zone)
        match service.spill:
            case Spill.NEVER:
                return
            case Spill.REGION:
                yield [
                    target
                    for target in usable
                    if target.zone != zone and self._region_of(target.zone) == region
                ]
            case Spill.ANYWHERE:
                yield [target for target in usable if target.zone != zone]

    def _region_of(self, zone_name: str) -> str:
        zone = self._view.cfg.find_zone(zone_name)
        return zone.region if zone is not None else ""

    def _build_candidate(
        self, service: Service, target: Target, requirements: TargetRequirements
    ) -> Candidate | None:
        if requirements.suspect and target.id in self._trials:
            return None
        outstanding = self.outstanding[target.id]
        limit = self._concurrency_limit(service, target)
        if outstanding >= limit:
            return None
        pressure = max(outstanding / limit, target.load / service.warm_cap)
        return Candidate(target, outstanding, pressure)

    def _concurrency_limit(self, service: Service, target: Target) -> int:
        if not target.cold:
            return self._window(target).size
        members = self._view.agreed.lists.get(target.zone, MemberList(target.zone))
        return split_cap(members, self._view.me, target.id, service.cold_cap)

    def _window(self, target: Target) -> ConcurrencyWindow:
        window = self._windows.get(target.id)
        if window is None:
            service = self._find_service()
            limit = service.warm_cap if service is not None else 1
            members = max(1, len(self._view.own_list.members))
            window = ConcurrencyWindow(limit, max(1, limit // members))
            self._windows[target.id] = window
        return window

    def _assign(self, ticket: Ticket, target: Target, now: float) -> Assignment:
        requirements = ticket.payload.requirements
        self.outstanding[target.id] += 1
        if requirements.suspect:
            self._trials[target.id] = ticket.request
        return Assignment(target, ticket.request, requirements.suspect, now)

    def _find_usable(self, service: Service) -> Iterator[Target]:
        return self._view.directory.find_usable(service, time.monotonic())

    def _find_service(self) -> Service | None:
        return self._view.cfg.find_service(self._service)


def _attach_payload(ticket: Ticket, payload: _Payload) -> Ticket:
    return Ticket(
        ticket.request,
        ticket.workspace,
        ticket.priority,
        ticket.share,
        ticket.cost,
        ticket.deadline,
        payload,
    )


def _arrived_at(ticket: Ticket) -> float:
    return ticket.payload.requirements.arrived_at


def _build_error(code: ResultCode, text: str, **kwargs) -> RequestError:
    return RequestError(code, text, **kwargs)
