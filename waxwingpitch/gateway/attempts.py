"""Outcomes of a request's attempts, and whether it may be retried."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ..configuration.routes import Route
from ..forwarding import Answer
from ..forwarding.memory import AnswerHold, AnswerMemory
from .slot_client import Slot

# Limit on attempts per request, including those refused by the target as not run.
MAX_SENDS = 4
# The limit once part of the answer has been forwarded, which a failure would waste.
MAX_SENDS_PARTIAL = 8
# Time after its first event at which a stream's target has survived the request.
SURVIVAL_S = 0.3


class Attempts:
    """Attempts made for one request so far.

    Parameters
    ----------
    sends
        Number of attempts, each on one target.
    runs
        Number of targets that it ran on or may have run on.
    last_event
        Id of the last stream event that the caller has received; None if there is none.
    last_forwarded_at
        Monotonic time at which the last part of the answer was forwarded; the time of
        arrival until then.
    on_survived
        Called when a target goes on to serve the request, and again when it has, with
        the monotonic time at which the request was sent there.
    is_blocked
        Returns whether it shares a blocked key with requests that crashed targets, so
        that it is sent to no other one.
    hold
        Memory of the answers to the request; by default the least that each has.

    Attributes
    ----------
    is_in_flight
        Whether it is being sent to a target, or was and the attempt has no outcome.
    sent_at
        Monotonic time at which it was sent to the current target.
    has_survived
        Whether the current target served it, or went on to serve it.
    ran_on_current
        Whether its run on the current target has been recorded.
    may_have_run
        Whether it ran, or there is no proof that it did not.
    tried
        Ids of the targets that it was sent to.
    has_forwarded_events
        Whether stream events have been forwarded to the caller.
    first_event_at
        Monotonic time at which the first event was forwarded; 0 if there was none.
    longest_pause_s
        Longest time between two forwarded events, in seconds.
    has_asked
        Whether a slot was asked for.
    is_on_trial
        Whether it is sent to find out if a blocked key of it is sound.
    next_slot
        Slot on another target for the next attempt, if one is held already.
    failure_answer
        Error response of a target, relayed to the caller if no retry succeeds.
    """

    def __init__(
        self,
        *,
        sends: int = 0,
        runs: int = 0,
        last_event: int | None = None,
        last_forwarded_at: float = 0.0,
        on_survived: Callable[[float], None] = lambda sent_at: None,
        is_blocked: Callable[[], bool] = lambda: False,
        hold: AnswerHold | None = None,
    ):
        self._on_survived = on_survived
        self.is_blocked = is_blocked
        self.hold = hold or AnswerMemory(limit_bytes=0).open()
        self._first_event_here_at = math.inf
        self.sent_at = 0.0
        self.has_survived = False
        self.has_asked = False
        self.sends = sends
        self.runs = runs
        self.is_in_flight = False
        self.ran_on_current = False
        self.may_have_run = False
        self.tried: set[str] = set()
        self.last_event = last_event
        self.last_forwarded_at = last_forwarded_at
        self.has_forwarded_events = False
        self.first_event_at = 0.0
        self.longest_pause_s = 0.0
        self.is_on_trial = False
        self.next_slot: Slot | None = None
        self.failure_answer: Answer | None = None
        self._run_addresses: dict[str, str] = {}

    def begin(self, target: str, now: float) -> None:
        """Begin an attempt at a target."""
        self.sends += 1
        self.sent_at = now
        self.is_in_flight = True
        self.ran_on_current = False
        self.has_survived = False
        self._first_event_here_at = math.inf
        self.tried.add(target)

    def take_next_slot(self) -> Slot | None:
        """Return the slot that is held for the next attempt, which then uses it."""
        slot, self.next_slot = self.next_slot, None
        return slot

    @property
    def has_output(self) -> bool:
        """Whether events of the current target have been forwarded."""
        return self._first_event_here_at < math.inf

    def record_survival(self) -> None:
        """Record that the current target served the request, or went on to."""
        self.has_survived = True
        self._on_survived(self.sent_at)

    def record_run(self, target: str, address: str) -> None:
        """Record that the request ran, or may have run, on a target."""
        self.runs += 1
        self.may_have_run = True
        self._run_addresses[target] = address

    def count_possible_runs(self) -> int:
        """Return the targets that it ran on, the current one included if it may."""
        return self.runs + (self.is_in_flight and not self.ran_on_current)

    def record_forwarded(self, last_event: int | None, now: float) -> None:
        """Record that events were forwarded to the caller."""
        if self.has_forwarded_events:
            self.longest_pause_s = max(
                now - self.last_forwarded_at, self.longest_pause_s
            )
        else:
            self.first_event_at = now
        self._first_event_here_at = min(now, self._first_event_here_at)
        if not self.has_survived and now - self._first_event_here_at >= SURVIVAL_S:
            self.record_survival()
        if last_event is not None:
            self.last_event = last_event
        self.last_forwarded_at = now
        self.has_forwarded_events = True

    def discard_ended_runs(self, has_ended: Callable[[str, str], bool]) -> None:
        """Stop counting runs on targets that have ended towards the route's limit.

        Parameters
        ----------
        has_ended
            Returns whether a target, given its id and address, is known to have ended
            or to be cut off. A silent one may go on with the request.
        """
        for target, address in list(self._run_addresses.items()):
            if has_ended(target, address):
                del self._run_addresses[target]
                self.runs -= 1


@dataclass(frozen=True, slots=True)
class Done:
    """The answer was sent to the caller in full."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target was not reached or refused the request, so that it did not run.

    Attributes
    ----------
    is_misdirected
        Whether the target answered that it is not the expected one, or that it does
        not head an open group.
    is_unreachable
        Whether no connection to it could be opened.
    is_refused
        Whether its host said that nothing listens at its address.
    """

    reason: str
    is_misdirected: bool = False
    is_unreachable: bool = False
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """The request may have run, and its answer is lost."""

    reason: str


@dataclass(frozen=True, slots=True)
class Stalled:
    """The target sent nothing before the stall timeout or the deadline.

    Attributes
    ----------
    is_link_lost
        Whether peers reach the target, and only the link to it from here is lost.
    """

    reason: str
    is_link_lost: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """The target answered with an error response of its own."""

    answer: Answer


Outcome = Done | NotRun | Broken | Stalled | Failed


def is_retry_allowed(route: Route, attempts: Attempts, outcome: Outcome) -> bool:
    """Return whether a request may be sent to another target.

    A request that did not run may be retried on any route; any other only if its
    route is repeatable and the request ran on fewer targets than the route allows.
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
            runs = attempts.count_possible_runs()
            return route.is_repeatable and runs < route.max_attempts
