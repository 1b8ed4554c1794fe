"""Connections of callers: requests in, answers out, leaving callers noticed."""

from __future__ import annotations

import logging
import socket
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

READ_BYTES = 65536
BACKLOG = 1024
# Requests that a caller may send ahead before the connection is no longer read.
MAX_PIPELINED = 8

logger = logging.getLogger(__name__)


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class Responder:
    """Writes the answer to one request.

    Attributes
    ----------
    arrived_at
        Monotonic time at which the whole request had been read.
    started
        Whether a part of the answer has been written.
    ended
        Whether the answer is whole.
    """

    def __init__(self, sock: socket.socket, req: CallerRequest, *, close: bool):
        self._sock = sock
        self.arrived_at = time.monotonic()
        self.started = False
        self.ended = False
        self.close = close or not req.keep_alive

    def send_answer(self, answer: Answer) -> None:
        """Write a whole answer."""
        self.started = True
        self._write(format_answer(answer, close=self.close))
        self.ended = True

    def start_stream(self, head: AnswerHead, headers: Iterable) -> None:
        """Write the head of an answer whose body comes in parts."""
        self.started = True
        text = format_head(head.status, headers, close=self.close)
        self._write(text + b"Transfer-Encoding: chunked\r\n\r\n")

    def send_chunk(self, data: bytes) -> None:
        """Write a part of the body."""
        self._write(format_chunk(data))

    def end_stream(self) -> None:
        """Write the end of the body."""
        self._write(LAST_CHUNK)
        self.ended = True

    def _write(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerDisconnectedError(str(exc)) from exc


Handler = Callable[[CallerRequest, Responder], None]


class _CallerConnection:
    """One caller's connection: reads ahead while a request is answered."""

    def __init__(self, sock, listener: CallerListener):
        self._sock = sock
        self._listener = listener
        self._limits = listener.limits()
        self._waiting: deque[CallerRequest] = deque()
        self._running: gevent.Greenlet | None = None
        self._quiet_since = time.monotonic()
        self._closing = False

    @property
    def is_idle(self) -> bool:
        return self._running is None and not self._waiting

    def run(self) -> None:
        reader = RequestReader(
            header_bytes=self._limits.header_bytes, body_bytes=self._limits.body_bytes
        )
        try:
            while not self._closing:
                data = self._receive(reader)
                if data is None:
                    continue
                if not data:
                    break
                self._waiting.extend(reader.feed(data))
                self._start_next()
        except MalformedRequestError as exc:
            self._refuse(exc)
        except OSError as exc:
            logger.debug("caller's connection: %s", exc)
        finally:
            if self._running is not None:
                self._running.kill(
                    CallerDisconnectedError("connection closed"), block=False
                )
            self._sock.close()

    def close_when_idle(self) -> None:
        self._closing = True
        if self.is_idle:
            self._shut()

    def _receive(self, reader: RequestReader) -> bytes | None:
        while len(self._waiting) > MAX_PIPELINED:
            gevent.sleep(0.01)
        left_s = self._limits.header_s if reader.started else self._limits.idle_s
        try:
            self._sock.settimeout(left_s)
            return self._sock.recv(READ_BYTES)
        except TimeoutError:
            if reader.started and self.is_idle:
                raise MalformedRequestError(
                    408, "the request did not arrive in time"
                ) from None
            quiet_s = time.monotonic() - self._quiet_since
            if self.is_idle and quiet_s >= self._limits.idle_s:
                return b""
            return None

    def _start_next(self) -> None:
        if self._running is None and self._waiting:
            req = self._waiting.popleft()
            self._running = gevent.spawn(self._answer, req)

    def _answer(self, req: CallerRequest) -> None:
        resp = Responder(self._sock, req, close=self._listener.stopping)
        try:
            self._listener.handler(req, resp)
        except CallerDisconnectedError:
            self._shut()
            return
        except Exception:
            logger.exception("request failed")
        self._running = None
        self._quiet_since = time.monotonic()
        if not resp.ended or resp.close or (self._closing and not self._waiting):
            self._shut()
            return
        self._start_next()

    def _shut(self) -> None:
        self._closing = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            logger.debug("caller's connection was already closed")

    def _refuse(self, exc: MalformedRequestError) -> None:
        if self._running is not None:
            self._running.join()
        text = str(exc).encode()
        answer = Answer(AnswerHead(exc.status, ()), text + b"\n")
        try:
            self._sock.sendall(format_answer(answer, close=True))
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            logger.debug("caller left before it was refused")
        logger.info(
            "malformed request refused",
            extra={"status": exc.status, "reason": str(exc)},
        )


class CallerListener:
    """Accepts callers' connections.

    Parameters
    ----------
    host, port
        Address to bind.
    handler
        Answers one request, in a greenlet of its own. It is killed with
        :class:`CallerDisconnectedError` when the caller leaves.
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
        self._server = StreamServer((host, port), self._accept, backlog=BACKLOG)

    @property
    def port(self) -> int:
        """Port that is bound."""
        return self._server.address[1]

    @property
    def active_connections(self) -> int:
        """Connections with a request in progress."""
        return sum(not conn.is_idle for conn in self._conns)

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def disable_keep_alive(self) -> None:
        """End each connection after the answer in progress."""
        self.stopping = True

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for conn in list(self._conns):
            conn.close_when_idle()

    def stop_accepting(self) -> None:
        """Close the listening socket."""
        self._server.close()

    def _accept(self, sock, address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = _CallerConnection(sock, self)
        self._conns.add(conn)
        try:
            conn.run()
        finally:
            self._conns.discard(conn)
