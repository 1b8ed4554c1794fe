"""Speed of replicas, from the times that requests take there.

The load it is for: targets whose speed differs (factor 0.6), below the capacity. With
equal counts, a slow replica has the same requests in flight as a fast one, and each
takes longer there. The state is the owner's own; a new owner starts with equal speeds.
"""

from __future__ import annotations

from collections.abc import Collection

# Weight of the newest sample, and the samples before a replica's time is used.
NEWEST_SAMPLE_WEIGHT = 0.1
MIN_SAMPLES = 8
# Bounds of the factor, so that no replica is left without requests to be measured by.
MIN_DELAY, MAX_DELAY = 0.5, 2.0
# Steps of the factor. Smaller differences are within what the newest samples vary by,
# and would leave the other replicas without any request while the load is low.
DELAY_STEP = 0.25


class ReplicaSpeeds:
    """Service times of replicas, relative to the mean for requests of the same size.

    Examples
    --------
    >>> speeds = ReplicaSpeeds()
    >>> for _ in range(50):
    ...     speeds.record("slow", 1.5)
    >>> speeds.find("slow"), speeds.find("new")
    (1.5, 1.0)
    """

    def __init__(self):
        self._known: dict[str, tuple[float, int]] = {}

    def record(self, target: str, ratio: float) -> None:
        """Record a service time as a multiple of the usual one."""
        known, samples = self._known.get(target, (ratio, 0))
        known += NEWEST_SAMPLE_WEIGHT * (ratio - known)
        self._known[target] = (known, samples + 1)

    def find(self, target: str) -> float:
        """Return the factor by which requests take longer than usual at a replica."""
        known, samples = self._known.get(target, (1.0, 0))
        if samples < MIN_SAMPLES:
            return 1.0
        rounded = round(known / DELAY_STEP) * DELAY_STEP
        return max(MIN_DELAY, min(rounded, MAX_DELAY))

    def keep(self, targets: Collection[str]) -> None:
        """Forget all replicas but these."""
        self._known = {k: v for k, v in self._known.items() if k in targets}
