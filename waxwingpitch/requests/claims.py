"""Claims of non-idempotent requests, stored as agreed documents.

A document contains the claims of one hash shard whose keys were issued in one time
bucket. It is changed by compare-and-swap, so that two entry hosts can't both win a
claim, even if their views of the cluster differ.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

import msgspec
import xxhash

from ..errors import StoreAnswerLostError
from .keys import IdempotencyKey

CLAIM_BUCKET_S = 10
CLAIM_SHARDS = 16
MAX_STORED_ANSWER_BYTES = 1024
CLAIM_PREFIX = "claims/"


class ClaimState(enum.StrEnum):
    """State of a claimed request.

    ``REFUSED`` marks a key that was too old to run when it was first claimed.
    """

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Stored answer of a request that ran.

    Attributes
    ----------
    whole
        False if the body was too large to store.
    """

    status: int
    content_type: str
    body: bytes
    whole: bool = True


@dataclass(frozen=True, slots=True)
class Claim:
    """One claimed request.

    Attributes
    ----------
    key
        Workspace and idempotency key.
    id
        Unique id of this claim, by which its owner recognises it if the store's
        answer to the write was lost.
    owner, incarnation
        Process that may run the request.
    fingerprint
        Hash of the request, to detect a key that is reused for another request.
    """

    key: str
    id: str
    owner: str
    incarnation: str
    fingerprint: str
    state: ClaimState = ClaimState.CLAIMED
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimDocument:
    """The claims of one shard and time bucket.

    Attributes
    ----------
    lease
        Lease that the document is attached to; it expires after the retention period.
    """

    lease: str = ""
    claims: dict[str, Claim] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TryClaim:
    """Requests a claim."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class FinishClaim:
    """Records the outcome of a claim that its owner won."""

    key: str
    id: str
    state: ClaimState
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class AbandonClaim:
    """Records that a claim of unknown outcome will never be run by its owner.

    It is written even if the claim is not in the document, so that a delayed
    write of the claim can no longer take effect.
    """

    claim: Claim


Operation = TryClaim | FinishClaim | AbandonClaim


def locate_document(key: IdempotencyKey, scoped: str) -> str:
    """Return the key of a claim's document in the key-value service.

    Parameters
    ----------
    scoped
        Workspace and idempotency key.
    """
    bucket = int(key.issued_at) // CLAIM_BUCKET_S
    shard = xxhash.xxh64_intdigest(scoped.encode()) % CLAIM_SHARDS
    return f"{CLAIM_PREFIX}{bucket}/{shard}"


def apply_operations(
    doc: ClaimDocument, operations: Iterable[Operation]
) -> ClaimDocument:
    """Return the document after applying operations, each of which is idempotent.

    A claim is won if its id is in the returned document.
    """
    claims = dict(doc.claims)
    for operation in operations:
        match operation:
            case TryClaim(claim=claim):
                existing = claims.get(claim.key)
                if existing is None or _may_be_reclaimed(existing, claim):
                    claims[claim.key] = claim
            case FinishClaim(key=key, id=claim_id, state=state, answer=answer):
                existing = claims.get(key)
                if existing is not None and existing.id == claim_id:
                    claims[key] = replace(existing, state=state, answer=answer)
            case AbandonClaim(claim=claim):
                existing = claims.get(claim.key)
                if existing is None or existing.id == claim.id:
                    claims[claim.key] = replace(claim, state=ClaimState.NOT_RUN)
    return doc if claims == doc.claims else replace(doc, claims=claims)


def _may_be_reclaimed(existing: Claim, claim: Claim) -> bool:
    return (
        existing.state is ClaimState.NOT_RUN
        and existing.id != claim.id
        and existing.fingerprint == claim.fingerprint
    )


def collect_results(
    doc: ClaimDocument, operations: Sequence[Operation]
) -> tuple[Claim | None, ...]:
    """Return the claim that the document contains for each operation's key."""
    return tuple(doc.claims.get(_key_of(item)) for item in operations)


def _key_of(operation: Operation) -> str:
    match operation:
        case FinishClaim(key=key):
            return key
        case TryClaim(claim=claim) | AbandonClaim(claim=claim):
            return claim.key


def build_stored_answer(status: int, content_type: str, body: bytes) -> StoredAnswer:
    """Return the part of an answer that is stored."""
    if len(body) > MAX_STORED_ANSWER_BYTES:
        return StoredAnswer(status, content_type, b"", whole=False)
    return StoredAnswer(status, content_type, body)


def encode_claims(doc: ClaimDocument) -> bytes:
    """Encode a document for the key-value service."""
    return msgspec.json.encode(doc)


def decode_claims(value: bytes) -> ClaimDocument:
    """Decode what :func:`encode_claims` returned."""
    try:
        return msgspec.json.decode(value, type=ClaimDocument)
    except msgspec.MsgspecError as exc:
        raise StoreAnswerLostError(f"stored claims are malformed: {exc}") from exc
