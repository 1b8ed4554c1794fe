"""Orders that bring the hosts of a domain in line with its group table."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..configuration import Service
from ..ports import EngineOrder, OrderKind
from ..targets.evidence import Health
from .planner import HostView
from .table import Group, GroupTable


@dataclass(frozen=True, slots=True)
class AddressedOrder:
    """An order and the host that it is sent to."""

    host: str
    address: str
    order: EngineOrder


def find_due_orders(
    table: GroupTable,
    hosts: Iterable[HostView],
    services: Iterable[Service],
    *,
    holds_lease: bool,
) -> Iterator[AddressedOrder]:
    """Yield the orders that are due; each is idempotent.

    Parameters
    ----------
    holds_lease
        Whether this process holds the lease of the domain's controller. Otherwise
        only members that report no group are ordered to join the one in the table,
        so that two controllers don't give the same member conflicting orders.
    """
    by_pool = {service.pool: service for service in services}
    for host in hosts:
        if host.health is not Health.UP:
            continue
        service = by_pool.get(host.pool)
        group = table.find_group_of(host.host)
        if group is not None:
            desired = (group.id, group.epoch)
            if (host.group, host.epoch) != desired and (holds_lease or not host.group):
                yield _address(host, _join(group))
        elif host.group and holds_lease:
            order = EngineOrder(OrderKind.RELEASE, host.group, table.epoch)
            yield _address(host, order)
        elif not host.group and service is not None and holds_lease:
            if host.loaded != f"{service.model}@{service.model_version}":
                yield _address(host, _load(table, service))


def _address(host: HostView, order: EngineOrder) -> AddressedOrder:
    return AddressedOrder(host.host, host.address, order)


def _join(group: Group) -> EngineOrder:
    return EngineOrder(
        OrderKind.JOIN,
        group.id,
        group.epoch,
        tuple(member.address for member in group.members),
        group.model,
        group.model_version,
    )


def _load(table: GroupTable, service: Service) -> EngineOrder:
    return EngineOrder(
        OrderKind.LOAD,
        "",
        table.epoch,
        model=service.model,
        model_version=service.model_version,
    )
