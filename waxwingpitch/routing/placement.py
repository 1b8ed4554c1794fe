"""Choice of a replica for one request, by the load that it has."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# Load that another zone must save before a request leaves its own, as a share of a
# replica's slots.
ZONE_PREFERENCE = 0.15


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """A replica that can take requests, and its load.

    Attributes
    ----------
    id
        Target that takes the requests.
    outstanding
        Requests in progress from all entry hosts, as far as known.
    capacity
        Requests that it runs at once.
    delay
        Recent delay against what is usual; 1 is normal.
    """

    id: str
    zone: str
    outstanding: int
    capacity: int
    delay: float = 1.0


def choose_replica(
    replicas: Iterable[ReplicaLoad], *, zone: str, tie: float = 0.0
) -> ReplicaLoad | None:
    """Return the replica that serves a request soonest, or None if all are full.

    Parameters
    ----------
    zone
        Zone of the entry host, which is preferred.
    tie
        Number in [0, 1) that spreads the choice among equals.
    """
    open_ones = sorted(
        (item for item in replicas if item.outstanding < item.capacity),
        key=lambda item: item.id,
    )
    if not open_ones:
        return None
    start = int(tie * len(open_ones))
    rotated = open_ones[start:] + open_ones[:start]
    return min(rotated, key=lambda item: _cost(item, zone))


def _cost(item: ReplicaLoad, zone: str) -> float:
    taken = (item.outstanding + 1) / item.capacity
    return taken * item.delay + (0.0 if item.zone == zone else ZONE_PREFERENCE)
