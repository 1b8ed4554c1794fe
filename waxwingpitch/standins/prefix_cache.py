"""Prompt prefix cache of the engine stand-in."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator

import xxhash

from ..ports import CacheEvent

BLOCK_CHARS = 64
MAX_EVENTS = 1024
# Every 17th event is left out, because callers must cope with missing events.
DROPPED_EVENT_INTERVAL = 17


class PrefixCache:
    """Least-recently-used cache of prompt blocks, keyed by the hash of their prefix.

    Parameters
    ----------
    max_blocks
        Number of blocks that the cache holds.
    """

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._stored: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def lookup(self, prompt: str) -> float:
        """Return the cached share of a prompt's blocks and insert the others."""
        blocks = list(iter_blocks(prompt))
        hits = 0
        for block in blocks:
            if block not in self._stored:
                break
            hits += 1
        for block in blocks:
            self._touch(block)
        return hits / len(blocks) if blocks else 0.0

    def events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the events after a sequence number; some are left out on purpose."""
        return tuple(
            event
            for event in self._events
            if event.sequence > after and event.sequence % DROPPED_EVENT_INTERVAL
        )

    def clear(self) -> None:
        """Remove all blocks."""
        self._stored.clear()

    def _touch(self, block: str) -> None:
        if block in self._stored:
            self._stored.move_to_end(block)
            return
        self._stored[block] = None
        self._publish(block, True)
        if len(self._stored) > self._max_blocks:
            evicted, _ = self._stored.popitem(last=False)
            self._publish(evicted, False)

    def _publish(self, block: str, stored: bool) -> None:
        self._sequence += 1
        self._events.append(CacheEvent(self._sequence, block, stored))


def iter_blocks(prompt: str) -> Iterator[str]:
    """Yield, for each full block of a prompt, the hash of the prompt to its end."""
    state = xxhash.xxh64()
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        state.update(prompt[end - BLOCK_CHARS : end].encode())
        yield state.hexdigest()
