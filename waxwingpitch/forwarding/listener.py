"""Accepts caller connections, and ends them when the process stops."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

import gevent
from gevent.server import StreamServer

from ..configuration.routes import CallerLimits
from .connection import CallerConnection
from .responder import Handler

BACKLOG = 1024


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
        self._conns: set[CallerConnection] = set()
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

    def _add(self, sock) -> CallerConnection:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = CallerConnection(sock, self)
        self._conns.add(conn)
        return conn

    def _serve(self, conn: CallerConnection) -> None:
        try:
            conn.run()
        finally:
            self._conns.discard(conn)
