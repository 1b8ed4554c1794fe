"""Split of a cold target's cap between the entry hosts of its zone.

Every entry host works out its own share from the agreed member list, so the
shares of all add up to the cap without messages. While earlier lists may still
be acted on, a member takes the smallest of its shares under all of them.
"""

from __future__ import annotations

from collections.abc import Sequence

from .members import Member, MemberList
from .rendezvous import rank_by_rendezvous


def split_cap(members: MemberList, me: Member, target: str, cap: int) -> int:
    """Return the requests that a member may have in progress at a cold target.

    Parameters
    ----------
    members
        List of the target's zone.
    me
        The member that asks; its share is 0 unless every list has it in this
        incarnation.
    target
        Id of the target.
    cap
        Most requests at once that the target bears.
    """
    lists = (members.members, *(prior.members for prior in members.prior))
    return min(_share(listed, me, target, cap) for listed in lists)


def is_within_share(
    members: MemberList, me: Member, target: str, cap: int, outstanding: int
) -> bool:
    """Return whether a member may confirm a list.

    A member confirms only once its requests in progress fit the share that the
    list gives it, because others start to use theirs after that.
    """
    return outstanding <= _share(members.members, me, target, cap)


def _share(listed: Sequence[Member], me: Member, target: str, cap: int) -> int:
    if me not in listed:
        return 0
    ranked = rank_by_rendezvous(target, [member.id for member in listed])
    quotient, remainder = divmod(cap, len(ranked))
    return quotient + (1 if ranked.index(me.id) < remainder else 0)
