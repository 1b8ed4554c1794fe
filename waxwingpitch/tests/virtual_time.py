"""Time that passes at once, for greenlets that wait in it."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

import gevent
from gevent.event import Event

# Turns of the event loop in which greenlets go on until they wait.
SETTLE_TURNS = 3


class VirtualTime:
    """Clock in place of the module ``time``; it moves in :meth:`run_until`."""

    def __init__(self):
        self.now = 100.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._waiting: set[gevent.Greenlet] = set()

    def monotonic(self) -> float:
        return self.now

    time = monotonic

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (when, next(self._numbers), action))

    def wait(self, seconds: float) -> None:
        """Let a greenlet wait."""
        event = Event()
        self.at(self.now + seconds, event.set)
        self._waiting.add(gevent.getcurrent())
        try:
            event.wait()
        finally:
            self._waiting.discard(gevent.getcurrent())

    def run_until(self, end: float) -> None:
        self._settle()
        while self._due and self._due[0][0] <= end:
            self.now, _, action = heapq.heappop(self._due)
            action()
            self._settle()
        self.now = end

    def stop(self) -> None:
        """End the greenlets that wait."""
        for greenlet in self._waiting:
            greenlet.kill(block=False)

    def _settle(self) -> None:
        for _ in range(SETTLE_TURNS):
            gevent.sleep(0)
