"""Base classes of tasks: greenlets that own their state and run in the background."""

from __future__ import annotations

import logging
from typing import Generic, TypeVar

import gevent
from gevent.event import Event
from gevent.queue import Empty, Queue

MessageT = TypeVar("MessageT")

logger = logging.getLogger(__name__)


class Task(Generic[MessageT]):
    """A greenlet with an inbox.

    Subclasses handle one message at a time in :meth:`handle`; an exception raised
    there is logged and the task continues with the next message.
    """

    def __init__(self):
        self._inbox: Queue[MessageT] = Queue()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start handling messages."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the task at once."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def post(self, message: MessageT) -> None:
        """Put a message into the inbox."""
        self._inbox.put(message)

    def handle(self, message: MessageT) -> None:
        """Handle one message."""
        raise NotImplementedError

    def idle_s(self) -> float | None:
        """Return the idle time until :meth:`on_idle` is called; None for never."""
        return None

    def on_idle(self) -> None:
        """Called after :meth:`idle_s` without a message; does nothing by default."""

    def _run(self) -> None:
        while True:
            try:
                message = self._inbox.get(timeout=self.idle_s())
            except Empty:
                self._call_safely(self.on_idle)
            else:
                self._call_safely(self.handle, message)

    def _call_safely(self, action, *args) -> None:
        try:
            action(*args)
        except Exception:
            logger.exception("task failed", extra={"task": type(self).__name__})


class PeriodicTask:
    """A greenlet that calls :meth:`tick`, then pauses for a fixed interval.

    An exception raised in :meth:`tick` is logged and the task continues.
    """

    interval_s = 1.0

    def __init__(self):
        self._greenlet: gevent.Greenlet | None = None
        self._woken = Event()

    def start(self) -> None:
        """Start the periodic calls."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the task at once."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def wake(self) -> None:
        """Call :meth:`tick` as soon as the current call, if any, has returned."""
        self._woken.set()

    def tick(self) -> None:
        """Run one cycle of the task's work."""
        raise NotImplementedError

    def _run(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                logger.exception("task failed", extra={"task": type(self).__name__})
            self._woken.wait(self.interval_s)
            self._woken.clear()
