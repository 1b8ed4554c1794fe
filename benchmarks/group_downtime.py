"""Group downtime and stranded accelerators of one fabric domain, by policy.

Runs the planner over a seeded sequence of failures. Engines and the weight store
are modelled by their delays only, the rest of a cluster not at all.

Command: python -m benchmarks.group_downtime
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from waxwingpitch.configuration import Service, ServiceKind
from waxwingpitch.groups import (
    DomainView,
    GroupTable,
    HostView,
    PlannerPolicy,
    apply_step,
    plan_domain,
)
from waxwingpitch.groups.orders import find_due_orders
from waxwingpitch.ports import OrderKind
from waxwingpitch.targets import Health

SEED = 4
DAYS = 5
DAY_S = 86400.0
TICK_S = 1.0
GROUP_HOSTS = 8
GROUPS = 8
ACCELERATORS = 8
IDLE_TICK_S = 30.0
SETTLING_S = 45.0
DETECTION_DELAY_S = 1.0
LOAD_S = 120.0
PARALLEL_LOADS = 8
# The daily rates are those of a fleet of FLEET_HOSTS; the run scales them down.
FLEET_HOSTS = 1090
FAILURES_PER_DAY = 8
RESTARTS_PER_DAY = 120
PAUSES_PER_DAY = 120
REPAIR_S = 4 * 3600.0
RESTART_S = 45.0
PAUSE_RANGE_S = (1.0, 20.0)
OUTAGE_INTERVAL_S = 4 * DAY_S
OUTAGE_S = 600.0
SPARES = (0, 2, 4)
POLICIES = {
    "planner": PlannerPolicy(),
    "rebuild": PlannerPolicy(swaps=False),
    "wait for same": PlannerPolicy(waits_for_same=True),
}
SERVICE = Service(
    "lesson",
    ServiceKind.MODEL,
    "lesson",
    hosts_per_replica=GROUP_HOSTS,
    model="somo",
    model_version="1",
)


@dataclass(frozen=True, slots=True)
class Event:
    """A failure of one host, or of all hosts if ``host`` is negative.

    Attributes
    ----------
    pause
        Whether the host only stops answering and keeps its memory.
    """

    at: float
    host: int
    duration_s: float
    pause: bool = False


@dataclass(slots=True)
class _Host:
    """Actual state of a host; the planner sees changes after the detection delay."""

    name: str
    restarts: int = 0
    down_until: float = 0.0
    silent_until: float = 0.0
    changed_at: float = -DETECTION_DELAY_S
    group: str = ""
    epoch: int = 0
    loaded: str = ""
    ready_at: float = 0.0

    def health(self, now: float) -> Health:
        if now < self.down_until:
            return Health.REFUSED
        return Health.SILENT if now < self.silent_until else Health.UP


def draw_events(hosts: int, rng: random.Random) -> list[Event]:
    """Return all failures of the run, ordered by time."""
    events = []
    rates = (
        (FAILURES_PER_DAY, lambda: REPAIR_S, False),
        (RESTARTS_PER_DAY, lambda: RESTART_S, False),
        (PAUSES_PER_DAY, lambda: rng.uniform(*PAUSE_RANGE_S), True),
    )
    for per_day, draw_s, pause in rates:
        rate = per_day * hosts / FLEET_HOSTS / DAY_S
        at = rng.expovariate(rate)
        while at < DAYS * DAY_S:
            events.append(Event(at, rng.randrange(hosts), draw_s(), pause))
            at += rng.expovariate(rate)
    at = rng.uniform(0, OUTAGE_INTERVAL_S)
    while at < DAYS * DAY_S:
        events.append(Event(at, -1, OUTAGE_S))
        at += OUTAGE_INTERVAL_S
    return sorted(events, key=lambda event: event.at)


class Run:
    """Simulation of one policy over one sequence of failures."""

    def __init__(self, policy: PlannerPolicy, spares: int):
        count = GROUPS * GROUP_HOSTS + spares
        self.policy = policy
        self.hosts = [_Host(f"h{i:03}") for i in range(count)]
        self.table = GroupTable("fab", "zone")
        self.load_ends_at: list[float] = []
        self.downtime_s = 0.0
        self.stranded_s = 0.0

    def run(self, events: list[Event]) -> None:
        """Simulate the sequence; time without an unrecovered failure is skipped."""
        now = self._advance(0.0, LOAD_S * 20)
        self.downtime_s = self.stranded_s = 0.0
        for event in events:
            now = self._advance(max(now, event.at - TICK_S), event.at, start=now)
            self._apply_event(event)
        self._advance(now, DAYS * DAY_S, start=now)

    def _apply_event(self, event: Event) -> None:
        affected = self.hosts if event.host < 0 else [self.hosts[event.host]]
        for host in affected:
            host.changed_at = event.at
            if event.pause:
                host.silent_until = event.at + event.duration_s
                continue
            host.down_until = max(host.down_until, event.at + event.duration_s)
            host.restarts += 1
            host.group, host.epoch, host.loaded = "", 0, ""
            host.ready_at = float("inf")

    def _advance(self, now: float, until: float, start: float | None = None) -> float:
        """Advance to a time; skip the rest of it once all groups and hosts serve."""
        now = start if start is not None else now
        while now < until:
            self._plan(now)
            self._execute_orders(now)
            missing = self._count_missing(now)
            if not missing and self._is_stable(now):
                return until
            tick_s = TICK_S if self._is_settling(now) else IDLE_TICK_S
            step = min(tick_s, until - now)
            self.downtime_s += missing * step
            self.stranded_s += self._count_stranded(now) * step
            now += step
        return now

    def _is_settling(self, now: float) -> bool:
        """Return whether a host changed recently or is about to change."""
        return any(
            abs(now - at) < SETTLING_S
            for host in self.hosts
            for at in (host.changed_at, host.down_until, host.ready_at)
        )

    def _is_stable(self, now: float) -> bool:
        return all(
            host.health(now) is Health.UP and host.loaded and host.ready_at <= now
            for host in self.hosts
        )

    def _iter_views(self, now: float) -> Iterator[HostView]:
        for host in self.hosts:
            health = host.health(now)
            is_detected = now >= host.changed_at + DETECTION_DELAY_S
            since = host.changed_at + DETECTION_DELAY_S
            if health is Health.UP:
                since = max(host.down_until, host.silent_until)
            yield HostView(
                host=host.name,
                address=host.name,
                pool="lesson",
                health=health if is_detected else Health.UP,
                since=since,
                group=host.group,
                epoch=host.epoch,
                incarnation=f"{host.restarts}",
                loaded=host.loaded if host.ready_at <= now else "",
            )

    def _plan(self, now: float) -> None:
        views = tuple(self._iter_views(now))
        domain = DomainView(self.table, views, (SERVICE,), now, now)
        for step in plan_domain(domain, self.policy):
            self.table = apply_step(self.table, step)

    def _execute_orders(self, now: float) -> None:
        views = tuple(self._iter_views(now))
        by_name = {host.name: host for host in self.hosts}
        for item in find_due_orders(self.table, views, (SERVICE,), holds_lease=True):
            host = by_name[item.host]
            if host.health(now) is not Health.UP:
                continue
            match item.order.kind:
                case OrderKind.RELEASE:
                    host.group, host.epoch = "", 0
                case OrderKind.JOIN:
                    host.group, host.epoch = item.order.group, item.order.epoch
                    self._load(host, now)
                case OrderKind.LOAD:
                    self._load(host, now)

    def _load(self, host: _Host, now: float) -> None:
        """Load weights; at most ``PARALLEL_LOADS`` hosts load at once."""
        if host.loaded:
            return
        self.load_ends_at = sorted(at for at in self.load_ends_at if at > now)
        slot_index = len(self.load_ends_at) - PARALLEL_LOADS
        start = self.load_ends_at[slot_index] if slot_index >= 0 else now
        host.loaded, host.ready_at = "somo@1", start + LOAD_S
        self.load_ends_at.append(host.ready_at)

    def _iter_serving(self, now: float):
        by_name = {host.name: host for host in self.hosts}
        for group in self.table.groups:
            members = [by_name[member.host] for member in group.members]
            if all(
                host.health(now) is Health.UP
                and (host.group, host.epoch) == (group.id, group.epoch)
                and host.ready_at <= now
                for host in members
            ):
                yield group

    def _count_missing(self, now: float) -> int:
        return GROUPS - sum(1 for _ in self._iter_serving(now))

    def _count_stranded(self, now: float) -> int:
        """Return the number of accelerators that are up but unused, except spares."""
        serving = sum(1 for _ in self._iter_serving(now))
        up = sum(host.health(now) is Health.UP for host in self.hosts)
        spare = len(self.hosts) - GROUPS * GROUP_HOSTS
        return max(0, up - serving * GROUP_HOSTS - spare) * ACCELERATORS


def main() -> None:
    """Print a line for each number of spares and policy."""
    print("python -m benchmarks.group_downtime")
    print(f"seed {SEED}, {DAYS} days, {GROUPS} groups of {GROUP_HOSTS} hosts")
    print(
        "spares policy          group-downtime-h  share  stranded-acc-h  a broken group"
    )
    for spares in SPARES:
        events = draw_events(GROUPS * GROUP_HOSTS + spares, random.Random(SEED))
        for name, policy in POLICIES.items():
            run = Run(policy, spares)
            run.run(events)
            hours = run.downtime_s / 3600
            share = run.downtime_s / (GROUPS * DAYS * DAY_S)
            mean_s = run.downtime_s / max(1, len(events))
            print(
                f"{spares:6} {name:15} {hours:16.2f} {share:6.2%} "
                f"{run.stranded_s / 3600:15.1f} {mean_s:10.0f} s an event"
            )
        memory_losses = sum(not event.pause for event in events)
        print(f"       {len(events)} events, {memory_losses} of them lose memory")
    print(
        f"lower bound, no loaded spare: {DETECTION_DELAY_S:.0f} + {LOAD_S:.0f} s a loss"
    )
    print(f"lower bound, loaded spare: {DETECTION_DELAY_S:.0f} s a loss")


if __name__ == "__main__":
    main()
