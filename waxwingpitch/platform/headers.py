"""Names of the HTTP headers that the platform uses, as lower-case bytes."""

from __future__ import annotations

import enum


class HeaderNames(bytes, enum.Enum):
    """Headers whose meaning the platform defines, by their name on the wire."""

    REQUEST_ID = b"attempt-id"
    DEADLINE_MS = b"deadline-ms"
    LAST_EVENT = b"last-event-id"
    SEAL = b"response-seal"
    WORKSPACE = b"tenant"
    EXPECTED_TARGET = b"expect-instance"
    NOT_RUN = b"not-executed"
    RETRY_AFTER = b"retry-after"
    LEAVING = b"server-leaving"
    TARGET = b"instance-id"
    TARGET_AT_FAULT = b"at-server"
    COLD_MS = b"cold-ms"
    MODEL = b"model"
    TOKEN_COUNTS = b"token-counts"
    PROMPT_PARTS = b"prompt-prefix"
    URGENCY = b"request-urgency"
    LENGTH_HINT = b"length-hint"
    AUTHORIZATION = b"authorization"


BEARER_PREFIX = b"Bearer "
# In all answers of the store; rises by one when it comes back from an older copy.
STORE_ERA = "store-era"
