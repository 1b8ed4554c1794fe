"""Adaptive limit on the requests in progress at one warm target."""

from __future__ import annotations

DECREASE = 0.7
DECREASE_INTERVAL_S = 0.5
MIN_WINDOW = 1.0


class ConcurrencyWindow:
    """Additive increase, multiplicative decrease by lagging load reports.

    Parameters
    ----------
    limit
        Load that the target should not exceed, over all entry hosts.
    start
        First window.
    """

    def __init__(self, limit: int, start: int):
        self._limit = limit
        self._size = float(max(MIN_WINDOW, min(start, limit)))
        self._decrease_after = 0.0

    @property
    def size(self) -> int:
        """Most requests in progress from this entry host."""
        return int(self._size)

    def note_load(self, load: int, now: float) -> None:
        """Adapt to the load that the target reported."""
        if load <= self._limit:
            self._size = min(self._limit, self._size + 1.0 / self._size)
        elif now >= self._decrease_after:
            self._size = max(MIN_WINDOW, self._size * DECREASE)
            self._decrease_after = now + DECREASE_INTERVAL_S
