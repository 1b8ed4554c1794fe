"""Messages between the gateways of a fleet: slots, statuses, store updates.

Times are sent as seconds that are left or have passed, as clocks differ.
"""

from __future__ import annotations

from typing import ClassVar

from .base import MeshItem, MeshMessage


class SlotRequestMessage(MeshMessage, tag=30):
    """Requests a slot of a replica from the owner of its key.

    Attributes
    ----------
    number
        Number of the request among those of the sender.
    left_s, due_left_s
        Time until the deadline, and until the answer is due.
    excluded_left_s
        Time until the first excluded target may be used again.
    resume_left_s
        Time for which the caller waits for the next part; negative if none was sent.
    for_other_zone
        Whether the sender owns another zone's slots.
    may_wait
        Whether a request of another zone may wait; otherwise it is declined at once.
    is_repeated
        Whether an owner was asked for the same attempt before.
    tokens
        Tokens of the prompt and the expected answer; 0 if they are not told.
    objective_s
        Latency objective of the route; 0 if not known.
    """

    number: int
    zone: str
    service: str
    model: str
    request: str
    workspace: str
    priority: int
    cost: float
    left_s: float
    due_left_s: float
    resume_left_s: float
    avoid: tuple[str, ...]
    excluded: tuple[str, ...]
    excluded_left_s: float
    is_retry: bool
    for_other_zone: bool = False
    may_wait: bool = False
    is_repeated: bool = False
    tokens: int = 0
    objective_s: float = 0.0


class SlotGrant(MeshMessage, tag=31):
    """Grants a slot of a replica.

    Attributes
    ----------
    cold_left_s
        Time until the replica is warm.
    rate_per_s
        Requests a second that it takes from all entry hosts; negative if it states no
        limit.
    """

    number: int
    target: str
    address: str
    zone: str
    capacity: int
    epoch: int
    cold_left_s: float
    in_flight: int
    rate_per_s: float = -1.0


class SlotRefusal(MeshMessage, tag=32):
    """Refuses a slot.

    Attributes
    ----------
    declined
        Whether only another zone's request is declined, which may be placed elsewhere.
    """

    number: int
    retry_after_s: float
    reason: str
    slots: int
    waiting: int
    service_s: float
    declined: bool = False


class SlotRelease(MeshMessage, tag=33):
    """Frees a slot, or ends the wait for one.

    Attributes
    ----------
    outcome
        Value of :class:`~waxwingpitch.slots.Outcome`; negative if it was not used.
    service_s, first_s
        Time to the whole answer and to its first part; 0 if unknown.
    fingerprint, parts
        Fingerprint of the request, and keys of the parts of its prompt that others
        share, if its connection broke while it may have run.
    had_output
        Whether a part of its answer had arrived by then.
    """

    number: int
    zone: str
    service: str
    model: str
    target: str
    epoch: int
    outcome: int
    service_s: float = 0.0
    first_s: float = 0.0
    fingerprint: str = ""
    parts: tuple[str, ...] = ()
    had_output: bool = False


class TargetRate(MeshMessage, tag=41):
    """Tells the owner of a slot which limit of requests a second its target states.

    Attributes
    ----------
    number
        Number of the slot.
    per_s
        Requests a second from all entry hosts; negative if it states none any more.
    """

    since_version: ClassVar[int] = 2

    number: int
    zone: str
    service: str
    model: str
    target: str
    per_s: float


class StallCheck(MeshMessage, tag=34):
    """Asks the owner whether a silent stream may be resumed on another target.

    Attributes
    ----------
    stalled_after_s
        Time without progress after which the target counts as stalled.
    for_other_zone
        Whether the owner of another zone asks; it decides itself, and is told the age
        of the progress only.
    """

    number: int
    zone: str
    service: str
    model: str
    target: str
    stalled_after_s: float
    for_other_zone: bool = False


class StallReply(MeshMessage, tag=35):
    """Answers :class:`StallCheck`.

    Attributes
    ----------
    progress_age_s
        Time since any entry host saw progress of the target.
    may_retry
        Whether the retry budget covers another attempt.
    """

    number: int
    progress_age_s: float
    may_retry: bool


class RetryLoanRequest(MeshMessage, tag=42):
    """Asks another owner of a service's slots for a part of its retry budget.

    Attributes
    ----------
    number
        Number of the request among those of the sender.
    zone, service, model
        Key whose owner is asked.
    wanted
        Number of retries.
    """

    since_version: ClassVar[int] = 3

    number: int
    zone: str
    service: str
    model: str
    wanted: int


class RetryLoan(MeshMessage, tag=43):
    """Answers :class:`RetryLoanRequest`.

    Attributes
    ----------
    lent
        Number of retries, which may be used for ``LOAN_TTL_S`` from the request on.
    """

    since_version: ClassVar[int] = 3

    number: int
    lent: int


class RetryHandover(MeshMessage, tag=44):
    """Hands the retry budget of a key over to its next owner.

    Attributes
    ----------
    earned
        Retries earned and not used.
    used_ages_s
        Ages of the retries paid from the slack, in seconds; negative for times to come.
    slack_after_s
        Time after which slack may be spent, in seconds.
    """

    since_version: ClassVar[int] = 3

    zone: str
    service: str
    model: str
    earned: float
    used_ages_s: tuple[float, ...]
    slack_after_s: float


class HeldSlotItem(MeshItem):
    """A slot that the sender holds.

    Attributes
    ----------
    progress_age_ms
        Time since the last progress of its stream; negative if there was none.
    tokens
        Tokens of the prompt and the expected answer; 0 if they are not told.
    """

    number: int
    service: str
    model: str
    target: str
    progress_age_ms: int
    tokens: int = 0


class KeySummaryItem(MeshItem):
    """Summary of a key that the sender owns."""

    zone: str
    service: str
    model: str
    slots: int
    in_flight: int
    free: int
    lowest_utilisation: float
    waiting: int
    unmet: float
    service_s: float
    requests: int
    retries: int
    withheld: int = 0


class SentItem(MeshItem):
    """Requests that the sender sent to a target with a limit of requests a second."""

    target: str
    per_s: float
    sent: int


class PlannedGroupsItem(MeshItem):
    """Groups of a model that the sender's planners are forming."""

    service: str
    model: str
    count: int


class FleetStatus(MeshMessage, tag=36):
    """Sent on every link a few times a second, and at once after some changes.

    Attributes
    ----------
    store_age_ms
        Time since the store last answered the sender itself; negative if it does not
        call the store.
    data_age_ms
        Age of what the sender knows of the store.
    weight_loads
        Number of loads of model weights in progress that the sender started.
    leaving
        Start times, in Unix milliseconds, of targets that said that they leave, by id.
    suspected
        Targets that make no progress, with the epochs of their groups.
    held
        Slots that the sender holds and whose owner the receiver is or may become.
    sent
        What the sender sent to targets with a limit of requests a second.
    is_ready
        Whether the sender knows the configuration and the targets.
    is_stopping
        Whether the sender stops, and owns nothing any more.
    follows
        Gateway whose store updates the sender follows; empty if it reads the store.
    planned_groups
        Groups that the sender's planners are forming.
    is_cut
        Whether the sender presumes its links to all targets lost.
    changes
        Versions of the last changes that the sender knows below the prefixes that it
        keeps; empty from a version that does not send them.
    path
        Gateways by which what the sender knows of the store comes, the one that it
        follows first; empty if it reads the store.
    reached_ms
        Targets without an entry that answered the sender's probes lately, with the age
        of the answers.
    """

    store_age_ms: int
    data_age_ms: int
    weight_loads: int
    leaving: dict[str, int]
    suspected: tuple[tuple[str, int], ...]
    summaries: tuple[KeySummaryItem, ...]
    held: tuple[HeldSlotItem, ...]
    is_ready: bool = False
    is_stopping: bool = False
    follows: str = ""
    planned_groups: tuple[PlannedGroupsItem, ...] = ()
    sent: tuple[SentItem, ...] = ()
    is_cut: bool = False
    changes: dict[str, int] = {}
    path: tuple[str, ...] = ()
    reached_ms: dict[str, int] = {}


class Subscription(MeshMessage, tag=37):
    """Asks the receiver to send store changes below prefixes, from these versions on.

    Repeated while it holds; it ends when it is not repeated.
    """

    positions: dict[str, int]


class StoredItem(MeshItem):
    """An entry of the store; its value may be compressed with zlib."""

    key: str
    version: int
    value: bytes
    is_compressed: bool = False


class RemovedItem(MeshItem):
    """A key that was deleted from the store at a version."""

    key: str
    version: int


class StoreUpdate(MeshMessage, tag=38):
    """Changes of the store's keys below a prefix.

    Attributes
    ----------
    after, version
        Versions between which the changes are complete.
    complete
        Whether the items are all that the store holds below the prefix.
    age_ms
        Age of what the sender knows of the store; negative from a version that does
        not send it.
    """

    prefix: str
    after: int
    version: int
    items: tuple[StoredItem, ...]
    removed: tuple[RemovedItem, ...]
    complete: bool
    age_ms: int = -1


class FleetNews(MeshMessage, tag=39):
    """A message for all gateways, passed on by each zone's reader.

    Attributes
    ----------
    is_passed_on
        Whether it came from another zone, and goes to the receiver's zone only.
    """

    data: bytes
    is_passed_on: bool = False


class CrashedAttemptItem(MeshItem):
    """A request that was in flight when an incarnation of a target crashed.

    Attributes
    ----------
    keys
        Keys of the parts of its prompt, in their order, and its fingerprint.
    sent_age_s, broken_age_s
        Time since it was sent, and since its connection broke.
    had_output
        Whether a part of its answer had arrived.
    """

    incarnation: str
    keys: tuple[str, ...]
    sent_age_s: float
    broken_age_s: float
    had_output: bool = False


class CrashNews(MeshMessage, tag=40):
    """Crashes of targets, and what is known of the requests in flight.

    Attributes
    ----------
    cleared
        Keys of which a request was served after such a crash, and the time since then
        in seconds.
    blocked
        Keys that the sender has begun to block.
    tried
        Blocked keys of which a request was sent to find out if they are sound, and the
        time since then in seconds.
    """

    items: tuple[CrashedAttemptItem, ...] = ()
    cleared: dict[str, float] = {}
    blocked: tuple[str, ...] = ()
    tried: dict[str, float] = {}


FLEET_MESSAGES = (
    SlotRequestMessage
    | SlotGrant
    | SlotRefusal
    | SlotRelease
    | TargetRate
    | StallCheck
    | StallReply
    | RetryLoanRequest
    | RetryLoan
    | RetryHandover
    | FleetStatus
    | Subscription
    | StoreUpdate
    | FleetNews
    | CrashNews
)
