"""Input of the routing policies and of the choice of a zone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

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


class ZoneReport(Protocol):
    """What the choice of a zone uses of the report of a zone's owner of slots.

    Attributes
    ----------
    slots, in_flight, free
        Slots of all usable replicas, those in use and those that are free.
    lowest_utilisation
        Utilisation of the least loaded replica after one more request.
    waiting
        Requests in the queue.
    service_s
        Mean service time.
    """

    slots: int
    in_flight: int
    free: int
    lowest_utilisation: float
    waiting: int
    service_s: float
