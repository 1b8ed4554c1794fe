"""Incremental readers of HTTP requests and answers, based on httptools."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

import httptools

from ..memory.common import FIELD_BYTES, REQUEST_BYTES
from .answers import AnswerHead, Headers

# Bytes of a target that carry no body, such as a head, a chunk's size or trailers.
MAX_FRAMING_BYTES = 65536
# Header fields of an answer, its trailers included. Small ones use far more memory than
# bytes.
MAX_ANSWER_FIELDS = 256


# Highest status that HTTP defines a class for.
MAX_STATUS = 599
# Versions that can be read; the parser also takes others, and other protocols.
VERSIONS = ("1.0", "1.1")

# Bytes in front of trailers that are not counted: the size of the last chunk, and the
# end of the one before.
LAST_CHUNK_BYTES = 64


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request of a caller.

    Attributes
    ----------
    target
        Path and query as sent.
    body
        Held once for all attempts, and not changed by any.
    keep_alive
        Whether the caller allows the connection to stay open after the answer.
    held_bytes
        Memory that the request takes, overhead included.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    keep_alive: bool
    held_bytes: int = 0

    @property
    def path(self) -> bytes:
        """Path without the query."""
        return self.target.partition(b"?")[0]

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, whose name is given in lower case."""
        return next((value for key, value in self.headers if key.lower() == name), None)


class MalformedRequestError(Exception):
    """A request that violates HTTP, a size limit or a time limit.

    Attributes
    ----------
    status
        HTTP status of the answer to the caller.
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


@dataclass(frozen=True, slots=True)
class PartialBytes:
    """Memory that the parts of an incomplete request take, overhead included."""

    head: int = 0
    body: int = 0
    trailers: int = 0


class RequestReader:
    """Reads requests from the bytes of one connection.

    Trailers are dropped. Together they may be as large as a head.

    Parameters
    ----------
    header_bytes, body_bytes
        Largest size of a request's head and of its body.

    Attributes
    ----------
    has_partial_request
        Whether a request has begun to arrive and is not complete.
    error
        What is wrong with the bytes behind the last complete request, if anything.
    """

    def __init__(self, *, header_bytes: int, body_bytes: int):
        self._header_bytes = header_bytes
        self._body_bytes = body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._completed: deque[CallerRequest] = deque()
        self.has_partial_request = False
        self.error: MalformedRequestError | None = None
        self._has_begun = False
        self._reset()

    def feed(self, data: bytes) -> list[CallerRequest]:
        """Parse bytes and return the requests that they complete.

        Raises
        ------
        MalformedRequestError
            The bytes are malformed or exceed a limit, and complete no request before
            that; the connection is unusable.
        """
        try:
            self._parse(data)
        except MalformedRequestError as exc:
            if not self._completed:
                raise
            self.error = exc
        completed = list(self._completed)
        self._completed.clear()
        return completed

    def _parse(self, data: bytes) -> None:
        self._unframed_bytes += len(data)
        self._has_begun = False
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
        if not self.has_partial_request:
            return
        if self._in_body:
            self._check_head_size(self._unframed_bytes - LAST_CHUNK_BYTES, "trailers")
        else:
            # Bytes in front of the head, of the request before it, do not count.
            added = self._count_head_bytes() if self._has_begun else len(data)
            self._head_size += added
            self._check_head_size(self._head_size)

    def _count_head_bytes(self) -> int:
        return len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )

    def close(self) -> None:
        """Release what is held, which else is only freed by a garbage collection."""
        self._reset()
        self._completed.clear()
        self.has_partial_request = False
        # The parser and this reader refer to each other.
        self._parser = None

    @property
    def partial(self) -> PartialBytes:
        """What the incomplete request holds."""
        if not self.has_partial_request:
            return PartialBytes()
        return PartialBytes(
            self._head_memory, self._body.__alloc__(), self._unframed_bytes
        )

    @property
    def _head_memory(self) -> int:
        return self._head_size + FIELD_BYTES * len(self._headers)

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._head_size = 0
        self._trailer_size = 0
        # Bytes since the last ones of the body: sizes of chunks and trailers.
        self._unframed_bytes = 0
        self._in_body = False

    def _check_head_size(self, size: int, name: str = "headers") -> None:
        if size > self._header_bytes:
            raise MalformedRequestError(
                431, f"{name} are over {self._header_bytes} bytes"
            )

    def on_message_begin(self) -> None:
        self._reset()
        self.has_partial_request = self._has_begun = True

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_body:
            self._trailer_size += len(name) + len(value) + 4
            self._check_head_size(self._trailer_size, "trailers")
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._in_body = True
        self._unframed_bytes = 0
        self._head_size = self._count_head_bytes()
        self._check_head_size(self._head_size)
        if not self._target.startswith(b"/"):
            raise MalformedRequestError(400, "the request target is not a path")
        names = [name.lower() for name, _ in self._headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            raise MalformedRequestError(400, "the body has two framings")
        if names.count(b"host") != 1:
            raise MalformedRequestError(400, "the request needs one Host header")

    def on_body(self, data: bytes) -> None:
        self._unframed_bytes = 0
        if len(self._body) + len(data) > self._body_bytes:
            raise MalformedRequestError(413, f"body is over {self._body_bytes} bytes")
        self._body += data

    def on_message_complete(self) -> None:
        held_bytes = REQUEST_BYTES + self._head_memory + self._body.__alloc__()
        self._completed.append(
            CallerRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=tuple(self._headers),
                body=self._body,
                keep_alive=self._parser.should_keep_alive(),
                held_bytes=held_bytes,
            )
        )
        self.has_partial_request = False
        self._reset()


class OversizedAnswerError(ValueError):
    """An answer, or a part of one, is over its limit."""


class _ProtocolError(Exception):
    """Bytes that do not begin an answer of HTTP."""


class _PartialAnswer:
    """The part of an answer that has arrived so far."""

    def __init__(self):
        self.headers: list[tuple[bytes, bytes]] = []
        self.head: AnswerHead | None = None
        self.body: list[bytes] = []
        self.complete = False
        self.keep_alive = False
        self.has_framing = False
        self.may_be_followed = False


class AnswerReader:
    """Reads the answers that arrive on one connection to a target.

    The properties describe the current answer, the first that was not discarded.
    """

    def __init__(self):
        self._parser = httptools.HttpResponseParser(self)
        self._answers: deque[_PartialAnswer] = deque()
        self._broken = False
        self._is_within_answer = False
        self._framing_bytes = 0

    @property
    def head(self) -> AnswerHead | None:
        """Head of the current answer, or None until all of the head has arrived."""
        return self._answers[0].head if self._answers else None

    @property
    def complete(self) -> bool:
        """Whether the current answer has arrived completely."""
        return bool(self._answers) and self._answers[0].complete

    @property
    def is_framed(self) -> bool:
        """Whether the current answer ends by its length or chunks."""
        return bool(self._answers) and self._answers[0].has_framing

    @property
    def keep_alive(self) -> bool:
        """Whether the current answer allows another request on the connection."""
        return self.complete and self._answers[0].keep_alive

    @property
    def has_surplus_bytes(self) -> bool:
        """Whether bytes, valid or not, followed the current answer."""
        return self._broken or len(self._answers) > 1

    def discard_answer(self) -> None:
        """Discard the current answer; the one after it becomes current."""
        if self._answers:
            self._answers.popleft()

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises
        ------
        ValueError
            HTTP was violated before the answer was complete.
        OversizedAnswerError
            Too many bytes arrived that belong to no body, or too many header fields.
        """
        self._framing_bytes += len(data)
        try:
            for part in self._split_lines(data):
                self._check_protocol(part)
                self._parser.feed_data(part)
        except (
            _ProtocolError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            httptools.HttpParserCallbackError,
        ) as exc:
            self._broken = True
            if not self.complete:
                raise ValueError(str(exc.__context__ or exc)) from exc
        if self._framing_bytes > MAX_FRAMING_BYTES and not self.complete:
            raise OversizedAnswerError(
                f"{self._framing_bytes} bytes without a body; "
                f"valid: {MAX_FRAMING_BYTES}"
            )
        if self._answers and len(self._answers[0].headers) > MAX_ANSWER_FIELDS:
            raise OversizedAnswerError(
                f"over {MAX_ANSWER_FIELDS} header fields; valid: {MAX_ANSWER_FIELDS}"
            )

    def _split_lines(self, data: bytes) -> Iterator[bytes]:
        """Split bytes at line ends until the head of the current answer is complete."""
        start = 0
        while self.head is None and (end := data.find(b"\n", start) + 1):
            yield data[start:end]
            start = end
        if start < len(data):
            yield data[start:]

    def _check_protocol(self, data: bytes) -> None:
        """Check that an answer which begins with the data is one of HTTP."""
        if not self._is_within_answer and data.lstrip(b"\r\n")[:1] not in b"H":
            raise _ProtocolError(f"no answer of HTTP: {data[:8]!r}")

    def feed_eof(self) -> None:
        """Record that the target closed the connection cleanly.

        This completes an answer that has neither a length nor chunks.
        """
        if self._answers:
            last = self._answers[-1]
            if last.head is not None and not last.has_framing:
                last.complete = True
            last.keep_alive = False

    def take_body(self) -> bytes:
        """Return the body bytes that have arrived, and remove them from the buffer."""
        if not self._answers:
            return b""
        data = b"".join(self._answers[0].body)
        self._answers[0].body.clear()
        return data

    def on_message_begin(self) -> None:
        self._is_within_answer = True
        self._answers.append(_PartialAnswer())

    def on_header(self, name: bytes, value: bytes) -> None:
        self._answers[-1].headers.append((name, value))

    def on_headers_complete(self) -> None:
        answer = self._answers[-1]
        status = self._parser.get_status_code()
        if not 100 <= status <= MAX_STATUS:
            raise ValueError(f"status {status:03}; valid: 100 to {MAX_STATUS}")
        if (version := self._parser.get_http_version()) not in VERSIONS:
            raise ValueError(f"version {version}; valid: {', '.join(VERSIONS)}")
        if status < 200:
            return
        fields = {name.lower(): value for name, value in answer.headers}
        has_length = b"content-length" in fields or b"transfer-encoding" in fields
        has_no_body = status in (204, 304)
        answer.has_framing = has_length or has_no_body
        # Some send the body all the same, where the next answer is due.
        answer.may_be_followed = (
            has_no_body and has_length and fields.get(b"content-length") != b"0"
        )
        answer.head = AnswerHead(status, tuple(answer.headers))

    def on_body(self, data: bytes) -> None:
        self._framing_bytes = 0
        self._answers[-1].body.append(data)

    def on_message_complete(self) -> None:
        self._is_within_answer = False
        answer = self._answers[-1]
        if answer.head is None:
            self._answers.pop()
            return
        self._framing_bytes = 0
        answer.complete = True
        answer.keep_alive = (
            answer.has_framing
            and not answer.may_be_followed
            and self._parser.should_keep_alive()
        )
