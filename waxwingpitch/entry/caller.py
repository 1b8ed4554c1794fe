"""Notices that a caller has closed its connection."""

from __future__ import annotations

import socket

from ..http_server import SOCKET_KEY


class CallerSocket:
    """The connection that a request came over.

    Parameters
    ----------
    environ
        WSGI environment.
    """

    def __init__(self, environ: dict):
        sock = environ.get(SOCKET_KEY)
        self._fd = sock.fileno() if sock is not None else -1
        self._sock = sock

    def is_gone(self) -> bool:
        """Return whether the other side has closed the connection."""
        if self._sock is None or self._sock.fileno() < 0:
            return self._sock is not None
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return self._sock._sock.recv(1, flags) == b""
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
