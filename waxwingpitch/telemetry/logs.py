"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import datetime
import logging
import sys

import msgspec

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
