"""Detects that a caller has closed its connection."""

from __future__ import annotations

import socket
import time

from ..http_server import SOCKET_KEY

CHECK_INTERVAL_S = 0.25
PEEK_FLAGS = int(socket.MSG_PEEK) | int(socket.MSG_DONTWAIT)


class CallerSocket:
    """The connection on which a request arrived.

    Parameters
    ----------
    environ
        WSGI environment.
    """

    def __init__(self, environ: dict):
        sock = environ.get(SOCKET_KEY)
        self._sock = sock
        self._check_at = 0.0

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed the connection.

        It is called for each piece of an answer, so the socket is checked at most once
        per ``CHECK_INTERVAL_S``; between checks the result is False.
        """
        now = time.monotonic()
        if now < self._check_at:
            return False
        self._check_at = now + CHECK_INTERVAL_S
        return self._peek_closed()

    def _peek_closed(self) -> bool:
        if self._sock is None or self._sock.fileno() < 0:
            return self._sock is not None
        try:
            return self._sock._sock.recv(1, PEEK_FLAGS) == b""
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
