"""Decisions of the owner of a zone's slots, without input or output.

The load it is for: bursts above the capacity, replicas that are lost and come back,
cold targets, targets that limit the requests a second, and entry hosts that die while
they hold or wait for slots.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from ..admission.forecast import forecast_wait_s, limit_retry_after
from ..routing.common import TimeNeed
from ..routing.zones import OtherZones
from .budget import SharedRetryBudget
from .cold import ColdRateLimit
from .common import (
    BUDGET_SPENT,
    Decision,
    Declined,
    Forwarded,
    Granted,
    KeySummary,
    Refused,
    SlotKey,
    SlotOffer,
    SlotRequest,
)
from .ledger import SlotLedger
from .load import OwnerLoad
from .opening import OpeningGroups
from .permits import RetryPermits
from .rates import ReportedSends, StatedRates
from .replicas import OwnedReplicas
from .room import MemoryRoom
from .waiting import Waiting, WaitingRequests

# Reason of a refusal of a request that no replica's memory can hold.
TOO_LARGE = "more tokens than a target's memory holds"
# Time after which a request is asked to come back whose retry was not covered.
NEXT_RETRY_S = 0.5
# Requests whose hosts must not use the free replicas that are passed over for others.
MAX_PASSED_OVER = 8
# Latency objective assumed at least for a request whose objective is not known.
MIN_OBJECTIVE_S = 0.1


class SlotOwner:
    """Owner of the slots of one key.

    Parameters
    ----------
    accepts
        Returns whether a replica, given its id and epoch, is sound at a monotonic time.
    zones
        Choice of other zones.

    Attributes
    ----------
    zones
        Choice of other zones.
    rates
        Limits of requests a second that replicas state.
    budget
        This owner's part of the retry budget.
    opening
        Groups that are about to serve requests.
    """

    def __init__(
        self,
        key: SlotKey,
        budget: SharedRetryBudget,
        accepts: Callable[[str, int, float], bool] = lambda target, epoch, now: True,
        *,
        zones: OtherZones | None = None,
    ):
        self.key = key
        self.zones = zones or OtherZones(key.zone)
        self.ledger = SlotLedger()
        self.room = MemoryRoom(self.ledger)
        self.rates = StatedRates()
        self.budget = budget
        self.opening = OpeningGroups()
        self._permits = RetryPermits(budget)
        self._cold = ColdRateLimit(1)
        self._queue = WaitingRequests()
        self._replicas = OwnedReplicas(
            self.ledger, self.room, self.rates, self._cold, accepts, str(key)
        )
        self._load = OwnerLoad(
            self._replicas, self._queue, self.ledger, self._cold, self.opening
        )

    def set_offers(self, offers: tuple[SlotOffer, ...], cold_per_s: int) -> None:
        """Replace the replicas whose slots are owned.

        Parameters
        ----------
        cold_per_s
            Requests a second that each cold one gets from this owner.
        """
        self._cold.per_s = cold_per_s
        self._replicas.set_offers(offers)

    def request(
        self, client: str, number: int, req: SlotRequest, now: float
    ) -> list[Decision]:
        """Decide on a client's request, now or after it has waited.

        ``number`` names it among those of the client.
        """
        if req.is_retry:
            if not self._permits.reserve(client, number, now):
                return [self._refuse_retry(client, number, now)]
        elif not req.is_repeated:
            self.budget.earn(now)
        self.room.record(req, now)
        waiting = Waiting(client, number, req)
        if not len(self._queue) or req.resume_deadline is not None:
            decision = self._place(waiting, now)
            if decision is not None:
                return [decision]
        passed_on = self._pass_on(waiting, None, now)
        if passed_on is not None:
            return [passed_on]
        return self._queue_or_refuse(waiting, now)

    def request_passed_on(
        self, client: str, number: int, req: SlotRequest, now: float
    ) -> list[Decision]:
        """Decide on a request that another zone's owner passed on, and that may wait.

        The retry that it may be was taken from that owner's budget.
        """
        self.room.record(req, now)
        if not any(self._replicas.iter_usable(now)):
            return [Declined(client, number)]
        waiting = Waiting(client, number, req, is_passed_on=True)
        offer = None if len(self._queue) else self._replicas.choose(req, now)
        if offer is not None:
            return [self._grant(waiting, offer, now)]
        return self._queue_or_refuse(waiting, now)

    def request_for_zone(
        self, client: str, number: int, req: SlotRequest, now: float
    ) -> list[Decision]:
        """Grant a slot to another zone's request, unless requests of this one wait."""
        self.room.record(req, now)
        if not len(self._queue):
            offer = self._replicas.choose(req, now)
            if offer is not None:
                return [self._grant(Waiting(client, number, req), offer, now)]
        return [Declined(client, number)]

    def use_elsewhere(self, client: str, number: int, now: float) -> Refused | None:
        """Count a request that another zone granted a slot.

        Returns the refusal of a retry that the budget does not cover any more.
        """
        if self._permits.use(client, number, now):
            return None
        return self._refuse_retry(client, number, now)

    def end_elsewhere(self, client: str, number: int) -> None:
        """Forget a request that another zone refused."""
        self._permits.cancel(client, number)

    def settle_retry(self, client: str, number: int, now: float) -> None:
        """Count a retry of which it is not known whether it was sent."""
        self._permits.settle(client, number, now)

    def take_back(
        self,
        client: str,
        number: int,
        req: SlotRequest,
        zone: str,
        now: float,
        *,
        has_waited: bool = False,
        is_passed_on: bool = False,
    ) -> list[Decision]:
        """Decide on a request that another zone declined, or did not answer.

        It was accepted here, so that it is not refused for those that came since.

        Parameters
        ----------
        has_waited
            Whether it waited there until the owner was gone.
        is_passed_on
            Whether a third zone's owner had passed it on to this one.
        """
        self.zones.record_declined(zone, has_waited=has_waited)
        waiting = Waiting(client, number, req, is_passed_on)
        decision = self._place(waiting, now)
        if decision is not None:
            return [decision]
        return self._queue_or_refuse(waiting, now, is_accepted=True)

    def reconcile_sends(
        self, client: str, reports: Iterable[ReportedSends], now: float
    ) -> None:
        """Count what a client reports to have sent to replicas with a limit."""
        for report in reports:
            if report.target in self._replicas:
                self.rates.merge(client, report, now)

    def release(
        self, client: str, number: int, now: float, *, was_used: bool = True
    ) -> list[Decision]:
        """Free a client's slot, and assign it to a request that waits."""
        if was_used:
            self._permits.forget(client, number)
        else:
            self._permits.cancel(client, number)
        self.ledger.remove(client, number)
        self._queue.forget_grant(client, number)
        return self.assign(now)

    def cancel(
        self, client: str, number: int, now: float, *, was_used: bool = False
    ) -> list[Decision]:
        """Forget a request that waits or holds a slot, as its caller has left."""
        self._queue.drop(client, number)
        return self.release(client, number, now, was_used=was_used)

    def drop_client(self, client: str, now: float) -> list[Decision]:
        """Forget a client that is gone, and what it waits for or holds."""
        self.drop_waiting(client, now)
        self.ledger.drop_client(client)
        return self.assign(now)

    def drop_waiting(self, client: str, now: float) -> None:
        """Forget what a client waits for, and count the retries that it may have sent.

        Its next process numbers its requests anew, so that none of them may stand for a
        retry of this one.
        """
        for item in [item for item in self._queue if item.client == client]:
            self._queue.drop(client, item.number)
            self._permits.cancel(client, item.number)
        self._permits.settle_client(client, now)

    def record_times(
        self,
        service_s: float,
        first_event_s: float,
        *,
        client: str = "",
        number: int = 0,
    ) -> None:
        """Record how long a replica took to the whole answer and to its first part.

        The client and the number name the request whose slot was used.
        """
        self._load.record_times(service_s, first_event_s)
        ratio = self._queue.record_times(client, number, service_s, first_event_s)
        target = self.ledger.find_target(client, number)
        if ratio is not None and target is not None:
            self._replicas.record_speed(target, ratio)

    def adopt_service_s(self, service_s: float) -> None:
        """Go on from the service time that the present owner measured."""
        self._load.service_s = service_s
        self._queue.adopt_service_s(service_s)

    def update_zone(self, zone: str, summary: KeySummary, now: float) -> list[Decision]:
        """Take note of another zone's summary, and pass waiting requests on to it."""
        self.zones.update(zone, summary, now)
        return self.assign(now)

    def assign(self, now: float) -> list[Decision]:
        """Decide on the requests that wait, as far as slots are free."""
        decisions: list[Decision] = [
            self._refuse_waiting(item, "waited too long", now)
            for item in self._queue.drop_expired(now)
        ]
        per_s = self._load.find_served_per_s(now)
        paused: set[str] = set()
        while (ticket := self._queue.peek(now, per_s, paused)) is not None:
            waiting = ticket.payload
            decision = self._place(waiting, now, is_queued=True)
            if decision is not None:
                self._queue.take(ticket)
                decisions.append(decision)
            elif waiting.is_paused(now) and len(paused) < MAX_PASSED_OVER:
                # Its host must not use the replicas that are free; others may.
                paused.add(ticket.request)
            else:
                break
        return decisions + self._evict(now)

    def summarize(self, now: float) -> KeySummary:
        """Return the summary for other zones and the planner."""
        return self._load.summarize(self.budget.count(now), now)

    def count_waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    def _place(
        self, waiting: Waiting, now: float, *, is_queued: bool = False
    ) -> Decision | None:
        """Grant a slot here or pass the request on; None if no slot is free."""
        offer = self._replicas.choose(waiting.request, now)
        passed_on = self._pass_on(waiting, offer, now, is_queued=is_queued)
        if passed_on is not None or offer is None:
            return passed_on
        return self._grant(waiting, offer, now)

    def _pass_on(
        self,
        waiting: Waiting,
        offer: SlotOffer | None,
        now: float,
        *,
        is_queued: bool = False,
    ) -> Forwarded | None:
        """Pass a request on if another zone serves it better.

        Parameters
        ----------
        offer
            Replica of this zone that has a free slot for it.
        """
        req = waiting.request
        due_at = min(req.due_at, req.deadline)
        objective_s = req.objective_s or max(due_at - now, MIN_OBJECTIVE_S)
        need = TimeNeed(due_at, objective_s)
        if offer and not self.zones.may_gain(self._load.first_event_s, need, now):
            return None
        load = self._load.measure_local(waiting, offer, now, is_queued=is_queued)
        if waiting.is_passed_on and load.slots:
            return None  # Nothing is sent on or back while it can be served here.
        leave = self.zones.choose(load, need, now)
        if leave is None:
            return None
        self.zones.record_sent(leave.zone, now)
        return Forwarded(
            waiting.client,
            waiting.number,
            leave.zone,
            req,
            leave.may_wait,
            str(leave.reason),
            leave.gain,
            leave.report_age_s,
            waiting.is_passed_on,
        )

    def _grant(
        self, waiting: Waiting, offer: SlotOffer, now: float
    ) -> Granted | Refused:
        client, number = waiting.client, waiting.number
        if not self._permits.use(client, number, now):
            return self._refuse_retry(client, number, now)
        self.ledger.add(client, number, offer.id, now, waiting.request.tokens)
        self._queue.note_grant(waiting, now)
        self.rates.record(offer.id, client, now)
        offer = replace(offer, rate_per_s=self.rates.find(offer.id))
        self._replicas.note_grant(offer, now)
        return Granted(client, number, offer, self.ledger.count(offer.id))

    def _queue_or_refuse(
        self, waiting: Waiting, now: float, *, is_accepted: bool = False
    ) -> list[Decision]:
        client, number, req = waiting.client, waiting.number, waiting.request
        if not self.room.can_ever_fit(self._replicas, req):
            return [self._refuse(client, number, NEXT_RETRY_S, TOO_LARGE, now)]
        pressure = self._load.measure_pressure(waiting, now)
        is_accepted = is_accepted and pressure.slots > 0
        refusal = self._queue.add(waiting, pressure, now, is_accepted=is_accepted)
        if refusal is None and self._replicas.choose(req, now) is not None:
            # Those ahead can't use the slots that are free.
            return self.assign(now)
        if refusal is None:
            return self._evict(now)
        retry_after_s = refusal.retry_after_s
        return [self._refuse(client, number, retry_after_s, "no slot in time", now)]

    def _evict(self, now: float) -> list[Decision]:
        """Refuse those that others, or lost replicas, leave no slot in time."""
        hopeless = self._queue.drop_hopeless(now, self._load.find_served_per_s(now))
        reason = "more urgent ones came"
        return [self._refuse_waiting(item, reason, now) for item in hopeless]

    def _refuse_waiting(self, waiting: Waiting, reason: str, now: float) -> Refused:
        req = waiting.request
        wait_s = forecast_wait_s(self._load.measure_pressure(waiting, now))
        retry_after_s = limit_retry_after(wait_s, req.deadline - now)
        return self._refuse(waiting.client, waiting.number, retry_after_s, reason, now)

    def _refuse_retry(self, client: str, number: int, now: float) -> Refused:
        return self._refuse(client, number, NEXT_RETRY_S, BUDGET_SPENT, now)

    def _refuse(self, client, number, retry_after_s, reason, now: float) -> Refused:
        self._permits.cancel(client, number)
        self._load.record_refused(now)
        pressure = self._load.measure_total()
        return Refused(client, number, retry_after_s, reason, pressure)
