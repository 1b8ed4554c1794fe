"""Estimate of which targets have which prompt prefixes cached.

Cache events arrive late and with gaps. The index therefore also records the prompts
that this entry host sent, and evicts the least recently used blocks.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence

import xxhash

BLOCK_CHARS = 64
MAX_BLOCKS_PER_TARGET = 8192
MAX_BLOCKS_PER_PROMPT = 128


def iter_prefix_blocks(prompt: str) -> Iterator[str]:
    """Yield the chained hashes of the full blocks of a prompt, up to a limit."""
    state = xxhash.xxh64()
    prompt_end = min(len(prompt), BLOCK_CHARS * MAX_BLOCKS_PER_PROMPT)
    for end in range(BLOCK_CHARS, prompt_end + 1, BLOCK_CHARS):
        state.update(prompt[end - BLOCK_CHARS : end].encode())
        yield state.hexdigest()


class PrefixIndex:
    """Prompt blocks that each target probably has cached."""

    def __init__(self):
        self._cached: dict[str, OrderedDict[str, None]] = {}

    def record_sent(self, target: str, blocks: Iterable[str]) -> None:
        """Record the blocks of a prompt that was sent to a target."""
        cached = self._cached.setdefault(target, OrderedDict())
        for block in blocks:
            cached[block] = None
            cached.move_to_end(block)
        while len(cached) > MAX_BLOCKS_PER_TARGET:
            cached.popitem(last=False)

    def record_evicted(self, target: str, block: str) -> None:
        """Record that a target evicted a block."""
        self._cached.get(target, OrderedDict()).pop(block, None)

    def forget_target(self, target: str) -> None:
        """Remove the blocks of a target that was removed or restarted."""
        self._cached.pop(target, None)

    def count_matching(self, target: str, blocks: Sequence[str]) -> int:
        """Return the number of leading blocks that a target probably has cached."""
        cached = self._cached.get(target)
        if not cached:
            return 0
        count = 0
        for block in blocks:
            if block not in cached:
                break
            count += 1
        return count
