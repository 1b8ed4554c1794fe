"""Answers as they are read from targets and written to callers."""

from __future__ import annotations

import http
from collections.abc import Iterable
from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only (RFC 9110, section 7.6.1).
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

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes
    ----------
    headers
        Names as they were sent, and values.
    """

    status: int
    headers: Headers

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header whose name is in lower case."""
        return next((value for key, value in self.headers if key.lower() == name), None)


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    head: AnswerHead
    body: bytes


def strip_hop_headers(headers: Headers) -> Headers:
    """Return the headers that are passed on."""
    listed = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS and name.lower() not in listed
    )


def format_head(
    status: int, headers: Iterable[tuple[bytes, bytes]], *, close: bool
) -> bytes:
    """Return the status line and headers of an answer, without framing."""
    reason = _REASONS.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    lines.extend(b"%s: %s\r\n" % (name, value) for name, value in headers)
    if close:
        lines.append(b"Connection: close\r\n")
    return b"".join(lines)


def format_answer(answer: Answer, *, close: bool) -> bytes:
    """Return a whole answer, framed by its length."""
    head = answer.head
    text = format_head(head.status, strip_hop_headers(head.headers), close=close)
    if head.status in (204, 304):
        return text + b"\r\n"
    return b"%sContent-Length: %d\r\n\r\n%s" % (text, len(answer.body), answer.body)


def format_chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
