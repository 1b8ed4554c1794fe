"""Input of the routing policies."""

from __future__ import annotations

from dataclasses import dataclass

from ..targets import Target


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target with capacity for one more request.

    Attributes
    ----------
    outstanding
        Requests in progress at the target from this entry host.
    utilisation
        Estimated load as a share of the limit on its load.
    """

    target: Target
    outstanding: int
    utilisation: float


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Data of a request that routing policies use.

    Attributes
    ----------
    blocks
        Chained hashes of the prompt's blocks, starting with the shortest prefix.
    """

    blocks: tuple[str, ...] = ()
