"""Group downtime and stranded accelerators of one fabric domain, by policy.

Drives the planner over a seeded sequence of failures. Engines and the weight
store are reduced to times; nothing else of a cluster is modelled.

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
DETECTION_S = 1.0
LOAD_S = 120.0
PARALLEL_LOADS = 8
HOSTS_OF_FLEET = 1090
FAILURES_A_DAY = 8
RESTARTS_A_DAY = 120
PAUSES_A_DAY = 120
REPAIR_S = 4 * 3600.0
RESTART_S = 45.0
PAUSE_S = (1.0, 20.0)
OUTAGE_EVERY_S = 4 * DAY_S
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
    """A failure of one host, or of all when ``host`` is negative.

    Attributes
    ----------
    pause
        Whether the host keeps its memory.
    """

    at: float
    host: int
    lasts_s: float
    pause: bool = False


@dataclass(slots=True)
class _Host:
    """What is true of a host, which the planner learns only by observation."""

    name: str
    number: int = 0
    down_until: float = 0.0
    silent_until: float = 0.0
    changed_at: float = -DETECTION_S
    group: str = ""
    epoch: int = 0
    loaded: str = ""
    ready_at: float = 0.0

    def health(self, now: float) -> Health:
        if now < self.down_until:
            return Health.REFUSED
        return Health.SILENT if now < self.silent_until else Health.UP


def draw_events(hosts: int, rng: random.Random) -> list[Event]:
    """Return all failures of the run, by time."""
    events = []
    rates = (
        (FAILURES_A_DAY, lambda: REPAIR_S, False),
        (RESTARTS_A_DAY, lambda: RESTART_S, False),
        (PAUSES_A_DAY, lambda: rng.uniform(*PAUSE_S), True),
    )
    for a_day, draw_s, pause in rates:
        rate = a_day * hosts / HOSTS_OF_FLEET / DAY_S
        at = rng.expovariate(rate)
        while at < DAYS * DAY_S:
            events.append(Event(at, rng.randrange(hosts), draw_s(), pause))
            at += rng.expovariate(rate)
    at = rng.uniform(0, OUTAGE_EVERY_S)
    while at < DAYS * DAY_S:
        events.append(Event(at, -1, OUTAGE_S))
        at += OUTAGE_EVERY_S
    return sorted(events, key=lambda event: event.at)


class Run:
    """One policy over one sequence."""

    def __init__(self, policy: PlannerPolicy, spares: int):
        count = GROUPS * GROUP_HOSTS + spares
        self.policy = policy
        self.hosts = [_Host(f"h{i:03}") for i in range(count)]
        self.table = GroupTable("fab", "zone")
        self.loads: list[float] = []
        self.downtime_s = 0.0
        self.stranded_s = 0.0

    def run(self, events: list[Event]) -> None:
        """Go through the sequence; ticks only while something is not whole."""
        now = self._settle(0.0, LOAD_S * 20)
        self.downtime_s = self.stranded_s = 0.0
        for event in events:
            now = self._settle(max(now, event.at - TICK_S), event.at, start=now)
            self._strike(event)
        self._settle(now, DAYS * DAY_S, start=now)

    def _strike(self, event: Event) -> None:
        hit = self.hosts if event.host < 0 else [self.hosts[event.host]]
        for host in hit:
            host.changed_at = event.at
            if event.pause:
                host.silent_until = event.at + event.lasts_s
                continue
            host.down_until = max(host.down_until, event.at + event.lasts_s)
            host.number += 1
            host.group, host.epoch, host.loaded = "", 0, ""
            host.ready_at = float("inf")

    def _settle(self, now: float, until: float, start: float | None = None) -> float:
        """Tick until everything is whole and quiet, or the time."""
        now = start if start is not None else now
        while now < until:
            self._plan(now)
            self._order(now)
            missing = self._count_missing(now)
            if not missing and self._is_quiet(now):
                return until
            tick_s = TICK_S if self._is_settling(now) else IDLE_TICK_S
            step = min(tick_s, until - now)
            self.downtime_s += missing * step
            self.stranded_s += self._count_stranded(now) * step
            now += step
        return now

    def _is_settling(self, now: float) -> bool:
        """Return whether something changed or will change in a short while."""
        return any(
            abs(now - at) < SETTLING_S
            for host in self.hosts
            for at in (host.changed_at, host.down_until, host.ready_at)
        )

    def _is_quiet(self, now: float) -> bool:
        return all(
            host.health(now) is Health.UP and host.loaded and host.ready_at <= now
            for host in self.hosts
        )

    def _iter_views(self, now: float) -> Iterator[HostView]:
        for host in self.hosts:
            health = host.health(now)
            noticed = now >= host.changed_at + DETECTION_S
            since = host.changed_at + DETECTION_S
            if health is Health.UP:
                since = max(host.down_until, host.silent_until)
            yield HostView(
                host=host.name,
                address=host.name,
                pool="lesson",
                health=health if noticed else Health.UP,
                since=since,
                group=host.group,
                epoch=host.epoch,
                incarnation=f"{host.number}",
                loaded=host.loaded if host.ready_at <= now else "",
            )

    def _plan(self, now: float) -> None:
        views = tuple(self._iter_views(now))
        domain = DomainView(self.table, views, (SERVICE,), now, now)
        for step in plan_domain(domain, self.policy):
            self.table = apply_step(self.table, step)

    def _order(self, now: float) -> None:
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
        """Load weights, a few hosts at a time."""
        if host.loaded:
            return
        self.loads = sorted(end for end in self.loads if end > now)
        waits = len(self.loads) - PARALLEL_LOADS
        start = self.loads[waits] if waits >= 0 else now
        host.loaded, host.ready_at = "somo@1", start + LOAD_S
        self.loads.append(host.ready_at)

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
        """Return accelerators that are up, in no serving group, beyond spares."""
        serving = sum(1 for _ in self._iter_serving(now))
        up = sum(host.health(now) is Health.UP for host in self.hosts)
        spare = len(self.hosts) - GROUPS * GROUP_HOSTS
        return max(0, up - serving * GROUP_HOSTS - spare) * ACCELERATORS


def main() -> None:
    """Print a table."""
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
        kinds = sum(not event.pause for event in events)
        print(f"       {len(events)} events, {kinds} of them lose memory")
    print(f"lower bound, no loaded spare: {DETECTION_S:.0f} + {LOAD_S:.0f} s a loss")
    print(f"lower bound, loaded spare: {DETECTION_S:.0f} s a loss")


if __name__ == "__main__":
    main()
