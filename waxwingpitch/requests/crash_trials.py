"""When a request with a blocked key is sent all the same, to find out if it is sound.

A blocked key gets no requests, so that nothing would ever show that it is sound.
"""

from __future__ import annotations

import math

from .culprits import Culprit

# Time after a crash, or a trial, until the next trial, in which its outcome is known.
MIN_PAUSE_S = 1.0
# The same for a key of a single request, which few others would profit from.
MIN_PAUSE_FINGERPRINT_S = 10.0
# Pause after a trial, as a multiple of the time since the first crash: if it had no
# outcome, and if its target crashed, after which the next one will tell nothing new.
PAUSE_FACTOR = 2.0
PAUSE_FACTOR_CRASHED = 60.0


class TrialBook:
    """Trials of blocked keys, of this gateway and those that others tell.

    A request that lacks a rival of its blocked key tells the two apart: one of them is
    cleared if it is served, and the other one is if its target crashes.
    """

    def __init__(self):
        self._tried_at: dict[str, float] = {}

    def may_try(self, culprit: Culprit, keys: tuple[str, ...], now: float) -> bool:
        """Return whether a request with a blocked key may be sent as a trial.

        Parameters
        ----------
        keys
            All keys of the request.
        """
        tried_at = self._tried_at.get(culprit.key, -math.inf)
        last_at = max(culprit.last_crash_at, tried_at)
        pause_s = MIN_PAUSE_FINGERPRINT_S if culprit.is_fingerprint else MIN_PAUSE_S
        if tried_at > -math.inf and culprit.rivals.issubset(keys):
            has_crashed = culprit.last_crash_at > tried_at
            factor = PAUSE_FACTOR_CRASHED if has_crashed else PAUSE_FACTOR
            pause_s = max(pause_s, factor * (last_at - culprit.first_crash_at))
        return now >= last_at + pause_s

    def record(self, key: str, at: float) -> None:
        """Record a trial that began at a monotonic time."""
        self._tried_at[key] = max(at, self._tried_at.get(key, at))

    def list_recorded(self) -> dict[str, float]:
        """Return the monotonic times of the last trials, by key."""
        return dict(self._tried_at)

    def expire(self, before: float) -> None:
        """Forget trials before a monotonic time."""
        for key, at in list(self._tried_at.items()):
            if at < before:
                del self._tried_at[key]
