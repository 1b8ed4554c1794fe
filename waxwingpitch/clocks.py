"""Clock for permissions that run out, such as leases."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return the seconds since boot, including those in which the host was suspended.

    The monotonic clock stands still while a host is suspended, so that a lease that
    has expired meanwhile would still look valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
