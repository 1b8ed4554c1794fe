"""Planner of one fabric domain: derives ordered steps from observations.

Swaps a spare into a broken group rather than forming a new one, waits for a
silent member only as long as that can cost less downtime than a swap, and
dissolves a group only to complete others.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ..configuration import Service
from ..targets.evidence import Health
from .steps import (
    DissolveGroup,
    DrainGroup,
    FormGroup,
    RejoinGroup,
    Step,
    SwapMembers,
)
from .table import Group, GroupMember, GroupTable


@dataclass(frozen=True, slots=True)
class PlannerPolicy:
    """Time limits of the planner, and the baselines that it can be compared to.

    Attributes
    ----------
    silence_grace_s
        Longest wait for a silent member while a spare is ready, in seconds.
    refusal_grace_s
        Longest wait for a member whose engine is down and refuses connections, in
        seconds.
    lost_grace_s
        Silence after which a member counts as lost although there is no spare,
        in seconds.
    drain_s
        Longest time for requests in flight before a group is dissolved, in seconds.
    swaps
        Whether spares are swapped in; a baseline dissolves broken groups instead.
    waits_for_same
        Whether a group is completed only by the lost members themselves, as a baseline.
    """

    silence_grace_s: float = 3.0
    refusal_grace_s: float = 0.0
    lost_grace_s: float = 30.0
    drain_s: float = 600.0
    swaps: bool = True
    waits_for_same: bool = False


@dataclass(frozen=True, slots=True)
class HostView:
    """State of a host, as known to the planner.

    Attributes
    ----------
    leaving
        Whether the platform or the host itself announced that it leaves.
    health, since
        Last observation and the monotonic time since which it holds; None if
        the host was never observed.
    group, epoch, incarnation, loaded, load
        What the host reported last.
    """

    host: str
    address: str
    pool: str = ""
    leaving: bool = False
    health: Health | None = None
    since: float = 0.0
    group: str = ""
    epoch: int = 0
    incarnation: str = ""
    loaded: str = ""
    load: int = 0

    @property
    def is_spare(self) -> bool:
        """Whether the host is up, is not leaving and reports no group."""
        return self.health is Health.UP and not self.leaving and not self.group

    def as_member(self) -> GroupMember:
        """Return the host as a member that is ordered to join."""
        return GroupMember(self.host, self.address, self.incarnation)


@dataclass(frozen=True, slots=True)
class DomainView:
    """Input of the planner.

    Attributes
    ----------
    services
        Model services of the domain's pool.
    now
        Monotonic time in seconds.
    wall
        Wall-clock time in seconds since 1970.
    """

    table: GroupTable
    hosts: tuple[HostView, ...]
    services: tuple[Service, ...]
    now: float
    wall: float


def plan_domain(view: DomainView, policy: PlannerPolicy) -> tuple[Step, ...]:
    """Return the steps to take now, most urgent first.

    The steps are independent of each other: no host appears in two of them.
    """
    plan = _Plan(view, policy)
    return tuple(plan.iter_steps())


def _uptime_key(host: HostView) -> tuple[float, str]:
    """Rank hosts that lack the weights: the one up longest has loaded most of them."""
    return host.since, host.host


class _Plan:
    """One run of the planner; tracks the spares that earlier steps used."""

    def __init__(self, view: DomainView, policy: PlannerPolicy):
        self.view = view
        self.policy = policy
        self.hosts = {host.host: host for host in view.hosts}
        self.services = {service.name: service for service in view.services}
        self.spares = [
            host
            for host in view.hosts
            if host.is_spare and view.table.find_group_of(host.host) is None
        ]
        self.next_epoch = view.table.epoch

    def iter_steps(self) -> Iterator[Step]:
        broken = []
        for group in self.view.table.groups:
            if group.draining:
                yield from self._finish_drain(group)
            elif self._is_outdated(group):
                yield self._drain(group)
            elif self._find_missing(group) or self._find_leaving(group):
                broken.append(group)
        for group in broken:
            yield from self._repair(group)
        yield from self._form_groups()

    def _is_outdated(self, group: Group) -> bool:
        service = self.services.get(group.service)
        if service is None:
            return True
        desired = (service.model, service.model_version, service.hosts_per_replica)
        return desired != (group.model, group.model_version, len(group.members))

    def _drain(self, group: Group) -> DrainGroup:
        return DrainGroup(group.id, self.view.wall + self.policy.drain_s)

    def _finish_drain(self, group: Group) -> Iterator[Step]:
        leader = self.hosts.get(group.members[0].host)
        is_up = leader is not None and leader.health is Health.UP
        is_idle = is_up and leader.load == 0
        is_gone = not is_up and self._is_lost(group.members[0])
        if is_idle or is_gone or self.view.wall >= group.drain_until:
            yield DissolveGroup(group.id)

    def _find_missing(self, group: Group) -> list[GroupMember]:
        return [item for item in group.members if not self._is_present(item)]

    def _is_present(self, member: GroupMember) -> bool:
        host = self.hosts.get(member.host)
        if host is None or host.health is None:
            return False
        return host.health is Health.UP and host.incarnation == member.incarnation

    def _find_leaving(self, group: Group) -> list[GroupMember]:
        return [
            item
            for item in group.members
            if (host := self.hosts.get(item.host)) is not None and host.leaving
        ]

    def _repair(self, group: Group) -> Iterator[Step]:
        missing = self._find_missing(group)
        if not missing:
            yield from self._drain_leaving(group)
            return
        restarted = [host for item in missing if (host := self._find_restarted(item))]
        if self.policy.waits_for_same:
            yield from self._rejoin(group, missing, restarted)
            return
        lost = [item for item in missing if self._is_lost(item)]
        if len(lost) < len(missing):
            return
        if not self.policy.swaps:
            yield DissolveGroup(group.id)
            return
        yield from self._swap_or_rejoin(group, missing, restarted)

    def _find_restarted(self, member: GroupMember) -> HostView | None:
        host = self.hosts.get(member.host)
        if host is None or host.health is not Health.UP or host.leaving:
            return None
        return host if not host.group else None

    def _is_lost(self, member: GroupMember) -> bool:
        host = self.hosts.get(member.host)
        if host is None:
            return True
        waited_s = self.view.now - host.since
        match host.health:
            case Health.UP:
                return True
            case Health.REFUSED:
                return waited_s >= self.policy.refusal_grace_s
            case Health.SILENT if self.spares:
                return waited_s >= self.policy.silence_grace_s
            case Health.SILENT:
                return waited_s >= self.policy.lost_grace_s
            case _:
                return False

    def _rejoin(
        self,
        group: Group,
        missing: Sequence[GroupMember],
        restarted: Sequence[HostView],
    ) -> Iterator[Step]:
        if len(restarted) == len(missing):
            yield RejoinGroup(group.id, tuple(host.as_member() for host in restarted))

    def _swap_or_rejoin(
        self,
        group: Group,
        missing: Sequence[GroupMember],
        restarted: Sequence[HostView],
    ) -> Iterator[Step]:
        restarted_by_host = {host.host: host for host in restarted}
        swaps = []
        for member in missing:
            substitute = self._choose_substitute(
                group, restarted_by_host.get(member.host)
            )
            if substitute is not None:
                swaps.append((member.host, substitute.as_member()))
        if len(swaps) == len(missing):
            yield SwapMembers(group.id, tuple(swaps))
            return
        self._return_spares(swaps)
        yield from self._dissolve_to_complete_others(group, missing)

    def _choose_substitute(
        self, group: Group, restarted: HostView | None
    ) -> HostView | None:
        desired = f"{group.model}@{group.model_version}"
        spares = self._find_spares(self.services[group.service])
        loaded = next((host for host in spares if host.loaded == desired), None)
        options = [*spares, *([restarted] if restarted is not None else [])]
        chosen = loaded or min(options, key=_uptime_key, default=None)
        if chosen in self.spares:
            self.spares.remove(chosen)
        return chosen

    def _return_spares(self, swaps: Sequence[tuple[str, GroupMember]]) -> None:
        taken = {member.host for lost, member in swaps if member.host != lost}
        self.spares += [self.hosts[host] for host in sorted(taken)]

    def _dissolve_to_complete_others(
        self, group: Group, missing: Sequence[GroupMember]
    ) -> Iterator[Step]:
        """Dissolve a broken group whose members can complete another one."""
        others = [
            other
            for other in self.view.table.groups
            if other.id != group.id and not other.draining and self._find_missing(other)
        ]
        if not others:
            return
        rank = (len(missing), group.id)
        best = min((len(self._find_missing(other)), other.id) for other in others)
        if rank > best and self._is_lost_for_long(missing):
            yield DissolveGroup(group.id)

    def _is_lost_for_long(self, missing: Sequence[GroupMember]) -> bool:
        return all(
            (host := self.hosts.get(item.host)) is None
            or self.view.now - host.since >= self.policy.lost_grace_s
            for item in missing
        )

    def _drain_leaving(self, group: Group) -> Iterator[Step]:
        """Drain a group with leaving members, so that its other hosts become spare."""
        yield self._drain(group)

    def _form_groups(self) -> Iterator[Step]:
        for service in self._services_by_need():
            while self._can_form(service):
                size = service.hosts_per_replica
                chosen = self._take_spares(service, size)
                self.next_epoch += 1
                yield FormGroup(
                    group=f"{service.name}.{self.view.table.domain}.{self.next_epoch}",
                    service=service.name,
                    model=service.model,
                    model_version=service.model_version,
                    members=tuple(host.as_member() for host in chosen),
                )
                if len(self.services) > 1:
                    break

    def _services_by_need(self) -> list[Service]:
        groups = self.view.table.groups
        return sorted(
            self.services.values(),
            key=lambda service: (
                sum(group.service == service.name for group in groups),
                service.name,
            ),
        )

    def _find_spares(self, service: Service) -> list[HostView]:
        return [host for host in self.spares if host.pool == service.pool]

    def _can_form(self, service: Service) -> bool:
        free = len(self._find_spares(service)) - service.spare_hosts
        return free >= service.hosts_per_replica

    def _take_spares(self, service: Service, size: int) -> list[HostView]:
        desired = f"{service.model}@{service.model_version}"
        spares = self._find_spares(service)
        spares.sort(key=lambda host: (host.loaded != desired, host.host))
        for host in spares[:size]:
            self.spares.remove(host)
        return spares[:size]
