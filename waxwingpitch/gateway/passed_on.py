"""Requests that the owners of one zone passed on to the owners of others."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from ..slots import SlotKey, SlotRequest


@dataclass(frozen=True, slots=True)
class PassedOn:
    """A client's request, or slot, at the owner of another zone.

    Attributes
    ----------
    number
        Number that the client gave the request.
    target, since
        Target that was granted, and the monotonic time of it; empty and 0 before.
    """

    client: str
    number: int
    key: SlotKey
    request: SlotRequest
    owner: str
    target: str = ""
    since: float = 0.0


class PassedOnTable:
    """Requests passed on, by the number that they have at the other owner."""

    def __init__(self):
        self._items: dict[int, PassedOn] = {}
        self._numbers: dict[tuple[str, int], int] = {}

    def add(self, number: int, item: PassedOn) -> None:
        """Add a request that is passed on under a number of ours."""
        self._items[number] = item
        self._numbers[item.client, item.number] = number

    def find(self, number: int) -> PassedOn | None:
        """Return the request passed on under a number, or None."""
        return self._items.get(number)

    def find_number(self, client: str, number: int) -> int | None:
        """Return the number under which a client's request was passed on, or None."""
        return self._numbers.get((client, number))

    def grant(self, number: int, target: str, now: float) -> PassedOn | None:
        """Note that a request got a slot; return it, or None if it is unknown."""
        item = self._items.get(number)
        if item is not None:
            item = self._items[number] = replace(item, target=target, since=now)
        return item

    def pop(self, number: int) -> PassedOn | None:
        """Remove and return the request passed on under a number, if any."""
        item = self._items.pop(number, None)
        if item is not None:
            self._numbers.pop((item.client, item.number), None)
        return item

    def iter_at(self, owner: str) -> Iterator[tuple[int, PassedOn]]:
        """Yield what was passed on to an owner."""
        for number, item in list(self._items.items()):
            if item.owner == owner:
                yield number, item

    def list_gone(
        self, client: str, held: set[int], granted_before: float
    ) -> list[PassedOn]:
        """Return the slots that a client no longer holds.

        Parameters
        ----------
        held
            Numbers of the slots that the client says that it holds.
        granted_before
            Monotonic time; slots granted later may be missing from what it says.
        """
        return [
            item
            for item in self._items.values()
            if item.client == client
            and item.number not in held
            and item.target
            and item.since < granted_before
        ]

    def list_of(self, client: str) -> list[PassedOn]:
        """Return all that was passed on for a client."""
        return [item for item in self._items.values() if item.client == client]
