"""Input of the routing policies and of the choice of a zone."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from ..targets import Target


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target with capacity for one more request.

    Attributes
    ----------
    outstanding
        Requests in progress at the target from this entry host.
    utilisation
        Estimated load as a share of the limit on its load.
    """

    target: Target
    outstanding: int
    utilisation: float


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Data of a request that routing policies use.

    Attributes
    ----------
    blocks
        Chained hashes of the prompt's blocks, starting with the shortest prefix.
    """

    blocks: tuple[str, ...] = ()


class ZoneReport(Protocol):
    """What the choice of a zone uses of the report of a zone's owner of slots.

    Attributes
    ----------
    slots, in_flight, free
        Slots of all usable replicas, those in use and those that are free.
    lowest_utilisation
        Utilisation of the least loaded replica after one more request.
    waiting
        Requests in the queue.
    service_s
        Mean service time.
    """

    slots: int
    in_flight: int
    free: int
    lowest_utilisation: float
    waiting: int
    service_s: float


@dataclass(frozen=True, slots=True)
class LocalLoad:
    """Load of a request's own zone, by its owner of slots.

    Attributes
    ----------
    slots
        Slots that the request can use; less where replicas limit the requests a second.
    waiting
        Requests in the queue ahead of it. For the first of the queue, all others, as
        its leaving shortens the wait of each by one turn.
    utilisation
        Utilisation, with the request, of the replica that it would get; 1 if none is
        free.
    mean_utilisation
        Utilisation of all replicas, at which ``first_event_s`` was measured.
    service_s, first_event_s
        Mean times to the whole response and to its first event.
    has_free
        Whether it gets a slot at once.
    is_queued
        Whether it waits already.
    pause_s
        Time until the first replica that asked for a pause takes requests again; None
        if there is none.
    """

    slots: float
    waiting: int
    utilisation: float
    mean_utilisation: float
    service_s: float
    first_event_s: float
    has_free: bool
    is_queued: bool = False
    pause_s: float | None = None


@dataclass(frozen=True, slots=True)
class TimeNeed:
    """When a response, or its first event, is due, and the latency objective."""

    due_at: float
    objective_s: float


class LeaveReason(enum.StrEnum):
    """Why a request leaves its zone."""

    NO_REPLICA = "no usable replica"
    FREE_SLOT = "free slot"
    SHORTER_QUEUE = "shorter queue"


@dataclass(frozen=True, slots=True)
class Leave:
    """A request goes to another zone.

    Attributes
    ----------
    may_wait
        Whether it may wait there; otherwise it is declined if no slot is free.
    gain
        Lower probability to be late, and lateness avoided, less what the other zone's
        callers lose; infinite if no replica of its own zone is usable.
    report_age_s
        Age of the report of the other zone.
    """

    zone: str
    may_wait: bool
    reason: LeaveReason
    gain: float
    report_age_s: float
