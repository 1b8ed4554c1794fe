"""Choice of a replica for one request, by load and zone."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# Difference in load, as a share of a replica's slots, above which a replica in another
# zone is preferred to one in the entry host's zone.
ZONE_PREFERENCE = 0.15


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """A replica that accepts requests, and its load.

    Attributes
    ----------
    id
        Id of the target that accepts the requests.
    outstanding
        Requests in flight from all entry hosts, as far as known.
    capacity
        Requests that it can run at the same time.
    delay
        Recent latency relative to the usual one; 1 is normal.
    """

    id: str
    zone: str
    outstanding: int
    capacity: int
    delay: float = 1.0


def choose_replica(
    replicas: Iterable[ReplicaLoad], *, zone: str, tie_break: float = 0.0
) -> ReplicaLoad | None:
    """Return the replica with the lowest weighted load, or None if all are full.

    Parameters
    ----------
    zone
        Zone of the entry host; its replicas are preferred.
    tie_break
        Random number in [0, 1) that selects among equally loaded replicas.
    """
    available = sorted(
        (item for item in replicas if item.outstanding < item.capacity),
        key=lambda item: item.id,
    )
    if not available:
        return None
    start = int(tie_break * len(available))
    rotated = available[start:] + available[:start]
    return min(rotated, key=lambda item: _cost(item, zone))


def _cost(item: ReplicaLoad, zone: str) -> float:
    utilisation = (item.outstanding + 1) / item.capacity
    return utilisation * item.delay + (0.0 if item.zone == zone else ZONE_PREFERENCE)
