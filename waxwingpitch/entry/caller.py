"""Notices that a caller has closed its connection."""

from __future__ import annotations

import socket
import time

from ..http_server import SOCKET_KEY

CHECK_INTERVAL_S = 0.25
PEEK_FLAGS = int(socket.MSG_PEEK) | int(socket.MSG_DONTWAIT)


class CallerSocket:
    """The connection that a request came over.

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
        """Return whether the other side has closed the connection.

        Asks the kernel only once an interval, since it is called for each piece.
        """
        now = time.monotonic()
        if now < self._check_at:
            return False
        self._check_at = now + CHECK_INTERVAL_S
        return self._is_closed()

    def _is_closed(self) -> bool:
        if self._sock is None or self._sock.fileno() < 0:
            return self._sock is not None
        try:
            return self._sock._sock.recv(1, PEEK_FLAGS) == b""
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
