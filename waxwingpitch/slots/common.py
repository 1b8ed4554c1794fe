"""Requests for slots, and the decisions of their owner."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

from ..admission.forecast import Pressure
from .budget import RetryCounts

# Reason of a refusal that ends once a retry is left again.
BUDGET_SPENT = "retry budget is spent"


class Outcome(enum.IntEnum):
    """How a request that held a slot ended at its replica."""

    SERVED = 0
    FAILED = 1
    MISDIRECTED = 2
    STALLED = 3
    UNREACHABLE = 4
    BROKEN = 5


@dataclass(frozen=True, slots=True)
class SlotKey:
    """The slots of one zone's replicas for a service and a model.

    Attributes
    ----------
    model
        Empty for a service without models.
    """

    zone: str
    service: str
    model: str

    def __str__(self) -> str:
        return f"{self.zone} {self.service} {self.model}"


@dataclass(frozen=True, slots=True)
class SlotOffer:
    """A replica, as its owner and the entry host that it grants a slot to know it.

    Attributes
    ----------
    capacity
        Requests that it runs at the same time.
    epoch
        Epoch of its group; 0 for a plain target.
    cold_until
        Monotonic time of the owner until which it is cold.
    rate_per_s
        Requests a second that it takes from all entry hosts together; None if it states
        no limit.
    kv_capacity
        Tokens that its memory holds; None if no limit is known.
    """

    id: str
    address: str
    zone: str
    service: str
    model: str
    capacity: int
    epoch: int
    cold_until: float = 0.0
    rate_per_s: float | None = None
    kv_capacity: int | None = None


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot of a replica.

    Attributes
    ----------
    cost
        Expected work, in tokens or calls.
    deadline
        Monotonic time by which the final answer is sent.
    avoid
        Ids of replicas that it was already sent to.
    excluded, excluded_until
        Ids of replicas that the entry host must not use, and the monotonic time at
        which it may use the first of them again.
    resume_deadline
        Monotonic time until which the caller of a request that has run in part waits
        for the next part; None if it has not run.
    due_at
        Monotonic time by which the answer, or its first event, is due to meet the
        route's latency objective.
    is_retry
        Whether the slot is for a further attempt, which the retry budget must cover.
    is_repeated
        Whether an owner was asked for a slot for this attempt before, so that a first
        attempt is not counted again.
    tokens
        Tokens of its prompt and its expected answer; 0 if they are not told.
    objective_s
        Latency objective of the route; 0 if not known.
    """

    request: str
    service: str
    model: str
    workspace: str
    priority: int
    cost: float
    deadline: float
    avoid: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    excluded_until: float = math.inf
    resume_deadline: float | None = None
    due_at: float = math.inf
    is_retry: bool = False
    is_repeated: bool = False
    tokens: int = 0
    objective_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Granted:
    """A client may send its request to a replica.

    Attributes
    ----------
    in_flight
        Requests in flight at the replica, this one included.
    """

    client: str
    number: int
    offer: SlotOffer
    in_flight: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A client's request gets no slot and is therefore not sent.

    Attributes
    ----------
    retry_after_s
        Time after which the caller may retry, in seconds.
    """

    client: str
    number: int
    retry_after_s: float
    reason: str
    pressure: Pressure


@dataclass(frozen=True, slots=True)
class Forwarded:
    """A client's request is passed on to the owner of another zone's slots.

    Attributes
    ----------
    may_wait
        Whether it may wait there; otherwise that owner grants a slot or declines.
    reason, gain, report_age_s
        Why, the expected gain, and the age of the report that it rests on; see
        ``routing.common.Leave``.
    is_passed_on
        Whether it had come from a third zone's owner.
    """

    client: str
    number: int
    zone: str
    request: SlotRequest
    may_wait: bool = False
    reason: str = ""
    gain: float = 0.0
    report_age_s: float = 0.0
    is_passed_on: bool = False


@dataclass(frozen=True, slots=True)
class Declined:
    """The owner of another zone has no free slot for a request passed on to it."""

    client: str
    number: int


Decision = Granted | Refused | Forwarded | Declined


@dataclass(frozen=True, slots=True)
class KeySummary:
    """What an owner tells the owners of other zones, and the zone's planner.

    Attributes
    ----------
    slots, in_flight
        Slots of all replicas that take requests, and the requests in flight there.
    free
        Free slots.
    lowest_utilisation
        Utilisation of the least loaded replica after one more request; above 1 if no
        slot is free.
    waiting
        Requests in the queue.
    unmet
        Slots that waiting and recently refused requests would use.
    service_s
        Mean service time.
    withheld
        Slots that requests can't use, as targets limit the requests a second.
    retry_counts
        First attempts and retries within the window of the retry budget.
    """

    slots: int
    in_flight: int
    free: int
    lowest_utilisation: float
    waiting: int
    unmet: float
    service_s: float = 1.0
    retry_counts: RetryCounts = RetryCounts()
    withheld: int = 0
