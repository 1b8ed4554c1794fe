"""Orders that change a target's membership in a replica group."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Join:
    """Become a member of a group; the first of the members is its head."""

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Open:
    """The head starts to accept requests."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Close:
    """The head accepts no more requests.

    Attributes
    ----------
    preempt
        Whether requests in flight are aborted.
    """

    group: str
    epoch: int
    preempt: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """The member leaves its group at once."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Stage:
    """Load a model's weights onto the host, alongside all other work."""

    model: str


Order = Join | Open | Close | Leave | Stage
