"""HTTP answers, as read from targets and written to callers."""

from __future__ import annotations

import http
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]

# Hop-by-hop headers, and Content-Length, which is written anew for each connection
# (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)

_REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes
    ----------
    headers
        Pairs of name, in the case in which it was sent, and value.
    """

    status: int
    headers: Headers

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, whose name is given in lower case."""
        return next(self.find_all(name), None)

    def find_all(self, name: bytes) -> Iterator[bytes]:
        """Yield all values of a header, whose name is given in lower case."""
        return (value for key, value in self.headers if key.lower() == name)


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer."""

    head: AnswerHead
    body: bytes


def parse_retry_after(head: AnswerHead) -> float | None:
    """Return the seconds in an answer's Retry-After; None if it has no valid one."""
    value = head.find(b"retry-after")
    try:
        seconds = float(value) if value is not None else -1.0
    except ValueError:
        return None
    return seconds if 0.0 <= seconds < math.inf else None


def strip_hop_headers(headers: Headers) -> Headers:
    """Return the end-to-end headers, which are forwarded."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS and name.lower() not in connection_options
    )


def format_head(
    status: int, headers: Iterable[tuple[bytes, bytes]], *, close: bool
) -> bytes:
    """Return the status line and headers of an answer, without framing headers."""
    phrase = _REASON_PHRASES.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, phrase)]
    lines.extend(b"%s: %s\r\n" % (name, value) for name, value in headers)
    if close:
        lines.append(b"Connection: close\r\n")
    return b"".join(lines)


def format_answer(answer: Answer, *, close: bool) -> bytes:
    """Return a complete answer, framed with Content-Length where a body is allowed."""
    head = answer.head
    head_lines = format_head(head.status, strip_hop_headers(head.headers), close=close)
    if head.status in (204, 304):
        return head_lines + b"\r\n"
    return b"%sContent-Length: %d\r\n\r\n%s" % (
        head_lines,
        len(answer.body),
        answer.body,
    )


def format_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
