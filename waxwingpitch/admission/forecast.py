"""Decides whether a request waits for a slot or is refused at once.

Handles load above the capacity of the replicas. A request that is not expected to get
a slot early enough is refused as not run, with a retry time, instead of being queued
until its caller times out.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Share of the time to its deadline that a request may wait where no service time is
# known; the rest is left for running it.
MAX_WAIT_SHARE = 0.35
# Largest share of the time to its latency objective that is left for the first event.
MAX_FIRST_EVENT_SHARE = 0.7
# Service time below which none is taken for exact.
MIN_SERVICE_S = 0.001
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

    @property
    def served_per_s(self) -> float:
        """Requests that are served in a second."""
        return self.slots / max(self.service_s, MIN_SERVICE_S)


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


def find_latest_start(now: float, deadline: float, service_s: float | None) -> float:
    """Return the monotonic time by which a request has to start to be answered in time.

    Parameters
    ----------
    service_s
        Time that it needs, with its spread; None if none was measured yet.
    """
    if service_s is None:
        return now + (deadline - now) * MAX_WAIT_SHARE
    return max(now, deadline - service_s)


def find_latest_on_time_start(now: float, due_at: float, first_event_s: float) -> float:
    """Return the time by which a request has to start to meet its latency objective.

    A spread that is longer than the objective leaves must not make every request late
    from the start, as they would then be served in the order of their arrival.

    Parameters
    ----------
    first_event_s
        Time to the first event of the answer, with its spread.
    """
    if math.isinf(due_at):
        return due_at
    return due_at - min(first_event_s, max(0.0, due_at - now) * MAX_FIRST_EVENT_SHARE)


def decide_admission(
    pressure: Pressure,
    *,
    now: float,
    deadline: float,
    latest_start_at: float | None = None,
    taken_per_s: float = 0.0,
    resume_deadline: float | None = None,
) -> Wait | Refuse:
    """Decide whether a request that finds no free slot waits or is refused.

    Parameters
    ----------
    latest_start_at
        Monotonic time by which it has to start to end before its deadline; None if no
        service time is known.
    taken_per_s
        Requests a second that will come and be served before it.
    resume_deadline
        Monotonic time until which the caller waits for a partly run request to
        continue; None if it has not run yet. A partly run request is never refused,
        because the work done so far would be lost.
    """
    left_s = deadline - now
    if resume_deadline is not None:
        return Wait(max(now, resume_deadline))
    if latest_start_at is None:
        latest_start_at = find_latest_start(now, deadline, None)
    if pressure.slots == 0:
        until_s = REPLICA_REPLACEMENT_S
        if pressure.pause_s is not None:
            until_s = min(until_s, pressure.pause_s)
        if now + until_s > latest_start_at or pressure.pause_s is None:
            return Refuse(limit_retry_after(until_s, left_s))
        return Wait(latest_start_at)
    expected_s = forecast_wait_s(pressure, taken_per_s)
    if now + expected_s > latest_start_at:
        return Refuse(limit_retry_after(expected_s, left_s))
    return Wait(latest_start_at)


def forecast_wait_s(pressure: Pressure, taken_per_s: float = 0.0) -> float:
    """Return the time until a request gets a slot, in seconds; infinite if never."""
    left_per_s = pressure.served_per_s - taken_per_s
    return (pressure.waiting + 1) / left_per_s if left_per_s > 0 else math.inf


def limit_retry_after(retry_after_s: float, left_s: float) -> float:
    """Limit a retry time to what callers honour: a third of the time they have left.

    It is rounded down to the hundredths that callers are told, so that it does not
    exceed the third.
    """
    max_s = min(MAX_RETRY_AFTER_S, left_s / 3)
    limited_s = math.floor(min(retry_after_s, max_s) * 100) / 100
    return max(MIN_RETRY_AFTER_S, limited_s)
