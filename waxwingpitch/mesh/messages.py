"""Messages between entry hosts.

They are msgspec structures rather than data classes because those are written
as CBOR arrays without field names. Fields are only ever appended, with a
default, so that an older peer understands a newer one and the other way round.
"""

from __future__ import annotations

import msgspec

MESH_VERSION = 1
OLDEST_MESH_VERSION = 1


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


class Hello(_Message, tag=1):
    """First message of the side that connects.

    Attributes
    ----------
    version, oldest
        Newest and oldest message version that the sender understands.
    nonce
        Random bytes for the other side's proof.
    """

    version: int
    oldest: int
    id: str
    incarnation: str
    zone: str
    nonce: bytes


class Challenge(_Message, tag=2):
    """Answer to :class:`Hello`, with the acceptor's proof of the mesh key."""

    version: int
    id: str
    incarnation: str
    zone: str
    nonce: bytes
    proof: bytes


class Proof(_Message, tag=3):
    """The connecting side's proof of the mesh key."""

    proof: bytes


class Refusal(_Message, tag=4):
    """A refused connection; ``code`` is a result code."""

    code: int
    reason: str


class SetState(msgspec.Struct, frozen=True, array_like=True):
    """Says that an evidence set still holds.

    Attributes
    ----------
    name
        Zone of the set's hosts; empty for the hosts that the sender observes.
    number
        Number of the set's last change.
    age_ms
        Age of the oldest observation in it.
    """

    name: str
    number: int
    age_ms: int


class Heartbeat(_Message, tag=5):
    """Says that the sender is alive and what it acts on.

    Attributes
    ----------
    digest_hash
        Hash of the sender's digest of agreed documents.
    member_list_version
        Version of its own zone's member list that the sender acts on.
    revision
        Configuration revision that the sender acts on.
    stopping
        Whether the sender refuses new work.
    sent_ms
        The sender's monotonic clock, by which the receiver notices delay.
    evidence_sets
        Evidence sets that still hold.
    """

    digest_hash: int
    member_list_version: int
    revision: int
    stopping: bool = False
    sent_ms: int = 0
    evidence_sets: tuple[SetState, ...] = ()


class Digest(_Message, tag=6):
    """Known version of each agreed document; asks for those that are newer."""

    versions: dict[str, int]


class DocumentItem(msgspec.Struct, frozen=True, array_like=True):
    """One agreed document."""

    key: str
    version: int
    value: bytes


class Documents(_Message, tag=7):
    """Agreed documents that the receiver may lack."""

    items: tuple[DocumentItem, ...]


class EvidenceItem(msgspec.Struct, frozen=True, array_like=True):
    """What an observer learnt about one host.

    Attributes
    ----------
    age_ms
        Time since the observation began, when the message was sent.
    health
        Value of :class:`~waxwingpitch.targets.Health`.
    flags
        Bits of the report: 1 warm, 2 leaving, 4 ready.
    """

    host: str
    age_ms: int
    health: int
    incarnation: str
    flags: int
    load: int
    group: str
    epoch: int
    loaded: str = ""


class Evidence(_Message, tag=8):
    """News about hosts, sent at once.

    Attributes
    ----------
    sent_ms
        The sender's monotonic clock, by which the receiver notices delay.
    """

    sent_ms: int
    items: tuple[EvidenceItem, ...]


class SuspectItem(msgspec.Struct, frozen=True, array_like=True):
    """Crashes that a request's fingerprint was in flight at.

    Attributes
    ----------
    left_ms
        Time for which the record still counts.
    """

    fingerprint: str
    crashes: tuple[str, ...]
    left_ms: int


class Suspects(_Message, tag=9):
    """Requests that were in flight when a target crashed."""

    items: tuple[SuspectItem, ...]


class EvidenceSet(_Message, tag=10):
    """A whole evidence set, on request."""

    name: str
    number: int
    sent_ms: int
    items: tuple[EvidenceItem, ...]


class SetRequest(_Message, tag=11):
    """Asks for a whole evidence set."""

    name: str


class GatewayStatus(_Message, tag=12):
    """Requests in progress from the sender, and how fresh its knowledge is.

    Attributes
    ----------
    in_flight
        Requests in progress by target.
    store_age_ms
        Time since the store last answered the sender.
    progress_age_ms
        Time since the sender last saw something move, by target, if that is recent.
    weight_loads
        Loads of weights under way that the sender began.
    """

    in_flight: dict[str, int]
    store_age_ms: int
    progress_age_ms: dict[str, int] = {}
    weight_loads: int = 0


class StalledTarget(_Message, tag=13):
    """Says that nothing moves at a target.

    Attributes
    ----------
    epoch
        Epoch of the group that it heads.
    """

    target: str
    epoch: int


class StoreChangesRequest(_Message, tag=14):
    """Asks for the store's keys that changed after a version."""

    after: int


class DeletedItem(msgspec.Struct, frozen=True, array_like=True):
    """A key of the store that is gone since a version."""

    key: str
    version: int


class StoreChanges(_Message, tag=15):
    """Keys of the store, in answer to :class:`StoreChangesRequest`."""

    version: int
    items: tuple[DocumentItem, ...]
    deleted: tuple[DeletedItem, ...]


class ProbeRequest(_Message, tag=16):
    """Asks whether a target answers the receiver."""

    target: str
    address: str


class ProbeResult(_Message, tag=17):
    """Says whether a target answers the sender."""

    target: str
    reachable: bool


class TargetUpdate(_Message, tag=18):
    """A target's own report, while the store is silent.

    Attributes
    ----------
    version
        Version of the target's entry that the report is newer than.
    state
        State of the membership; empty if there is none.
    """

    target: str
    version: int
    model: str
    staged: tuple[str, ...]
    group: str = ""
    epoch: int = 0
    rank: int = 0
    state: str = ""


class PlanningHandover(_Message, tag=19):
    """Hands a zone's planning over, while the store is silent.

    Attributes
    ----------
    owner
        Process whose name the zone's key holds.
    fence
        Version of that key.
    counter
        Epochs that were used under it.
    lease
        Lease that the key hangs on.
    """

    zone: str
    owner: str
    fence: int
    counter: int
    lease: str


Message = (
    Hello
    | Challenge
    | Proof
    | Refusal
    | Heartbeat
    | Digest
    | Documents
    | Evidence
    | Suspects
    | EvidenceSet
    | SetRequest
    | GatewayStatus
    | StalledTarget
    | StoreChangesRequest
    | StoreChanges
    | ProbeRequest
    | ProbeResult
    | TargetUpdate
    | PlanningHandover
)
