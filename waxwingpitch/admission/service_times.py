"""Service times by the size of requests, with their spread.

The load it is for: requests of different sizes at the same replicas, whose service
times differ several times over, so that the mean of all says too little about one.
"""

from __future__ import annotations

import math
from collections import OrderedDict

# Weight of the newest sample in an exponentially weighted moving average.
NEWEST_SAMPLE_WEIGHT = 0.05
# Standard deviations that are left for a request beyond the mean service time. Two
# cover all of an even spread and 97 of 100 of a normal one.
SPREAD_FACTOR = 2.0
# Samples of one size after which its own times are used instead of those of all.
MIN_SAMPLES = 8
# Sizes, in powers of two of the cost, of which times are kept.
MAX_SIZES = 32


class _Moments:
    def __init__(self):
        self.mean_s = self.variance = 0.0
        self.samples = 0

    def add(self, sample_s: float) -> None:
        self.samples += 1
        weight = max(NEWEST_SAMPLE_WEIGHT, 1 / self.samples)
        difference_s = sample_s - self.mean_s
        self.mean_s += weight * difference_s
        self.variance = (1 - weight) * (self.variance + weight * difference_s**2)

    def find_long_s(self) -> float:
        return self.mean_s + SPREAD_FACTOR * math.sqrt(self.variance)


class ServiceTimes:
    """Means and spreads of the times that requests of each size take.

    Examples
    --------
    >>> times = ServiceTimes()
    >>> times.find_long_s(10.0) is None
    True
    >>> for _ in range(8):
    ...     times.record(10.0, 0.2)
    >>> round(times.find_long_s(10.0), 3)
    0.2
    """

    def __init__(self):
        self._all = _Moments()
        self._by_size: OrderedDict[int, _Moments] = OrderedDict()

    def record(self, cost: float | None, sample_s: float) -> None:
        """Record the time of a request; its cost is None if it is not known."""
        self._all.add(sample_s)
        if cost is None:
            return
        size = _find_size(cost)
        self._by_size.setdefault(size, _Moments()).add(sample_s)
        self._by_size.move_to_end(size)
        if len(self._by_size) > MAX_SIZES:
            self._by_size.popitem(last=False)

    def find_mean_s(self, cost: float) -> float | None:
        """Return the mean time of requests of a cost; None if too few are known."""
        moments = self._by_size.get(_find_size(cost))
        if moments is None or moments.samples < MIN_SAMPLES:
            return None
        return moments.mean_s

    def find_long_s(self, cost: float) -> float | None:
        """Return a time that few requests of a cost exceed; None before any sample."""
        moments = self._by_size.get(_find_size(cost))
        if moments is None or moments.samples < MIN_SAMPLES:
            moments = self._all
        return moments.find_long_s() if moments.samples else None


def _find_size(cost: float) -> int:
    return round(math.log2(max(cost, 1.0)))
