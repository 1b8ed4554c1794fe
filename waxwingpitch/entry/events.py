"""Events that the coordination task handles."""

from __future__ import annotations

from dataclasses import dataclass

from ..agreed import Document
from ..mesh import LinkDown, LinkUp, Received
from ..ports import HostSnapshot, TargetReport
from ..targets import Health


@dataclass(frozen=True, slots=True)
class DocumentsUpdated:
    """Agreed documents read from the key-value service or written to it."""

    docs: tuple[Document, ...]


@dataclass(frozen=True, slots=True)
class HostListUpdated:
    """A newer host list."""

    snapshot: HostSnapshot


@dataclass(frozen=True, slots=True)
class HealthObserved:
    """Health of a host as observed by this process; ``report`` is None on failure."""

    host: str
    health: Health
    at: float
    report: TargetReport | None = None


@dataclass(frozen=True, slots=True)
class CrashObserved:
    """A target crashed while a request was in flight at it.

    Attributes
    ----------
    fingerprint
        Fingerprint of the request.
    incarnation
        Incarnation of the target that crashed.
    """

    fingerprint: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This process admits no new requests and finishes those in progress."""


Event = (
    DocumentsUpdated
    | HostListUpdated
    | HealthObserved
    | CrashObserved
    | DrainStarted
    | Received
    | LinkUp
    | LinkDown
)
