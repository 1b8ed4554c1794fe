"""State machine: planner, lease, group table, orders and member reports together."""

from __future__ import annotations

from dataclasses import dataclass, replace

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ..configuration import Configuration, Service, ServiceKind, Zone
from ..groups import (
    DomainView,
    FormGroup,
    GroupTable,
    HostView,
    PlannerPolicy,
    apply_step,
    plan_domain,
)
from ..groups.orders import AddressedOrder, find_due_orders
from ..groups.table import check_table
from ..ports import EngineOrder, Host, HostState, OrderKind, TargetReport, Warmth
from ..targets import EVIDENCE_VALID_S, EvidenceBook, Health, TargetDirectory

DOMAIN = "fab-a"
ZONE = "dar-a"
SIZE = 2
HOSTS = 5
SERVICE = Service(
    "lesson", ServiceKind.MODEL, "lesson", hosts_per_replica=SIZE, model="somo"
)
CONFIGURATION = Configuration(1, zones=(Zone(ZONE, "dar"),), services=(SERVICE,))
HOST = st.integers(0, HOSTS - 1)
CONTROLLER = st.integers(0, 1)


@dataclass
class FakeEngine:
    """A model engine that carries out orders at once."""

    host: str
    fencing: bool
    number: int = 0
    up: bool = True
    silent: bool = False
    group: str = ""
    epoch: int = 0
    highest: int = 0
    loaded: str = ""

    def restart(self) -> None:
        """Restart with a new incarnation; all state in memory is lost."""
        self.number += 1
        self.group, self.epoch, self.highest, self.loaded = "", 0, 0, ""

    def carry_out(self, order: EngineOrder) -> None:
        """Carry out an order, unless its epoch is too old."""
        if not self.up or (self.fencing and order.epoch < self.highest):
            return
        self.highest = max(self.highest, order.epoch)
        match order.kind:
            case OrderKind.JOIN:
                self.group, self.epoch = order.group, order.epoch
                self.loaded = f"{order.model}@{order.model_version}"
            case OrderKind.RELEASE if order.group == self.group:
                self.group, self.epoch = "", 0

    def report(self) -> TargetReport:
        """Return the engine's report."""
        return TargetReport(
            host=self.host,
            incarnation=f"{self.host}.{self.number}",
            warmth=Warmth.WARM,
            group=self.group,
            epoch=self.epoch,
            loaded=self.loaded,
        )


@dataclass
class FakeController:
    """A controller with its own, possibly stale, copy of the table."""

    table: GroupTable
    version: int
    has_lease: bool


class GroupsMachine(RuleBasedStateMachine):
    """Controllers race, orders arrive late, and hosts join, leave and fail."""

    @initialize(fencing=st.booleans())
    def set_up(self, fencing):
        self.now = 1000.0
        self.engines = [FakeEngine(f"h{i}", fencing) for i in range(HOSTS)]
        self.listed = {engine.host: HostState.LIVE for engine in self.engines}
        self.table = GroupTable(DOMAIN, ZONE)
        self.version = 1
        self.controllers = [
            FakeController(self.table, 1, has_lease) for has_lease in (True, False)
        ]
        self.orders: list[AddressedOrder] = []
        self.evidence = EvidenceBook()
        self.directory = TargetDirectory(self.evidence)
        self.run_normally()

    def _hosts(self) -> list[Host]:
        return [
            Host(host, host, "lesson", ZONE, DOMAIN, state)
            for host, state in self.listed.items()
        ]

    def _view(self, controller: FakeController) -> DomainView:
        views = []
        for host in self._hosts():
            known = self.evidence.get(host.id)
            view = HostView(host.id, host.address, host.pool)
            if known is not None and known.report is not None:
                report = known.report
                view = replace(
                    view,
                    health=known.health,
                    since=known.since,
                    group=report.group,
                    epoch=report.epoch,
                    incarnation=report.incarnation,
                    loaded=report.loaded,
                )
            views.append(replace(view, leaving=host.state is HostState.LEAVING))
        return DomainView(
            controller.table, tuple(views), (SERVICE,), self.now, self.now
        )

    @rule(which=CONTROLLER)
    def plan(self, which):
        """Plan and write the table by compare-and-swap."""
        controller = self.controllers[which]
        if not controller.has_lease:
            return
        changed = controller.table
        for step in plan_domain(self._view(controller), PlannerPolicy()):
            changed = apply_step(changed, step)
        if changed != controller.table and controller.version == self.version:
            self.table = changed
            self.version += 1
            controller.table, controller.version = changed, self.version

    @rule(which=CONTROLLER)
    def send_orders(self, which):
        controller = self.controllers[which]
        view = self._view(controller)
        due = find_due_orders(
            controller.table, view.hosts, (SERVICE,), holds_lease=controller.has_lease
        )
        self.orders = (self.orders + list(due))[-30:]

    @precondition(lambda self: self.orders)
    @rule(data=st.data(), keep=st.booleans())
    def deliver_order(self, data, keep):
        """Deliver an order, perhaps late, out of order or twice."""
        index = data.draw(st.integers(0, len(self.orders) - 1))
        item = self.orders[index] if keep else self.orders.pop(index)
        next(e for e in self.engines if e.host == item.host).carry_out(item.order)

    @rule(which=CONTROLLER)
    def read_table(self, which):
        controller = self.controllers[which]
        controller.table, controller.version = self.table, self.version

    @rule(which=CONTROLLER)
    def move_lease(self, which):
        """Give the lease to one controller; the other may not know that yet."""
        self.controllers[which].has_lease = True

    @rule(which=CONTROLLER)
    def notice_lost_lease(self, which):
        self.controllers[which].has_lease = False

    @rule(host=HOST)
    def observe(self, host):
        engine = self.engines[host]
        if not engine.up:
            self.evidence.record_failure(engine.host, Health.REFUSED, self.now)
        elif engine.silent:
            self.evidence.record_failure(engine.host, Health.SILENT, self.now)
        else:
            self.evidence.record_report(engine.report(), self.now)

    @rule(host=HOST)
    def crash(self, host):
        self.engines[host].up = False

    @rule(host=HOST)
    def restart(self, host):
        self.engines[host].restart()
        self.engines[host].up = True

    @rule(host=HOST, silent=st.booleans())
    def pause(self, host, silent):
        self.engines[host].silent = silent

    @rule(host=HOST, state=st.sampled_from([None, *HostState]))
    def list_host(self, host, state):
        name = self.engines[host].host
        if state is None:
            self.listed.pop(name, None)
        else:
            self.listed[name] = state

    @rule(seconds=st.floats(0.1, 40.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule()
    def run_normally(self):
        """Let one controller plan with prompt orders and observations."""
        for _ in range(6):
            for host in range(HOSTS):
                self.observe(host)
            self.read_table(0)
            self.controllers[0].has_lease, self.controllers[1].has_lease = True, False
            self.plan(0)
            self.orders.clear()
            self.send_orders(0)
            for item in self.orders:
                next(e for e in self.engines if e.host == item.host).carry_out(
                    item.order
                )
            self.now += 0.25
        for host in range(HOSTS):
            self.observe(host)

    def _usable(self):
        self.directory.update(CONFIGURATION, self._hosts(), {DOMAIN: self.table})
        return list(self.directory.find_usable(SERVICE, self.now))

    @invariant()
    def a_host_is_in_one_group(self):
        check_table(self.table)
        hosts = [host for target in self._usable() for host in target.hosts]
        assert len(hosts) == len(set(hosts))

    @invariant()
    def only_complete_groups_are_usable(self):
        for target in self._usable():
            assert len(target.hosts) == SIZE
            for host in target.hosts:
                known = self.evidence.get(host)
                assert known.health is Health.UP
                assert self.now < known.observed_at + EVIDENCE_VALID_S
                assert (known.report.group, known.report.epoch) == (
                    target.group,
                    target.epoch,
                )
                assert self.listed.get(host) is HostState.LIVE

    def teardown(self):
        """Check that the full capacity is back once nothing fails any more."""
        for number, engine in enumerate(self.engines):
            engine.silent = False
            self.listed[engine.host] = HostState.LIVE
            if not engine.up:
                self.restart(number)
        for _ in range(3):
            self.now += 40.0
            self.run_normally()
        assert len(self._usable()) == HOSTS // SIZE


TestGroups = GroupsMachine.TestCase
TestGroups.settings = settings(max_examples=150, stateful_step_count=30)


def build_engine_order(epoch: int, group: str = "new") -> EngineOrder:
    return EngineOrder(OrderKind.JOIN, group, epoch, ("h0",), "somo", "1")


def find_usable(engines: list[FakeEngine], table: GroupTable) -> list:
    evidence = EvidenceBook()
    for engine in engines:
        evidence.record_report(engine.report(), 1.0)
    directory = TargetDirectory(evidence)
    service = replace(SERVICE, hosts_per_replica=len(engines))
    hosts = [Host(e.host, e.host, "lesson", ZONE, DOMAIN) for e in engines]
    cfg = replace(CONFIGURATION, services=(service,))
    directory.update(cfg, hosts, {DOMAIN: table})
    return list(directory.find_usable(service, 2.0))


def form_group(engines: list[FakeEngine], epoch: int) -> GroupTable:
    members = tuple(
        HostView(engine.host, engine.host, "lesson").as_member() for engine in engines
    )
    step = FormGroup("new", "lesson", "somo", "1", members)
    return apply_step(GroupTable(DOMAIN, ZONE, epoch - 1), step)


@pytest.mark.parametrize("fencing", [True, False])
def test_late_order_never_makes_an_old_group_usable(fencing):
    engine = FakeEngine("h0", fencing)
    engine.carry_out(build_engine_order(7))
    engine.carry_out(build_engine_order(3, "old"))
    assert engine.group == ("new" if fencing else "old")
    usable = find_usable([engine], form_group([engine], 7))
    assert len(usable) == (1 if fencing else 0)


def test_member_with_an_old_epoch_makes_its_group_unusable():
    engines = [FakeEngine("h0", True), FakeEngine("h1", True)]
    table = form_group(engines, 7)
    for engine in engines:
        engine.carry_out(build_engine_order(7))
    assert len(find_usable(engines, table)) == 1
    engines[1].epoch = 6
    assert not find_usable(engines, table)


def test_host_that_still_reports_a_group_is_not_spare():
    hosts = tuple(
        HostView(name, name, "lesson", health=Health.UP, group=group)
        for name, group in (("h0", ""), ("h1", "old"))
    )
    view = DomainView(GroupTable(DOMAIN, ZONE), hosts, (SERVICE,), 1.0, 1.0)
    assert plan_domain(view, PlannerPolicy()) == ()
