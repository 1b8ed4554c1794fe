"""Stand-in of the rate-limited weight store."""

from __future__ import annotations

import gevent

DEFAULT_LOADS = 4
DEFAULT_LOAD_S = 0.2


class WeightStoreStandIn:
    """Shares a limited rate between the hosts that load weights.

    Parameters
    ----------
    load_s
        Time that one load takes alone, in seconds.
    loads
        Loads that run at full speed at once; more wait in turn.
    """

    def __init__(self, load_s: float = DEFAULT_LOAD_S, loads: int = DEFAULT_LOADS):
        self._load_s = load_s
        self._slots = gevent.lock.BoundedSemaphore(loads)
        self.loaded = 0

    def load(self, model: str, version: str) -> None:
        """Load weights; blocks until they are in memory."""
        with self._slots:
            gevent.sleep(self._load_s)
        self.loaded += 1
