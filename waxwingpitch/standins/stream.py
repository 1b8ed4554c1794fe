"""One generation of the engine stand-in."""

from __future__ import annotations

import time

from gevent.event import Event

from ..ports import GenerateRequest


class Stream:
    """A generation in progress.

    Attributes
    ----------
    length
        Number of tokens after which the answer ends.
    prefill_steps
        Number of prefill steps that remain.
    produced
        Number of tokens generated so far, including those delivered before.
    changed
        Set at each change, and then replaced by a new event.
    readers
        Number of connections that read the stream.
    orphaned_at
        Time at which it was created or a reader last left, whichever is later.
    """

    def __init__(self, req: GenerateRequest, length: int, prefill_steps: int):
        self.req = req
        self.length = length
        self.prefill_steps = prefill_steps
        self.cached_tokens = 0
        self.produced = req.offset
        self.changed = Event()
        self.failed = False
        self.cancelled = False
        self.readers = 0
        self.orphaned_at = time.monotonic()

    @property
    def done(self) -> bool:
        """Whether all tokens are generated."""
        return self.produced >= self.length

    def advance(self) -> None:
        """Run one prefill or decoding step."""
        if self.prefill_steps > 0:
            self.prefill_steps -= 1
            return
        self.produced += 1
        self.notify()

    def notify(self) -> None:
        """Wake the readers of the stream."""
        self.changed.set()
        self.changed = Event()
