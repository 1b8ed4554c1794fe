"""Retry decision after a failed attempt of an idempotent request."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import (
    ResultCode,
    TargetConnectionLostError,
    TargetError,
    TargetProgressTimeoutError,
    TargetRefusedError,
)

MAX_ATTEMPTS = 6
MAX_RESUMES = 2


@dataclass(frozen=True, slots=True)
class Resume:
    """Resume the answer at the same target over a new connection."""


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """Continue at another target.

    Attributes
    ----------
    suspect
        Whether the target may have crashed because of the request.
    """

    suspect: bool


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End the request with a result code."""

    code: ResultCode


Decision = Resume | Elsewhere | GiveUp


@dataclass(frozen=True, slots=True)
class AttemptState:
    """Attempts of a request so far.

    Attributes
    ----------
    attempts
        Number of attempts.
    resumes
        Number of resumptions at the current target.
    lost
        Whether any connection to the current target broke.
    incarnation
        Incarnation of the target when the request was sent.
    """

    attempts: int
    resumes: int
    lost: bool
    incarnation: str


def decide(failure: TargetError, state: AttemptState) -> Decision:
    """Decide how to continue after a failed attempt of an idempotent request.

    A broken connection counts as a crash unless the same incarnation of the
    target answers afterwards.
    """
    if state.attempts >= MAX_ATTEMPTS:
        return GiveUp(ResultCode.ANSWER_INCOMPLETE)
    match failure:
        case TargetRefusedError(incarnation=incarnation):
            return Elsewhere(suspect=state.lost and incarnation != state.incarnation)
        case TargetProgressTimeoutError() | TargetConnectionLostError() if (
            state.resumes < MAX_RESUMES
        ):
            return Resume()
        case _:
            return Elsewhere(suspect=state.lost)
