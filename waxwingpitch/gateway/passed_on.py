"""Requests that the owners of one zone passed on to the owners of others."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from ..mesh.fleet_messages import SlotRelease
from ..mesh.messages import Message
from ..slots import SlotKey, SlotRequest
from .roster import Roster
from .slot_client import UNUSED
from .slot_wire import encode_request


@dataclass(frozen=True, slots=True)
class PassedOn:
    """A client's request, or slot, at the owner of another zone.

    Attributes
    ----------
    number
        Number that the client gave the request.
    target, since
        Target that was granted, and the monotonic time of it; empty and 0 before.
    may_wait
        Whether the request may wait at the other owner.
    is_passed_on
        Whether a third zone's owner had passed it on.
    """

    client: str
    number: int
    key: SlotKey
    request: SlotRequest
    owner: str
    target: str = ""
    since: float = 0.0
    may_wait: bool = False
    is_passed_on: bool = False


class PassedOnTable:
    """Requests passed on, by the number that they have at the other owner.

    Parameters
    ----------
    deliver
        Hands a message to a host; returns False if it is not linked.
    """

    def __init__(self, roster: Roster, deliver: Callable[[str, Message], bool]):
        self._roster = roster
        self._deliver = deliver
        self._items: dict[int, PassedOn] = {}
        self._numbers: dict[tuple[str, int], int] = {}

    def ask(self, number: int, item: PassedOn) -> bool:
        """Pass a request on under a number of ours; return False if none is linked."""
        self._items[number] = item
        self._numbers[item.client, item.number] = number
        if not item.owner or item.owner == self._roster.local.name:
            return False
        message = encode_request(
            number,
            item.key,
            item.request,
            time.monotonic(),
            for_other_zone=True,
            may_wait=item.may_wait,
        )
        return self._deliver(item.owner, message)

    def ask_next_owner(self, number: int) -> bool:
        """Ask a zone's next owner for what waited at a lost one, if there is one.

        The zone that passed the request on may have no replica for it, so that it would
        be refused there.
        """
        item = self._items[number]
        owner = self._roster.find_owner(item.key) or ""
        if not item.may_wait or owner == item.owner:
            return False
        return self.ask(number, replace(item, owner=owner))

    def withdraw(self, owner: str, number: int, key: SlotKey) -> None:
        """Withdraw a request, or give an unused slot back, at another zone's owner."""
        if owner and owner != self._roster.local.name:
            self._deliver(owner, build_unused(number, key))

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

    def list_waiting_of(self, client: str) -> list[PassedOn]:
        """Return what was passed on for a client and was not granted yet."""
        return [item for item in self.list_of(client) if not item.target]

    def list_of(self, client: str) -> list[PassedOn]:
        """Return all that was passed on for a client."""
        return [item for item in self._items.values() if item.client == client]


def build_unused(number: int, key: SlotKey) -> SlotRelease:
    """Return the release of a slot that was not used, or of a place in a queue."""
    return SlotRelease(number, key.zone, key.service, key.model, "", 0, UNUSED)
