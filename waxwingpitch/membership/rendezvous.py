"""Rendezvous hashing: each process computes the same ranking, without messages."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rank_by_rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates, the one with the highest score for the key first.

    Examples
    --------
    >>> rank_by_rendezvous("k", ["a", "b"]) == rank_by_rendezvous("k", ["b", "a"])
    True
    """
    return sorted(candidates, key=lambda name: _score(key, name), reverse=True)


def _score(key: str, name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name
