"""One request to one target: sending it, and optionally reading the whole answer."""

from __future__ import annotations

import time
from collections.abc import Callable

from .answers import Answer, AnswerHead, Headers
from .targets import (
    ConnectionPool,
    TargetBrokenError,
    TargetConnection,
    UnreachableError,
)

# Body of a report or of the answer to an order.
MAX_CONTROL_BYTES = 1024 * 1024


def format_request(
    method: bytes, target: bytes, address: str, headers: Headers, body: bytes
) -> bytes:
    """Encode a request, framed with Content-Length."""
    return format_request_head(method, target, address, headers, len(body)) + body


def format_request_head(
    method: bytes, target: bytes, address: str, headers: Headers, body_bytes: int
) -> bytes:
    """Encode the head of a request whose body has so many bytes."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    if not any(name.lower() == b"host" for name, _ in headers):
        lines.append(b"Host: %s\r\n" % address.encode())
    lines.extend(b"%s: %s\r\n" % (name, value) for name, value in headers)
    if body_bytes or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d\r\n" % body_bytes)
    lines.append(b"\r\n")
    return b"".join(lines)


def send_request(
    pool: ConnectionPool,
    address: str,
    data: bytes,
    *,
    body: bytes | bytearray = b"",
    timeout_s: float,
    request: str | None = None,
) -> TargetConnection:
    """Send a request over an idle connection of the pool, or over a new one.

    An idle connection on which nothing could be sent is replaced by a new one.

    Parameters
    ----------
    data
        The request, or its head if the body is given apart.
    body
        Sent behind the data without being copied, if it is large.
    request
        Id that the answer names; empty if the caller sent none, None for calls whose
        answers name no request.

    Raises
    ------
    UnreachableError
        No byte of the request was sent.
    TargetBrokenError
        A part of the request may have been sent.
    """
    conn = pool.acquire(address, time.monotonic(), request)
    if conn is not None:
        try:
            conn.send(data, body)
            return conn
        except UnreachableError:
            conn.close()
        except TargetBrokenError:
            conn.close()
            raise
    conn = pool.connect(address, timeout_s=timeout_s)
    try:
        conn.send(data, body)
    except BaseException:
        conn.close()
        raise
    return conn


def call_target(
    pool: ConnectionPool,
    address: str,
    method: bytes,
    target: bytes,
    *,
    headers: Headers = (),
    body: bytes = b"",
    timeout_s: float,
    is_foreign: Callable[[AnswerHead], bool] = lambda head: False,
) -> Answer:
    """Send one request and return the complete answer.

    Parameters
    ----------
    is_foreign
        Returns whether an answer belongs to an earlier request on the connection;
        such answers are skipped.

    Raises
    ------
    UnreachableError
        No byte of the request was sent.
    TargetTimeoutError
        The answer was not complete when the timeout expired.
    TargetBrokenError
        The connection broke, or the answer is malformed.
    """
    deadline = time.monotonic() + timeout_s
    data = format_request(method, target, address, headers, body)
    conn = send_request(pool, address, data, timeout_s=timeout_s)
    try:
        while is_foreign(head := conn.read_head(deadline)):
            conn.skip_answer(deadline)
        with pool.memory.open() as hold:
            body = conn.read_whole_body(
                deadline, max_bytes=MAX_CONTROL_BYTES, hold=hold
            )
    except BaseException:
        conn.close()
        raise
    pool.release(conn, head, time.monotonic())
    return Answer(head, body)
