"""Limit on the bytes of targets' answers that a process holds at the same time.

The load it is for: many faulty targets that send at once and without end, beside usual
answers, which are kept also when the limit is reached.
"""

from __future__ import annotations

# Bytes that each answer may hold without asking; the limit holds for what is beyond.
FREE_BYTES = 64 * 1024
# Step in which an answer takes more, so that few of its reads ask.
STEP_BYTES = 64 * 1024


class AnswerMemory:
    """Memory that all answers share.

    Parameters
    ----------
    limit_bytes
        Largest sum of what answers hold beyond ``FREE_BYTES`` each.

    Attributes
    ----------
    held_bytes
        What they hold now.

    Examples
    --------
    >>> memory = AnswerMemory(STEP_BYTES)
    >>> with memory.open() as first, memory.open() as second:
    ...     first.grow(FREE_BYTES + 1), second.grow(FREE_BYTES), second.grow(2**20)
    (True, True, False)
    >>> memory.held_bytes
    0
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def open(self) -> AnswerHold:
        """Return the memory of one request's answers, to be used in a with block."""
        return AnswerHold(self)


class AnswerHold:
    """Memory that the answers to one request hold until the block ends."""

    def __init__(self, memory: AnswerMemory):
        self._memory = memory
        self._held_bytes = 0

    def __enter__(self) -> AnswerHold:
        return self

    def __exit__(self, *exc_info) -> None:
        self._memory.held_bytes -= self._held_bytes
        self._held_bytes = 0

    def grow(self, size: int) -> bool:
        """Hold memory for so many bytes at least; return False if none is left."""
        missing = size - FREE_BYTES - self._held_bytes
        if missing <= 0:
            return True
        added = -(-missing // STEP_BYTES) * STEP_BYTES
        memory = self._memory
        if memory.held_bytes + added > memory.limit_bytes:
            return False
        memory.held_bytes += added
        self._held_bytes += added
        return True
