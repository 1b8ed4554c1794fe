"""Estimate of which targets hold which prompt prefixes.

Cache events come late and with gaps, so the index also counts the prompts that
this entry host sent, and forgets blocks by age.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence

import xxhash

BLOCK_CHARS = 64
MAX_BLOCKS_PER_TARGET = 8192
MAX_BLOCKS_PER_PROMPT = 128


def iter_prefix_blocks(prompt: str) -> Iterator[str]:
    """Yield the chained hash of each full block of a prompt, up to a limit."""
    state = xxhash.xxh64()
    end_of_all = min(len(prompt), BLOCK_CHARS * MAX_BLOCKS_PER_PROMPT)
    for end in range(BLOCK_CHARS, end_of_all + 1, BLOCK_CHARS):
        state.update(prompt[end - BLOCK_CHARS : end].encode())
        yield state.hexdigest()


class PrefixIndex:
    """Blocks that each target probably holds."""

    def __init__(self):
        self._held: dict[str, OrderedDict[str, None]] = {}

    def note_sent(self, target: str, blocks: Iterable[str]) -> None:
        """Count the blocks of a prompt that was sent to a target."""
        held = self._held.setdefault(target, OrderedDict())
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
        while len(held) > MAX_BLOCKS_PER_TARGET:
            held.popitem(last=False)

    def note_evicted(self, target: str, block: str) -> None:
        """Take in the news that a target evicted a block."""
        self._held.get(target, OrderedDict()).pop(block, None)

    def forget_target(self, target: str) -> None:
        """Forget a target that is gone or started again."""
        self._held.pop(target, None)

    def matched(self, target: str, blocks: Sequence[str]) -> int:
        """Return how many leading blocks a target probably holds."""
        held = self._held.get(target)
        if not held:
            return 0
        count = 0
        for block in blocks:
            if block not in held:
                break
            count += 1
        return count
