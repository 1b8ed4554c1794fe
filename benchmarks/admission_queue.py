"""What callers get from owners of slots in a burst, by route and workspace.

Each run plays the same arrivals to one owner of a service's slots in each zone, as in
the two deployments: routes with their objectives, deadlines, priorities and sizes,
workspaces of unequal size, a burst of 1.5 or 1.7 times for 3 s, and replicas that are lost
for 2.5 s. A refused caller comes back once, after its retry time. The table gives the
requests that are answered on time, late (before the deadline), after it, and those that
were refused in the end; "value" adds what they are worth.

Run with ``python -m benchmarks.admission_queue``, on any build of the gateway.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from waxwingpitch.slots import Granted, Refused, SlotKey, SlotOffer, SlotOwner
from waxwingpitch.slots.budget import SharedRetryBudget
from waxwingpitch.slots.common import SlotRequest

KEY = SlotKey("a", "models", "m")
DURATION_S = 20.0
BURST_S = (8.0, 11.0)
LOSS_S = (13.0, 15.5)
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
    counts: dict[str, Counter] = field(default_factory=lambda: defaultdict(Counter))
    refused_after_s: list[float] = field(default_factory=list)
    value: float = 0.0
    busy_s: float = 0.0

    def run(self) -> Play:
        self._rng = random.Random(self.seed)
        budget = SharedRetryBudget(ratio=0.2, slack=100.0, window_s=10.0, owners=1)
        self._owner = SlotOwner(KEY, budget)
        self._set_offers(self.replicas)
        self._events: list[tuple] = []
        self._calls: dict[int, tuple] = {}
        self._number = 0
        self._plan()
        while self._events:
            now, _, kind, *rest = heapq.heappop(self._events)
            getattr(self, "_on_" + kind)(now, *rest)
        return self

    def _set_offers(self, count: int) -> None:
        self._owner.set_offers(
            tuple(
                SlotOffer(f"t{n}", "", "a", "models", "m", self.slots, 1)
                for n in range(count)
            ),
            100,
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
        if self.loss:
            self._add(LOSS_S[0], "offers", self.replicas - self.loss)
            self._add(LOSS_S[1], "offers", self.replicas)

    def _add(self, at: float, kind: str, *rest) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, kind, *rest))

    def _on_offers(self, now: float, count: int) -> None:
        self._set_offers(count)
        self._carry_out(self._owner.assign(now), now)

    def _on_tick(self, now: float) -> None:
        self._carry_out(self._owner.assign(now), now)

    def _on_arrival(self, now, route, workspace, service_s, arrived_at, is_first):
        self._number += 1
        number = self._number
        call = (route, workspace, service_s, arrived_at, is_first, now)
        self._calls[number] = call
        req = SlotRequest(
            "r",
            "models",
            "m",
            workspace,
            route.priority,
            route.cost,
            arrived_at + route.deadline_s,
            due_at=arrived_at + route.objective_s,
        )
        self._carry_out(self._owner.request("h", number, req, now), now)

    def _on_end(self, now: float, number: int, service_s: float, first_s: float):
        try:
            self._owner.record_times(service_s, first_s, client="h", number=number)
        except TypeError:
            self._owner.record_times(service_s, first_s)
        self._carry_out(self._owner.release("h", number, now), now)

    def _carry_out(self, decisions, now: float) -> None:
        for decision in decisions:
            route, workspace, service_s, arrived_at, is_first, at = self._calls.pop(
                decision.number
            )
            match decision:
                case Granted():
                    first_s = service_s * route.first_share
                    self.busy_s += service_s
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
                    self._count(route, workspace, outcome)
                case Refused(retry_after_s=retry_after_s):
                    self.refused_after_s.append(now - at)
                    left_s = arrived_at + route.deadline_s - now
                    if is_first and retry_after_s <= left_s / 3 + 0.005:
                        again = (route, workspace, service_s, arrived_at, False)
                        self._add(now + retry_after_s, "arrival", *again)
                    else:
                        self._count(route, workspace, "refused")

    def _count(self, route: Route, workspace: str, outcome: str) -> None:
        for name in ("all", route.name, workspace):
            self.counts[name][outcome] += 1


def main() -> None:
    """Print a line for each load, and one for each route and workspace."""
    print("python -m benchmarks.admission_queue")
    loads = [
        ("check", SAME, 0.85, 0),
        ("scmu", SCMU, 0.85, 0),
        ("scmu, loss", SCMU, 0.7, 1),
        ("pantry", PANTRY, 0.85, 0),
        ("sizes", SIZES, 0.85, 0),
        ("sizes, overload", SIZES, 1.5, 0),
    ]
    for hosts, replicas, slots in ((8, 3, 7), (300, 30, 7)):
        for name, routes, load, loss in loads:
            for burst in (1.5, 1.7):
                lost = loss * replicas // 3
                play = Play(routes, replicas, slots, load, burst, 1, lost).run()
                at_once = sum(item < 0.05 for item in play.refused_after_s)
                print(
                    f"\n{hosts} hosts, {name}, burst {burst}: value {play.value:.0f}, "
                    f"refusals {len(play.refused_after_s)}, {at_once} at once"
                )
                for item, counts in play.counts.items():
                    total = counts.total()
                    shares = "  ".join(
                        f"{key} {counts[key] / total:6.1%}"
                        for key in ("on time", "late", "missed", "refused")
                    )
                    print(f"  {item:17} {total:6}  {shares}")


if __name__ == "__main__":
    main()
