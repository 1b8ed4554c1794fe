"""Adaptive limit on the requests in flight at one warm target."""

from __future__ import annotations

DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_S = 0.5
MIN_WINDOW = 1.0


class ConcurrencyWindow:
    """Window with additive increase and multiplicative decrease (AIMD).

    Load reports lag, so the window decreases at most once per interval.

    Parameters
    ----------
    limit
        Load that the target should not exceed, summed over all entry hosts.
    start
        Initial window.
    """

    def __init__(self, limit: int, start: int):
        self._limit = limit
        self._size = float(max(MIN_WINDOW, min(start, limit)))
        self._decrease_after = 0.0

    @property
    def size(self) -> int:
        """Most requests in flight from this entry host."""
        return int(self._size)

    def adapt_to_load(self, load: int, now: float) -> None:
        """Adapt the window to a load that the target reported."""
        if load <= self._limit:
            self._size = min(self._limit, self._size + 1.0 / self._size)
        elif now >= self._decrease_after:
            self._size = max(MIN_WINDOW, self._size * DECREASE_FACTOR)
            self._decrease_after = now + DECREASE_INTERVAL_S
