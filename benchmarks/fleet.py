"""A fleet of a given size for benchmarks that run without sockets."""

from __future__ import annotations

from dataclasses import dataclass

from waxwingpitch.agreed import Document
from waxwingpitch.configuration import ConfigurationBuilder, encode_configuration
from waxwingpitch.configuration.submission import CONFIGURATION_KEY
from waxwingpitch.groups import Group, GroupMember, GroupTable, encode_table
from waxwingpitch.groups.table import table_key
from waxwingpitch.membership import Member, MemberList, encode_members
from waxwingpitch.membership.members import members_key
from waxwingpitch.ports import Host, TargetReport, Warmth

HOSTS_PER_REPLICA = 32
WORKSPACES = 200
SERVICES = 8


@dataclass(frozen=True, slots=True)
class Fleet:
    """Entry hosts, engine hosts and all agreed documents.

    Attributes
    ----------
    lists
        Member list of each zone.
    documents
        Configuration, member lists and group tables.
    reports
        Report of each engine host.
    """

    lists: dict[str, MemberList]
    hosts: tuple[Host, ...]
    documents: tuple[Document, ...]
    reports: dict[str, TargetReport]

    @property
    def members(self) -> list[Member]:
        """All entry hosts."""
        return [item for members in self.lists.values() for item in members.members]


def build_fleet(entry_hosts: int, engine_hosts: int, zones: int) -> Fleet:
    """Build a fleet with complete groups in one fabric domain per zone."""
    names = [f"zone-{i}" for i in range(zones)]
    lists = {name: MemberList(name) for name in names}
    for number in range(entry_hosts):
        zone = names[number % zones]
        member = Member(f"entry-{number:04}", f"{number:016x}", zone, "", f"m{number}")
        members = lists[zone]
        lists[zone] = MemberList(zone, members.version + 1, (*members.members, member))
    hosts, reports, tables = [], {}, []
    for index, zone in enumerate(names):
        count = engine_hosts // zones + (index < engine_hosts % zones)
        zone_hosts = [
            Host(
                f"{zone}-engine-{i:04}",
                f"10.{index}.{i // 250}.{i % 250}:9000",
                "lesson",
                zone,
                f"{zone}-fabric",
            )
            for i in range(count)
        ]
        hosts += zone_hosts
        tables.append(_build_table(zone, zone_hosts, reports))
    documents = _build_documents(names, lists, tables)
    return Fleet(lists, tuple(hosts), documents, reports)


def _build_table(
    zone: str, hosts: list[Host], reports: dict[str, TargetReport]
) -> GroupTable:
    groups = []
    for start in range(0, len(hosts) - HOSTS_PER_REPLICA + 1, HOSTS_PER_REPLICA):
        group_hosts = hosts[start : start + HOSTS_PER_REPLICA]
        epoch = len(groups) + 1
        group_id = f"lesson.{zone}-fabric.{epoch}"
        members = tuple(
            GroupMember(host.id, host.address, f"{i:032x}")
            for i, host in enumerate(group_hosts)
        )
        groups.append(Group(group_id, "lesson", "somo", "1", epoch, members))
        for member in members:
            reports[member.host] = TargetReport(
                member.host,
                member.incarnation,
                Warmth.WARM,
                load=17,
                group=group_id,
                epoch=epoch,
                loaded="somo@1",
            )
    for host in hosts:
        reports.setdefault(host.id, TargetReport(host.id, "f" * 32, loaded="somo@1"))
    return GroupTable(f"{zone}-fabric", zone, len(groups), tuple(groups))


def _build_documents(
    names: list[str], lists: dict[str, MemberList], tables: list[GroupTable]
) -> tuple[Document, ...]:
    builder = ConfigurationBuilder()
    for number, name in enumerate(names):
        builder.add_zone(name, region=f"region-{number % 2}")
    for number in range(WORKSPACES):
        tokens = [f"token-{number}-{i}" for i in range(2)]
        builder.add_workspace(f"workspace-{number}", priority=number % 4, tokens=tokens)
    for number in range(SERVICES):
        builder.add_model_service(
            f"service-{number}" if number else "lesson",
            pool="lesson" if not number else f"pool-{number}",
            model="somo",
            hosts_per_replica=HOSTS_PER_REPLICA,
        )
    values = {CONFIGURATION_KEY: encode_configuration(_with_revision(builder.build()))}
    for name, members in lists.items():
        values[members_key(name)] = encode_members(members)
    for table in tables:
        values[table_key(table.domain)] = encode_table(table)
    return tuple(
        Document(key, version, value)
        for version, (key, value) in enumerate(values.items(), start=1)
    )


def _with_revision(cfg):
    from dataclasses import replace

    return replace(cfg, revision=1)
