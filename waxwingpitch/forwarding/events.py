"""Incremental splitter for streams of server-sent events."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

_EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
_ID_FIELD = re.compile(rb"^id:\s*(\d+)\s*$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    Attributes
    ----------
    id
        Number in the event's ``id`` field; None if it has none.
    data
        All bytes of the event, including the blank line that ends it.
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
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add bytes to the buffer and yield the events that they complete.

        Raises
        ------
        ValueError
            An event is over ``MAX_EVENT_BYTES``.
        """
        self._buffer += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        while True:
            end = self._buffer.find(_EVENT_END)
            if end < 0:
                if len(self._buffer) > MAX_EVENT_BYTES:
                    raise ValueError(f"event of over {MAX_EVENT_BYTES} bytes")
                return
            event, self._buffer = self._buffer[: end + 2], self._buffer[end + 2 :]
            id_match = _ID_FIELD.search(event)
            yield StreamEvent(int(id_match[1]) if id_match else None, event)
