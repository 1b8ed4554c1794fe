"""Deterministic answers of the engine stand-in.

The token at an index depends only on the prompt and the index, so that a test
can detect a truncated answer or one that mixes tokens of several prompts.
"""

from __future__ import annotations

import xxhash

_WORDS = (
    "shule somo hesabu mfano jibu swali kitabu mwalimu darasa ukurasa "
    "loan title author return county library trend summary table total"
).split()
MIN_DEFAULT_TOKENS = 8
DEFAULT_TOKENS_RANGE = 25


def answer_token(prompt: str, index: int) -> str:
    """Return the token at an index of a prompt's answer."""
    digest = xxhash.xxh64_intdigest(f"{index}:{prompt}".encode())
    return f"{_WORDS[digest % len(_WORDS)]}{digest % 97} "


def default_length(prompt: str) -> int:
    """Return the length of a prompt's answer when no limit is given, in tokens."""
    digest = xxhash.xxh64_intdigest(prompt.encode())
    return MIN_DEFAULT_TOKENS + digest % DEFAULT_TOKENS_RANGE


def full_answer(prompt: str, max_tokens: int = 0) -> str:
    """Return the full answer to a prompt; 0 tokens mean the default length."""
    length = max_tokens or default_length(prompt)
    return "".join(answer_token(prompt, i) for i in range(length))


def count_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt."""
    return len(prompt.split())
