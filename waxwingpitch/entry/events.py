"""Events that the coordination task takes."""

from __future__ import annotations

from dataclasses import dataclass

from ..agreed import Document
from ..mesh import LinkDown, LinkUp, Received
from ..ports import HostSnapshot, TargetReport
from ..targets import Health


@dataclass(frozen=True, slots=True)
class DocumentsSeen:
    """Documents read from the key-value service."""

    docs: tuple[Document, ...]


@dataclass(frozen=True, slots=True)
class HostsSeen:
    """A newer list of hosts."""

    snapshot: HostSnapshot


@dataclass(frozen=True, slots=True)
class HealthObserved:
    """An observation of this process's own; ``report`` is None on failure."""

    host: str
    health: Health
    at: float
    report: TargetReport | None = None


@dataclass(frozen=True, slots=True)
class CrashSeen:
    """A request was in flight when a target crashed."""

    fingerprint: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This process takes no new work any more."""


Event = (
    DocumentsSeen
    | HostsSeen
    | HealthObserved
    | CrashSeen
    | DrainStarted
    | Received
    | LinkUp
    | LinkDown
)
