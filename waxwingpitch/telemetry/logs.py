"""Structured logs with one JSON object per line."""

from __future__ import annotations

import datetime
import logging
import os
import sys
import time
from collections import deque

import gevent
import msgspec

FLUSH_INTERVAL_S = 0.05
# Interval at which a process that ends tries again to write its last lines.
FLUSH_RETRY_INTERVAL_S = 0.005

_STANDARD_ATTRIBUTES = frozenset(
    logging.LogRecord("", 0, "", 0, "", (), None).__dict__.keys()
    | {"message", "asctime", "taskName"}
)


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object.

    Keys given as ``extra`` become keys of the object.
    """

    def format(self, record: logging.LogRecord) -> str:
        at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line = {
            "at": at.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        for key, value in record.__dict__.items():
            if key not in _STANDARD_ATTRIBUTES:
                line[key] = value
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def set_up_logging(level: str) -> None:
    """Log records of a level and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("websockets").setLevel(logging.ERROR)


class BoundedHandler(logging.Handler):
    """Writes records to standard output without ever blocking the process.

    Lines are buffered in a queue. At its limit, lines below warning level are dropped;
    at twice the limit, the oldest line is. The number of dropped lines is logged, and
    lines have sequence numbers, so that gaps show where lines are missing.

    Parameters
    ----------
    queue_limit
        Length of the queue from which lines below warning level are dropped.
    """

    def __init__(self, queue_limit: int = 4096):
        super().__init__()
        self._queue_limit = queue_limit
        self._queue: deque[bytes] = deque()
        self._dropped = 0
        self._number = 0
        self._unwritten = b""
        self._fd = sys.stdout.fileno()
        os.set_blocking(self._fd, False)
        self._greenlet = gevent.spawn(self._write_forever)

    def emit(self, record: logging.LogRecord) -> None:
        """Add a record to the queue, or drop it."""
        if len(self._queue) >= self._queue_limit and record.levelno < logging.WARNING:
            self._dropped += 1
            self._number += 1
            return
        if len(self._queue) >= 2 * self._queue_limit:
            self._queue.popleft()
            self._dropped += 1
        self._number += 1
        record.line = self._number
        self._queue.append(self.format(record).encode() + b"\n")

    def _format_dropped(self) -> bytes:
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "lines dropped", (), None
        )
        record.count = self._dropped
        return self.format(record).encode()

    def _write_forever(self) -> None:
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush_until(self, deadline: float) -> None:
        """Write all queued lines, waiting for standard output until a deadline.

        Parameters
        ----------
        deadline
            Time of the monotonic clock.
        """
        self.flush()
        while (self._queue or self._unwritten) and time.monotonic() < deadline:
            gevent.sleep(FLUSH_RETRY_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write the queued lines, as far as standard output accepts them."""
        if self._dropped and len(self._queue) < self._queue_limit:
            self._queue.append(self._format_dropped() + b"\n")
            self._dropped = 0
        try:
            while self._unwritten or self._queue:
                if not self._unwritten:
                    self._unwritten = b"".join(self._queue)
                    self._queue.clear()
                written = os.write(self._fd, self._unwritten)
                self._unwritten = self._unwritten[written:]
        except BlockingIOError:
            return
        except OSError:
            self._unwritten = b""


def set_up_bounded_logging(level: str) -> BoundedHandler:
    """Log records of a level and above to standard output without blocking."""
    handler = BoundedHandler()
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("websockets").setLevel(logging.ERROR)
    return handler
