"""Load of one owner's slots, as admission, other zones and the planner need it."""

from __future__ import annotations

import math
from collections import deque

from ..admission.forecast import Pressure
from ..routing.common import LocalLoad
from .budget import RetryCounts
from .cold import ColdRateLimit
from .common import KeySummary, SlotOffer, SlotRequest
from .ledger import SlotLedger
from .opening import OpeningGroups
from .replicas import OwnedReplicas
from .waiting import Waiting, WaitingRequests

# Weight of the newest sample in an exponentially weighted moving average.
NEWEST_SAMPLE_WEIGHT = 0.05
# Service time assumed until the first request has been served.
INITIAL_SERVICE_S = 1.0
# Time for which a refused request counts as unmet demand.
REFUSED_WINDOW_S = 1.0
# Utilisation that stands for a zone without a free slot.
NO_FREE_SLOT = 9.0


class OwnerLoad:
    """Measures how loaded the replicas of one owner are, and how long requests take.

    Attributes
    ----------
    service_s, first_event_s
        Mean times to the whole answer and to its first part; the latter is 0 if not
        known.
    """

    def __init__(
        self,
        replicas: OwnedReplicas,
        queue: WaitingRequests,
        ledger: SlotLedger,
        cold: ColdRateLimit,
        opening: OpeningGroups,
    ):
        self._replicas = replicas
        self._queue = queue
        self._ledger = ledger
        self._cold = cold
        self._opening = opening
        self._refused: deque[float] = deque()
        self.service_s = INITIAL_SERVICE_S
        self.first_event_s = 0.0

    def record_times(self, service_s: float, first_event_s: float) -> None:
        """Record how long a replica took to the whole answer and to its first part."""
        self.service_s += NEWEST_SAMPLE_WEIGHT * (service_s - self.service_s)
        known_s = self.first_event_s or first_event_s
        self.first_event_s = known_s + NEWEST_SAMPLE_WEIGHT * (first_event_s - known_s)

    def record_refused(self, now: float) -> None:
        """Count a refused request as unmet demand."""
        self._refused.append(now)

    def measure_total(self) -> Pressure:
        """Return the pressure of all that wait on all replicas."""
        return Pressure(
            slots=self._replicas.count_slots(self._replicas, self.service_s),
            waiting=len(self._queue),
            service_s=self.service_s,
        )

    def measure_pressure(self, waiting: Waiting, now: float) -> Pressure:
        """Return the pressure on the replicas that a request's host may use."""
        req = waiting.request
        usable = self._replicas.iter_usable_for(req, now)
        slots = self._replicas.count_slots(usable, self.service_s)
        return Pressure(
            slots=slots or self._opening.count_slots(now),
            waiting=self._queue.count_ahead(waiting),
            service_s=self.service_s,
            pause_s=_find_pause_s(req, now),
        )

    def measure_local(
        self,
        waiting: Waiting,
        offer: SlotOffer | None,
        now: float,
        *,
        is_queued: bool,
    ) -> LocalLoad:
        """Return what a request finds in this zone, to compare it with others.

        Parameters
        ----------
        offer
            Replica of this zone that has a free slot for it.
        """
        req = waiting.request
        usable = list(self._replicas.iter_usable_for(req, now))
        # Cold replicas count with the requests that they may get.
        cold_slots = self._cold.per_s * self.service_s
        cold = [item for item in usable if item.cold_until > now]
        warm = [item for item in usable if item.cold_until <= now]
        slots = self._replicas.count_slots(warm, self.service_s)
        slots += sum(
            min(self._replicas.count_slots([item], self.service_s), cold_slots)
            for item in cold
        )
        capacity = sum(item.capacity for item in usable)
        in_flight = sum(self._ledger.count(item.id) for item in usable)
        utilisation = 1.0
        if offer is not None:
            utilisation = (self._ledger.count(offer.id) + 1) / offer.capacity
        queue = self._queue
        return LocalLoad(
            slots=slots,
            waiting=len(queue) - 1 if is_queued else queue.count_ahead(waiting),
            utilisation=utilisation,
            mean_utilisation=in_flight / max(1, capacity),
            service_s=self.service_s,
            first_event_s=self.first_event_s,
            has_free=offer is not None,
            is_queued=is_queued,
            pause_s=_find_pause_s(req, now),
        )

    def find_served_per_s(self, now: float) -> float:
        """Return the requests served a second; infinite if no replica is usable."""
        usable = self._replicas.iter_usable(now)
        slots = self._replicas.count_slots(usable, self.service_s)
        slots = slots or self._opening.count_slots(now)
        return Pressure(slots, 0, self.service_s).served_per_s or math.inf

    def summarize(self, retry_counts: RetryCounts, now: float) -> KeySummary:
        """Return the summary for other zones and the planner."""
        usable = list(self._replicas.iter_usable(now))
        counts = [(item, self._ledger.count(item.id)) for item in usable]
        slots = self._replicas.count_slots(usable, self.service_s)
        rooms = {item.id: self._replicas.count_free(item, now) for item in usable}
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
            service_s=self.service_s,
            retry_counts=retry_counts,
            withheld=sum(item.capacity for item in usable) - math.ceil(slots),
        )

    def _estimate_unmet(self, now: float) -> float:
        while self._refused and now - self._refused[0] > REFUSED_WINDOW_S:
            self._refused.popleft()
        return len(self._queue) + len(self._refused) * self.service_s


def _find_pause_s(req: SlotRequest, now: float) -> float | None:
    """Return how long a request's host must not use some replicas; None if it may."""
    has_paused = now < req.excluded_until < math.inf
    return req.excluded_until - now if has_paused else None
