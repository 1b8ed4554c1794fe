"""Messages between entry hosts.

They are msgspec structures rather than data classes because msgspec encodes them as
arrays without field names, here in CBOR. New fields are only appended, with a default,
so that peers of an older and a newer version can decode each other's messages.
"""

from __future__ import annotations

from typing import get_args

import msgspec

from .base import MeshMessage
from .fleet_messages import FLEET_MESSAGES

# Newest version of the messages. A new message raises it, a new field does not.
MESH_VERSION = 3
OLDEST_MESH_VERSION = 1


class Hello(MeshMessage, tag=1):
    """First message of the side that connects.

    Attributes
    ----------
    version, oldest
        Newest and oldest message version that the sender supports.
    nonce
        Random bytes that the receiver's proof must cover.
    """

    version: int
    oldest: int
    id: str
    incarnation: str
    zone: str
    nonce: bytes


class Challenge(MeshMessage, tag=2):
    """Answer to :class:`Hello`, with the acceptor's proof of the mesh key."""

    version: int
    id: str
    incarnation: str
    zone: str
    nonce: bytes
    proof: bytes


class Proof(MeshMessage, tag=3):
    """The connecting side's proof of the mesh key."""

    proof: bytes


class Refusal(MeshMessage, tag=4):
    """Refusal of a connection; ``code`` is the value of a result code."""

    code: int
    reason: str


class EvidenceSetState(msgspec.Struct, frozen=True, array_like=True):
    """States that an evidence set is still valid.

    Attributes
    ----------
    name
        Zone of the set's hosts; empty for the hosts that the sender observes.
    number
        Number of the set's last change.
    age_ms
        Age of the oldest observation in the set.
    """

    name: str
    number: int
    age_ms: int


class Heartbeat(MeshMessage, tag=5):
    """States that the sender is alive, and which versions of shared state it uses.

    Attributes
    ----------
    digest_hash
        Hash of the sender's digest of agreed documents.
    member_list_version
        Version of its own zone's member list that the sender uses.
    revision
        Configuration revision that the sender uses.
    stopping
        Whether the sender is stopping and refuses new requests.
    sent_ms
        The sender's monotonic clock at sending; the receiver detects delays from it.
    evidence_sets
        State of the evidence sets that are still valid.
    """

    digest_hash: int
    member_list_version: int
    revision: int
    stopping: bool = False
    sent_ms: int = 0
    evidence_sets: tuple[EvidenceSetState, ...] = ()


class Digest(MeshMessage, tag=6):
    """Versions of the sender's agreed documents; requests newer ones."""

    versions: dict[str, int]


class DocumentItem(msgspec.Struct, frozen=True, array_like=True):
    """One agreed document."""

    key: str
    version: int
    value: bytes


class Documents(MeshMessage, tag=7):
    """Agreed documents that the receiver may not have."""

    items: tuple[DocumentItem, ...]


class EvidenceItem(msgspec.Struct, frozen=True, array_like=True):
    """One observation of a host.

    Attributes
    ----------
    age_ms
        Age of the observation when the message was sent.
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


class Evidence(MeshMessage, tag=8):
    """Changed evidence about hosts, sent immediately.

    Attributes
    ----------
    sent_ms
        The sender's monotonic clock at sending; the receiver detects delays from it.
    """

    sent_ms: int
    items: tuple[EvidenceItem, ...]


class SuspectItem(msgspec.Struct, frozen=True, array_like=True):
    """Crashes during which requests with a fingerprint were in flight.

    Attributes
    ----------
    left_ms
        Time until the record expires.
    """

    fingerprint: str
    crashes: tuple[str, ...]
    left_ms: int


class Suspects(MeshMessage, tag=9):
    """Requests that were in flight when a target crashed."""

    items: tuple[SuspectItem, ...]


class EvidenceSet(MeshMessage, tag=10):
    """A complete evidence set, sent on request."""

    name: str
    number: int
    sent_ms: int
    items: tuple[EvidenceItem, ...]


class EvidenceSetRequest(MeshMessage, tag=11):
    """Requests a complete evidence set."""

    name: str


class ProbeRequest(MeshMessage, tag=16):
    """Asks the receiver whether it can reach a target."""

    target: str
    address: str


class ProbeResult(MeshMessage, tag=17):
    """States whether the sender can reach a target."""

    target: str
    reachable: bool


class TargetUpdate(MeshMessage, tag=18):
    """A target's own report, relayed while the store is unavailable.

    Attributes
    ----------
    version
        Version of the target's store entry that the report is newer than.
    state
        State of the group membership; empty if there is none.
    """

    target: str
    version: int
    model: str
    staged: tuple[str, ...]
    group: str = ""
    epoch: int = 0
    rank: int = 0
    state: str = ""


class PlanningHandover(MeshMessage, tag=19):
    """Hands the planning of a zone over to a peer while the store is unavailable.

    Attributes
    ----------
    owner
        Process whose name is in the zone's key.
    fence
        Fencing token: the version of that key.
    counter
        Number of epochs used so far under that token.
    lease
        Lease to which the key is bound.
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
    | EvidenceSetRequest
    | ProbeRequest
    | ProbeResult
    | TargetUpdate
    | PlanningHandover
    | FLEET_MESSAGES
)


def list_tags() -> frozenset[int]:
    """Return the numbers of all kinds of messages."""
    return frozenset(kind.__struct_config__.tag for kind in get_args(Message))
