"""How long a request waits for the first configuration that a process learns.

The load it is for: all hosts start at the same time while callers go on, so that each
gets requests some tenths of a second before it knows a configuration.
"""

from __future__ import annotations

from .forecast import MAX_WAIT_SHARE

# Time after the start of a process for which its first configuration is waited for.
START_S = 2.0


def find_wait_s(now: float, *, started_at: float, time_left_s: float) -> float:
    """Return how long a request waits for the first configuration, in seconds.

    Parameters
    ----------
    now, started_at
        Monotonic times of the request's arrival and of the process's start.
    time_left_s
        Time that the caller waits for the answer; as for a slot, a share of it is left
        for the request itself.
    """
    return max(0.0, min(time_left_s * MAX_WAIT_SHARE, started_at + START_S - now))
