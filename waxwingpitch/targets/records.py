"""Records that targets publish in the platform's list, and their reports."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace


class MemberState(enum.StrEnum):
    """State of a target as a member of a replica group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Membership:
    """A target's membership of a replica group.

    Attributes
    ----------
    epoch
        Number that increases with each change of the group's members.
    rank
        Position in the list of members; the member of rank 0 accepts requests.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """Latest record of a target.

    Attributes
    ----------
    capacity
        Requests that it can run at the same time.
    leaving
        Whether it has announced that it leaves.
    cold_s
        Time for which it remains cold after the record was written, in seconds.
    domain
        Fabric domain; empty for targets that do not form groups.
    staged
        Models whose weights are stored on its host.
    model
        Model of the group that it is a member of; without a group, the model that it
        still holds in memory as far as is known, else empty.
    started_ms
        Unix time of its start, in milliseconds; 0 if it is not given.
    writes
        Number of records that it has written since its start.
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
    writes: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Number that grows with each record that a target of this id writes."""
        return self.started_ms, self.writes

    def keep_model(self, earlier: TargetRecord | None) -> TargetRecord:
        """Return this record with the model that an earlier one says is in memory.

        Targets name their model only while they are in a group, and hold it until they
        join a group of another or are started again.
        """
        if (
            earlier is None
            or self.model
            or self.membership is not None
            or self.started_ms != earlier.started_ms
            or self.writes < earlier.writes
        ):
            return self
        return replace(self, model=earlier.model)

    def update(self, report: MembershipReport) -> TargetRecord:
        """Return this record with what the target itself reports."""
        return replace(
            self,
            membership=report.membership,
            model=report.model,
            staged=report.staged,
        ).keep_model(self)


@dataclass(frozen=True, slots=True)
class MembershipReport:
    """Report that a target returns on request; its content is about 100 ms old.

    Attributes
    ----------
    orders
        Orders that it has begun since it started.
    pace
        Service times relative to the usual ones; a target above 1 is slow.
    """

    orders: int
    pace: float
    membership: Membership | None
    model: str = ""
    staged: tuple[str, ...] = ()
