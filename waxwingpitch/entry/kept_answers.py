"""Stored answers, with which repeats of a call are answered."""

from __future__ import annotations

from ..errors import Ran, RequestError, ResultCode
from ..ports import PlainAnswer
from ..ports.http import FINAL_STATUSES
from ..requests.claims import StoredAnswer, build_stored_answer

REPLAYED_HEADER = "Idempotent-Replayed"


def build_stored_plain_answer(answer: PlainAnswer) -> StoredAnswer:
    """Return the part of an answer that is stored."""
    headers = {key.lower(): value for key, value in answer.headers}
    content_type = headers.get("content-type", "application/octet-stream")
    return build_stored_answer(answer.status, content_type, answer.body)


def rebuild_answer(stored: StoredAnswer | None) -> PlainAnswer:
    """Return the answer to a repeated call, rebuilt from the stored answer.

    Raises
    ------
    RequestError
        The request ran, but its answer was too large to store, or has a status that
        no answer bears.
    """
    if stored is None or not stored.whole:
        raise RequestError(
            ResultCode.OUTCOME_UNKNOWN,
            "the request ran; its answer was too large to keep",
            ran=Ran.YES,
        )
    if stored.status not in FINAL_STATUSES:
        raise RequestError(
            ResultCode.OUTCOME_UNKNOWN,
            f"the request ran; its answer is kept with status {stored.status}",
            ran=Ran.YES,
        )
    headers = (("Content-Type", stored.content_type), (REPLAYED_HEADER, "true"))
    return PlainAnswer(stored.status, headers, stored.body)
