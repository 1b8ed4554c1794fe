"""Search for a slot on another target while a silent one is still read."""

from __future__ import annotations

import gevent

from ..slots import Refused, SlotRequest
from .slot_client import Slot, SlotClient


class SlotSearch:
    """A request's search for a slot beside the one that it holds.

    Parameters
    ----------
    req
        Asks for the slot.
    held
        Slot that the request goes on with until another one is found.
    """

    def __init__(self, slots: SlotClient, req: SlotRequest, held: Slot):
        self._slots = slots
        self._held = held
        self._greenlet = gevent.spawn(slots.acquire, req)

    @property
    def has_ended(self) -> bool:
        """Whether a slot was found or refused."""
        return self._greenlet.ready()

    def take(self) -> Slot | None:
        """Return the slot that was found; None if there is none on another target."""
        found: Slot | Refused | None = self._greenlet.value
        if not isinstance(found, Slot):
            return None
        if found.offer.id == self._held.offer.id:
            self._give_back(found)
            return None
        return found

    def cancel(self) -> None:
        """End the search, and give back a slot that it has found."""
        self._greenlet.kill()
        if isinstance(self._greenlet.value, Slot):
            self._give_back(self._greenlet.value)

    def _give_back(self, slot: Slot) -> None:
        self._slots.release(slot, None, service_s=0.0, first_s=0.0)
