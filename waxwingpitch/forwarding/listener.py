"""Accepts caller connections, and ends them when the process stops."""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Callable

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer

from ..configuration.routes import CallerLimits
from ..memory import CallerAccount, CallerBounds
from .connection import CallerConnection, refuse_connection
from .responder import Handler

BACKLOG = 1024
# Receive buffer of a connection, for what its caller sends while nothing is read. The
# kernel would let it grow to some megabytes. It holds several segments of loopback.
RECEIVE_BUFFER_BYTES = 256 * 1024

logger = logging.getLogger(__name__)


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
    account
        What all callers hold; by default one with the bounds of a large process.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        account: CallerAccount | None = None,
    ):
        self.handler = handler
        self.limits = limits
        self.account = account or CallerAccount(CallerBounds())
        self.stopping = False
        self._conns: set[CallerConnection] = set()
        self._listening = socket.create_server((host, port), backlog=BACKLOG)
        self._listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        # Callers above the limit wait to be accepted, so that they take no descriptors.
        pool = Pool(self.account.max_connections)
        self._server = StreamServer(self._listening, self._accept, spawn=pool)

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
            conn = self._add(sock)
            if conn is not None:
                gevent.spawn(self._serve, conn)

    def _accept(self, sock, address) -> None:
        conn = self._add(sock)
        if conn is not None:
            self._serve(conn)

    def _add(self, sock) -> CallerConnection | None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = CallerConnection(sock, self)
        if not conn.is_accepted:
            logger.info(
                "connection refused, too many are open",
                extra={"connections": self.account.connections},
            )
            gevent.spawn(refuse_connection, sock)
            return None
        self._conns.add(conn)
        return conn

    def _serve(self, conn: CallerConnection) -> None:
        try:
            conn.run()
        finally:
            self._conns.discard(conn)
