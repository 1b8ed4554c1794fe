"""Turns of greenlets that read from sockets whose peers may send without end.

A read whose bytes have arrived already returns without running any other greenlet, so
that a peer which sends faster than it is read would keep all others waiting.
"""

from __future__ import annotations

import math
import time

import gevent

# Time for which a greenlet may go on while what it waits for is always there already.
TURN_S = 0.005
# Pause between two turns. With a pause of zero the event loop would run the greenlet up
# to 50 times before it looks at sockets and timers again.
PAUSE_S = 0.0001


class TurnReader:
    """Reads from a socket, and lets other greenlets run in between.

    Parameters
    ----------
    sock
        Socket, or an object with its ``settimeout`` and ``recv``.
    """

    def __init__(self, sock):
        self._sock = sock
        # Infinite if the last read had to wait.
        self._turn_deadline = math.inf

    def recv(self, size: int, timeout_s: float | None) -> bytes:
        """Return bytes, waiting for them up to a timeout in seconds.

        Raises
        ------
        TimeoutError
            Nothing arrived in time.
        OSError
            The connection broke.
        """
        self.end_turn_if_due()
        self._sock.settimeout(0.0)
        try:
            return self._sock.recv(size)
        except BlockingIOError:
            self._turn_deadline = math.inf
        finally:
            # The timeout also holds for a greenlet that sends on the socket.
            self._sock.settimeout(timeout_s)
        return self._sock.recv(size)

    def end_turn_if_due(self) -> None:
        """Let other greenlets run if this one has gone on for long without waiting."""
        now = time.monotonic()
        if self._turn_deadline == math.inf:
            self._turn_deadline = now + TURN_S
        elif now >= self._turn_deadline:
            gevent.sleep(PAUSE_S)
            self._turn_deadline = time.monotonic() + TURN_S
