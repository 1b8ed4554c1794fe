"""Groups that engine stand-ins form with each other."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class GroupMember(Protocol):
    """What the groups need of an engine.

    Attributes
    ----------
    members
        Addresses of the members of the engine's group, the leader first.
    """

    alive: bool
    ready: bool
    group: str
    epoch: int
    members: tuple[str, ...]

    @property
    def address(self) -> str:
        """``IP:port``."""

    def fail_streams(self) -> None:
        """Break all generations in progress."""


class EngineGroups:
    """Groups of a fleet, by what their members hold.

    Parameters
    ----------
    hosts
        Engines of the fleet by address, as they are now.
    """

    def __init__(self, hosts: Mapping[str, GroupMember]):
        self._hosts = hosts

    def is_ready(self, leader: GroupMember) -> bool:
        """Return whether an engine leads a group whose members are all ready."""
        if not leader.members or leader.members[0] != leader.address:
            return False
        return all(self._is_ready_member(address, leader) for address in leader.members)

    def fail_groups_of(self, lost_host: GroupMember) -> None:
        """Break the streams of every group that had a member on a lost host."""
        for engine in self._hosts.values():
            if lost_host.address in engine.members:
                engine.fail_streams()

    def _is_ready_member(self, address: str, leader: GroupMember) -> bool:
        member = self._hosts.get(address)
        return (
            member is not None
            and member.alive
            and member.ready
            and (member.group, member.epoch) == (leader.group, leader.epoch)
        )
