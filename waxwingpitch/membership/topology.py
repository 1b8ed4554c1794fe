"""Choice of the peers to which an entry host keeps a connection.

Every pair within a zone is connected. Between two zones, a few members of each,
chosen by rendezvous rank, hold connections and relay messages.
"""

from __future__ import annotations

from collections.abc import Mapping

from .members import Member, MemberList
from .rendezvous import rank_by_rendezvous

BRIDGES_PER_ZONE_PAIR = 3


def select_neighbours(
    me: Member,
    lists: Mapping[str, MemberList],
    *,
    bridges: int = BRIDGES_PER_ZONE_PAIR,
) -> tuple[Member, ...]:
    """Return the members to connect to; the choice is symmetric.

    Parameters
    ----------
    lists
        Member list of each zone.
    bridges
        Number of members of each zone that hold connections to another zone.
    """
    own = lists.get(me.zone, MemberList(me.zone))
    chosen = [member for member in own.members if member.id != me.id]
    for zone, other in lists.items():
        if zone != me.zone and me.id in _bridge_ids(own, zone, bridges):
            ids = _bridge_ids(other, me.zone, bridges)
            chosen += [member for member in other.members if member.id in ids]
    return tuple(chosen)


def _bridge_ids(members: MemberList, other_zone: str, bridges: int) -> set[str]:
    pair = "/".join(sorted((members.zone, other_zone)))
    ids = [member.id for member in members.members]
    return set(rank_by_rendezvous(pair, ids)[:bridges])
