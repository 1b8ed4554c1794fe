"""Retry budget: retries stay a set share of first tries."""

from __future__ import annotations

RETRY_RATIO = 0.1
MAX_BALANCE = 20.0


class RetryBudget:
    """Earns a part of a retry with each first try and spends one per retry.

    Parameters
    ----------
    ratio
        Part of a retry that a first try earns.
    balance
        Retries that may be spent at the start.
    max_balance
        Most retries that are saved.

    Examples
    --------
    >>> budget = RetryBudget(balance=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(
        self,
        *,
        ratio: float = RETRY_RATIO,
        balance: float = MAX_BALANCE,
        max_balance: float = MAX_BALANCE,
    ):
        self._ratio = ratio
        self._balance = balance
        self._max_balance = max_balance

    def earn(self) -> None:
        """Note a first try."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    @property
    def has_balance(self) -> bool:
        """Whether a retry would be allowed now."""
        return self._balance >= 1.0

    def spend(self) -> bool:
        """Return whether a retry is allowed, and count it."""
        if not self.has_balance:
            return False
        self._balance -= 1.0
        return True
