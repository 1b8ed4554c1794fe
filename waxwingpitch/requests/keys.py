"""Idempotency keys: a UUIDv7 from the caller, or a key bound to an entry host.

Only the process that issued a bound key may run its request, so that no claim in the
key-value service is needed.
"""

from __future__ import annotations

import enum
import hmac
import uuid
from dataclasses import dataclass

import uuid6

from ..errors import RequestError, ResultCode

# Age up to which a new request may use a key.
KEY_ACCEPTANCE_S = 600.0
# Age up to which the outcome of a request is stored under its key.
KEY_RETENTION_S = 1800.0
# Clock skew that is tolerated for keys issued in the future.
FUTURE_SKEW_S = 5.0
BOUND_PREFIX = "wk1"
MAX_KEY_CHARS = 200
_TAG_CHARS = 32


class KeyAge(enum.StrEnum):
    """Age class of a key, which decides how it may be used.

    A request may run only with an accepted key. For a replay-only key, only a stored
    outcome is returned. Past the retention period no outcome is stored, so it is
    unknown whether a request ran.
    """

    FUTURE = "future"
    ACCEPTED = "accepted"
    REPLAY_ONLY = "kept"
    PAST_RETENTION = "forgotten"


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A parsed key.

    Attributes
    ----------
    text
        The key as the caller sent it.
    issued_at
        Time of issue in seconds since 1970.
    owner, incarnation, tag
        Entry host that issued a bound key, its incarnation, and the truncated HMAC
        that authenticates the key; empty for a key from the caller.
    """

    text: str
    issued_at: float
    owner: str = ""
    incarnation: str = ""
    tag: str = ""

    @property
    def is_bound(self) -> bool:
        """Whether only the process that issued the key may run the request."""
        return bool(self.owner)

    def age(self, wall: float) -> KeyAge:
        """Classify the key by its age.

        Examples
        --------
        >>> IdempotencyKey("k", issued_at=1000.0).age(1001.0)
        <KeyAge.ACCEPTED: 'accepted'>
        """
        if self.issued_at > wall + FUTURE_SKEW_S:
            return KeyAge.FUTURE
        if wall - self.issued_at <= KEY_ACCEPTANCE_S:
            return KeyAge.ACCEPTED
        if wall - self.issued_at <= KEY_RETENTION_S:
            return KeyAge.REPLAY_ONLY
        return KeyAge.PAST_RETENTION


def parse_key(text: str) -> IdempotencyKey:
    """Parse an ``Idempotency-Key`` header.

    Raises
    ------
    RequestError
        The text is neither a UUIDv7 nor a bound key.
    """
    if len(text) <= MAX_KEY_CHARS:
        prefix, *parts = text.split(".")
        if prefix == BOUND_PREFIX and len(parts) == 4:
            owner, incarnation, value, tag = parts
            return IdempotencyKey(text, _issued_at(value), owner, incarnation, tag)
    return IdempotencyKey(text, _issued_at(text))


def issue_bound_key(owner: str, incarnation: str, secret: bytes) -> str:
    """Issue a key whose request only this process may run.

    Parameters
    ----------
    secret
        Secret random bytes of this process, with which the key is signed.
    """
    value = str(uuid6.uuid7())
    tag = _sign(owner, incarnation, value, secret)
    return ".".join((BOUND_PREFIX, owner, incarnation, value, tag))


def is_genuine(key: IdempotencyKey, secret: bytes) -> bool:
    """Return whether this process issued a bound key."""
    value = key.text.split(".")[3]
    expected = _sign(key.owner, key.incarnation, value, secret)
    return hmac.compare_digest(expected, key.tag)


def _sign(owner: str, incarnation: str, value: str, secret: bytes) -> str:
    text = f"{owner}.{incarnation}.{value}".encode()
    return hmac.new(secret, text, "sha256").hexdigest()[:_TAG_CHARS]


def _issued_at(text: str) -> float:
    try:
        value = uuid.UUID(text)
    except ValueError:
        value = None
    if value is None or value.version != 7:
        raise RequestError(
            ResultCode.IDEMPOTENCY_KEY_MALFORMED,
            f"Idempotency-Key {text[:60]!r}: valid: a UUIDv7 or a key of POST /v1/keys",
        )
    return (value.int >> 80) / 1000.0
