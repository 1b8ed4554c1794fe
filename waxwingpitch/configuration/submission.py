"""Submission of a configuration by compare-and-swap.

If the answer to a write is lost, the stored document is read again: it holds the ids
of recent submissions, which show whether the write took effect.
"""

from __future__ import annotations

import enum
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..errors import (
    StaleBaseError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from .document import decode_stored, encode_configuration
from .model import MAX_SUBMISSION_IDS, Configuration, check_configuration

if TYPE_CHECKING:
    from ..ports import KeyValueStore

CONFIGURATION_KEY = "agreed/configuration"
RETRY_PAUSE_S = 0.2


class SubmissionOutcome(enum.StrEnum):
    """How a submission was accepted."""

    ACCEPTED = "accepted"
    ALREADY_ACCEPTED = "already accepted"


@dataclass(frozen=True, slots=True)
class Submission:
    """An accepted submission.

    Attributes
    ----------
    id
        Id of the submission; submitting it again has no further effect.
    revision
        Revision that it created.
    outcome
        Whether it was accepted in this call or earlier.
    """

    id: str
    revision: int
    outcome: SubmissionOutcome


def submit(
    store: KeyValueStore,
    cfg: Configuration,
    *,
    submission_id: str | None = None,
    deadline: float | None = None,
) -> Submission:
    """Submit a configuration that was built on ``cfg.revision``.

    Parameters
    ----------
    store
        The key-value service.
    cfg
        Configuration whose ``revision`` is that of its base.
    submission_id
        Id of the submission, given to repeat it; a new one by default.
    deadline
        Monotonic time until which failed writes are retried; 5 s from now by
        default.

    Raises
    ------
    StaleBaseError
        Another submission was accepted on the same base; the message lists what
        differs.
    StoreError
        The service was unavailable until the deadline; the outcome is unknown
        and the same submission id may be submitted again.
    """
    check_configuration(cfg)
    submission_id = submission_id or str(uuid.uuid4())
    deadline = deadline if deadline is not None else time.monotonic() + 5.0
    while True:
        try:
            return _submit_once(store, cfg, submission_id)
        except (StoreConflictError, StoreAnswerLostError, StoreUnavailableError) as exc:
            if time.monotonic() + RETRY_PAUSE_S >= deadline:
                raise _name_submission(exc, submission_id) from exc
            time.sleep(RETRY_PAUSE_S)


def _submit_once(
    store: KeyValueStore, cfg: Configuration, submission_id: str
) -> Submission:
    entry = store.get(CONFIGURATION_KEY)
    current = decode_stored(entry.value) if entry else Configuration()
    if submission_id in current.submissions:
        later_submissions = current.submissions[::-1].index(submission_id)
        revision = current.revision - later_submissions
        return Submission(submission_id, revision, SubmissionOutcome.ALREADY_ACCEPTED)
    if cfg.revision != current.revision:
        lines = "; ".join(describe_difference(cfg, current)) or "only the revision"
        raise StaleBaseError(
            f"base revision {cfg.revision} is not the current {current.revision}; "
            f"current differs: {lines}"
        )
    accepted = replace(
        cfg,
        revision=current.revision + 1,
        submissions=(*current.submissions, submission_id)[-MAX_SUBMISSION_IDS:],
    )
    store.put(
        CONFIGURATION_KEY,
        encode_configuration(accepted),
        expect=entry.version if entry else 0,
    )
    return Submission(submission_id, accepted.revision, SubmissionOutcome.ACCEPTED)


def _name_submission(exc: StoreError, submission_id: str) -> StoreError:
    return type(exc)(
        f"{exc.message}; submission id {submission_id}: outcome unknown until it "
        "is submitted again or read back"
    )


def describe_difference(cfg: Configuration, other: Configuration) -> Iterator[str]:
    """Yield one line per zone, workspace or service that differs in ``other``."""
    for kind in ("zones", "workspaces", "services"):
        mine = {item.name: item for item in getattr(cfg, kind)}
        theirs = {item.name: item for item in getattr(other, kind)}
        for name in sorted(mine.keys() | theirs.keys()):
            match mine.get(name), theirs.get(name):
                case (None, _):
                    yield f"{kind}: {name} was added"
                case (_, None):
                    yield f"{kind}: {name} is not there"
                case (left, right) if left != right:
                    yield f"{kind}: {name} differs"
