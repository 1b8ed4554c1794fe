"""Replicas whose slots one owner grants, and the choice of one for a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator

from ..routing.placement import ReplicaLoad, choose_replica
from .cold import ColdRateLimit
from .common import SlotOffer, SlotRequest
from .ledger import SlotLedger
from .rates import StatedRates
from .room import MemoryRoom
from .speeds import ReplicaSpeeds


class OwnedReplicas:
    """Replicas of one key, with what limits the requests that each may get.

    Parameters
    ----------
    accepts
        Returns whether a replica, given its id and epoch, is sound at a monotonic time.
    seed
        Seed of the choice among replicas that are equally loaded.
    """

    def __init__(
        self,
        ledger: SlotLedger,
        room: MemoryRoom,
        rates: StatedRates,
        cold: ColdRateLimit,
        accepts: Callable[[str, int, float], bool],
        seed: str,
    ):
        self._ledger = ledger
        self._room = room
        self._rates = rates
        self._cold = cold
        self._accepts = accepts
        self._rng = random.Random(seed)
        self._offers: dict[str, SlotOffer] = {}
        self._speeds = ReplicaSpeeds()

    def __iter__(self) -> Iterator[SlotOffer]:
        return iter(self._offers.values())

    def __contains__(self, target: str) -> bool:
        return target in self._offers

    def set_offers(self, offers: tuple[SlotOffer, ...]) -> None:
        """Replace the replicas."""
        self._offers = {offer.id: offer for offer in offers}
        self._room.set_offers(self)
        self._rates.keep(self._offers.keys())
        self._speeds.keep(self._offers.keys())

    def choose(self, req: SlotRequest, now: float) -> SlotOffer | None:
        """Return the least loaded replica with a free slot."""
        loads = [
            ReplicaLoad(
                offer.id,
                "",
                self._ledger.count(offer.id),
                offer.capacity,
                self._speeds.find(offer.id),
            )
            for offer in self.iter_usable_for(req, now)
            if (offer.cold_until <= now or self._cold.has_room(offer.id, now))
            and self._rates.has_room(offer.id, now)
            and self._room.has_room(offer, req, now)
        ]
        untried = [load for load in loads if load.id not in req.avoid]
        chosen = choose_replica(untried, zone="", tie_break=self._rng.random())
        if chosen is None and req.avoid and not untried:
            chosen = choose_replica(loads, zone="", tie_break=self._rng.random())
        return None if chosen is None else self._offers[chosen.id]

    def iter_usable(self, now: float) -> Iterator[SlotOffer]:
        """Yield the replicas that are sound."""
        for offer in self:
            if self._accepts(offer.id, offer.epoch, now):
                yield offer

    def iter_usable_for(self, req: SlotRequest, now: float) -> Iterator[SlotOffer]:
        """Yield the sound replicas that a request's host may use."""
        has_excluded = now < req.excluded_until
        for offer in self:
            if has_excluded and offer.id in req.excluded:
                continue
            if self._accepts(offer.id, offer.epoch, now):
                yield offer

    def count_slots(self, offers: Iterable[SlotOffer], service_s: float) -> float:
        """Return the slots of replicas that requests can use, by their limits too."""
        return sum(
            self._room.limit_slots(
                offer, self._rates.limit_slots(offer.id, offer.capacity, service_s)
            )
            for offer in offers
        )

    def count_free(self, offer: SlotOffer, now: float) -> float:
        """Return the requests that a replica's rate and memory leave room for."""
        return min(
            self._rates.count_room(offer.id, now), self._room.count_free(offer, now)
        )

    def note_grant(self, offer: SlotOffer, now: float) -> None:
        """Count a request granted to a replica, while that is cold."""
        if offer.cold_until > now:
            self._cold.record(offer.id, now)
        else:
            self._cold.forget(offer.id)

    def record_speed(self, target: str, ratio: float) -> None:
        """Record a service time as a multiple of the usual one."""
        self._speeds.record(target, ratio)
