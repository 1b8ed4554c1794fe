"""Decides whether a request waits for a slot or is refused at once.

Answers load above what the replicas bear: a request that can't get a slot in good
time is refused as not run, with the time after which it would get one, instead of
being held until its caller gives up.
"""

from __future__ import annotations

from dataclasses import dataclass

# Part of the time left that a request may wait for a slot; the rest is for its run.
WAIT_SHARE = 0.35
# Shortest and longest time after which a refused caller is told to come back.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 3.0
# Time in which a lost replica is usually formed anew: noticing, closing, joining from
# the host and opening.
REFORM_S = 2.5


@dataclass(frozen=True, slots=True)
class Pressure:
    """Load of the replicas that could serve a request.

    Attributes
    ----------
    slots
        Requests that all of them run at once.
    waiting
        Requests that would be served before this one.
    service_s
        Usual time that a request takes, in seconds.
    """

    slots: int
    waiting: int
    service_s: float


@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits, at most until a monotonic deadline."""

    until: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused as not run.

    Attributes
    ----------
    retry_after_s
        Time after which it would probably be served, in seconds.
    """

    retry_after_s: float


def decide_admission(
    pressure: Pressure,
    *,
    now: float,
    deadline: float,
    begun_until: float | None = None,
) -> Wait | Refuse:
    """Decide what happens to a request that finds no free slot.

    Parameters
    ----------
    begun_until
        Monotonic time until which the caller waits for a request to go on that has
        run in part. It is never refused: what has run would be lost.
    """
    left_s = deadline - now
    if begun_until is not None:
        return Wait(max(now, begun_until))
    if pressure.slots == 0:
        return Refuse(limit_retry_after(REFORM_S, left_s))
    expected_s = (pressure.waiting + 1) * pressure.service_s / pressure.slots
    if expected_s > left_s * WAIT_SHARE:
        return Refuse(limit_retry_after(expected_s, left_s))
    return Wait(now + left_s * WAIT_SHARE)


def limit_retry_after(wanted_s: float, left_s: float) -> float:
    """Return a time that callers honour: at most a third of what they have left."""
    longest_s = min(MAX_RETRY_AFTER_S, left_s / 3)
    return max(MIN_RETRY_AFTER_S, min(wanted_s, longest_s))
