"""Loads for the queue of an owner of slots, as the two deployments have them.

Each play sends the same arrivals to the owner of a service's slots: routes with their
objectives, deadlines, priorities and sizes, workspaces of unequal size, a burst of 3 s,
and replicas that are lost for 2.5 s. A refused caller comes back once, after its retry
time. The owner may end halfway, and two owners may act at the same time.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from ..slots import Granted, Refused, SlotKey, SlotOffer, SlotOwner
from ..slots.budget import SharedRetryBudget
from ..slots.common import SlotRequest

KEY = SlotKey("a", "models", "m")
DURATION_S = 20.0
BURST_S = (8.0, 11.0)
LOSS_S = (13.0, 15.5)
# Time at which the owner ends or a second one begins, within the burst.
TAKEOVER_S = 9.5
TWO_OWNERS_S = 0.7
TICK_S = 0.1
# Share of the requests of each workspace; the last two are small ones.
WORKSPACES = {"w0": 0.5, "w1": 0.3, "w2": 0.14, "s1": 0.04, "s2": 0.02}


@dataclass(frozen=True, slots=True)
class Route:
    """A kind of request; the first event comes after a share of the service time."""

    name: str
    share: float
    objective_s: float
    deadline_s: float
    priority: int
    cost: float
    service_s: float
    first_share: float
    on_time: float
    late: float


SCMU = (
    Route("grade-check", 0.866, 0.253, 6.075, 1, 40.0, 0.12, 1.0, 1.9, 0.2),
    Route("spec-query", 0.082, 0.504, 8.065, 1, 160.0, 0.7, 0.2, 2.0, 0.49),
    Route("history-summary", 0.052, 1.005, 8.037, 2, 240.0, 1.2, 0.2, 0.72, 0.27),
)
PANTRY = (
    Route("ration-check", 0.792, 0.304, 6.089, 1, 40.0, 0.16, 1.0, 1.7, 0.43),
    Route("shortage-note", 0.128, 0.406, 8.117, 1, 120.0, 0.6, 0.2, 3.3, 0.84),
    Route("manifest-summary", 0.08, 0.407, 6.1, 2, 160.0, 0.8, 0.2, 2.4, 0.61),
)
SAME = (Route("check", 1.0, 0.25, 6.0, 1, 40.0, 0.12, 1.0, 1.0, 0.2),)
SIZES = (
    Route("small", 0.8, 0.3, 6.0, 1, 40.0, 0.15, 0.3, 1.0, 0.2),
    Route("large", 0.2, 0.3, 6.0, 1, 160.0, 0.6, 0.1, 1.0, 0.2),
)


@dataclass
class Play:
    """One play of a load against one owner.

    Attributes
    ----------
    counts
        Outcomes by route and by workspace.
    in_burst
        Outcomes of the requests that arrive in the burst.
    two_owners
        Whether the entry hosts ask two owners for 0.7 s of the burst.
    ends
        Whether the owner ends within the burst, and another takes over that knows what
        is held from the reports of the hosts.
    refused_after_s
        Times that requests waited before they were refused.
    """

    routes: tuple[Route, ...]
    replicas: int
    slots: int
    load: float
    burst: float
    seed: int
    loss: int = 0
    two_owners: bool = False
    ends: bool = False
    counts: dict[str, Counter] = field(default_factory=lambda: defaultdict(Counter))
    in_burst: Counter = field(default_factory=Counter)
    refused_after_s: list[float] = field(default_factory=list)
    value: float = 0.0
    busy_s: float = 0.0

    def run(self) -> Play:
        self._rng = random.Random(self.seed)
        self._held: dict[int, str] = {}
        self._owners = [self._build_owner()]
        self._asked: dict[int, int] = {}
        self._events: list[tuple] = []
        self._calls: dict[int, tuple] = {}
        self._number = 0
        self._plan()
        while self._events:
            now, _, kind, *rest = heapq.heappop(self._events)
            getattr(self, "_on_" + kind)(now, *rest)
        return self

    def _build_owner(self) -> SlotOwner:
        budget = SharedRetryBudget(ratio=0.2, slack=100.0, window_s=10.0, owners=1)
        owner = SlotOwner(KEY, budget)
        owner.set_offers(self._build_offers(self.replicas), 100)
        return owner

    def _build_offers(self, count: int) -> tuple[SlotOffer, ...]:
        return tuple(
            SlotOffer(f"t{n}", "", "a", "models", "m", self.slots, 1)
            for n in range(count)
        )

    def _plan(self) -> None:
        mean_s = sum(route.share * route.service_s for route in self.routes)
        base = self.load * self.replicas * self.slots / mean_s
        now = 0.0
        while now < DURATION_S:
            rate = base * (self.burst if BURST_S[0] <= now < BURST_S[1] else 1.0)
            now += self._rng.expovariate(rate)
            route = self._rng.choices(
                self.routes, [item.share for item in self.routes]
            )[0]
            workspace = self._rng.choices(list(WORKSPACES), list(WORKSPACES.values()))[
                0
            ]
            service_s = route.service_s * self._rng.uniform(0.5, 1.5)
            self._add(now, "arrival", route, workspace, service_s, now, True)
        for tick in range(int((DURATION_S + 10.0) / TICK_S)):
            self._add(tick * TICK_S, "tick")
        if self.ends:
            self._add(TAKEOVER_S, "takeover")
        if self.two_owners:
            self._add(TAKEOVER_S, "second")
            self._add(TAKEOVER_S + TWO_OWNERS_S, "takeover")
        if self.loss:
            self._add(LOSS_S[0], "offers", self.replicas - self.loss)
            self._add(LOSS_S[1], "offers", self.replicas)

    def _add(self, at: float, kind: str, *rest) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, kind, *rest))

    def _on_offers(self, now: float, count: int) -> None:
        for index, owner in enumerate(self._owners):
            owner.set_offers(self._build_offers(count), 100)
            self._carry_out(index, owner.assign(now), now)

    def _on_tick(self, now: float) -> None:
        for index, owner in enumerate(self._owners):
            self._carry_out(index, owner.assign(now), now)

    def _on_second(self, now: float) -> None:
        """A second owner begins; both know by the hosts' reports what is held."""
        self._owners.append(self._build_owner())
        self._report(now)

    def _on_takeover(self, now: float) -> None:
        """The owners end; a new one hears what is held and is asked again."""
        self._owners = [self._build_owner()]
        self._report(now)
        for number in list(self._calls):
            self._asked[number] = 0
            self._ask(number, now, is_repeated=True)

    def _report(self, now: float) -> None:
        for owner in self._owners:
            owner.ledger.reconcile("h", self._held, now)

    def _on_arrival(self, now, route, workspace, service_s, arrived_at, is_first):
        self._number += 1
        number = self._number
        call = (route, workspace, service_s, arrived_at, is_first, now)
        self._calls[number] = call
        self._asked[number] = number % len(self._owners)
        self._ask(number, now, is_repeated=False)

    def _ask(self, number: int, now: float, *, is_repeated: bool) -> None:
        route, workspace, _, arrived_at, _, _ = self._calls[number]
        req = SlotRequest(
            "r",
            "models",
            "m",
            workspace,
            route.priority,
            route.cost,
            arrived_at + route.deadline_s,
            due_at=arrived_at + route.objective_s,
            is_repeated=is_repeated,
        )
        index = self._asked[number]
        decisions = self._owners[index].request("h", number, req, now)
        self._carry_out(index, decisions, now)

    def _on_end(self, now: float, number: int, service_s: float, first_s: float):
        del self._held[number]
        index = min(self._asked.pop(number), len(self._owners) - 1)
        owner = self._owners[index]
        try:
            owner.record_times(service_s, first_s, client="h", number=number)
        except TypeError:  # Builds of before, which the benchmark is run on too.
            owner.record_times(service_s, first_s)
        for at, each in enumerate(self._owners):
            self._carry_out(at, each.release("h", number, now), now)

    def _carry_out(self, index: int, decisions, now: float) -> None:
        for decision in decisions:
            assert self._asked[decision.number] == index
            route, workspace, service_s, arrived_at, is_first, at = self._calls.pop(
                decision.number
            )
            match decision:
                case Granted():
                    first_s = service_s * route.first_share
                    self.busy_s += service_s
                    self._held[decision.number] = decision.offer.id
                    self._add(
                        now + service_s, "end", decision.number, service_s, first_s
                    )
                    if now + service_s > arrived_at + route.deadline_s:
                        outcome = "missed"
                    elif now + first_s <= arrived_at + route.objective_s:
                        outcome, worth = "on time", route.on_time
                        self.value += worth
                    else:
                        outcome, worth = "late", route.late
                        self.value += worth
                    self._count(route, workspace, outcome, arrived_at)
                case Refused(retry_after_s=retry_after_s):
                    self.refused_after_s.append(now - at)
                    left_s = arrived_at + route.deadline_s - now
                    if is_first and retry_after_s <= left_s / 3 + 0.005:
                        again = (route, workspace, service_s, arrived_at, False)
                        self._add(now + retry_after_s, "arrival", *again)
                    else:
                        self._count(route, workspace, "refused", arrived_at)

    def _count(
        self, route: Route, workspace: str, outcome: str, arrived_at: float
    ) -> None:
        for name in ("all", route.name, workspace):
            self.counts[name][outcome] += 1
        if BURST_S[0] <= arrived_at < BURST_S[1]:
            self.in_burst[outcome] += 1

    def count_open(self) -> int:
        """Return the number of requests without an outcome."""
        return len(self._calls)
