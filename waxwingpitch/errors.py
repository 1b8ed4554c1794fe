"""Result codes and the exception hierarchy.

Every refusal or failure that leaves a process carries a :class:`ResultCode`.
The table in ``docs/ERRORS.md`` is rendered from :data:`RESULTS`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Ran(enum.StrEnum):
    """Whether a request has run at a target."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(enum.IntEnum):
    """Codes of all results; a number keeps its meaning across releases."""

    OK = 0
    MALFORMED_REQUEST = 1001
    UNAUTHENTICATED = 1002
    UNKNOWN_SERVICE = 1003
    BODY_TOO_LARGE = 1004
    IDEMPOTENCY_KEY_MISSING = 1005
    IDEMPOTENCY_KEY_MALFORMED = 1006
    IDEMPOTENCY_KEY_OUTSIDE_WINDOW = 1007
    IDEMPOTENCY_KEY_REUSED = 1008
    NOT_FOUND = 1009
    METHOD_NOT_ALLOWED = 1010
    HEADERS_TOO_LARGE = 1011
    QUEUE_FULL = 2001
    DEADLINE_UNREACHABLE = 2002
    NO_TARGET = 2003
    STOPPING = 2004
    NO_CONFIGURATION = 2005
    CLAIM_UNAVAILABLE = 2006
    SUSPECT_BLOCKED = 2007
    RETRY_BUDGET_EXHAUSTED = 2008
    SUSPECT_ON_TRIAL = 2009
    CONFIGURATION_OUTDATED = 2010
    ANSWER_INCOMPLETE = 3001
    OUTCOME_UNKNOWN = 3002
    IN_PROGRESS_ELSEWHERE = 3003
    TARGET_REJECTED = 3004
    INTERNAL = 3005
    STALE_BASE = 4001
    INVALID_CONFIGURATION = 4002
    STORE_UNAVAILABLE = 4003
    NOT_CONFIRMED = 4004
    PEER_VERSION = 5001
    PEER_UNAUTHENTICATED = 5002
    PEER_MESSAGE_MALFORMED = 5003
    PEER_MESSAGE_UNKNOWN = 5004
    INVALID_SETTINGS = 6001


@dataclass(frozen=True, slots=True)
class ResultInfo:
    """HTTP status, meaning and advice of one result code.

    Attributes
    ----------
    status
        HTTP status of answers with the code.
    ran
        Whether the request has run, unless the error overrides it.
    advice
        Recommended action of the caller or operator.
    """

    status: int
    ran: Ran
    advice: str


RESULTS: dict[ResultCode, ResultInfo] = {
    ResultCode.OK: ResultInfo(200, Ran.YES, "Nothing to do."),
    ResultCode.MALFORMED_REQUEST: ResultInfo(
        400, Ran.NO, "Correct the request as the message says and send it again."
    ),
    ResultCode.UNAUTHENTICATED: ResultInfo(
        401, Ran.NO, "Send the workspace's token as 'Authorization: Bearer TOKEN'."
    ),
    ResultCode.UNKNOWN_SERVICE: ResultInfo(
        404, Ran.NO, "Use a service or model that GET /v1/models lists."
    ),
    ResultCode.BODY_TOO_LARGE: ResultInfo(
        413, Ran.NO, "Send a smaller body; the limit is in the message."
    ),
    ResultCode.IDEMPOTENCY_KEY_MISSING: ResultInfo(
        400, Ran.NO, "Send an Idempotency-Key header that holds a UUIDv7."
    ),
    ResultCode.IDEMPOTENCY_KEY_MALFORMED: ResultInfo(
        400, Ran.NO, "Send a UUIDv7, or a key issued by POST /v1/keys."
    ),
    ResultCode.IDEMPOTENCY_KEY_OUTSIDE_WINDOW: ResultInfo(
        409, Ran.NO, "Check whether the call took effect, then use a new key."
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: ResultInfo(
        409, Ran.NO, "Use a new key: this one belongs to a different request."
    ),
    ResultCode.NOT_FOUND: ResultInfo(404, Ran.NO, "Check the path."),
    ResultCode.METHOD_NOT_ALLOWED: ResultInfo(405, Ran.NO, "Check the method."),
    ResultCode.HEADERS_TOO_LARGE: ResultInfo(
        431, Ran.NO, "Send fewer or smaller headers; the limit is in the message."
    ),
    ResultCode.QUEUE_FULL: ResultInfo(
        503, Ran.NO, "Send the request again after the Retry-After seconds."
    ),
    ResultCode.DEADLINE_UNREACHABLE: ResultInfo(
        503, Ran.NO, "Send it again after Retry-After, or allow a later deadline."
    ),
    ResultCode.NO_TARGET: ResultInfo(
        503, Ran.NO, "Send it again after Retry-After; operators: see 'dump'."
    ),
    ResultCode.STOPPING: ResultInfo(
        503, Ran.NO, "Send it again at once; another entry host answers."
    ),
    ResultCode.NO_CONFIGURATION: ResultInfo(
        503, Ran.NO, "Send it again later; operators: check the key-value service."
    ),
    ResultCode.CLAIM_UNAVAILABLE: ResultInfo(
        503, Ran.NO, "Send it again with the same key, or use a key of POST /v1/keys."
    ),
    ResultCode.SUSPECT_BLOCKED: ResultInfo(
        422, Ran.NO, "Do not send it again: like requests crashed two targets."
    ),
    ResultCode.RETRY_BUDGET_EXHAUSTED: ResultInfo(
        503, Ran.NO, "Send it again after the Retry-After seconds."
    ),
    ResultCode.SUSPECT_ON_TRIAL: ResultInfo(
        503, Ran.NO, "Send it again after Retry-After; a like request is on trial."
    ),
    ResultCode.CONFIGURATION_OUTDATED: ResultInfo(
        503, Ran.NO, "Send it again after Retry-After; operators: see 'dump'."
    ),
    ResultCode.ANSWER_INCOMPLETE: ResultInfo(
        502, Ran.YES, "Discard the pieces received and send the request again."
    ),
    ResultCode.OUTCOME_UNKNOWN: ResultInfo(
        504, Ran.UNKNOWN, "Repeat with the same key, or read back the effect."
    ),
    ResultCode.IN_PROGRESS_ELSEWHERE: ResultInfo(
        409, Ran.UNKNOWN, "Repeat with the same key after Retry-After."
    ),
    ResultCode.TARGET_REJECTED: ResultInfo(
        502, Ran.NO, "The target refused the request; see the message."
    ),
    ResultCode.INTERNAL: ResultInfo(
        500, Ran.UNKNOWN, "Report the request id to the operators."
    ),
    ResultCode.STALE_BASE: ResultInfo(
        409, Ran.NO, "Rebuild the change on the current revision and submit again."
    ),
    ResultCode.INVALID_CONFIGURATION: ResultInfo(
        400, Ran.NO, "Correct the key that the message names."
    ),
    ResultCode.STORE_UNAVAILABLE: ResultInfo(
        503, Ran.UNKNOWN, "Submit again with the same submission id."
    ),
    ResultCode.NOT_CONFIRMED: ResultInfo(
        504, Ran.YES, "Wait longer, or look at the entry hosts that are listed."
    ),
    ResultCode.PEER_VERSION: ResultInfo(400, Ran.NO, "Upgrade the older entry host."),
    ResultCode.PEER_UNAUTHENTICATED: ResultInfo(
        401, Ran.NO, "Give all entry hosts the same mesh key."
    ),
    ResultCode.PEER_MESSAGE_MALFORMED: ResultInfo(
        400, Ran.NO, "Compare the versions of the two entry hosts."
    ),
    ResultCode.PEER_MESSAGE_UNKNOWN: ResultInfo(
        400, Ran.NO, "Upgrade the older of the two entry hosts."
    ),
    ResultCode.INVALID_SETTINGS: ResultInfo(
        400, Ran.NO, "Correct the key that the message names."
    ),
}


class WaxwingpitchError(Exception):
    """Base of all errors of the package.

    Parameters
    ----------
    message
        Description of the error, with the invalid value and the valid ones.
    ran
        Whether the request has run; by default the value for the code in
        :data:`RESULTS`.
    retry_after_s
        Time after which the caller may retry, in seconds.
    """

    code = ResultCode.INTERNAL

    def __init__(
        self,
        message: str,
        *,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.message = message
        self.ran = ran if ran is not None else RESULTS[self.code].ran
        self.retry_after_s = retry_after_s

    @property
    def status(self) -> int:
        """HTTP status for this error."""
        return RESULTS[self.code].status

    @property
    def advice(self) -> str:
        """Recommended action of the caller or operator."""
        return RESULTS[self.code].advice


class RequestError(WaxwingpitchError):
    """A request that ends without its complete answer.

    ``code`` is set per instance.

    Attributes
    ----------
    covers_all_attempts
        Whether ``ran`` holds for all attempts with the request's idempotency key,
        rather than for this attempt only.
    """

    def __init__(self, code: ResultCode, message: str, **kwargs):
        self.code = code
        self.covers_all_attempts = False
        super().__init__(message, **kwargs)


class ConfigurationError(WaxwingpitchError):
    """An invalid configuration."""

    code = ResultCode.INVALID_CONFIGURATION


class StaleBaseError(WaxwingpitchError):
    """A submission whose base revision is no longer the current one."""

    code = ResultCode.STALE_BASE


class SettingsError(WaxwingpitchError):
    """An unreadable or invalid settings file."""

    code = ResultCode.INVALID_SETTINGS


class StoreError(WaxwingpitchError):
    """Base of errors of the key-value service."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnavailableError(StoreError):
    """The service refused or was unreachable; a write had no effect."""


class StoreAnswerLostError(StoreError):
    """No answer was received; a write may have taken effect."""


class StoreConflictError(StoreError):
    """A compare-and-swap found a version other than the expected one."""


class StoreHistoryLostError(StoreError):
    """A watch can't continue because the service discarded the history it needs."""


class PeerError(WaxwingpitchError):
    """A refused mesh connection or message."""

    def __init__(self, code: ResultCode, message: str):
        self.code = code
        super().__init__(message)


class TargetError(WaxwingpitchError):
    """Base of errors of calls to a target.

    Attributes
    ----------
    incarnation
        Incarnation of the target that answered; empty if none did.
    """

    code = ResultCode.TARGET_REJECTED

    def __init__(self, message: str, *, incarnation: str = ""):
        super().__init__(message)
        self.incarnation = incarnation


class TargetRefusedError(TargetError):
    """The request did not run: it was never sent, or the target refused it."""


class TargetProgressTimeoutError(TargetError):
    """No progress before the progress deadline; the request may still be running."""


class TargetConnectionLostError(TargetError):
    """The connection broke, or the stream ended early, after the request was sent."""


def render_result_table() -> str:
    """Render the table of result codes in Markdown.

    Returns
    -------
    str
        One row per code, with number, name, HTTP status, ran and advice.
    """
    rows = ["| code | name | HTTP status | ran | what to do |"]
    rows.append("| --- | --- | --- | --- | --- |")
    for code, info in RESULTS.items():
        cells = (str(int(code)), code.name, str(info.status), info.ran, info.advice)
        rows.append("| " + " | ".join(cells) + " |")
    return "\n".join(rows) + "\n"
