"""What the retries that an owner has decided on were paid from."""

from __future__ import annotations

from .budget import RetryPermit, SharedRetryBudget

# Retries of which it is remembered what they were paid from.
MAX_PERMITS = 4096


class RetryPermits:
    """Permits of the retries that wait, or hold a slot, by client and number."""

    def __init__(self, budget: SharedRetryBudget):
        self._budget = budget
        self._permits: dict[tuple[str, int], RetryPermit] = {}

    def reserve(self, client: str, number: int, now: float) -> bool:
        """Reserve a permit for a retry; return False if the budget is spent."""
        permit = self._budget.reserve(now)
        if permit is None:
            return False
        self._permits[client, number] = permit
        if len(self._permits) > MAX_PERMITS:
            self.settle(*next(iter(self._permits)), now)
        return True

    def use(self, client: str, number: int, now: float) -> bool:
        """Count a retry whose slot is granted; False if the budget does not cover it.

        Another permit replaces one that has become void while the request waited.
        """
        permit = self._permits.get((client, number))
        if permit is None or self._budget.use(permit, now):
            return True
        permit = self._budget.reserve(now)
        if permit is None or not self._budget.use(permit, now):
            del self._permits[client, number]
            return False
        self._permits[client, number] = permit
        return True

    def settle(self, client: str, number: int, now: float) -> None:
        """Count a retry of which it is not known whether it was sent."""
        permit = self._permits.pop((client, number), None)
        if permit is not None:
            self._budget.use(permit, now)

    def settle_client(self, client: str, now: float) -> None:
        """Count the retries of a client that is gone."""
        for _, number in [key for key in self._permits if key[0] == client]:
            self.settle(client, number, now)

    def forget(self, client: str, number: int) -> None:
        """Forget a retry that was used."""
        self._permits.pop((client, number), None)

    def cancel(self, client: str, number: int) -> None:
        """Give the permit of a retry that was not sent back to the budget."""
        permit = self._permits.pop((client, number), None)
        if permit is not None:
            self._budget.cancel(permit)
