"""Task that plans one zone's replica groups while it holds the zone's key."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass

import gevent

from ..errors import StoreError
from ..forwarding import ConnectionPool
from ..groups.fleet import FleetView, summarize
from ..groups.formation import FormationPlanner
from ..groups.ledger import TargetOrder
from ..groups.orders_to_targets import Join, Open, Order
from ..groups.turns import has_turn
from ..mesh.fleet_messages import PlannedGroupsItem
from ..mesh.messages import PlanningHandover
from ..targets.progress import ProgressBook
from ..targets.records import MembershipReport, TargetRecord
from ..telemetry import GatewayMetrics
from .absent_members import AbsentMembers
from .beliefs import GatewayView
from .probing import TargetProbes
from .releases import get_group_epoch
from .replicas import KnownTarget
from .shared_plans import SharedPlans
from .slots import SlotTask
from .zone_key import ZoneKey

BUSY_TICK_S = 0.05
IDLE_TICK_S = 0.1
VACANT_TICK_S = 0.5
# Fence above all versions, for a planner that was handed another process's key: the
# key's version does not show which entries were written since, so none is trusted.
NO_TRUSTED_VERSION = sys.maxsize
SUMMARY_INTERVAL_S = 1.0
# Smoothing factor of the exponential moving average of demand, which is updated every
# 50 to 100 ms.
DEMAND_SMOOTHING = 0.05
# Interval at which targets are polled for reports while the store is unavailable.
REPORT_POLL_INTERVAL_S = 0.15

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ServicePlanner:
    """Planner of one service's groups in a zone, and its contact with their targets."""

    formation: FormationPlanner
    probes: TargetProbes


class ZonePlanner:
    """Plans one zone's groups while it holds the zone's planner key.

    It tries to acquire the key while it is a candidate.

    Parameters
    ----------
    key
        Key of the zone whose groups are planned.
    slots
        Measures the demand for each model.
    peers_may_reach
        Returns whether any peer may reach a target, given its id and address.
    is_store_unavailable
        Returns whether the store answers neither this process nor its peers.
    plans
        What the planners of other zones have begun.
    announce
        Sends the peers a target's report that is newer than its listed entry.
    """

    def __init__(
        self,
        key: ZoneKey,
        *,
        view: GatewayView,
        pool: ConnectionPool,
        progress: ProgressBook,
        plans: SharedPlans,
        slots: SlotTask,
        peers_may_reach: Callable[[str, str], bool],
        is_store_unavailable: Callable[[], bool],
        announce: Callable[[str, int, MembershipReport], None],
        metrics: GatewayMetrics,
    ):
        self.zone = key.zone
        self._key = key
        self._view = view
        self._progress = progress
        self._plans = plans
        self._load_limit = plans.add_planner(self.zone, self.list_planned)
        self._slots = slots
        self._is_store_unavailable = is_store_unavailable
        self._announce = announce
        self._reports_polled_at = 0.0
        self._demand: dict[str, float] = {}
        self._metrics = metrics
        self._summarized_at = 0.0
        self._planners: dict[str, ServicePlanner] = {}
        self._trusted_after = 0
        self._build_probes = lambda: TargetProbes(
            pool, view, peers_may_reach, may_send=lambda: self.is_holder
        )
        self._absent_members = AbsentMembers(
            lambda target, address: view.expired.find_report(
                target, address, time.monotonic()
            )
        )
        self._greenlet: gevent.Greenlet | None = None
        self.is_candidate = False

    def set_role(self, *, is_candidate: bool, is_preferred: bool) -> None:
        """Say whether this process may plan the zone, and whether at once."""
        self.is_candidate = is_candidate
        self._key.is_preferred = is_preferred

    @property
    def is_holder(self) -> bool:
        """Whether this process may send orders in the zone now."""
        return self._key.is_held

    @property
    def is_busy(self) -> bool:
        """Whether a group is being formed or an order other than Stage is pending."""
        return self.is_holder and any(
            planner.formation.ledger.is_busy for planner in self._planners.values()
        )

    def list_planned(self) -> list[PlannedGroupsItem]:
        """Return the groups that are being formed."""
        if not self.is_holder:
            return []
        now = time.monotonic()
        return [
            PlannedGroupsItem(service, model, count)
            for service, planner in self._planners.items()
            for model, count in planner.formation.count_planned(now).items()
        ]

    def start(self) -> None:
        """Start the planning loop."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the planning loop."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            try:
                if self.is_holder:
                    self._plan()
                elif self.is_candidate and self._key.try_acquire():
                    self._reset(self._key.fence)
            except StoreError as exc:
                logger.info(
                    "planner key of a zone not acquired",
                    extra={"zone": self.zone, "reason": exc.message},
                )
            except Exception:
                logger.exception("planning a zone failed", extra={"zone": self.zone})
            gevent.sleep(self._find_pause_s())

    def _find_pause_s(self) -> float:
        if not self.is_candidate and not self.is_holder:
            return VACANT_TICK_S
        return BUSY_TICK_S if self.is_busy else IDLE_TICK_S

    def take_over(self, handover: PlanningHandover) -> None:
        """Plan in place of a holder that stopped while the store is unavailable."""
        if self._key.take_over(handover):
            self._reset(NO_TRUSTED_VERSION)

    def hand_over(self) -> PlanningHandover | None:
        """Stop planning; return the handover for a peer, or None if none is needed."""
        self.stop()
        return self._key.hand_over()

    def _reset(self, fence: int) -> None:
        self._planners.clear()
        self._trusted_after = fence

    def _plan(self) -> None:
        now = time.monotonic()
        cfg = self._view.cfg
        if cfg is None:
            return
        for service in cfg.services.values():
            if service.engine is None or not service.engine.models:
                continue
            planner = self._get_planner(service.name)
            if self._is_store_unavailable():
                self._poll_reports(planner, now)
            fleet = self._build_fleet_view(service, now)
            if now - self._summarized_at >= SUMMARY_INTERVAL_S:
                self._summarized_at = now
                forming = planner.formation.ledger.count_forming()
                summary = asdict(summarize(fleet, forming))
                summary["demand"] = {
                    model: round(demand, 1) for model, demand in fleet.demand.items()
                }
                summary["slots"] = dict(fleet.slots)
                summary["planned_elsewhere"] = dict(fleet.planned)
                logger.info("fleet", extra={"zone": self.zone, **summary})
            for target_order in planner.formation.plan(fleet, now):
                gevent.spawn(self._send_order, planner, target_order, now)

    def _get_planner(self, service: str) -> ServicePlanner:
        """Return the planner of a service, which is made anew in each term."""
        planner = self._planners.get(service)
        if planner is None:
            planner = self._planners[service] = self._build_planner()
        return planner

    def _build_planner(self) -> ServicePlanner:
        formation = FormationPlanner(
            self._key.next_epoch,
            self._load_limit.try_begin,
            cancel_load=self._load_limit.cancel,
        )
        probes = self._build_probes()
        probes.reset(self._trusted_after)
        return ServicePlanner(formation, probes)

    def _build_fleet_view(self, service, now: float) -> FleetView:
        probes = self._get_planner(service.name).probes
        targets = {
            known.record.id: known.record
            for known in self._view.iter_targets()
            if known.record.service == service.name
            and known.record.zone == self.zone
            and not self._is_free_without_entry(known)
        }
        demand, slots = self._measure_demand(service, now)
        probes.releases.forget_opened_groups(targets)
        self._load_limit.drop_ended(targets)
        suspects = self._progress.list_suspicions(now)
        probes.probe_suspects(targets, suspects, now)
        probes.probe_unreachable(now)
        fence = self._key.fence if self.is_holder else 0
        view = FleetView(
            spec=service.engine,
            targets=targets,
            unreachable=probes.unreachable,
            removed_at={target: at for target, (_, at) in self._view.removed.items()},
            membership_since={
                known.record.id: known.membership_since
                for known in self._view.iter_targets()
            },
            absent=self._absent_members.update(
                [
                    known.record
                    for target, (known, _) in self._view.removed.items()
                    if target not in targets
                ],
                targets,
                now,
            ),
            headless=probes.headless_groups,
            demand=demand,
            slots=slots,
            planned=self._plans.count_other_groups(self.zone, service.name),
            has_traffic=self._slots.has_seen_requests,
            may_rebalance=has_turn(self.zone, self._plans.zones, time.time()),
            longest_answer_s=self._view.cfg.find_longest_timeout_s(service.name),
        )
        probes.probe_missing_heads(targets, fence, view.close_timeout_s, now)
        return view

    def _is_free_without_entry(self, known: KnownTarget) -> bool:
        """Return whether a target is in no group and, without an entry, in no plan."""
        is_expired = known.record.id in self._view.expired.in_use
        return is_expired and known.record.membership is None

    def _measure_demand(self, service, now: float) -> tuple[dict, dict]:
        """Return the smoothed demand for each model, and its slots."""
        demand, slots = {}, {}
        for model in service.engine.models:
            replicas = self._view.find_replicas(service.name, model.name)
            withheld = self._slots.count_withheld(service.name, model.name)
            capacity = sum(replica.capacity for replica in replicas)
            slots[model.name] = max(0, capacity - withheld)
            current = self._slots.measure_demand(service.name, model.name)
            known = self._demand.get(model.name, current)
            demand[model.name] = known + DEMAND_SMOOTHING * (current - known)
        self._demand = demand
        return demand, slots

    def _poll_reports(self, planner: ServicePlanner, now: float) -> None:
        """Poll the targets that the plan waits for, as the store is unavailable."""
        if now - self._reports_polled_at < REPORT_POLL_INTERVAL_S:
            return
        self._reports_polled_at = now
        for target in planner.formation.ledger.list_busy_targets():
            known = self._view.targets.get(target)
            if known is not None:
                gevent.spawn(self._poll_target, planner.probes, known)

    def _poll_target(self, probes: TargetProbes, known: KnownTarget) -> None:
        report = probes.probe(known.record.id, known.record.address)
        if report is None:
            return
        target = known.record.id
        if self._view.apply_report(target, known.version, report):
            self._announce(target, known.version, report)

    def _send_order(
        self, planner: ServicePlanner, target_order: TargetOrder, planned_at: float
    ) -> None:
        known = self._view.targets.get(target_order.target)
        if known is None or not self.is_holder:
            return
        target, order = target_order.target, target_order.order
        evidence = self._describe_evidence(planner, order)
        release = None
        if isinstance(order, Join):
            now = time.monotonic()
            release = planner.probes.releases.judge(known.record, now)
            evidence = {"leaves": _find_group(known.record)} | release.describe(now)
        waited_ms = round(1000 * (time.monotonic() - planned_at))
        if release is not None and not release.is_granted:
            status, outcome = 0, "its head still takes requests"
        else:
            status, outcome = planner.probes.send_order(
                target,
                known.record.address,
                order,
                self._key.fence,
                leaves=get_group_epoch(known.record.membership),
            )
        if status not in (200, 202):
            planner.formation.record_refusal(
                target, order, time.monotonic(), is_answered=bool(status)
            )
        kind = type(order).__name__.lower()
        self._metrics.count_order(kind, status)
        logger.info(
            "order given",
            extra={
                "target": target,
                "order": repr(order),
                "status": status,
                "outcome": outcome,
                "fence": self._key.fence,
                "waited_ms": waited_ms,
                **evidence,
            },
        )

    def _describe_evidence(self, planner: ServicePlanner, order: Order) -> dict:
        """Return what an order to open a group rests on, for the log line."""
        forming = planner.formation.ledger.forming.get(getattr(order, "group", ""))
        if not isinstance(order, Open) or forming is None:
            return {}
        unanswered = planner.probes.list_unanswered(forming.members)
        return {
            "members": {
                member: known.version
                for member in forming.members
                if (known := self._view.targets.get(member)) is not None
            },
            "unanswered": {member: repr(item) for member, item in unanswered},
        }


def _find_group(record: TargetRecord) -> str | None:
    return None if record.membership is None else record.membership.group
