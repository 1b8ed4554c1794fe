"""Orders that change a target's place in a replica group."""

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
    """The head starts to take requests."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Close:
    """The head takes no more requests.

    Attributes
    ----------
    preempt
        Whether requests in progress are cut off.
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
    """Load a model's weights onto the host, beside all other work."""

    model: str


Order = Join | Open | Close | Leave | Stage
