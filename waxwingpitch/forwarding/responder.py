"""Writes the answer to one request of a caller."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable

from .answers import (
    LAST_CHUNK,
    Answer,
    AnswerHead,
    format_answer,
    format_chunk,
    format_head,
)
from .parsing import CallerRequest


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the answer was complete."""


class AnswerBegunError(Exception):
    """A second answer to a request, which would stand within the first one."""


class Responder:
    """Writes the answer to one request.

    Attributes
    ----------
    arrived_at
        Monotonic time at which the complete request had arrived.
    started
        Whether a part of the answer has been written.
    ended
        Whether the complete answer has been written.
    close
        Whether the connection is closed after the answer.

    Parameters
    ----------
    is_last
        Returns whether the connection takes no further request. Asked when the head
        is written, which tells the caller.
    """

    def __init__(
        self,
        sock: socket.socket,
        req: CallerRequest,
        arrived_at: float,
        *,
        is_last: Callable[[], bool],
    ):
        self._sock = sock
        self._is_last = is_last
        self.arrived_at = arrived_at
        self.started = False
        self.ended = False
        self.close = not req.keep_alive

    def send_answer(self, answer: Answer) -> None:
        """Write a complete answer.

        Raises
        ------
        AnswerBegunError
            Another answer has begun; its connection is closed, as it can't be whole.
        """
        self._begin()
        self._write(format_answer(answer, close=self.close))
        self.ended = True

    def start_stream(self, head: AnswerHead, headers: Iterable) -> None:
        """Write the head of an answer whose body follows in chunks."""
        self._begin()
        head_lines = format_head(head.status, headers, close=self.close)
        self._write(head_lines + b"Transfer-Encoding: chunked\r\n\r\n")

    def send_chunk(self, data: bytes) -> None:
        """Write one chunk of the body."""
        self._write(format_chunk(data))

    def end_stream(self) -> None:
        """Write the last chunk, which ends the body."""
        self._write(LAST_CHUNK)
        self.ended = True

    def _begin(self) -> None:
        if self.started:
            self.close = True
            raise AnswerBegunError("a second answer to one request")
        self.started = True
        self.close = self.close or self._is_last()

    def _write(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerDisconnectedError(str(exc)) from exc


Handler = Callable[[CallerRequest, Responder], None]
