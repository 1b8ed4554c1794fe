"""What becomes of a request's sends, and whether another one may follow."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..configuration.routes import Route
from ..forwarding import Answer

# Most sends of one request, those that were refused as not run included.
MAX_SENDS = 4


@dataclass(slots=True)
class Attempts:
    """What has become of a request so far.

    Attributes
    ----------
    sends
        Targets that it was sent to.
    runs
        Targets that it ran on, as far as known.
    began
        Whether it has begun to run at the current target.
    may_have_run
        Whether there is no proof that it did not run.
    last_event
        Last event of a stream that the caller has.
    failure
        A target's own failure, to be passed on if nothing better comes.
    """

    sends: int = 0
    runs: int = 0
    began: bool = False
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    last_event: int | None = None
    failure: Answer | None = None


@dataclass(frozen=True, slots=True)
class Done:
    """The answer has been written."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The request may have run, and its answer is lost."""

    reason: str


@dataclass(frozen=True, slots=True)
class Stalled:
    """Nothing arrives from the target."""

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The target answered with a failure of its own."""

    answer: Answer


Outcome = Done | NotRun | Broken | Stalled | Failed


def may_send_again(route: Route, attempts: Attempts, outcome: Outcome) -> bool:
    """Return whether a request may be sent to another target.

    After proof that it did not run it always may; otherwise only if its kind may be
    repeated, and on no more targets than the route allows.
    """
    if attempts.sends >= MAX_SENDS:
        return False
    match outcome:
        case NotRun():
            return True
        case Failed(answer=answer) if answer.head.status < 500:
            return False
        case _:
            return route.is_repeatable and attempts.runs < route.max_attempts
