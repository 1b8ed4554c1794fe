"""Pauses that targets asked this entry host for when they refused a request."""

from __future__ import annotations

from collections.abc import Iterable


class PauseBook:
    """Time until which each target wants no requests from this entry host.

    Examples
    --------
    >>> pauses = PauseBook()
    >>> pauses.pause("t", until=5.0)
    >>> pauses.is_paused("t", now=4.0), pauses.is_paused("t", now=5.0)
    (True, False)
    """

    def __init__(self):
        self._until: dict[str, float] = {}

    def pause(self, target: str, *, until: float) -> None:
        """Send nothing to a target until a monotonic time."""
        self._until[target] = max(until, self._until.get(target, 0.0))

    def is_paused(self, target: str, now: float) -> bool:
        """Return whether a target still wants no requests."""
        until = self._until.get(target)
        if until is None:
            return False
        if until <= now:
            del self._until[target]
            return False
        return True

    def list_paused(self, now: float) -> list[str]:
        """Return the targets that still want no requests."""
        return [target for target in list(self._until) if self.is_paused(target, now)]

    def find_first_end(self, targets: Iterable[str], now: float) -> float | None:
        """Return the monotonic time at which the first of these pauses ends."""
        return min(
            (self._until[target] for target in targets if self.is_paused(target, now)),
            default=None,
        )

    def forget(self, target: str) -> None:
        """Forget a target's pause, as it restarted or is gone."""
        self._until.pop(target, None)
