"""Membership: the entry hosts that share the requests of a zone."""

from __future__ import annotations

from .members import Member, MemberList, PriorList, decode_members, encode_members
from .rendezvous import rank_by_rendezvous
from .shares import is_within_share, split_cap
from .topology import select_neighbours

__all__ = [
    "Member",
    "MemberList",
    "PriorList",
    "decode_members",
    "encode_members",
    "is_within_share",
    "rank_by_rendezvous",
    "select_neighbours",
    "split_cap",
]
