"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

_END = b"\n\n"
_ID = re.compile(rb"^id:\s*(\d+)\s*$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event.

    Attributes
    ----------
    id
        Its number; None if it has none.
    data
        All its bytes, with the blank line that ends it.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Collects bytes and yields whole events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> list(splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2"))
    [StreamEvent(id=1, data=b'id: 1\\ndata: a\\n\\n')]
    >>> splitter.has_partial_event
    True
    """

    def __init__(self):
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether a part of an event is left over."""
        return bool(self._rest)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Take in bytes and yield the events that they complete."""
        self._rest += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        while True:
            end = self._rest.find(_END)
            if end < 0:
                return
            event, self._rest = self._rest[: end + 2], self._rest[end + 2 :]
            found = _ID.search(event)
            yield StreamEvent(int(found[1]) if found else None, event)
