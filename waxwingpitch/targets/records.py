"""What a target says of itself in the platform's list."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class MemberState(enum.StrEnum):
    """State of a target as a member of a replica group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Membership:
    """A target's place in a replica group.

    Attributes
    ----------
    epoch
        Number that grows with each change of the group's members.
    rank
        Place in the list of members; the member of rank 0 takes requests.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target as it described itself last.

    Attributes
    ----------
    capacity
        Requests that it runs at once.
    leaving
        Whether it has said that it leaves.
    cold_s
        Time for which it stays cold after the record was written, in seconds.
    domain
        Fabric domain; empty for targets that form no groups.
    staged
        Models whose weights lie on its host.
    model
        Model that it is a member for; empty if there is none.
    started_ms
        Unix time of its start, in milliseconds; 0 if it does not say.
    """

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    leaving: bool
    cold_s: float
    domain: str = ""
    staged: tuple[str, ...] = ()
    model: str = ""
    membership: Membership | None = None
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target answers when it is asked, some 100 ms old.

    Attributes
    ----------
    orders
        Orders begun since it started.
    pace
        Factor on its usual times; above 1 it is slow.
    """

    orders: int
    pace: float
    membership: Membership | None
    model: str = ""
    staged: tuple[str, ...] = ()
