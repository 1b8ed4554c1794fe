"""Plays zones of model targets under losses, additions and shifting demand.

A planner of each zone works on a fleet of its own and hears of the others a little
late, as planners do through the mesh. The player only moves targets and demand; what
targets do is in the fake fleet.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..configuration.routes import EngineSpec, ModelSpec
from ..groups.formation import FormationPlanner
from ..groups.ledger import TargetOrder
from ..groups.load_limit import LoadLimit
from ..groups.orders_to_targets import Join, Stage
from ..groups.turns import has_turn
from ..targets.records import MemberState
from .fleet_fake import FleetFake

ZONES = ("a", "b", "c")
TICK_S = 0.05
# Time until planners know what others plan, and what slots there are elsewhere.
NEWS_DELAY_S = 0.25
# Time from the end of a target to the probe that finds it, and to its removal.
UNREACHABLE_S = 0.3
UNLISTED_S = 1.0
RESTART_S = 0.5
# Weight of a new value in the smoothed demand, as in the planner task.
DEMAND_SMOOTHING = 0.05

Demand = Callable[[float], dict[str, float]]


def build_spec(
    *, sizes: tuple[int, int], capacity: int, loads_per_s: float, max_loads: int
) -> EngineSpec:
    """Return the engines of a service with a large and a small model."""
    large, small = sizes
    return EngineSpec(
        capacity=capacity,
        step_s=0.0078,
        step_per_request_s=0.0002,
        prefill_tokens_per_s=45900.0,
        steps_per_pass=5,
        prefill_chunk_tokens=2048,
        typical_prompt_tokens=979.0,
        typical_answer_tokens=154.0,
        loads_per_s=loads_per_s,
        max_concurrent_loads=max_loads,
        open_s=0.3,
        models=(
            ModelSpec("large", large, share=0.5, pace=1.0, load_s=16.0, staged_s=1.6),
            ModelSpec("small", small, share=0.5, pace=0.6, load_s=12.0, staged_s=1.1),
        ),
    )


LARGE_DOMAINS = build_spec(sizes=(12, 6), capacity=24, loads_per_s=14.0, max_loads=20)
MEDIUM_DOMAINS = build_spec(sizes=(8, 4), capacity=17, loads_per_s=10.0, max_loads=14)
SMALL_DOMAINS = build_spec(sizes=(4, 2), capacity=9, loads_per_s=5.0, max_loads=7)
PEAK_S = (24.0, 30.0)


def peak(usual: tuple[float, float], high: tuple[float, float]) -> Demand:
    """Return demand for the large and the small model that rises for 6 s."""

    def _demand(at_s: float) -> dict[str, float]:
        is_high = PEAK_S[0] <= at_s < PEAK_S[1]
        return dict(zip(("large", "small"), high if is_high else usual, strict=True))

    return _demand


def swing(mean: tuple[float, float], part: float = 0.5, period_s: float = 11.0):
    """Return demand that moves between the models in intervals."""

    def _demand(at_s: float) -> dict[str, float]:
        shift = part if int(at_s / period_s) % 2 == 0 else -part
        return {"large": mean[0] * (1 + shift), "small": mean[1] * (1 - shift)}

    return _demand


@dataclass(frozen=True, slots=True)
class Second:
    """State of all zones at the end of a second.

    Attributes
    ----------
    idle
        Targets in no open group by zone and the models that they hold, in memory first.
    could_serve
        Idle targets that would be in a group if each domain formed all that fit.
    missing
        Slots that demand lacks, by model.
    """

    at_s: float
    idle: dict[str, Counter]
    could_serve: int
    groups: dict[str, dict[str, int]]
    slots: Counter
    demand: dict[str, float]
    missing: dict[str, float]
    loads_in_progress: int
    orders: int
    loads: int

    @property
    def idle_count(self) -> int:
        return sum(sum(count.values()) for count in self.idle.values())


@dataclass
class FleetPlayer:
    """Three zones with a planner each.

    Attributes
    ----------
    loss_interval_s
        Time between losses; 0 for none.
    restart_zone_at_s
        Time at which all targets of the first zone restart; 0 for never.
    load_starts
        Times of loads of weights, by orders to load or to join.
    joins_with_load
        Orders to join that made a target load weights.
    loads_by_target
        Number of loads, by zone and target.
    """

    spec: EngineSpec
    demand: Demand
    domains: int = 2
    domain_size: int = 27
    loss_interval_s: float = 3.0
    losses: int = 2
    restart_zone_at_s: float = 23.0
    seed: int = 1
    tick_s: float = TICK_S
    seconds: list[Second] = field(default_factory=list)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.now = 0.0
        self.epochs = itertools.count(1000)
        self.fleets = {
            zone: FleetFake(self.domains, self.domain_size, spec=self.spec)
            for zone in ZONES
        }
        self.planners = {}
        self.limits = {}
        for zone in ZONES:
            self.replace_planner(zone)
        self.smoothed: dict[str, float] = {}
        self.load_starts: list[float] = []
        self.joins_with_load = 0
        self.loads_by_target: Counter = Counter()
        self.order_count = 0
        self._news: list[tuple[Counter, dict, dict]] = []
        self._due: list[tuple[float, Callable[[], None]]] = []
        self._added = 0
        self._counted = (0, 0)
        self._turn = itertools.cycle(ZONES)
        self._has_traffic = False

    def replace_planner(self, zone: str) -> None:
        """Let a new planner without any memory take a zone over."""
        limit = LoadLimit(len(ZONES), lambda: self._count_other_loads(zone))
        self.limits[zone] = limit
        self.planners[zone] = FormationPlanner(
            lambda: next(self.epochs), limit.try_begin, cancel_load=limit.cancel
        )

    def warm_up(self, seconds: float = 8.0) -> None:
        """Form the first groups and load weights, before there is any traffic."""
        for _ in range(round(seconds / self.tick_s)):
            self._tick()
        self.now = 0.0
        self.order_count = 0
        self.load_starts.clear()
        self.loads_by_target.clear()
        self.joins_with_load = 0
        self._has_traffic = True
        for fleet in self.fleets.values():
            fleet.has_traffic = True

    def run(self, seconds: float) -> None:
        """Play some seconds, and keep the state at the end of each."""
        ticks_per_s = round(1.0 / self.tick_s)
        for _ in range(round(seconds * ticks_per_s)):
            before = self.now
            self._tick()
            self._disturb(before)
            if int(self.now + 1e-6) > int(before + 1e-6):
                self.seconds.append(self._observe())

    def _disturb(self, before: float) -> None:
        interval = self.loss_interval_s
        if interval and int(self.now / interval) > int(before / interval):
            self._lose(next(self._turn))
        if before < self.restart_zone_at_s <= self.now:
            for target, item in list(self.fleets["a"].targets.items()):
                if item.alive and item.listed:
                    self.fleets["a"].kill(target)
                    self._at(RESTART_S, lambda name=target: self._restart("a", name))

    def _lose(self, zone: str) -> None:
        """Lose members of serving groups for good; add as many empty targets."""
        fleet = self.fleets[zone]
        serving = [
            member
            for item in fleet.targets.values()
            if item.alive
            and item.record.membership
            and item.record.membership.rank == 0
            and item.record.membership.state is MemberState.OPEN
            for member in item.members
            if fleet.targets[member].alive
        ]
        for target in self.random.sample(serving, min(self.losses, len(serving))):
            fleet.kill(target)
            self._at(UNREACHABLE_S, lambda name=target: fleet.unreachable.add(name))
            self._at(UNLISTED_S, lambda name=target: self._unlist(fleet, name))
            domain = f"d{self.random.randrange(self.domains)}"
            self._added += 1
            name = f"n{self._added}"
            delay_s = self.random.uniform(0.5, 3.0)
            self._at(delay_s, lambda new=name, to=domain: fleet.add(new, to))

    @staticmethod
    def _unlist(fleet: FleetFake, target: str) -> None:
        fleet.unlist(target)
        fleet.unreachable.discard(target)
        fleet.inactive.add(target)

    def _restart(self, zone: str, target: str) -> None:
        fleet = self.fleets[zone]
        if fleet.targets[target].listed:
            fleet.restart(target)
            item = fleet.targets[target]
            item.record = replace(item.record, started_ms=item.record.started_ms + 1)

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        self._due.append((self.now + delay_s, action))

    def _tick(self) -> None:
        due = [action for at, action in self._due if at <= self.now]
        self._due = [item for item in self._due if item[0] > self.now]
        for action in due:
            action()
        slots = Counter()
        for fleet in self.fleets.values():
            for model, count in fleet.count_open().items():
                slots[model] += count * self.spec.capacity
        demand = self.demand(self.now) if self._has_traffic else {}
        for model, value in demand.items():
            known = self.smoothed.get(model, value)
            weight = DEMAND_SMOOTHING * self.tick_s / TICK_S
            self.smoothed[model] = known + weight * (value - known)
        planned = {
            zone: planner.count_planned(self.fleets[zone].now)
            for zone, planner in self.planners.items()
        }
        loads = {
            zone: limit.count_in_progress(self.fleets[zone].now)
            for zone, limit in self.limits.items()
        }
        self._news.append((slots, planned, loads))
        late = min(len(self._news), max(1, round(NEWS_DELAY_S / self.tick_s)))
        known = self._news[-late]
        for zone, fleet in self.fleets.items():
            self._plan(zone, fleet, known[0], known[1])
            fleet.advance(self.tick_s)
        self.now += self.tick_s

    def _plan(self, zone: str, fleet: FleetFake, slots, planned) -> None:
        others = sum((planned[other] for other in ZONES if other != zone), Counter())
        fleet.demand = dict(self.smoothed)
        view = replace(
            fleet.view(),
            slots=dict(slots),
            planned=others,
            may_rebalance=has_turn(zone, ZONES, fleet.now),
        )
        self.limits[zone].drop_ended(view.targets)
        planner = self.planners[zone]
        for target_order in planner.plan(view, fleet.now):
            self._carry_out(zone, fleet, planner, target_order)

    def _carry_out(
        self, zone: str, fleet: FleetFake, planner, target_order: TargetOrder
    ) -> None:
        target, order = target_order.target, target_order.order
        self.order_count += 1
        item = fleet.targets[target]
        loads = isinstance(order, Stage) or (
            isinstance(order, Join)
            and order.model != item.last_model
            and order.model not in item.record.staged
        )
        if not fleet.carry_out(target, order):
            planner.record_refusal(target, order, fleet.now)
        elif loads:
            self.load_starts.append(self.now)
            self.loads_by_target[(zone, target)] += 1
            self.joins_with_load += isinstance(order, Join)

    def _count_other_loads(self, zone: str) -> int:
        late = min(len(self._news), max(1, round(NEWS_DELAY_S / self.tick_s)))
        loads = self._news[-late][2] if self._news else {}
        return sum(count for other, count in loads.items() if other != zone)

    def _observe(self) -> Second:
        idle, could_serve, groups = {}, 0, {}
        slots: Counter = Counter()
        small = min(model.size for model in self.spec.models)
        for zone, fleet in self.fleets.items():
            serving = {
                member
                for item in fleet.targets.values()
                if item.alive
                and item.record.membership
                and item.record.membership.rank == 0
                and item.record.membership.state is MemberState.OPEN
                for member in item.members
            }
            domains: Counter = Counter()
            idle[zone] = Counter()
            for target, item in fleet.targets.items():
                if item.alive and item.listed and target not in serving:
                    held = [item.last_model, *item.record.staged]
                    idle[zone]["+".join(dict.fromkeys(filter(None, held)))] += 1
                    domains[item.record.domain] += 1
            could_serve += sum(count // small * small for count in domains.values())
            groups[zone] = fleet.count_open()
            for model, count in groups[zone].items():
                slots[model] += count * self.spec.capacity
        demand = self.demand(self.now)
        missing = {name: max(0.0, demand[name] - slots[name]) for name in demand}
        counted, self._counted = self._counted, (
            self.order_count,
            len(self.load_starts),
        )
        return Second(
            self.now,
            idle,
            could_serve,
            groups,
            slots,
            demand,
            missing,
            sum(
                bool(item.staging)
                for fleet in self.fleets.values()
                for item in fleet.targets.values()
            ),
            self.order_count - counted[0],
            len(self.load_starts) - counted[1],
        )

    def find_mean(self, count: Callable[[Second], float], *, peak_only=False) -> float:
        """Return the mean of a count over the seconds played."""
        chosen = [
            count(second)
            for second in self.seconds
            if not peak_only or PEAK_S[0] < second.at_s <= PEAK_S[1] + TICK_S
        ]
        return sum(chosen) / len(chosen)

    def sum_missing(self, model: str) -> float:
        """Return the slots that demand for a model lacked, times seconds."""
        return sum(second.missing[model] for second in self.seconds)

    def count_loads_in_window(self, window_s: float) -> int:
        """Return the most loads that were started within any window."""
        starts = self.load_starts
        return max(
            (sum(at <= later < at + window_s for later in starts) for at in starts),
            default=0,
        )
