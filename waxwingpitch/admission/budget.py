"""Retry budget: retries stay a set share of first tries."""

from __future__ import annotations

RETRY_RATIO = 0.1
MAX_SAVED = 20.0


class RetryBudget:
    """Earns a part of a retry with each first try and spends one per retry.

    Parameters
    ----------
    ratio
        Part of a retry that a first try earns.
    saved
        Retries that may be spent at the start.
    most
        Most retries that are saved.

    Examples
    --------
    >>> budget = RetryBudget(saved=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(
        self,
        *,
        ratio: float = RETRY_RATIO,
        saved: float = MAX_SAVED,
        most: float = MAX_SAVED,
    ):
        self._ratio = ratio
        self._saved = saved
        self._most = most

    def earn(self) -> None:
        """Note a first try."""
        self._saved = min(self._most, self._saved + self._ratio)

    @property
    def has_some(self) -> bool:
        """Whether a retry would be allowed now."""
        return self._saved >= 1.0

    def spend(self) -> bool:
        """Return whether a retry is allowed, and count it."""
        if not self.has_some:
            return False
        self._saved -= 1.0
        return True
