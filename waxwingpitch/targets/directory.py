"""Selection of the targets that may receive new work, from the current evidence."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from ..configuration import Configuration, Service, ServiceKind
from ..groups.table import Group, GroupTable
from ..ports import Host, HostState, TargetReport, Warmth
from .evidence import EvidenceBook


@dataclass(frozen=True, slots=True)
class Target:
    """A replica group, or a host of a plain service, as currently known.

    Attributes
    ----------
    id
        Id of the group, or of the host.
    address
        ``IP:port`` of the leader.
    hosts
        Ids of all members.
    epoch
        Epoch of the group; 0 for a plain service.
    cold
        Whether the cap for cold targets applies.
    load
        Requests running and queued, as last reported.
    incarnation
        Incarnation of the leader.
    """

    id: str
    service: str
    zone: str
    address: str
    hosts: tuple[str, ...]
    group: str
    epoch: int
    cold: bool
    load: int
    incarnation: str


class TargetDirectory:
    """Selects usable targets by configuration, host list, group tables and evidence.

    Parameters
    ----------
    evidence
        Evidence about hosts; the observers of the hosts update it.
    """

    def __init__(self, evidence: EvidenceBook):
        self.evidence = evidence
        self._cfg = Configuration()
        self._hosts: dict[str, Host] = {}
        self._tables: Mapping[str, GroupTable] = {}

    def update(
        self,
        cfg: Configuration,
        hosts: Iterable[Host],
        tables: Mapping[str, GroupTable],
    ) -> None:
        """Replace the configuration, the host list and the group tables."""
        self._cfg = cfg
        self._hosts = {host.id: host for host in hosts}
        self._tables = tables

    def find_usable(self, service: Service, now: float) -> Iterator[Target]:
        """Yield the targets of a service that may receive new work.

        A target is not usable if its zone is out of service, a member is missing
        or leaving, or there is no valid evidence that all members are ready.
        """
        match service.kind:
            case ServiceKind.MODEL:
                yield from self._find_groups(service, now)
            case ServiceKind.PLAIN:
                yield from self._find_plain(service, now)

    def count_all(self, service: Service) -> int:
        """Return the number of targets of a service, usable or not."""
        if service.kind is ServiceKind.PLAIN:
            return sum(host.pool == service.pool for host in self._hosts.values())
        groups = (group for table in self._tables.values() for group in table.groups)
        return sum(group.service == service.name for group in groups)

    def _find_groups(self, service: Service, now: float) -> Iterator[Target]:
        for table in self._tables.values():
            if not self._cfg.is_zone_in_service(table.zone):
                continue
            for group in table.groups:
                if group.service != service.name or group.draining:
                    continue
                reports = self._collect_reports(group, now)
                if reports is not None:
                    yield _build_group_target(group, table.zone, reports)

    def _collect_reports(self, group: Group, now: float) -> list[TargetReport] | None:
        reports = []
        for member in group.members:
            report = self.evidence.fresh_report(member.host, now)
            if report is None or not report.ready or self._is_leaving(report):
                return None
            if (report.group, report.epoch) != (group.id, group.epoch):
                return None
            reports.append(report)
        return reports

    def _find_plain(self, service: Service, now: float) -> Iterator[Target]:
        for host in self._hosts.values():
            if host.pool != service.pool:
                continue
            if not self._cfg.is_zone_in_service(host.zone):
                continue
            report = self.evidence.fresh_report(host.id, now)
            if report is None or not report.ready or self._is_leaving(report):
                continue
            yield _build_plain_target(service, host, report)

    def _is_leaving(self, report: TargetReport) -> bool:
        host = self._hosts.get(report.host)
        listed_leaving = host is None or host.state is HostState.LEAVING
        return report.leaving or listed_leaving


def _build_group_target(group: Group, zone: str, reports: list[TargetReport]) -> Target:
    leader = reports[0]
    return Target(
        id=group.id,
        service=group.service,
        zone=zone,
        address=group.members[0].address,
        hosts=tuple(member.host for member in group.members),
        group=group.id,
        epoch=group.epoch,
        cold=any(report.warmth is not Warmth.WARM for report in reports),
        load=leader.load,
        incarnation=leader.incarnation,
    )


def _build_plain_target(service: Service, host: Host, report: TargetReport) -> Target:
    return Target(
        id=host.id,
        service=service.name,
        zone=host.zone,
        address=host.address,
        hosts=(host.id,),
        group="",
        epoch=0,
        cold=report.warmth is not Warmth.WARM,
        load=report.load,
        incarnation=report.incarnation,
    )
