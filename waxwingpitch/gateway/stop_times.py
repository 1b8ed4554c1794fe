"""Times of a planned stop, and which requests still begin during one."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..configuration.routes import RouteKind
from ..errors import RequestError, ResultCode
from .routed import RequestContext

# Time until the load balancer has removed a process that is not ready: it does so after
# two readiness checks, one a second. In a short stop, the share of its time.
BALANCER_REMOVAL_S = 2.6
BALANCER_REMOVAL_SHARE = 1 / 3
# What follows the drain is left this time, or this share of the stop if it is less.
STOP_MARGIN_S = 0.8
STOP_MARGIN_SHARE = 0.1
# Share of that time which is left at least, if the signal was heard late.
LEAST_MARGIN_SHARE = 1 / 3
# Share of a stop from which begun streams may be broken off, by the operators' bounds.
BREAK_OFF_SHARE = 5 / 6
# Time before the end of the drain by which requests whose answer has not begun are
# answered.
ANSWER_MARGIN_S = 0.3
# Time after the signal for which streams begin: the operators' bound for those that a
# stop may break off at its end is 3 s after the signal, for the time of sending.
STREAMS_BEGIN_S = 2.8
# Time before the end of the drain from which a stream stays at a silent target. A sound
# target may be silent for over a second, and then reads the prompt; if no target works
# on a stream when the drain ends, the stop has cut it.
STREAM_MOVE_MARGIN_S = 2.0
# Time that a call needs, in multiples of its route's latency objective.
CALL_OBJECTIVES = 2.0
# Retry-After of requests that were refused because this process stops; others answer.
STOPPING_RETRY_AFTER_S = 0.05


class StopTimeUpError(RequestError):
    """The stop leaves no time for a request whose answer has not begun."""

    def __init__(self):
        super().__init__(
            ResultCode.STOPPING,
            "the gateway stops",
            retry_after_s=STOPPING_RETRY_AFTER_S,
        )


@dataclass(frozen=True, slots=True)
class StopTimes:
    """Times of a planned stop, on the monotonic clock.

    Attributes
    ----------
    signalled_at
        Earliest time at which the signal may have come.
    accepts_until
        Time until which connections are accepted.
    streams_until
        Time until which streams begin.
    moves_until
        Time until which streams leave silent targets for others.
    answers_by
        Time by which requests whose answer has not begun get their final answer.
    drained_by
        Time at which begun streams are broken off.
    """

    signalled_at: float
    accepts_until: float
    streams_until: float
    moves_until: float
    answers_by: float
    drained_by: float


def plan_stop(
    signalled_at: float, stop_s: float, *, heard_at: float | None = None
) -> StopTimes:
    """Return the times of a stop.

    What must not begin or be waited for too late counts from the earliest time at which
    the signal may have come, and the drain of begun streams from the latest. If that
    may end after the kill, they are broken off before it, as early as is allowed.

    Parameters
    ----------
    signalled_at
        Earliest monotonic time at which the signal may have come.
    stop_s
        Time between the signal and a kill, in seconds.
    heard_at
        Monotonic time at which the process took note of it; by default at once.
    """
    heard_at = signalled_at if heard_at is None else heard_at
    margin_s = min(STOP_MARGIN_S, stop_s * STOP_MARGIN_SHARE)
    drain_s = stop_s - margin_s
    killed_from = signalled_at + stop_s - margin_s * LEAST_MARGIN_SHARE
    answers_by = max(signalled_at, signalled_at + drain_s - ANSWER_MARGIN_S)
    removal_s = min(BALANCER_REMOVAL_S, stop_s * BALANCER_REMOVAL_SHARE)
    return StopTimes(
        signalled_at=signalled_at,
        accepts_until=heard_at + removal_s,
        streams_until=min(answers_by, signalled_at + STREAMS_BEGIN_S),
        moves_until=max(signalled_at, signalled_at + drain_s - STREAM_MOVE_MARGIN_S),
        answers_by=answers_by,
        drained_by=max(
            min(heard_at + drain_s, killed_from), heard_at + stop_s * BREAK_OFF_SHARE
        ),
    )


def may_begin(
    times: StopTimes, arrived_at: float, kind: RouteKind, latency_objective_s: float
) -> bool:
    """Return whether a request that arrives during a stop can end before its end."""
    if kind is RouteKind.STREAM:
        return arrived_at <= times.streams_until
    return arrived_at + CALL_OBJECTIVES * latency_objective_s <= times.answers_by


def limit_to_stop(ctx: RequestContext, times: StopTimes) -> RequestContext:
    """Return a request that arrived during a stop, with a deadline that ends within it.

    Begun streams may go on until the drain ends.

    Raises
    ------
    StopTimeUpError
        It could not end before the process does.
    """
    route = ctx.route
    if not may_begin(times, ctx.arrived_at, route.kind, route.latency_objective_s):
        raise StopTimeUpError
    is_stream = route.kind is RouteKind.STREAM
    limit = times.drained_by if is_stream else times.answers_by
    return replace(ctx, deadline=min(ctx.deadline, limit))
