"""Retry budget of one owner of slots, which all owners of a model's slots share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

BUCKETS = 20
# Age at which another owner's counts no longer say what it has spent.
COUNTS_TTL_S = 10.0


@dataclass(frozen=True, slots=True)
class RetryCounts:
    """First attempts and retries within the window."""

    requests: int = 0
    retries: int = 0


class _Bucket:
    """Counts of a part of the window."""

    def __init__(self, start: float):
        self.start = start
        self.requests = 0
        self.retries = 0


class SharedRetryBudget:
    """Limits retries to a share of the requests of all owners, and some besides.

    Owners tell each other their counts. Between two reports of the others, each spends
    at most its part of what was left at the first, so that they stay within the whole.

    Parameters
    ----------
    ratio
        Retries allowed for each first attempt within the window.
    slack
        Retries that are allowed in a window besides.
    window_s
        Length of the window.
    owners
        Number of owners that share the budget.

    Examples
    --------
    >>> budget = SharedRetryBudget(ratio=0.1, slack=2.0, window_s=10.0, owners=1)
    >>> [budget.spend(0.0) for _ in range(3)]
    [True, True, False]
    >>> budget.spend(11.0)
    True
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float, owners: int):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._owners = max(1, owners)
        self._buckets: deque[_Bucket] = deque()
        self._others: dict[str, tuple[float, RetryCounts]] = {}
        self._quota: float | None = None

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._find_bucket(now).requests += 1

    def spend(self, now: float) -> bool:
        """Take one retry; return False if none is left."""
        if self._quota is None:
            self._quota = self._measure_quota(now)
        if self._owners == 1:
            self._quota = self._measure_left(now)
        if self._quota < 1.0 or self._measure_left(now) < 1.0:
            return False
        self._quota -= 1.0
        self._find_bucket(now).retries += 1
        return True

    def update(self, owner: str, counts: RetryCounts, now: float) -> None:
        """Take note of another owner's counts."""
        self._others[owner] = (now, counts)
        self._quota = self._measure_quota(now)

    def count(self, now: float) -> RetryCounts:
        """Return this owner's counts."""
        self._drop_old(now)
        return RetryCounts(
            sum(bucket.requests for bucket in self._buckets),
            sum(bucket.retries for bucket in self._buckets),
        )

    def _measure_quota(self, now: float) -> float:
        """Return the retries that this owner may spend until the next report."""
        left = self._measure_left(now)
        return min(left, max(1.0, left / self._owners))

    def _measure_left(self, now: float) -> float:
        own = self.count(now)
        others = [
            counts for at, counts in self._others.values() if now - at < COUNTS_TTL_S
        ]
        requests = own.requests + sum(item.requests for item in others)
        retries = own.retries + sum(item.retries for item in others)
        return self._ratio * requests + self._slack - retries

    def _find_bucket(self, now: float) -> _Bucket:
        self._drop_old(now)
        if (
            not self._buckets
            or now - self._buckets[-1].start > self._window_s / BUCKETS
        ):
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]

    def _drop_old(self, now: float) -> None:
        oldest = now - self._window_s * (1.0 + 1.0 / BUCKETS)
        while self._buckets and self._buckets[0].start < oldest:
            self._buckets.popleft()
