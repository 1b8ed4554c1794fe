"""One generation of the engine stand-in."""

from __future__ import annotations

import time

from gevent.event import Event

from ..ports import GenerateRequest


class Stream:
    """One generation in progress."""

    def __init__(self, req: GenerateRequest, length: int, prefill_steps: int):
        self.req = req
        self.length = length
        self.prefill_steps = prefill_steps
        self.cached_tokens = 0
        self.produced = req.offset
        self.grown = Event()
        self.failed = False
        self.cancelled = False
        self.readers = 0
        self.orphaned_at = time.monotonic()

    @property
    def done(self) -> bool:
        """Whether all tokens are produced."""
        return self.produced >= self.length

    def advance(self) -> None:
        """Take one decoding step."""
        if self.prefill_steps > 0:
            self.prefill_steps -= 1
            return
        self.produced += 1
        self.notify()

    def notify(self) -> None:
        """Wake whoever reads the stream."""
        self.grown.set()
        self.grown = Event()
