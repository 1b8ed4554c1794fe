"""Retry budget: limits retries to a set share of first attempts."""

from __future__ import annotations

# Retries that each first attempt adds to the balance.
RETRY_RATIO = 0.1
# Most retries that can be spent in one burst.
MAX_BALANCE = 20.0


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Parameters
    ----------
    ratio
        Retries that each first attempt adds to the balance.
    balance
        Retries that are available at the start.
    max_balance
        Upper limit of the balance.

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
        """Add the share of a retry that a first attempt earns."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    @property
    def has_balance(self) -> bool:
        """Whether the balance allows a retry now."""
        return self._balance >= 1.0

    def spend(self) -> bool:
        """Take one retry from the balance; return False if it is too low."""
        if not self.has_balance:
            return False
        self._balance -= 1.0
        return True
