"""Caller connections: reads requests, writes answers and detects disconnects."""

from __future__ import annotations

import array
import fcntl
import logging
import socket
import termios
import time
from collections import deque
from collections.abc import Callable, Iterable

import gevent
from gevent.server import StreamServer

from ..configuration.routes import CallerLimits
from .answers import (
    LAST_CHUNK,
    Answer,
    AnswerHead,
    format_answer,
    format_chunk,
    format_head,
)
from .parsing import CallerRequest, MalformedRequestError, RequestReader
from .turns import TurnReader

READ_BYTES = 65536
BACKLOG = 1024
# Pipelined requests that may wait on a connection before reading from it pauses.
MAX_PIPELINED_REQUESTS = 8
# Time after a connection was accepted, or its last answer ended, for which a request is
# taken to be on its way. A drain does not close the connection until then.
QUIET_S = 0.5
# Time for which bytes are read and dropped after the last answer. Closing a socket with
# unread bytes resets the connection, which destroys what the caller has not read yet.
LINGER_S = 0.5

logger = logging.getLogger(__name__)


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the answer was complete."""


class AnswerBegunError(Exception):
    """A second answer to a request, which would stand within the first one."""


class Responder:
    """Writes the answer to one request.

    Attributes
    ----------
    arrived_at
        Monotonic time at which the complete request had arrived.
    started
        Whether a part of the answer has been written.
    ended
        Whether the complete answer has been written.
    close
        Whether the connection is closed after the answer.

    Parameters
    ----------
    is_last
        Returns whether the connection takes no further request. Asked when the head
        is written, which tells the caller.
    """

    def __init__(
        self,
        sock: socket.socket,
        req: CallerRequest,
        arrived_at: float,
        *,
        is_last: Callable[[], bool],
    ):
        self._sock = sock
        self._is_last = is_last
        self.arrived_at = arrived_at
        self.started = False
        self.ended = False
        self.close = not req.keep_alive

    def send_answer(self, answer: Answer) -> None:
        """Write a complete answer.

        Raises
        ------
        AnswerBegunError
            Another answer has begun; its connection is closed, as it can't be whole.
        """
        self._begin()
        self._write(format_answer(answer, close=self.close))
        self.ended = True

    def start_stream(self, head: AnswerHead, headers: Iterable) -> None:
        """Write the head of an answer whose body follows in chunks."""
        self._begin()
        head_lines = format_head(head.status, headers, close=self.close)
        self._write(head_lines + b"Transfer-Encoding: chunked\r\n\r\n")

    def send_chunk(self, data: bytes) -> None:
        """Write one chunk of the body."""
        self._write(format_chunk(data))

    def end_stream(self) -> None:
        """Write the last chunk, which ends the body."""
        self._write(LAST_CHUNK)
        self.ended = True

    def _begin(self) -> None:
        if self.started:
            self.close = True
            raise AnswerBegunError("a second answer to one request")
        self.started = True
        self.close = self.close or self._is_last()

    def _write(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerDisconnectedError(str(exc)) from exc


Handler = Callable[[CallerRequest, Responder], None]


class _CallerConnection:
    """One caller's connection.

    It is read also while a request is handled, which detects that the caller
    disconnects. The reading greenlet is the only one that closes the socket, once the
    handling one has ended; others shut it down.
    """

    def __init__(self, sock, listener: CallerListener):
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


class CallerListener:
    """Accepts caller connections and hands their requests to a handler.

    Parameters
    ----------
    host, port
        Address to bind.
    handler
        Answers one request, in a greenlet of its own. It is killed with
        :class:`CallerDisconnectedError` when the caller disconnects.
    limits
        Returns the limits in force.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: Callable[[], CallerLimits],
    ):
        self.handler = handler
        self.limits = limits
        self.stopping = False
        self._conns: set[_CallerConnection] = set()
        self._listening = socket.create_server((host, port), backlog=BACKLOG)
        self._server = StreamServer(self._listening, self._accept)

    @property
    def port(self) -> int:
        """Port that the listener is bound to."""
        return self._listening.getsockname()[1]

    @property
    def active_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(not conn.is_idle for conn in self._conns)

    @property
    def open_connections(self) -> int:
        """Number of connections, idle ones included."""
        return len(self._conns)

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def disable_keep_alive(self) -> None:
        """Close connections after the answers that begin from now on."""
        self.stopping = True

    def close_idle(self) -> None:
        """Close the connections on which no request is expected any more."""
        now = time.monotonic()
        for conn in list(self._conns):
            conn.close_if_quiet(now)

    def interrupt_unanswered(self, exc: Exception) -> None:
        """Raise an exception in the handlers that have not begun to answer."""
        loop = gevent.get_hub().loop
        for conn in list(self._conns):
            loop.run_callback(conn.interrupt_unanswered, exc)

    def stop_accepting(self) -> None:
        """Accept the connections that already wait, and close the listening socket.

        Closing it resets those that wait, whose callers may have sent requests.
        """
        self._server.stop_accepting()
        self._accept_waiting()
        self._server.close()
        self._listening.close()
        # Connections that were accepted just before are counted once they have run.
        gevent.sleep(0)

    def _accept_waiting(self) -> None:
        self._listening.settimeout(0.0)
        while True:
            try:
                sock, _ = self._listening.accept()
            except OSError:
                return
            sock.settimeout(None)
            gevent.spawn(self._serve, self._add(sock))

    def _accept(self, sock, address) -> None:
        self._serve(self._add(sock))

    def _add(self, sock) -> _CallerConnection:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = _CallerConnection(sock, self)
        self._conns.add(conn)
        return conn

    def _serve(self, conn: _CallerConnection) -> None:
        try:
            conn.run()
        finally:
            self._conns.discard(conn)
