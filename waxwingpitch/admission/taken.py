"""How much of the capacity is taken before a late request gets any.

The load it is for: a steady load below the capacity, on which bursts of some seconds
come, and a lasting overload. What a late request gets is what newcomers that can be on
time, and higher priorities, leave over.
"""

from __future__ import annotations

from collections import Counter, deque

# Time over which grants are counted: longer than a burst, so that a burst does not look
# like the load that follows it, and as long as most callers wait.
WINDOW_S = 10.0
# Time for which grants are counted together.
BUCKET_S = 0.5


class _Bucket:
    def __init__(self, start: float):
        self.start = start
        self.all: Counter[int] = Counter()
        self.not_left_over: Counter[int] = Counter()


class TakenCapacity:
    """Grants of the last seconds, by priority.

    A new owner knows of none and expects none, so that it accepts more late requests
    than can be served; those are refused once that is known.

    Examples
    --------
    >>> taken = TakenCapacity()
    >>> taken.record(1, is_left_over=False, now=0.0)
    >>> taken.record(1, is_left_over=True, now=0.0)
    >>> taken.find_per_s(1, now=1.0), taken.find_per_s(2, now=1.0)
    (0.1, 0.2)
    """

    def __init__(self):
        self._buckets: deque[_Bucket] = deque()

    def record(self, priority: int, *, is_left_over: bool, now: float) -> None:
        """Record a grant.

        Parameters
        ----------
        is_left_over
            Whether a late request got what no request on time waited for.
        """
        if not self._buckets or now - self._buckets[-1].start >= BUCKET_S:
            self._buckets.append(_Bucket(now))
        self._buckets[-1].all[priority] += 1
        if not is_left_over:
            self._buckets[-1].not_left_over[priority] += 1

    def find_per_s(self, priority: int, now: float) -> float:
        """Return the grants a second that go before late requests of a priority."""
        while self._buckets and now - self._buckets[0].start > WINDOW_S:
            self._buckets.popleft()
        grants = 0
        for bucket in self._buckets:
            grants += bucket.not_left_over[priority]
            grants += sum(n for level, n in bucket.all.items() if level < priority)
        return grants / WINDOW_S
