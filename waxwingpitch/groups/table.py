"""Table of a fabric domain's replica groups, stored as one document.

One value holds all groups of a domain, so that compare-and-swap enforces that a
host belongs to at most one group.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from ..errors import WaxwingpitchError

TABLE_PREFIX = "agreed/domains/"


class GroupRuleError(WaxwingpitchError):
    """A group table that is malformed or violates an invariant."""


@dataclass(frozen=True, slots=True)
class GroupMember:
    """A host in a group.

    Attributes
    ----------
    incarnation
        Incarnation of the engine that was ordered to join.
    """

    host: str
    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Group:
    """A replica: hosts that serve one model together.

    Attributes
    ----------
    epoch
        Fencing number of its last change, unique within the domain.
    members
        The leader first.
    draining
        Whether it receives no new requests.
    drain_until
        Wall-clock deadline in seconds since 1970 after which it is dissolved
        even if requests are in flight; 0 unless it drains.
    """

    id: str
    service: str
    model: str
    model_version: str
    epoch: int
    members: tuple[GroupMember, ...]
    draining: bool = False
    drain_until: float = 0.0


@dataclass(frozen=True, slots=True)
class GroupTable:
    """All groups of a fabric domain.

    Attributes
    ----------
    epoch
        Highest epoch assigned so far.
    """

    domain: str
    zone: str
    epoch: int = 0
    groups: tuple[Group, ...] = ()

    def find(self, group_id: str) -> Group | None:
        """Return the group with that id, or None."""
        return next((item for item in self.groups if item.id == group_id), None)

    def find_group_of(self, host: str) -> Group | None:
        """Return the group that a host belongs to, or None."""
        for group in self.groups:
            if any(member.host == host for member in group.members):
                return group
        return None

    def iter_members(self) -> Iterator[tuple[Group, GroupMember]]:
        """Yield each member with its group."""
        for group in self.groups:
            for member in group.members:
                yield group, member


def check_table(table: GroupTable) -> None:
    """Check that no host is in two groups and that epochs are unique.

    Raises
    ------
    GroupRuleError
        An invariant is violated; the message names the host or the epochs.
    """
    hosts = [member.host for _, member in table.iter_members()]
    for host in hosts:
        if hosts.count(host) > 1:
            raise GroupRuleError(f"host {host!r} is in {hosts.count(host)} groups")
    epochs = [group.epoch for group in table.groups]
    if len(set(epochs)) != len(epochs) or any(e > table.epoch for e in epochs):
        raise GroupRuleError(
            f"epochs {epochs} must be unique and at most {table.epoch}"
        )


def table_key(domain: str) -> str:
    """Return the key of a domain's table in the key-value service."""
    return TABLE_PREFIX + domain


def encode_table(table: GroupTable) -> bytes:
    """Encode a table for the key-value service."""
    return msgspec.json.encode(table)


def decode_table(value: bytes) -> GroupTable:
    """Decode what :func:`encode_table` returned.

    Raises
    ------
    GroupRuleError
        The value is not a table.
    """
    try:
        return msgspec.json.decode(value, type=GroupTable)
    except msgspec.MsgspecError as exc:
        raise GroupRuleError(f"stored group table is malformed: {exc}") from exc
