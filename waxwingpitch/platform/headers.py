"""Names of the HTTP headers that the platform uses, as lower-case bytes."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable


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
    RATE_LIMIT = b"server-limit"
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


def decode_rate_limit(values: Iterable[bytes]) -> float | None:
    """Return the lowest limit of requests a second that an answer states.

    Parameters
    ----------
    values
        Values of its headers ``HeaderNames.RATE_LIMIT``.

    Returns
    -------
    float or None
        None if it states none.

    Raises
    ------
    ValueError
        No value is a decimal number of at least 0.
    """
    values = list(values)
    numbers = [number for number in map(_parse_number, values) if number is not None]
    if values and not numbers:
        raise ValueError(f"rate limit {values[0]!r} is not a number of at least 0")
    return min(numbers, default=None)


def _parse_number(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < math.inf else None
