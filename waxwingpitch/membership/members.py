"""Versioned list of the entry hosts of one zone.

A list keeps the prior lists that a member may still use. A prior list is dropped
once each of its members has confirmed a later one, has announced that it stopped,
was replaced by a new incarnation, or runs on a host that the platform no longer lists.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

import msgspec

from ..errors import PeerError, ResultCode

MEMBERS_PREFIX = "agreed/members/"


@dataclass(frozen=True, slots=True)
class Member:
    """A running entry daemon.

    Attributes
    ----------
    id
        Name of the entry host.
    incarnation
        Changes whenever the daemon restarts.
    http, mesh
        ``IP:port`` for callers and for peers, respectively.
    """

    id: str
    incarnation: str
    zone: str
    http: str
    mesh: str


@dataclass(frozen=True, slots=True)
class PriorList:
    """Members of an earlier list that may still be in use."""

    version: int
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MemberList:
    """The entry hosts of a zone.

    Attributes
    ----------
    version
        Grows by one with each change of members.
    prior
        Earlier lists that a member may still use.
    ended
        Incarnations of members that announced that they had stopped.
    """

    zone: str
    version: int = 0
    members: tuple[Member, ...] = ()
    prior: tuple[PriorList, ...] = ()
    ended: tuple[str, ...] = ()

    def find(self, member_id: str) -> Member | None:
        """Return the member with that id, or None."""
        return next((item for item in self.members if item.id == member_id), None)

    def join(self, member: Member) -> MemberList:
        """Return the list with a member added or replaced by a new incarnation."""
        if self.find(member.id) == member:
            return self
        kept = tuple(item for item in self.members if item.id != member.id)
        return self._change((*kept, member))

    def remove(self, member_ids: Collection[str]) -> MemberList:
        """Return the list without some members."""
        kept = tuple(item for item in self.members if item.id not in member_ids)
        return self if len(kept) == len(self.members) else self._change(kept)

    def leave(self, member: Member) -> MemberList:
        """Return the list without a member that announces that it has stopped."""
        if member not in self.members:
            return self
        kept = tuple(item for item in self.members if item != member)
        changed = self._change(kept)
        return replace(changed, ended=(*changed.ended, member.incarnation))

    def prune_prior_lists(
        self, confirmed: Mapping[tuple[str, str], int], unlisted: Collection[str]
    ) -> MemberList:
        """Return the list without the prior lists that no member can still use.

        Parameters
        ----------
        confirmed
            Version that each ``(id, incarnation)`` reported to use.
        unlisted
            Ids of hosts that the platform no longer lists.
        """
        kept = tuple(
            prior
            for prior in self.prior
            if not self._is_obsolete(prior, confirmed, unlisted)
        )
        if len(kept) == len(self.prior):
            return self
        return replace(self, prior=kept, ended=self.ended if kept else ())

    def _change(self, members: tuple[Member, ...]) -> MemberList:
        prior = PriorList(self.version, self.members)
        return replace(
            self,
            version=self.version + 1,
            members=members,
            prior=(*self.prior, prior) if self.members else self.prior,
        )

    def _is_obsolete(
        self,
        prior: PriorList,
        confirmed: Mapping[tuple[str, str], int],
        unlisted: Collection[str],
    ) -> bool:
        return all(
            confirmed.get((item.id, item.incarnation), 0) > prior.version
            or item.id in unlisted
            or item.incarnation in self.ended
            or self._is_replaced(item)
            for item in prior.members
        )

    def _is_replaced(self, member: Member) -> bool:
        current = self.find(member.id)
        return current is not None and current.incarnation != member.incarnation


def members_key(zone: str) -> str:
    """Return the key of a zone's list in the key-value service."""
    return MEMBERS_PREFIX + zone


def encode_members(members: MemberList) -> bytes:
    """Encode a list for the key-value service."""
    return msgspec.json.encode(members)


def decode_members(value: bytes) -> MemberList:
    """Decode what :func:`encode_members` returned.

    Raises
    ------
    PeerError
        The value is not a member list.
    """
    try:
        return msgspec.json.decode(value, type=MemberList)
    except msgspec.MsgspecError as exc:
        raise PeerError(ResultCode.PEER_MESSAGE_MALFORMED, str(exc)) from exc
