"""Controller task: forms and repairs the replica groups of fabric domains.

The process that holds a domain's lease plans for it. A process that loses the lease
unnoticed does no harm: each change is a compare-and-swap on the domain's table, and
orders carry an epoch of that table as fencing token.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator

from gevent.pool import Pool

from ..agreed import Document
from ..configuration import Service, ServiceKind
from ..errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    WaxwingpitchError,
)
from ..groups import (
    DomainView,
    GroupTable,
    HostView,
    PlannerPolicy,
    apply_step,
    decode_table,
    encode_table,
    plan_domain,
)
from ..groups.orders import AddressedOrder, find_due_orders
from ..groups.table import GroupRuleError, table_key
from ..membership import rank_by_rendezvous
from ..ports import Host, HostState, KeyValueStore
from ..targets import Health
from ..task import PeriodicTask
from .clients import TargetClients
from .coordination import Coordination
from .events import DocumentsUpdated, HealthObserved
from .registrar import Registrar
from .view import EntryView

TICK_S = 0.25
ORDER_TIMEOUT_S = 1.0
MAX_PARALLEL_ORDERS = 32
ACQUIRE_RETRY_S = 2.0
# Time before the lease expires at which this process stops acting under it.
LEASE_MARGIN_S = 1.0

logger = logging.getLogger(__name__)


class Controller(PeriodicTask):
    """Plans for the fabric domains of this zone whose lease this process holds."""

    interval_s = TICK_S

    def __init__(
        self,
        view: EntryView,
        store: KeyValueStore,
        registrar: Registrar,
        clients: TargetClients,
        coordination: Coordination,
        policy: PlannerPolicy = PlannerPolicy(),
    ):
        super().__init__()
        self.policy = policy
        self._view = view
        self._store = store
        self._registrar = registrar
        self._clients = clients
        self._coordination = coordination
        self._pool = Pool(MAX_PARALLEL_ORDERS)
        self._leases: dict[str, str] = {}
        self._next_acquire_at: dict[str, float] = {}
        self._orders_in_flight: set[str] = set()

    @property
    def held_domains(self) -> tuple[str, ...]:
        """Domains whose lease this process holds."""
        return tuple(sorted(d for d in self._leases if self._holds_lease(d)))

    def tick(self) -> None:
        """Run one planning cycle for each domain and send the orders that are due."""
        if self._view.stopping:
            return
        for domain in sorted(self._find_domains()):
            self._run_domain(domain)

    def _find_domains(self) -> set[str]:
        pools = {service.pool for service in self._model_services()}
        return {
            host.domain
            for host in self._view.hosts
            if host.zone == self._view.me.zone and host.pool in pools
        }

    def _model_services(self) -> Iterator[Service]:
        for service in self._view.cfg.services:
            if service.kind is ServiceKind.MODEL:
                yield service

    def _run_domain(self, domain: str) -> None:
        ranked = rank_by_rendezvous(f"control/{domain}", self._view.alive_in_zone())
        if ranked[0] == self._view.me.id and not self._holds_lease(domain):
            self._acquire_lease(domain)
        is_controller = self._holds_lease(domain)
        if is_controller:
            self._plan(domain)
        if is_controller or ranked[0] == self._view.me.id:
            self._send_orders(domain, holds_lease=is_controller)

    def _holds_lease(self, domain: str) -> bool:
        registrar = self._registrar
        lease = self._leases.get(domain)
        if lease is None or lease != registrar.lease:
            return False
        return time.monotonic() < registrar.lease_until - LEASE_MARGIN_S

    def _acquire_lease(self, domain: str) -> None:
        now = time.monotonic()
        lease = self._registrar.lease
        if lease is None or now < self._next_acquire_at.get(domain, 0.0):
            return
        self._next_acquire_at[domain] = now + ACQUIRE_RETRY_S
        key, value = f"controllers/{domain}", self._view.me.id.encode()
        try:
            entry = self._store.get(key)
            is_own = entry is not None and entry.value == value
            if entry is None or is_own:
                expect = entry.version if entry else 0
                self._store.put(key, value, expect=expect, lease=lease)
                self._leases[domain] = lease
        except StoreError as exc:
            logger.debug(
                "could not acquire the lease of a domain: %s",
                exc.message,
                extra={"domain": domain},
            )

    def _find_table(self, domain: str) -> tuple[GroupTable, int]:
        doc = self._view.documents.get(table_key(domain))
        if doc is None:
            return GroupTable(domain, self._view.me.zone), 0
        return decode_table(doc.value), doc.version

    def _build_domain_view(self, domain: str, table: GroupTable) -> DomainView:
        pools = {service.pool for service in self._model_services()}
        hosts = [
            host
            for host in self._view.hosts
            if host.domain == domain and host.pool in pools
        ]
        present = {host.pool for host in hosts}
        services = tuple(s for s in self._model_services() if s.pool in present)
        return DomainView(
            table=table,
            hosts=tuple(self._build_host_view(host) for host in hosts),
            services=services,
            now=time.monotonic(),
            wall=time.time(),
        )

    def _build_host_view(self, host: Host) -> HostView:
        listed_leaving = host.state is HostState.LEAVING
        evidence = self._view.evidence.get(host.id)
        if evidence is None:
            return HostView(host.id, host.address, host.pool, listed_leaving)
        report = evidence.report
        is_valid = time.monotonic() < evidence.valid_until
        health = evidence.health if is_valid else Health.SILENT
        since = evidence.since if is_valid else evidence.valid_until
        if report is None:
            return HostView(
                host.id, host.address, host.pool, listed_leaving, health, since
            )
        return HostView(
            host=host.id,
            address=host.address,
            pool=host.pool,
            leaving=listed_leaving or report.leaving,
            health=health,
            since=since,
            group=report.group,
            epoch=report.epoch,
            incarnation=report.incarnation,
            loaded=report.loaded,
            load=report.load,
        )

    def _plan(self, domain: str) -> None:
        table, version = self._find_table(domain)
        steps = plan_domain(self._build_domain_view(domain, table), self.policy)
        if not steps:
            return
        changed = table
        for step in steps:
            try:
                changed = apply_step(changed, step)
            except GroupRuleError as exc:
                logger.error(
                    "planned step violates a group rule and is skipped",
                    extra={"why": exc.message},
                )
                continue
            logger.info("group step planned", extra={"domain": domain, "step": step})
        self._write_table(changed, version)

    def _write_table(self, table: GroupTable, expect: int) -> None:
        key, value = table_key(table.domain), encode_table(table)
        try:
            version = self._store.put(key, value, expect=expect)
            self._post_document(Document(key, version, value))
        except (StoreConflictError, StoreAnswerLostError):
            self._read_table_back(key)
        except StoreError as exc:
            logger.debug("could not write a group table: %s", exc.message)

    def _read_table_back(self, key: str) -> None:
        try:
            entry = self._store.get(key)
        except StoreError as exc:
            logger.debug("could not read a group table back: %s", exc.message)
            return
        if entry is not None:
            self._post_document(Document(key, entry.version, entry.value))

    def _post_document(self, doc: Document) -> None:
        self._coordination.post(DocumentsUpdated((doc,)))

    def _send_orders(self, domain: str, *, holds_lease: bool) -> None:
        table, version = self._find_table(domain)
        if version == 0:
            return
        view = self._build_domain_view(domain, table)
        orders = find_due_orders(
            table, view.hosts, view.services, holds_lease=holds_lease
        )
        for item in orders:
            if item.host not in self._orders_in_flight:
                self._orders_in_flight.add(item.host)
                self._pool.spawn(self._send_order, item)

    def _send_order(self, item: AddressedOrder) -> None:
        at = time.monotonic()
        try:
            client = self._clients.model(item.address)
            report = client.order(item.order, timeout_s=ORDER_TIMEOUT_S)
            self._coordination.post(HealthObserved(item.host, Health.UP, at, report))
        except WaxwingpitchError as exc:
            logger.info("order failed", extra={"target": item.host, "why": exc.message})
        finally:
            self._orders_in_flight.discard(item.host)
