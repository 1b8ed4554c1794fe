"""Request rate of cold targets."""

from __future__ import annotations

from collections import defaultdict, deque

WINDOW_S = 1.0


class ColdRateLimit:
    """Requests that one owner has granted to cold targets within the last second.

    Parameters
    ----------
    per_s
        Requests a second that a cold target gets from this owner.

    Examples
    --------
    >>> limit = ColdRateLimit(1)
    >>> limit.record("t", 0.0)
    >>> limit.has_room("t", 0.5), limit.has_room("t", 1.1)
    (False, True)
    """

    def __init__(self, per_s: int):
        self.per_s = per_s
        self._granted: dict[str, deque[float]] = defaultdict(deque)

    def has_room(self, target: str, now: float) -> bool:
        """Return whether a cold target may get another request."""
        granted = self._granted[target]
        while granted and now - granted[0] > WINDOW_S:
            granted.popleft()
        return len(granted) < self.per_s

    def record(self, target: str, now: float) -> None:
        """Count a request granted to a cold target."""
        self._granted[target].append(now)

    def forget(self, target: str) -> None:
        """Forget a target that is warm or gone."""
        self._granted.pop(target, None)
