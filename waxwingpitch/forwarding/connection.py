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
from ..memory import CallerAccount, HoldKind, Rejection, RejectionReason
from ..memory.account import RETRY_AFTER_S
from .answers import Answer, AnswerHead, Headers, format_answer
from .parsing import CallerRequest, MalformedRequestError, RequestReader
from .responder import CallerDisconnectedError, Handler, Responder
from .turns import TurnReader

# What one read returns is parsed before its memory is accounted for, which is up to 40
# times as much for small fields.
READ_BYTES = 16384
# Pipelined requests that may wait on a connection before reading from it pauses.
MAX_PIPELINED_REQUESTS = 8
# Time after a connection was accepted, or its last answer ended, for which a request is
# taken to be on its way. A drain does not close the connection until then.
QUIET_S = 0.5
# Time for which bytes are read and dropped after the last answer. Closing a socket with
# unread bytes resets the connection, which destroys what the caller has not read yet.
LINGER_S = 0.5

REASONS = {
    408: RejectionReason.TIMEOUT,
    413: RejectionReason.BODY_SIZE,
    431: RejectionReason.HEAD_SIZE,
}

logger = logging.getLogger(__name__)


class RejectedError(MalformedRequestError):
    """A request that is rejected for what its connection holds."""

    def __init__(self, rejection: Rejection):
        super().__init__(
            rejection.status, f"not run, the gateway is full ({rejection.reason.value})"
        )
        self.rejection = rejection


class ConnectionOwner(Protocol):
    """What a connection needs of the listener that accepted it."""

    handler: Handler
    limits: Callable[[], CallerLimits]
    stopping: bool
    account: CallerAccount


class CallerConnection:
    """One caller's connection.

    It is read also while a request is handled, which detects that the caller
    disconnects. The reading greenlet is the only one that closes the socket, once the
    handling one has ended; others shut it down.

    Attributes
    ----------
    is_accepted
        Whether the connection may be served; if not, it must be closed at once.
    """

    def __init__(self, sock, listener: ConnectionOwner):
        self._sock = sock
        self._input = TurnReader(sock)
        self._listener = listener
        self._limits = listener.limits()
        self._pending: deque[tuple[CallerRequest, float]] = deque()
        self._handler_greenlet: gevent.Greenlet | None = None
        self._opened_at = self._idle_since = time.monotonic()
        self._closing = False
        self._linger: gevent.Greenlet | None = None
        self._resp: Responder | None = None
        self._reader = self._build_reader()
        self._greenlet: gevent.Greenlet | None = None
        self._is_receiving = False
        self._account = listener.account
        self._hold, self._rejection = self._account.open(self._evict, self._idle_since)
        self.is_accepted = self._hold is not None

    @property
    def is_idle(self) -> bool:
        return self._handler_greenlet is None and not self._pending

    def run(self) -> None:
        self._greenlet = gevent.getcurrent()
        try:
            while True:
                data = self._receive()
                if data is None or (data and self._closing):
                    continue
                if not data:
                    break
                self._take(data)
        except MalformedRequestError as exc:
            self._reject(exc)
        except OSError as exc:
            logger.debug("caller connection failed: %s", exc)
        finally:
            try:
                self._end()
            finally:
                self._hold.close()

    def _end(self) -> None:
        if self._handler_greenlet is not None:
            self._handler_greenlet.kill(CallerDisconnectedError("connection closed"))
        if self._linger is not None:
            self._linger.kill(block=False)
        self._sock.close()
        self._reader.close()

    def _take(self, data: bytes) -> None:
        """Parse bytes, and serve what is complete if there is memory for all of it."""
        now = time.monotonic()
        had_partial = self._reader.has_partial_request
        completed = self._reader.feed(data)
        if completed or self._reader.has_partial_request:
            self._hold.receive(len(data), now)
        elif self.is_idle and now - self._idle_since >= self._limits.idle_timeout_s:
            # Blank lines in front of a request neither begin one nor keep a connection.
            self._shut_down()
            return
        if completed or (self._reader.has_partial_request and not had_partial):
            self._hold.mark_progress(now)
        self._pending.extend((req, now) for req in completed)
        self._record_held()
        rejection = self._hold.admit(now)
        if rejection is not None:
            self._drop_unserved()
            raise RejectedError(rejection)
        self._start_next_request()
        if self._reader.error is not None:
            raise self._reader.error

    def _evict(self, rejection: Rejection) -> None:
        """Take all that is not being served, and close behind the current answer."""
        if self._hold.is_ending:
            return
        self._hold.is_ending = True
        has_request = self._reader.has_partial_request or self._has_unread_bytes()
        if self.is_idle and not has_request:
            self._log_rejection(rejection)
            self._shut_down()
            return
        self._rejection = rejection
        self._drop_unserved()
        gevent.get_hub().loop.run_callback(self._interrupt_receiving)

    def _interrupt_receiving(self) -> None:
        """Raise the rejection where bytes are waited for; called in the hub."""
        if self._is_receiving and self._rejection is not None:
            self._greenlet.throw(RejectedError(self._rejection))

    def _drop_unserved(self) -> None:
        self._pending.clear()
        self._drop_partial()

    def _drop_partial(self) -> None:
        self._reader.close()
        self._reader = self._build_reader()
        self._record_held()

    def _build_reader(self) -> RequestReader:
        return RequestReader(
            header_bytes=self._limits.header_bytes, body_bytes=self._limits.body_bytes
        )

    def _record_held(self) -> None:
        partial = self._reader.partial
        self._hold.set(HoldKind.HEAD, partial.head)
        self._hold.set(HoldKind.BODY, partial.body)
        self._hold.set(HoldKind.TRAILERS, partial.trailers)
        waiting_bytes = sum(req.held_bytes for req, _ in self._pending)
        self._hold.set(HoldKind.WAITING, waiting_bytes)

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
        self._is_receiving = True
        try:
            data = None if self._rejection is not None else self._await_bytes()
        finally:
            self._is_receiving = False
        if self._rejection is not None:
            raise RejectedError(self._rejection)
        return data

    def _await_bytes(self) -> bytes | None:
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
            self._hold.set(HoldKind.SERVED, req.held_bytes)
            self._hold.is_served = True
            self._record_held()
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
        finally:
            self._hold.set(HoldKind.SERVED, 0)
            self._hold.is_served = False
        self._hold.mark_progress(time.monotonic())
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
        self._closing = self._hold.is_ending = True
        if self._pending:
            logger.info(
                "requests behind the last answer dropped",
                extra={"count": len(self._pending)},
            )
        self._drop_unserved()
        self._linger = gevent.spawn_later(LINGER_S, self._shut_down)
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            logger.debug("caller connection was already closed")

    def _shut_down(self) -> None:
        self._closing = self._hold.is_ending = True
        self._drop_unserved()
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            logger.debug("caller connection was already closed")

    def _reject(self, exc: MalformedRequestError) -> None:
        # The parts of a request that is refused are not kept until others are answered.
        self._drop_partial()
        while (handling := self._handler_greenlet) is not None and not handling.dead:
            handling.join()
        if self._closing:
            return
        headers: Headers = ()
        if isinstance(exc, RejectedError):
            self._log_rejection(exc.rejection)
            if exc.rejection.retry_after_s is not None:
                headers = ((b"Retry-After", b"%.2f" % exc.rejection.retry_after_s),)
        else:
            self._account.count_rejection(
                REASONS.get(exc.status, RejectionReason.MALFORMED)
            )
            logger.info(
                "malformed request refused",
                extra={"status": exc.status, "reason": str(exc)},
            )
        answer = Answer(AnswerHead(exc.status, headers), str(exc).encode() + b"\n")
        try:
            self._sock.sendall(format_answer(answer, close=True))
            self._end_sending()
            while self._input.recv(READ_BYTES, LINGER_S):
                continue
        except OSError:
            logger.debug("caller disconnected before the error answer was sent")

    def _log_rejection(self, rejection: Rejection) -> None:
        logger.info(
            "caller rejected",
            extra={
                "status": rejection.status,
                "reason": rejection.reason.value,
                "held_bytes": rejection.held_bytes,
                "held_by_all_bytes": self._account.held_bytes,
                "connections": self._account.connections,
                "open_ms": round(1000 * (time.monotonic() - self._opened_at)),
            },
        )


def refuse_connection(sock: socket.socket) -> None:
    """Answer that no request of a connection runs, and close it once that was read.

    Closing it at once would reset it, as its request is not read.
    """
    reason = RejectionReason.CONNECTIONS.value
    headers: Headers = ((b"Retry-After", b"%.2f" % RETRY_AFTER_S),)
    answer = Answer(AnswerHead(503, headers), f"full: {reason}\n".encode())
    deadline = time.monotonic() + LINGER_S
    try:
        sock.settimeout(LINGER_S)
        sock.sendall(format_answer(answer, close=True))
        sock.shutdown(socket.SHUT_WR)
        while time.monotonic() < deadline and sock.recv(READ_BYTES):
            gevent.sleep(0)
    except OSError as exc:
        logger.debug("caller disconnected before it was refused: %s", exc)
    finally:
        sock.close()
