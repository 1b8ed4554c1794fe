"""Structured logs: one JSON object a line."""

from __future__ import annotations

import datetime
import logging
import os
import sys
from collections import deque

import gevent
import msgspec

FLUSH_S = 0.05

_STANDARD = frozenset(
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
            if key not in _STANDARD:
                line[key] = value
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def set_up_logging(level: str) -> None:
    """Send all records of a level and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("waxwingpitch.websockets").setLevel(logging.ERROR)


class BoundedHandler(logging.Handler):
    """Writes records to standard output without ever blocking the process.

    Lines wait in a bounded queue. When it is full, lines below warning level are
    dropped first; what was dropped is counted in a line of its own. Every line has a
    number, so that a reader sees where lines are missing.

    Parameters
    ----------
    lines
        Most lines that wait.
    """

    def __init__(self, lines: int = 4096):
        super().__init__()
        self._lines = lines
        self._waiting: deque[bytes] = deque()
        self._dropped = 0
        self._number = 0
        self._rest = b""
        self._fd = sys.stdout.fileno()
        os.set_blocking(self._fd, False)
        self._greenlet = gevent.spawn(self._write_forever)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record."""
        if len(self._waiting) >= self._lines and record.levelno < logging.WARNING:
            self._dropped += 1
            self._number += 1
            return
        if len(self._waiting) >= 2 * self._lines:
            self._waiting.popleft()
            self._dropped += 1
        self._number += 1
        record.line = self._number
        self._waiting.append(self.format(record).encode() + b"\n")

    def _write_forever(self) -> None:
        while True:
            gevent.sleep(FLUSH_S)
            self.flush()

    def flush(self) -> None:
        """Write what waits, as far as standard output takes it."""
        if self._dropped and len(self._waiting) < self._lines:
            line = msgspec.json.encode(
                {"level": "warning", "message": "lines dropped", "count": self._dropped}
            )
            self._dropped = 0
            self._waiting.append(line + b"\n")
        if self._waiting:
            self._rest += b"".join(self._waiting)
            self._waiting.clear()
        try:
            while self._rest:
                written = os.write(self._fd, self._rest)
                self._rest = self._rest[written:]
        except BlockingIOError:
            return
        except OSError:
            self._rest = b""


def set_up_bounded_logging(level: str) -> None:
    """Send all records of a level and above to standard output, never blocking."""
    handler = BoundedHandler()
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("waxwingpitch.websockets").setLevel(logging.ERROR)
