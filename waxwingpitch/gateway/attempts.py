"""What becomes of a request's sends, and whether another one may follow."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..admission import RetryBudget
from ..configuration.routes import Route
from ..forwarding import Answer

# Most sends of one request, those that were refused as not run included.
MAX_SENDS = 4
# The same once the caller has a part of the answer, all of which would be lost.
MAX_SENDS_BEGUN = 8


class Attempts:
    """What has become of a request so far.

    Parameters
    ----------
    sends
        Targets that it was sent to.
    runs
        Targets that it ran on, as far as known.
    last_event
        Last event of a stream that the caller has.
    moved_at
        Monotonic time at which the caller got the last part of the answer, or asked.
    budget
        Pays for the sends after the first.

    Attributes
    ----------
    began
        Whether it has begun to run at the current target.
    may_have_run
        Whether there is no proof that it did not run.
    has_passed_events
        Whether the caller has a part of the answer.
    first_event_at
        Monotonic time of the first event; 0 if there was none.
    longest_pause_s
        Longest time between two events after that, in seconds.
    failure
        A target's own failure, to be passed on if nothing better comes.
    """

    def __init__(
        self,
        *,
        sends: int = 0,
        runs: int = 0,
        last_event: int | None = None,
        moved_at: float = 0.0,
        budget: RetryBudget | None = None,
    ):
        self.budget = RetryBudget() if budget is None else budget
        self.sends = sends
        self.runs = runs
        self.began = False
        self.may_have_run = False
        self.tried: set[str] = set()
        self.last_event = last_event
        self.moved_at = moved_at
        self.has_passed_events = False
        self.first_event_at = 0.0
        self.longest_pause_s = 0.0
        self.failure: Answer | None = None
        self._ran_at: dict[str, str] = {}

    def note_run(self, target: str, address: str) -> None:
        """Note that the request ran, or may have run, on a target."""
        self.runs += 1
        self.may_have_run = True
        self._ran_at[target] = address

    def note_passed(self, last_event: int | None, now: float) -> None:
        """Note that the caller got events."""
        if self.has_passed_events:
            self.longest_pause_s = max(now - self.moved_at, self.longest_pause_s)
        else:
            self.first_event_at = now
        self.last_event = last_event or self.last_event
        self.moved_at = now
        self.has_passed_events = True

    def forget_ended(self, is_answering: Callable[[str, str], bool]) -> None:
        """Take back the runs on targets that have ended, which bind no route's limit.

        Parameters
        ----------
        is_answering
            Returns whether a target, by id and address, still answers.
        """
        for target, address in list(self._ran_at.items()):
            if not is_answering(target, address):
                del self._ran_at[target]
                self.runs -= 1


@dataclass(frozen=True, slots=True)
class Done:
    """The answer has been written."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run.

    Attributes
    ----------
    is_misdirected
        Whether the target says that it is not the one, or heads no open group.
    """

    reason: str
    is_misdirected: bool = False


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
    most = MAX_SENDS_BEGUN if attempts.has_passed_events else MAX_SENDS
    if attempts.sends >= most:
        return False
    match outcome:
        case NotRun():
            return True
        case Failed(answer=answer) if answer.head.status < 500:
            return False
        case _:
            return route.is_repeatable and attempts.runs < route.max_attempts
