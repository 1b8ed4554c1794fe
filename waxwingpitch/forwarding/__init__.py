"""HTTP/1.1 forwarding between callers and targets: framing, connections, streams."""

from __future__ import annotations

from .answers import Answer, AnswerHead, format_answer, format_head
from .events import EventSplitter, StreamEvent
from .listener import CallerListener
from .parsing import AnswerReader, CallerRequest, MalformedRequestError, RequestReader
from .responder import Responder
from .targets import (
    ConnectionPool,
    TargetBrokenError,
    TargetConnection,
    TargetMalformedError,
    TargetOversizedError,
    TargetTimeoutError,
    UnreachableError,
)

__all__ = [
    "Answer",
    "AnswerHead",
    "AnswerReader",
    "CallerListener",
    "CallerRequest",
    "ConnectionPool",
    "EventSplitter",
    "MalformedRequestError",
    "RequestReader",
    "Responder",
    "StreamEvent",
    "TargetBrokenError",
    "TargetConnection",
    "TargetMalformedError",
    "TargetOversizedError",
    "TargetTimeoutError",
    "UnreachableError",
    "format_answer",
    "format_head",
]
