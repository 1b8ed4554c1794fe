"""Requests in flight at each target, from this entry host and its peers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

# Age after which a peer's counts are stale.
PEER_COUNTS_VALID_S = 1.5


class LoadBook:
    """Counts of requests in flight, by target.

    Attributes
    ----------
    has_seen_requests
        Whether any entry host has had a request in flight.
    """

    def __init__(self):
        self.has_seen_requests = False
        self._own: Counter[str] = Counter()
        self._peers: dict[str, tuple[float, Mapping[str, int]]] = {}

    def add(self, target: str) -> None:
        """Count a request that was sent to a target."""
        self.has_seen_requests = True
        self._own[target] += 1

    def remove(self, target: str) -> None:
        """Stop counting a request that has ended."""
        self._own[target] -= 1
        if self._own[target] <= 0:
            del self._own[target]

    def update_peer(self, peer: str, counts: Mapping[str, int], now: float) -> None:
        """Replace a peer's counts."""
        self._peers[peer] = (now, counts)
        self.has_seen_requests |= bool(counts)

    def get_own(self) -> dict[str, int]:
        """Return this entry host's counts."""
        return dict(self._own)

    def count_in_flight(self, target: str, now: float) -> int:
        """Return the number of requests in flight at a target, as far as known."""
        return self._own[target] + sum(
            counts.get(target, 0)
            for received_at, counts in self._peers.values()
            if now - received_at < PEER_COUNTS_VALID_S
        )
