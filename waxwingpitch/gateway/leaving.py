"""Targets that said in an answer that they leave, before their entries say so."""

from __future__ import annotations

from collections.abc import Callable

# Times for which peers tell each other that a target leaves, and for which it counts as
# leaving if its entry does not say so.
NEWS_S = 5.0
RETENTION_S = 300.0


class LeavingBook:
    """Start times of the targets that said that they leave.

    A target that is started again under its id no longer leaves.

    Parameters
    ----------
    clock
        Returns the monotonic time.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._said: dict[str, tuple[int, float]] = {}

    def add(self, target: str, started_ms: int) -> bool:
        """Note that the target started then leaves; return whether that is new."""
        if self.includes(target, started_ms):
            return False
        self._said[target] = (started_ms, self._clock())
        return True

    def includes(self, target: str, started_ms: int) -> bool:
        """Return whether the target said that it leaves, since that start."""
        known = self._said.get(target)
        return known is not None and known[0] == started_ms

    def list_news(self) -> dict[str, int]:
        """Return the start times, in Unix milliseconds, of those that said so lately.

        Peers tell each other for a short time only, so that the news dies out.
        """
        now = self._clock()
        return {
            target: started_ms
            for target, (started_ms, since) in self._said.items()
            if now - since < NEWS_S
        }

    def expire(self) -> None:
        """Forget those that said so long ago."""
        now = self._clock()
        for target, (_, since) in list(self._said.items()):
            if now - since > RETENTION_S:
                del self._said[target]
