"""Decisions of the owner of a zone's slots, without input or output.

The load it is for: bursts above the capacity, replicas that are lost and come back,
cold targets, targets that limit the requests a second, and entry hosts that die while
they hold or wait for slots.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace

from ..admission.forecast import Pressure, forecast_wait_s, limit_retry_after
from ..routing.common import LocalLoad, TimeNeed
from ..routing.placement import ReplicaLoad, choose_replica
from ..routing.zones import OtherZones
from .budget import RetryPermit, SharedRetryBudget
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
from .rates import ReportedSends, StatedRates
from .room import MemoryRoom
from .speeds import ReplicaSpeeds
from .waiting import Waiting, WaitingRequests

# Weight of the newest sample in an exponentially weighted moving average.
NEWEST_SAMPLE_WEIGHT = 0.05
# Service time assumed until the first request has been served.
INITIAL_SERVICE_S = 1.0
# Reason of a refusal of a request that no replica's memory can hold.
TOO_LARGE = "more tokens than a target's memory holds"
# Time for which a refused request counts as unmet demand.
REFUSED_WINDOW_S = 1.0
# Time after which a request is asked to come back whose retry was not covered.
NEXT_RETRY_S = 0.5
# Requests whose hosts must not use the free replicas that are passed over for others.
MAX_PASSED_OVER = 8
# Retries of which it is remembered what they were paid from.
MAX_PERMITS = 4096
# Latency objective assumed at least for a request whose objective is not known.
MIN_OBJECTIVE_S = 0.1
# Utilisation that stands for a zone without a free slot.
NO_FREE_SLOT = 9.0


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
        self._permits: dict[tuple[str, int], RetryPermit] = {}
        self._accepts = accepts
        self._cold = ColdRateLimit(1)
        self._rng = random.Random(str(key))
        self._offers: dict[str, SlotOffer] = {}
        self._queue = WaitingRequests()
        self._speeds = ReplicaSpeeds()
        self._refused: deque[float] = deque()
        self._service_s = INITIAL_SERVICE_S
        self._first_event_s = 0.0

    def set_offers(self, offers: tuple[SlotOffer, ...], cold_per_s: int) -> None:
        """Replace the replicas whose slots are owned.

        Parameters
        ----------
        cold_per_s
            Requests a second that each cold one gets from this owner.
        """
        self._offers = {offer.id: offer for offer in offers}
        self._cold.per_s = cold_per_s
        self.room.set_offers(self._offers.values())
        self.rates.keep(self._offers.keys())
        self._speeds.keep(self._offers.keys())

    def request(
        self, client: str, number: int, req: SlotRequest, now: float
    ) -> list[Decision]:
        """Decide on a client's request, now or after it has waited.

        ``number`` names it among those of the client.
        """
        if req.is_retry:
            permit = self.budget.reserve(now)
            if permit is None:
                return [self._refuse_retry(client, number, now)]
            self._permits[client, number] = permit
            if len(self._permits) > MAX_PERMITS:
                self.settle_retry(*next(iter(self._permits)), now)
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
        if not any(self._is_usable(item, now) for item in self._offers.values()):
            return [Declined(client, number)]
        waiting = Waiting(client, number, req, is_passed_on=True)
        offer = None if len(self._queue) else self._choose(req, now)
        if offer is not None:
            return [self._grant(waiting, offer, now)]
        return self._queue_or_refuse(waiting, now)

    def request_for_zone(
        self, client: str, number: int, req: SlotRequest, now: float
    ) -> list[Decision]:
        """Grant a slot to another zone's request, unless requests of this one wait."""
        self.room.record(req, now)
        if not len(self._queue):
            offer = self._choose(req, now)
            if offer is not None:
                return [self._grant(Waiting(client, number, req), offer, now)]
        return [Declined(client, number)]

    def use_elsewhere(self, client: str, number: int, now: float) -> Refused | None:
        """Count a request that another zone granted a slot.

        Returns the refusal of a retry that the budget does not cover any more.
        """
        if self._use_permit(client, number, now):
            return None
        return self._refuse_retry(client, number, now)

    def end_elsewhere(self, client: str, number: int) -> None:
        """Forget a request that another zone refused."""
        self._cancel_permit(client, number)

    def settle_retry(self, client: str, number: int, now: float) -> None:
        """Count a retry of which it is not known whether it was sent."""
        permit = self._permits.pop((client, number), None)
        if permit is not None:
            self.budget.use(permit, now)

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
            if report.target in self._offers:
                self.rates.merge(client, report, now)

    def release(
        self, client: str, number: int, now: float, *, was_used: bool = True
    ) -> list[Decision]:
        """Free a client's slot, and assign it to a request that waits."""
        permit = self._permits.pop((client, number), None)
        if permit is not None and not was_used:
            self.budget.cancel(permit)
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
            self._cancel_permit(client, item.number)
        for _, number in [key for key in self._permits if key[0] == client]:
            self.settle_retry(client, number, now)

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
        self._service_s += NEWEST_SAMPLE_WEIGHT * (service_s - self._service_s)
        known_s = self._first_event_s or first_event_s
        self._first_event_s = known_s + NEWEST_SAMPLE_WEIGHT * (first_event_s - known_s)
        ratio = self._queue.record_times(client, number, service_s, first_event_s)
        target = self.ledger.find_target(client, number)
        if ratio is not None and target is not None:
            self._speeds.record(target, ratio)

    def adopt_service_s(self, service_s: float) -> None:
        """Go on from the service time that the present owner measured."""
        self._service_s = service_s
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
        per_s = self._find_served_per_s(now)
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
        usable = [item for item in self._offers.values() if self._is_usable(item, now)]
        counts = [(item, self.ledger.count(item.id)) for item in usable]
        slots = self._count_slots(usable)
        rooms = {
            item.id: min(
                self.rates.count_room(item.id, now), self.room.count_free(item, now)
            )
            for item in usable
        }
        return KeySummary(
            slots=math.ceil(slots),
            in_flight=sum(count for _, count in counts),
            free=sum(
                max(0, min(item.capacity - count, rooms[item.id]))
                for item, count in counts
            ),
            lowest_utilisation=min(
                (
                    (count + 1) / item.capacity
                    for item, count in counts
                    if rooms[item.id]
                ),
                default=NO_FREE_SLOT,
            ),
            waiting=len(self._queue),
            unmet=self._estimate_unmet(now),
            service_s=self._service_s,
            retry_counts=self.budget.count(now),
            withheld=sum(item.capacity for item in usable) - math.ceil(slots),
        )

    def count_waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    def _place(
        self, waiting: Waiting, now: float, *, is_queued: bool = False
    ) -> Decision | None:
        """Grant a slot here or pass the request on; None if no slot is free."""
        offer = self._choose(waiting.request, now)
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
        if offer and not self.zones.may_gain(self._first_event_s, need, now):
            return None
        load = self._measure_load(waiting, offer, now, is_queued=is_queued)
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

    def _measure_load(
        self,
        waiting: Waiting,
        offer: SlotOffer | None,
        now: float,
        *,
        is_queued: bool,
    ) -> LocalLoad:
        req = waiting.request
        usable = [
            item
            for item in self._offers.values()
            if self._is_usable_for(item, req, now)
        ]
        # Cold replicas count with the requests that they may get.
        cold_slots = self._cold.per_s * self._service_s
        cold = [item for item in usable if item.cold_until > now]
        warm = [item for item in usable if item.cold_until <= now]
        slots = self._count_slots(warm)
        slots += sum(min(self._count_slots([item]), cold_slots) for item in cold)
        capacity = sum(item.capacity for item in usable)
        in_flight = sum(self.ledger.count(item.id) for item in usable)
        utilisation = 1.0
        if offer is not None:
            utilisation = (self.ledger.count(offer.id) + 1) / offer.capacity
        has_paused = now < req.excluded_until < math.inf
        queue = self._queue
        return LocalLoad(
            slots=slots,
            waiting=len(queue) - 1 if is_queued else queue.count_ahead(waiting),
            utilisation=utilisation,
            mean_utilisation=in_flight / max(1, capacity),
            service_s=self._service_s,
            first_event_s=self._first_event_s,
            has_free=offer is not None,
            is_queued=is_queued,
            pause_s=req.excluded_until - now if has_paused else None,
        )

    def _grant(
        self, waiting: Waiting, offer: SlotOffer, now: float
    ) -> Granted | Refused:
        client, number = waiting.client, waiting.number
        if not self._use_permit(client, number, now):
            return self._refuse_retry(client, number, now)
        self.ledger.add(client, number, offer.id, now, waiting.request.tokens)
        self._queue.note_grant(waiting, now)
        self.rates.record(offer.id, client, now)
        offer = replace(offer, rate_per_s=self.rates.find(offer.id))
        if offer.cold_until > now:
            self._cold.record(offer.id, now)
        else:
            self._cold.forget(offer.id)
        return Granted(client, number, offer, self.ledger.count(offer.id))

    def _choose(self, req: SlotRequest, now: float) -> SlotOffer | None:
        """Return the least loaded replica with a free slot."""
        loads = [
            ReplicaLoad(
                offer.id,
                "",
                self.ledger.count(offer.id),
                offer.capacity,
                self._speeds.find(offer.id),
            )
            for offer in self._offers.values()
            if self._is_usable_for(offer, req, now)
            and (offer.cold_until <= now or self._cold.has_room(offer.id, now))
            and self.rates.has_room(offer.id, now)
            and self.room.has_room(offer, req, now)
        ]
        untried = [load for load in loads if load.id not in req.avoid]
        chosen = choose_replica(untried, zone="", tie_break=self._rng.random())
        if chosen is None and req.avoid and not untried:
            chosen = choose_replica(loads, zone="", tie_break=self._rng.random())
        return None if chosen is None else self._offers[chosen.id]

    def _is_usable_for(self, offer: SlotOffer, req: SlotRequest, now: float) -> bool:
        is_excluded = offer.id in req.excluded and now < req.excluded_until
        return not is_excluded and self._is_usable(offer, now)

    def _is_usable(self, offer: SlotOffer, now: float) -> bool:
        return self._accepts(offer.id, offer.epoch, now)

    def _count_slots(self, offers: Iterable[SlotOffer]) -> float:
        """Return the slots of replicas that requests can use, by their limits too."""
        return sum(
            self.room.limit_slots(
                offer,
                self.rates.limit_slots(offer.id, offer.capacity, self._service_s),
            )
            for offer in offers
        )

    def _queue_or_refuse(
        self, waiting: Waiting, now: float, *, is_accepted: bool = False
    ) -> list[Decision]:
        client, number, req = waiting.client, waiting.number, waiting.request
        if not self.room.can_ever_fit(self._offers.values(), req):
            return [self._refuse(client, number, NEXT_RETRY_S, TOO_LARGE, now)]
        pressure = self._measure_pressure(waiting, now)
        is_accepted = is_accepted and pressure.slots > 0
        refusal = self._queue.add(waiting, pressure, now, is_accepted=is_accepted)
        if refusal is None and self._choose(req, now) is not None:
            # Those ahead can't use the slots that are free.
            return self.assign(now)
        if refusal is None:
            return self._evict(now)
        retry_after_s = refusal.retry_after_s
        return [self._refuse(client, number, retry_after_s, "no slot in time", now)]

    def _find_served_per_s(self, now: float) -> float:
        """Return the requests served a second; infinite if no replica is usable."""
        usable = [item for item in self._offers.values() if self._is_usable(item, now)]
        pressure = Pressure(self._count_slots(usable), 0, self._service_s)
        return pressure.served_per_s or math.inf

    def _evict(self, now: float) -> list[Decision]:
        """Refuse those that others, or lost replicas, leave no slot in time."""
        hopeless = self._queue.drop_hopeless(now, self._find_served_per_s(now))
        reason = "more urgent ones came"
        return [self._refuse_waiting(item, reason, now) for item in hopeless]

    def _refuse_waiting(self, waiting: Waiting, reason: str, now: float) -> Refused:
        req = waiting.request
        wait_s = forecast_wait_s(self._measure_pressure(waiting, now))
        retry_after_s = limit_retry_after(wait_s, req.deadline - now)
        return self._refuse(waiting.client, waiting.number, retry_after_s, reason, now)

    def _use_permit(self, client: str, number: int, now: float) -> bool:
        """Count a retry whose slot is granted; False if the budget does not cover it.

        Another permit replaces one that has become void while the request waited.
        """
        permit = self._permits.get((client, number))
        if permit is None or self.budget.use(permit, now):
            return True
        permit = self.budget.reserve(now)
        if permit is None or not self.budget.use(permit, now):
            del self._permits[client, number]
            return False
        self._permits[client, number] = permit
        return True

    def _cancel_permit(self, client: str, number: int) -> None:
        permit = self._permits.pop((client, number), None)
        if permit is not None:
            self.budget.cancel(permit)

    def _refuse_retry(self, client: str, number: int, now: float) -> Refused:
        return self._refuse(client, number, NEXT_RETRY_S, BUDGET_SPENT, now)

    def _refuse(self, client, number, retry_after_s, reason, now: float) -> Refused:
        self._cancel_permit(client, number)
        self._refused.append(now)
        pressure = Pressure(
            slots=self._count_slots(self._offers.values()),
            waiting=len(self._queue),
            service_s=self._service_s,
        )
        return Refused(client, number, retry_after_s, reason, pressure)

    def _measure_pressure(self, waiting: Waiting, now: float) -> Pressure:
        req = waiting.request
        slots = self._count_slots(
            offer
            for offer in self._offers.values()
            if self._is_usable_for(offer, req, now)
        )
        has_paused = now < req.excluded_until < math.inf
        return Pressure(
            slots=slots,
            waiting=self._queue.count_ahead(waiting),
            service_s=self._service_s,
            pause_s=req.excluded_until - now if has_paused else None,
        )

    def _estimate_unmet(self, now: float) -> float:
        while self._refused and now - self._refused[0] > REFUSED_WINDOW_S:
            self._refused.popleft()
        return len(self._queue) + len(self._refused) * self._service_s
