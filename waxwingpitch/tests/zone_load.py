"""Load on three zones' owners of slots, played without a network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace

from ..routing.zones import OtherZones
from ..slots import (
    Declined,
    Forwarded,
    Granted,
    SlotKey,
    SlotOffer,
    SlotOwner,
    SlotRequest,
)
from ..slots.budget import SharedRetryBudget

ZONES = ("a", "b", "c")
DELAY_S = 0.0014
REPORT_INTERVAL_S = 0.2
TICK_S = 0.1
OBJECTIVE_S = 0.3
DEADLINE_S = 6.0
FIRST_EVENT_S = 0.1
SERVICE_S = 1.0
# Increase of the times from an empty to a full replica.
SLOWDOWN = 0.4
# Replicas of a zone and slots of a replica, by entry hosts of all zones.
SIZES = {8: (2, 9), 300: (24, 17)}


@dataclass
class Outcome:
    """What the callers of one zone got."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    left: int = 0


@dataclass
class _Asked:
    zone: str
    client: str
    at: float
    req: SlotRequest
    service_s: float
    owner: SlotOwner | None = None


@dataclass
class ZoneLoad:
    """Plays a load, and counts what callers get by their zone.

    Attributes
    ----------
    load
        Returns the arrivals at a zone at a time, as a share of its slots' capacity.
    build_zones
        Builds the choice among other zones for an owner.
    is_heard
        Whether the report that a zone sends at a time arrives at another.
    losses
        Times, zones and shares of their replicas that are lost then.
    owners
        Processes of each zone that own its slots at the same time.
    owner_ends
        Times and zones whose owner is replaced then by one that knows nothing.
    flows
        Slots used in another zone, by half second, zone and other zone.
    """

    load: Callable[[str, float], float]
    build_zones: Callable[[str], OtherZones] = OtherZones
    hosts: int = 8
    seconds: float = 8.0
    is_heard: Callable[[str, str, float], bool] = lambda sender, receiver, now: True
    losses: tuple[tuple[float, str, float], ...] = ()
    owners: int = 1
    owner_ends: tuple[tuple[float, str], ...] = ()
    seed: int = 1
    outcomes: dict[str, Outcome] = field(
        default_factory=lambda: {zone: Outcome() for zone in ZONES}
    )
    flows: Counter = field(default_factory=Counter)
    declined: int = 0

    def play(self) -> ZoneLoad:
        """Play the load to its end."""
        self.now = 0.0
        self._events, self._order = [], itertools.count()
        self._rngs = {zone: random.Random(f"{self.seed} {zone}") for zone in ZONES}
        self._numbers = itertools.count(1)
        self._asked: dict[int, _Asked] = {}
        self._held: dict[str, dict[str, dict[int, str]]] = {
            zone: {f"{home}{n}": {} for home in ZONES for n in range(self.owners)}
            for zone in ZONES
        }
        replicas, self._capacity = SIZES[self.hosts]
        self._replicas = {
            zone: [f"{zone}-{n}" for n in range(replicas)] for zone in ZONES
        }
        self._slots = replicas * self._capacity
        self._owners = {
            zone: [self._build_owner(zone) for _ in range(self.owners)]
            for zone in ZONES
        }
        for index, zone in enumerate(ZONES):
            self._at(0.0, self._arrive, zone)
            self._at(0.06 * index, self._report, zone)
            self._at(0.03 * index, self._tick, zone)
        for at, zone, share in self.losses:
            self._at(at, self._lose, zone, share)
        for at, zone in self.owner_ends:
            self._at(at, self._end_owner, zone)
        while self._events:
            self.now, _, call, args = heapq.heappop(self._events)
            if self.now > self.seconds + DEADLINE_S:
                break
            call(*args)
        return self

    def _at(self, at: float, call: Callable, *args) -> None:
        heapq.heappush(self._events, (at, next(self._order), call, args))

    def _build_owner(self, zone: str) -> SlotOwner:
        budget = SharedRetryBudget(ratio=0.2, slack=100.0, window_s=10.0, owners=3)
        zones = self.build_zones(zone)
        zones.delays_s = {other: DELAY_S for other in ZONES}
        zones.batch_slowdown = SLOWDOWN
        owner = SlotOwner(SlotKey(zone, "pool", "m"), budget, zones=zones)
        owner.adopt_service_s(SERVICE_S)
        self._offer(owner, zone)
        return owner

    def _offer(self, owner: SlotOwner, zone: str) -> None:
        offers = (
            SlotOffer(name, "", zone, "pool", "m", self._capacity, 1)
            for name in self._replicas[zone]
        )
        owner.set_offers(tuple(offers), 100)

    def _arrive(self, zone: str) -> None:
        if self.now > self.seconds:
            return
        rate = self._slots / SERVICE_S * self.load(zone, self.now)
        rng = self._rngs[zone]
        self._at(self.now + rng.expovariate(max(rate, 0.1)), self._arrive, zone)
        number = next(self._numbers)
        index = rng.randrange(self.owners)
        req = SlotRequest(
            str(number),
            "pool",
            "m",
            "w",
            1,
            1.0,
            self.now + DEADLINE_S,
            due_at=self.now + OBJECTIVE_S,
            objective_s=OBJECTIVE_S,
        )
        self.outcomes[zone].asked += 1
        service_s = SERVICE_S * rng.uniform(0.4, 1.6)
        self._asked[number] = _Asked(zone, f"{zone}{index}", self.now, req, service_s)
        self._ask_at_home(number)

    def _ask_at_home(self, number: int) -> None:
        item = self._asked[number]
        item.owner = owner = self._owners[item.zone][int(item.client[1:])]
        self._carry_out(owner, owner.request(item.client, number, item.req, self.now))

    def _ask_elsewhere(self, number: int, zone: str, may_wait: bool) -> None:
        item = self._asked[number]
        item.owner = owner = self._owners[zone][0]
        decide = owner.request_passed_on if may_wait else owner.request_for_zone
        self._carry_out(owner, decide(item.client, number, item.req, self.now))

    def _carry_out(self, owner: SlotOwner, decisions) -> None:
        for decision in decisions:
            item = self._asked[decision.number]
            delay_s = DELAY_S * (owner.key.zone != item.zone)
            match decision:
                case Granted(number=number, offer=offer):
                    self._held[offer.zone][item.client][number] = offer.id
                    self._run(number, offer, decision.in_flight, 3 * delay_s)
                case Forwarded(number=number, zone=zone, may_wait=may_wait):
                    at = self.now + DELAY_S
                    self._at(at, self._ask_elsewhere, number, zone, may_wait)
                case Declined(number=number):
                    self.declined += 1
                    at = self.now + delay_s
                    self._at(at, self._take_back, number, owner.key.zone)
                case _:
                    self.outcomes[item.zone].refused += 1

    def _take_back(self, number: int, zone: str) -> None:
        item = self._asked[number]
        item.owner = owner = self._owners[item.zone][int(item.client[1:])]
        self._carry_out(
            owner, owner.take_back(item.client, number, item.req, zone, self.now)
        )

    def _run(self, number: int, offer: SlotOffer, running: int, link_s: float) -> None:
        item = self._asked[number]
        busy = min(1.0, running / offer.capacity)
        pace = (1 + SLOWDOWN * busy) / (1 + SLOWDOWN)
        first_s = FIRST_EVENT_S * pace
        service_s = item.service_s * pace
        took_s = self.now + link_s + first_s - item.at
        outcome = self.outcomes[item.zone]
        if took_s <= OBJECTIVE_S:
            outcome.on_time += 1
        else:
            outcome.late += 1
        if offer.zone != item.zone:
            outcome.left += 1
            self.flows[int(self.now * 2), item.zone, offer.zone] += 1
        self._at(
            self.now + link_s + service_s, self._end, number, offer, service_s, first_s
        )

    def _end(self, number, offer: SlotOffer, service_s: float, first_s: float) -> None:
        item = self._asked[number]
        self._held[offer.zone][item.client].pop(number, None)
        for owner in self._owners[offer.zone]:
            owner.record_times(service_s, first_s)
            if owner is item.owner or item.owner not in self._owners[offer.zone]:
                self._carry_out(owner, owner.release(item.client, number, self.now))

    def _report(self, zone: str) -> None:
        summary = self._owners[zone][0].summarize(self.now)
        for other in ZONES:
            if other != zone and self.is_heard(zone, other, self.now):
                for owner in self._owners[other]:
                    self._at(self.now + DELAY_S, self._hear, owner, zone, summary)
        self._at(self.now + REPORT_INTERVAL_S, self._report, zone)

    def _hear(self, owner: SlotOwner, zone: str, summary) -> None:
        if owner in self._owners[owner.key.zone]:
            self._carry_out(owner, owner.update_zone(zone, summary, self.now))

    def _tick(self, zone: str) -> None:
        for owner in self._owners[zone]:
            for client, held in self._held[zone].items():
                owner.ledger.reconcile(client, held, self.now)
            self._carry_out(owner, owner.assign(self.now))
        self._at(self.now + TICK_S, self._tick, zone)

    def _lose(self, zone: str, share: float) -> None:
        """Lose replicas; what runs there ends as if it had been resumed elsewhere."""
        count = round(len(self._replicas[zone]) * share)
        self._replicas[zone] = self._replicas[zone][count:]
        for owner in self._owners[zone]:
            self._offer(owner, zone)
            self._carry_out(owner, owner.assign(self.now))

    def _end_owner(self, zone: str) -> None:
        """Replace the owner; who waited at it asks the next one."""
        ended, self._owners[zone] = self._owners[zone], [self._build_owner(zone)]
        for client, held in self._held[zone].items():
            self._owners[zone][0].ledger.reconcile(client, held, self.now)
        waiting = [item.number for owner in ended for item in owner._queue]
        for number in waiting:
            item = self._asked[number]
            if item.zone == zone:
                item.req = replace(item.req, is_repeated=True)
                self._ask_at_home(number)
            else:
                self._ask_elsewhere(number, zone, True)

    def count_opposite(self) -> int:
        """Return the slots that zones used in each other within one half second."""
        return sum(
            min(count, self.flows[at, other, zone])
            for (at, zone, other), count in list(self.flows.items())
            if zone < other
        )

    def sum_outcomes(self) -> Outcome:
        """Return what the callers of all zones got."""
        total = Outcome()
        for item in self.outcomes.values():
            for name, count in asdict(item).items():
                setattr(total, name, getattr(total, name) + count)
        return total
