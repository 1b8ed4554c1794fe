"""Split of a cold target's request cap between the entry hosts of its zone.

Every entry host computes its own share from the agreed member list, so that the
shares add up to the cap without messages. While earlier lists may still be in
use, a member takes the smallest of its shares under all of them.
"""

from __future__ import annotations

from collections.abc import Sequence

from .members import Member, MemberList
from .rendezvous import rank_by_rendezvous


def split_cap(members: MemberList, me: Member, target: str, cap: int) -> int:
    """Return how many requests a member may have in flight at a cold target.

    Parameters
    ----------
    members
        List of the target's zone.
    me
        The calling member; its share is 0 unless every list contains it in this
        incarnation.
    target
        Id of the target.
    cap
        Most requests in flight at the target, over all members.
    """
    lists = (members.members, *(prior.members for prior in members.prior))
    return min(_share(listed, me, target, cap) for listed in lists)


def is_within_share(
    members: MemberList, me: Member, target: str, cap: int, outstanding: int
) -> bool:
    """Return whether a member may confirm a list.

    A member confirms only once its requests in flight fit its share under the new
    list, because the other members start to use their new shares after that.
    """
    return outstanding <= _share(members.members, me, target, cap)


def _share(listed: Sequence[Member], me: Member, target: str, cap: int) -> int:
    if me not in listed:
        return 0
    ranked = rank_by_rendezvous(target, [member.id for member in listed])
    quotient, remainder = divmod(cap, len(ranked))
    return quotient + (1 if ranked.index(me.id) < remainder else 0)
