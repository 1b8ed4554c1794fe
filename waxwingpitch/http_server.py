"""WSGI server shared by the daemons and the stand-ins."""

from __future__ import annotations

import logging
import socket

from gevent import pywsgi
from gevent.pool import Pool

MAX_REQUEST_LINE_BYTES = 8192
SOCKET_KEY = "waxwingpitch.socket"

logger = logging.getLogger(__name__)


class _Handler(pywsgi.WSGIHandler):
    """Disables Nagle's algorithm so that small writes are sent immediately.

    The environment of a request contains the caller's socket under ``SOCKET_KEY``.
    While the server stops, connections end with the next answer, which says so.
    """

    MAX_REQUEST_LINE = MAX_REQUEST_LINE_BYTES

    def __init__(self, sock, address, server):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_one_response(self):
        self.server.in_progress += 1
        try:
            super().handle_one_response()
        finally:
            self.server.in_progress -= 1
            self.close_connection = self.close_connection or self.server.is_stopping

    def start_response(self, status, headers, exc_info=None):
        if self.server.is_stopping:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def log_request(self):
        """Do nothing; the application logs requests."""

    def log_error(self, msg, *args):
        logger.debug("http: " + msg, *args)


class HttpServer(pywsgi.WSGIServer):
    """A WSGI server on one address.

    Parameters
    ----------
    host, port
        Address to bind; port 0 for any free port.
    app
        WSGI application.
    connections
        Maximum number of concurrent connections; None for no limit.

    Attributes
    ----------
    in_progress
        Requests whose head has been read and whose answer is not fully written.
    is_stopping
        Whether connections end with their next answer.
    """

    def __init__(self, host: str, port: int, app, *, connections: int | None = None):
        super().__init__(
            (host, port),
            app,
            handler_class=_Handler,
            log=None,
            error_log=logging.getLogger("waxwingpitch.http"),
            spawn=Pool(connections) if connections else "default",
        )
        self.in_progress = 0
        self.is_stopping = False

    @property
    def address_text(self) -> str:
        """Bound address as ``IP:port``; available after the start."""
        return f"{self.address[0]}:{self.address[1]}"
