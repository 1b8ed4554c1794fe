"""Incremental splitter for streams of server-sent events."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

_EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
_ID_FIELD = re.compile(rb"^id:\s*(\d+)\s*$", re.MULTILINE)
_CONTENT = re.compile(rb"[^\n]")


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    Attributes
    ----------
    id
        Number in the event's ``id`` field; None if it has none.
    data
        All bytes of the event, including the blank line that ends it and any before it.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Buffers the bytes of a stream and yields complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> list(splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2"))
    [StreamEvent(id=1, data=b'id: 1\\ndata: a\\n\\n')]
    >>> splitter.has_partial_event
    True
    """

    def __init__(self):
        self._buffer = bytearray()
        # Where the first field of the next event begins; -1 if it has not arrived.
        self._content_at = -1
        # Up to where the buffer holds no further end of an event.
        self._scanned = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return self._content_at >= 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes that complete no event yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add bytes to the buffer and yield the events that they complete.

        Blank lines alone complete no event; they go with the next one.

        Raises
        ------
        ValueError
            An event is over ``MAX_EVENT_BYTES``.
        """
        self._buffer += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        start = 0
        while (end := self._find_end()) >= 0:
            event = bytes(self._buffer[start:end])
            id_match = _ID_FIELD.search(event)
            yield StreamEvent(int(id_match[1]) if id_match else None, event)
            start = end
        self._discard(start)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event of over {MAX_EVENT_BYTES} bytes")

    def take_blank_lines(self) -> bytes:
        """Remove and return blank lines behind the last event, if nothing follows."""
        if self.has_partial_event:
            return b""
        data = bytes(self._buffer)
        self._discard(len(self._buffer))
        return data

    def _find_end(self) -> int:
        """Return the end of the next event; -1 if it is not complete."""
        if self._content_at < 0:
            content = _CONTENT.search(self._buffer, self._scanned)
            if content is None:
                self._scanned = len(self._buffer)
                return -1
            self._content_at = self._scanned = content.start()
        end = self._buffer.find(_EVENT_END, self._scanned)
        if end < 0:
            # The end may begin with the last byte.
            self._scanned = max(self._content_at, len(self._buffer) - 1)
            return -1
        self._scanned = end + len(_EVENT_END)
        self._content_at = -1
        return self._scanned

    def _discard(self, size: int) -> None:
        """Remove bytes from the beginning of the buffer."""
        del self._buffer[:size]
        self._scanned -= size
        if self._content_at >= 0:
            self._content_at -= size
