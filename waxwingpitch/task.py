"""Base of tasks: a greenlet that owns its state and takes messages."""

from __future__ import annotations

import logging
from typing import Generic, TypeVar

import gevent
from gevent.queue import Empty, Queue

M = TypeVar("M")

logger = logging.getLogger(__name__)


class Task(Generic[M]):
    """A greenlet with an inbox.

    Subclasses handle one message at a time in :meth:`handle`; an error there is
    logged and the task goes on.
    """

    def __init__(self):
        self._inbox: Queue[M] = Queue()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to take messages."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the task at once."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def post(self, message: M) -> None:
        """Give the task a message."""
        self._inbox.put(message)

    def handle(self, message: M) -> None:
        """Handle one message."""
        raise NotImplementedError

    def idle_s(self) -> float | None:
        """Return the time without messages after which to call :meth:`on_idle`."""
        return None

    def on_idle(self) -> None:
        """Act after a time without messages."""

    def _run(self) -> None:
        while True:
            try:
                message = self._inbox.get(timeout=self.idle_s())
            except Empty:
                self._guard(self.on_idle)
            else:
                self._guard(self.handle, message)

    def _guard(self, action, *args) -> None:
        try:
            action(*args)
        except Exception:
            logger.exception("task failed", extra={"task": type(self).__name__})


class PeriodicTask:
    """A greenlet that calls :meth:`tick` at a fixed interval."""

    interval_s = 1.0

    def __init__(self):
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to tick."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the task at once."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def tick(self) -> None:
        """Do the task's work once."""
        raise NotImplementedError

    def _run(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                logger.exception("task failed", extra={"task": type(self).__name__})
            gevent.sleep(self.interval_s)
