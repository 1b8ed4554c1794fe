"""Decides whether a request waits for a slot or is refused at once.

Handles load above the capacity of the replicas. A request that is not expected to get
a slot early enough is refused as not run, with a retry time, instead of being queued
until its caller times out.
"""

from __future__ import annotations

from dataclasses import dataclass

# Share of the time to its deadline that a request may wait for a slot; the rest is left
# for running it.
MAX_WAIT_SHARE = 0.35
# Bounds of the retry time in a refusal.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 3.0
# Usual time to replace a lost replica: detecting the loss, closing the old group,
# joining targets whose hosts have the weights staged to a new one and opening it.
REPLICA_REPLACEMENT_S = 2.5


@dataclass(frozen=True, slots=True)
class Pressure:
    """Load of all replicas that could serve a request.

    Attributes
    ----------
    slots
        Requests that they can run at the same time, summed over the replicas; less
        where they limit the requests a second.
    waiting
        Requests that are queued ahead of this one.
    service_s
        Typical service time of a request, in seconds.
    pause_s
        Time until the first replica that asked for a pause takes requests again, in
        seconds; None if there is none.
    """

    slots: float
    waiting: int
    service_s: float
    pause_s: float | None = None


@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits for a slot, at most until a monotonic deadline."""

    until: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused as not run.

    Attributes
    ----------
    retry_after_s
        Time after which a retry is expected to get a slot, in seconds.
    """

    retry_after_s: float


def decide_admission(
    pressure: Pressure,
    *,
    now: float,
    deadline: float,
    resume_deadline: float | None = None,
) -> Wait | Refuse:
    """Decide whether a request that finds no free slot waits or is refused.

    Parameters
    ----------
    resume_deadline
        Monotonic time until which the caller waits for a partly run request to
        continue; None if it has not run yet. A partly run request is never refused,
        because the work done so far would be lost.
    """
    left_s = deadline - now
    if resume_deadline is not None:
        return Wait(max(now, resume_deadline))
    if pressure.slots == 0:
        until_s = REPLICA_REPLACEMENT_S
        if pressure.pause_s is not None:
            until_s = min(until_s, pressure.pause_s)
        if until_s > left_s * MAX_WAIT_SHARE or pressure.pause_s is None:
            return Refuse(limit_retry_after(until_s, left_s))
        return Wait(now + left_s * MAX_WAIT_SHARE)
    expected_s = (pressure.waiting + 1) * pressure.service_s / pressure.slots
    if expected_s > left_s * MAX_WAIT_SHARE:
        return Refuse(limit_retry_after(expected_s, left_s))
    return Wait(now + left_s * MAX_WAIT_SHARE)


def limit_retry_after(retry_after_s: float, left_s: float) -> float:
    """Limit a retry time to what callers honour: a third of the time they have left."""
    max_s = min(MAX_RETRY_AFTER_S, left_s / 3)
    return max(MIN_RETRY_AFTER_S, min(retry_after_s, max_s))
