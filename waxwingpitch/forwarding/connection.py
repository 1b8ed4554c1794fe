"""One caller's connection: reads its requests, one of which is served at a time."""

from __future__ import annotations

import array
import fcntl
import logging
import socket
import termios
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

import gevent

from ..configuration.routes import CallerLimits
from .answers import Answer, AnswerHead, format_answer
from .parsing import CallerRequest, MalformedRequestError, RequestReader
from .responder import CallerDisconnectedError, Handler, Responder
from .turns import TurnReader

READ_BYTES = 65536
# Pipelined requests that may wait on a connection before reading from it pauses.
MAX_PIPELINED_REQUESTS = 8
# Time after a connection was accepted, or its last answer ended, for which a request is
# taken to be on its way. A drain does not close the connection until then.
QUIET_S = 0.5
# Time for which bytes are read and dropped after the last answer. Closing a socket with
# unread bytes resets the connection, which destroys what the caller has not read yet.
LINGER_S = 0.5

logger = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """What a connection needs of the listener that accepted it."""

    handler: Handler
    limits: Callable[[], CallerLimits]
    stopping: bool


class CallerConnection:
    """One caller's connection.

    It is read also while a request is handled, which detects that the caller
    disconnects. The reading greenlet is the only one that closes the socket, once the
    handling one has ended; others shut it down.
    """

    def __init__(self, sock, listener: ConnectionOwner):
        self._sock = sock
        self._input = TurnReader(sock)
        self._listener = listener
        self._limits = listener.limits()
        self._pending: deque[tuple[CallerRequest, float]] = deque()
        self._handler_greenlet: gevent.Greenlet | None = None
        self._idle_since = time.monotonic()
        self._closing = False
        self._linger: gevent.Greenlet | None = None
        self._resp: Responder | None = None
        self._reader = RequestReader(
            header_bytes=self._limits.header_bytes, body_bytes=self._limits.body_bytes
        )

    @property
    def is_idle(self) -> bool:
        return self._handler_greenlet is None and not self._pending

    def run(self) -> None:
        try:
            while True:
                data = self._receive()
                if data is None or (data and self._closing):
                    continue
                if not data:
                    break
                now = time.monotonic()
                self._pending.extend((req, now) for req in self._reader.feed(data))
                self._start_next_request()
                if self._reader.error is not None:
                    raise self._reader.error
        except MalformedRequestError as exc:
            self._reject(exc)
        except OSError as exc:
            logger.debug("caller connection failed: %s", exc)
        finally:
            if self._handler_greenlet is not None:
                self._handler_greenlet.kill(
                    CallerDisconnectedError("connection closed")
                )
            if self._linger is not None:
                self._linger.kill(block=False)
            self._sock.close()

    def close_if_quiet(self, now: float) -> None:
        """Close unless a request has arrived, in part or whole, or may be on its way.

        A part of a request is waited for until its read time-out.
        """
        if (
            self.is_idle
            and now - self._idle_since >= QUIET_S
            and not self._reader.has_partial_request
            and not self._has_unread_bytes()
        ):
            self._shut_down()

    def interrupt_unanswered(self, exc: Exception) -> None:
        """Raise an exception in the handler, once, if it has not begun to answer.

        Must be called in the hub, where no handler begins to answer meanwhile.
        """
        resp, self._resp = self._resp, None
        if resp is not None and not resp.started:
            self._handler_greenlet.throw(exc)

    def _has_unread_bytes(self) -> bool:
        count = array.array("i", [0])
        try:
            fcntl.ioctl(self._sock.fileno(), termios.FIONREAD, count)
        except OSError:
            return False
        return count[0] > 0

    def _receive(self) -> bytes | None:
        while len(self._pending) > MAX_PIPELINED_REQUESTS:
            gevent.sleep(0.01)
        timeout_s = (
            self._limits.header_timeout_s
            if self._reader.has_partial_request
            else self._limits.idle_timeout_s
        )
        try:
            return self._input.recv(READ_BYTES, timeout_s)
        except TimeoutError:
            if self._reader.has_partial_request and self.is_idle:
                raise MalformedRequestError(
                    408, "the request did not arrive in time"
                ) from None
            idle_for_s = time.monotonic() - self._idle_since
            if self.is_idle and idle_for_s >= self._limits.idle_timeout_s:
                return b""
            return None

    def _start_next_request(self) -> None:
        if self._handler_greenlet is None and self._pending:
            req, arrived_at = self._pending.popleft()
            self._handler_greenlet = gevent.spawn(self._handle_request, req, arrived_at)

    def _handle_request(self, req: CallerRequest, arrived_at: float) -> None:
        resp = Responder(self._sock, req, arrived_at, is_last=self._is_last)
        self._resp = resp
        try:
            self._listener.handler(req, resp)
        except CallerDisconnectedError:
            self._shut_down()
            return
        except Exception:
            logger.exception("request failed")
        self._handler_greenlet = self._resp = None
        self._idle_since = time.monotonic()
        if not resp.ended or resp.close:
            self._end_sending()
            return
        self._start_next_request()

    def _is_last(self) -> bool:
        """Return whether the process stops and no further request has begun to come."""
        return self._listener.stopping and not (
            self._pending
            or self._reader.has_partial_request
            or self._has_unread_bytes()
        )

    def _end_sending(self) -> None:
        """End the connection behind the last answer, once the caller closes it too."""
        self._closing = True
        if self._pending:
            logger.info(
                "requests behind the last answer dropped",
                extra={"count": len(self._pending)},
            )
            self._pending.clear()
        self._linger = gevent.spawn_later(LINGER_S, self._shut_down)
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            logger.debug("caller connection was already closed")

    def _shut_down(self) -> None:
        self._closing = True
        self._pending.clear()
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            logger.debug("caller connection was already closed")

    def _reject(self, exc: MalformedRequestError) -> None:
        while (handling := self._handler_greenlet) is not None and not handling.dead:
            handling.join()
        if self._closing:
            return
        message = str(exc).encode()
        answer = Answer(AnswerHead(exc.status, ()), message + b"\n")
        try:
            self._sock.sendall(format_answer(answer, close=True))
            self._end_sending()
            while self._input.recv(READ_BYTES, LINGER_S):
                continue
        except OSError:
            logger.debug("caller disconnected before the error answer was sent")
        logger.info(
            "malformed request refused",
            extra={"status": exc.status, "reason": str(exc)},
        )
