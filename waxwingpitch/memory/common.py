"""Kinds of memory that callers' connections hold, its bounds, and rejections for it."""

from __future__ import annotations

import enum
from dataclasses import dataclass

# What an open connection takes before it sends anything: greenlet, parser and socket.
CONNECTION_BYTES = 24 * 1024
# Overhead of a header field, beside the bytes of its line: a pair, two byte strings and
# two references.
FIELD_BYTES = 200
# Overhead of a request.
REQUEST_BYTES = 1024


class HoldKind(enum.Enum):
    """What a caller's connection holds memory for.

    Attributes
    ----------
    CONNECTION
        The connection itself, also while it lingers after its last answer.
    HEAD, BODY, TRAILERS
        Parts of a request that is not complete.
    WAITING
        Complete requests that wait behind another one on their connection.
    SERVED
        The request that is being served; its body is kept for a further attempt.
    """

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    TRAILERS = "trailers"
    WAITING = "waiting"
    SERVED = "served"


# Kinds that may be taken from a connection, as nothing of them was sent to a target.
EVICTABLE = (HoldKind.HEAD, HoldKind.BODY, HoldKind.TRAILERS, HoldKind.WAITING)


class RejectionReason(enum.Enum):
    """Why a caller's request or connection is rejected.

    Attributes
    ----------
    MEMORY
        The memory for callers is full.
    STALLED
        The memory or the connections are full, and the request does not arrive.
    CONNECTIONS
        As many connections are open as the descriptors allow.
    TIMEOUT, HEAD_SIZE, BODY_SIZE, MALFORMED
        The request itself exceeds a limit of the configuration, or violates HTTP.
    """

    MEMORY = "memory"
    STALLED = "stalled"
    CONNECTIONS = "connections"
    TIMEOUT = "timeout"
    HEAD_SIZE = "head size"
    BODY_SIZE = "body size"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Rejection:
    """The decision that a request that has not run is rejected.

    Attributes
    ----------
    status
        HTTP status, which says that the request did not run.
    retry_after_s
        Time after which the caller may try again; None if that is not known.
    held_bytes
        What the connection held, itself included.
    """

    status: int
    reason: RejectionReason
    retry_after_s: float | None
    held_bytes: int


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """What all callers of a process may hold together.

    Attributes
    ----------
    memory_bytes
        Bytes of all holds.
    connections
        Open connections.
    """

    memory_bytes: int = 64 * 1024 * 1024
    connections: int = 2048
