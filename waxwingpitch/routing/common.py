"""What routing policies work from."""

from __future__ import annotations

from dataclasses import dataclass

from ..targets import Target


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target with room for one more request.

    Attributes
    ----------
    outstanding
        Requests in progress at the target from this entry host.
    pressure
        Estimated load as a share of what the target bears.
    """

    target: Target
    outstanding: int
    pressure: float


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """What is known of a request.

    Attributes
    ----------
    blocks
        Chained hashes of the prompt's blocks, the shortest prefix first.
    """

    blocks: tuple[str, ...] = ()
