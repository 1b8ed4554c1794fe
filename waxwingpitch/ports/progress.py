"""Progress timeouts of open streams, checked by one greenlet.

A timer for each read would cost more than the read. Therefore one greenlet checks
all streams and shuts down those whose deadline has passed.
"""

from __future__ import annotations

import socket
import time

import gevent

CHECK_INTERVAL_S = 0.25


class WatchedStream:
    """A stream and the deadline by which it must make progress.

    Attributes
    ----------
    timed_out
        Whether the stream was shut down because no data arrived by the deadline.
    """

    def __init__(self, sock: socket.socket, progress_timeout_s: float):
        self._sock = sock
        self._progress_timeout_s = progress_timeout_s
        self.deadline = time.monotonic() + progress_timeout_s
        self.timed_out = False

    def extend_deadline(self) -> None:
        """Restart the timeout after data has arrived."""
        self.deadline = time.monotonic() + self._progress_timeout_s

    def shut_down(self) -> None:
        """Mark the stream as timed out and shut its socket down.

        The shutdown ends the blocked read of the stream's reader.
        """
        self.timed_out = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


class ProgressMonitor:
    """Checks the open streams of a process while there are any."""

    def __init__(self):
        self._streams: set[WatchedStream] = set()
        self._greenlet: gevent.Greenlet | None = None

    def add(self, sock: socket.socket, progress_timeout_s: float) -> WatchedStream:
        """Watch a stream until it is removed."""
        stream = WatchedStream(sock, progress_timeout_s)
        self._streams.add(stream)
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._check_until_empty)
        return stream

    def remove(self, stream: WatchedStream) -> None:
        """Stop watching a stream."""
        self._streams.discard(stream)

    def _check_until_empty(self) -> None:
        while self._streams:
            gevent.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            for stream in [item for item in self._streams if item.deadline <= now]:
                stream.shut_down()
        self._greenlet = None


progress_monitor = ProgressMonitor()
