"""Incremental readers of requests and answers, on a parser library."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import httptools

from .answers import AnswerHead, Headers


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request of a caller.

    Attributes
    ----------
    target
        Path and query as sent.
    keep_alive
        Whether the caller wants to go on using the connection.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool

    @property
    def path(self) -> bytes:
        """Path without the query."""
        return self.target.partition(b"?")[0]

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header whose name is in lower case."""
        return next((value for key, value in self.headers if key.lower() == name), None)


class MalformedRequestError(Exception):
    """A request that can't be read.

    Attributes
    ----------
    status
        Status of the answer.
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class RequestReader:
    """Reads requests from the bytes of one connection.

    Parameters
    ----------
    header_bytes, body_bytes
        Most bytes of a request's head and body.
    """

    def __init__(self, *, header_bytes: int, body_bytes: int):
        self._header_bytes = header_bytes
        self._body_bytes = body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._done: deque[CallerRequest] = deque()
        self.started = False
        self._reset()

    def feed(self, data: bytes) -> list[CallerRequest]:
        """Take in bytes and return the requests that they complete.

        Raises
        ------
        MalformedRequestError
            Nothing more can be read from the connection.
        """
        try:
            self._parser.feed_data(data)
        except MalformedRequestError:
            raise
        except httptools.HttpParserCallbackError as exc:
            cause = exc.__context__
            if isinstance(cause, MalformedRequestError):
                raise cause from None
            raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise MalformedRequestError(400, str(exc)) from exc
        if self.started and not self._in_body:
            self._check_header_bytes(len(data))
        found = list(self._done)
        self._done.clear()
        return found

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._head_size = 0
        self._in_body = False

    def _check_header_bytes(self, added: int) -> None:
        self._head_size += added
        if self._head_size > self._header_bytes:
            raise MalformedRequestError(
                431, f"headers are over {self._header_bytes} bytes"
            )

    def on_message_begin(self) -> None:
        self._reset()
        self.started = True

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._in_body = True
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        if size > self._header_bytes:
            raise MalformedRequestError(
                431, f"headers are over {self._header_bytes} bytes"
            )
        if not self._target.startswith(b"/"):
            raise MalformedRequestError(400, "the request target is not a path")
        names = [name.lower() for name, _ in self._headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            raise MalformedRequestError(400, "the body has two framings")
        if names.count(b"host") != 1:
            raise MalformedRequestError(400, "the request needs one Host header")

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._body_bytes:
            raise MalformedRequestError(413, f"body is over {self._body_bytes} bytes")
        self._body.append(data)

    def on_message_complete(self) -> None:
        self._done.append(
            CallerRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=tuple(self._headers),
                body=b"".join(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self.started = False


class _ReadAnswer:
    """An answer as far as it has arrived."""

    def __init__(self):
        self.headers: list[tuple[bytes, bytes]] = []
        self.head: AnswerHead | None = None
        self.body: list[bytes] = []
        self.complete = False
        self.keep_alive = False
        self.has_framing = False


class AnswerReader:
    """Reads the answers that arrive on one connection to a target."""

    def __init__(self):
        self._parser = httptools.HttpResponseParser(self)
        self._answers: deque[_ReadAnswer] = deque()
        self._broken = False

    @property
    def head(self) -> AnswerHead | None:
        """Head of the current answer, once it is complete."""
        return self._answers[0].head if self._answers else None

    @property
    def complete(self) -> bool:
        """Whether the current answer is whole."""
        return bool(self._answers) and self._answers[0].complete

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may carry another request afterwards."""
        return self.complete and self._answers[0].keep_alive

    @property
    def surplus(self) -> bool:
        """Whether bytes came after the end of the current answer."""
        return self._broken or len(self._answers) > 1

    def start(self) -> None:
        """Drop the current answer and go on to the next one."""
        if self._answers:
            self._answers.popleft()

    def feed(self, data: bytes) -> None:
        """Take in bytes; ValueError if they are no answer in the protocol."""
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            httptools.HttpParserCallbackError,
        ) as exc:
            self._broken = True
            if not self.complete:
                raise ValueError(str(exc)) from exc

    def feed_end(self) -> None:
        """Note that the target closed the connection without a reset."""
        if self._answers:
            last = self._answers[-1]
            if last.head is not None and not last.has_framing:
                last.complete = True
            last.keep_alive = False

    def take_body(self) -> bytes:
        """Remove and return the bytes of the body that have arrived."""
        if not self._answers:
            return b""
        data = b"".join(self._answers[0].body)
        self._answers[0].body.clear()
        return data

    def on_message_begin(self) -> None:
        self._answers.append(_ReadAnswer())

    def on_header(self, name: bytes, value: bytes) -> None:
        self._answers[-1].headers.append((name, value))

    def on_headers_complete(self) -> None:
        answer = self._answers[-1]
        status = self._parser.get_status_code()
        if status < 200:
            return
        names = {name.lower() for name, _ in answer.headers}
        answer.has_framing = (
            b"content-length" in names
            or b"transfer-encoding" in names
            or status in (204, 304)
        )
        answer.head = AnswerHead(status, tuple(answer.headers))

    def on_body(self, data: bytes) -> None:
        self._answers[-1].body.append(data)

    def on_message_complete(self) -> None:
        answer = self._answers[-1]
        if answer.head is None:
            self._answers.pop()
            return
        answer.complete = True
        answer.keep_alive = answer.has_framing and self._parser.should_keep_alive()
