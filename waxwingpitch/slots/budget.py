"""Retry budget of one owner of slots: a share of the fleet's."""

from __future__ import annotations

# Share of the slack that can be spent at once.
BURST_SHARE = 2 / 3


class SharedRetryBudget:
    """Token bucket filled by first attempts and by time, emptied by retries.

    Parameters
    ----------
    ratio
        Retries that each first attempt adds.
    slack
        Retries that are allowed in a window besides; two thirds are available at once,
        the rest is added over the window.
    window_s
        Length of the window.

    Examples
    --------
    >>> budget = SharedRetryBudget(ratio=0.1, slack=3.0, window_s=10.0, now=0.0)
    >>> [budget.spend(0.0) for _ in range(3)]
    [True, True, False]
    >>> budget.spend(11.0)
    True
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float, now: float):
        self._ratio = ratio
        self._max_balance = slack * BURST_SHARE
        self._refill_per_s = slack * (1.0 - BURST_SHARE) / window_s
        self._balance = self._max_balance
        self._refilled_at = now

    def earn(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self._balance = min(
            self._balance + self._ratio, max(self._max_balance, self._balance)
        )

    def spend(self, now: float) -> bool:
        """Take one retry; return False if none is left."""
        self._refill(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _refill(self, now: float) -> None:
        added = (now - self._refilled_at) * self._refill_per_s
        self._refilled_at = now
        self._balance = min(self._max_balance, self._balance + added)
