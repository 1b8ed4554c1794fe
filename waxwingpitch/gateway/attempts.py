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
MAX_SENDS_PARTIAL = 8


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
    last_forwarded_at
        Monotonic time at which the caller got the last part of the answer, or asked.
    budget
        Pays for the sends after the first.

    Attributes
    ----------
    ran_on_current
        Whether it has begun to run at the current target.
    may_have_run
        Whether there is no proof that it did not run.
    has_forwarded_events
        Whether the caller has a part of the answer.
    first_event_at
        Monotonic time of the first event; 0 if there was none.
    longest_pause_s
        Longest time between two events after that, in seconds.
    failure_answer
        A target's own failure, to be passed on if nothing better comes.
    """

    def __init__(
        self,
        *,
        sends: int = 0,
        runs: int = 0,
        last_event: int | None = None,
        last_forwarded_at: float = 0.0,
        budget: RetryBudget | None = None,
    ):
        self.budget = RetryBudget() if budget is None else budget
        self.sends = sends
        self.runs = runs
        self.ran_on_current = False
        self.may_have_run = False
        self.tried: set[str] = set()
        self.last_event = last_event
        self.last_forwarded_at = last_forwarded_at
        self.has_forwarded_events = False
        self.first_event_at = 0.0
        self.longest_pause_s = 0.0
        self.failure_answer: Answer | None = None
        self._run_addresses: dict[str, str] = {}

    def note_run(self, target: str, address: str) -> None:
        """Note that the request ran, or may have run, on a target."""
        self.runs += 1
        self.may_have_run = True
        self._run_addresses[target] = address

    def note_forwarded(self, last_event: int | None, now: float) -> None:
        """Note that the caller got events."""
        if self.has_forwarded_events:
            self.longest_pause_s = max(
                now - self.last_forwarded_at, self.longest_pause_s
            )
        else:
            self.first_event_at = now
        self.last_event = last_event or self.last_event
        self.last_forwarded_at = now
        self.has_forwarded_events = True

    def discard_ended_runs(self, is_answering: Callable[[str, str], bool]) -> None:
        """Take back the runs on targets that have ended, which bind no route's limit.

        Parameters
        ----------
        is_answering
            Returns whether a target, by id and address, still answers.
        """
        for target, address in list(self._run_addresses.items()):
            if not is_answering(target, address):
                del self._run_addresses[target]
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


def is_retry_allowed(route: Route, attempts: Attempts, outcome: Outcome) -> bool:
    """Return whether a request may be sent to another target.

    After proof that it did not run it always may; otherwise only if its kind may be
    repeated, and on no more targets than the route allows.
    """
    max_sends = MAX_SENDS_PARTIAL if attempts.has_forwarded_events else MAX_SENDS
    if attempts.sends >= max_sends:
        return False
    match outcome:
        case NotRun():
            return True
        case Failed(answer=answer) if answer.head.status < 500:
            return False
        case _:
            return route.is_repeatable and attempts.runs < route.max_attempts
