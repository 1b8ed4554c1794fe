"""Retries that the owners of a service's slots borrow of each other."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from ..mesh.fleet_messages import RetryLoan, RetryLoanRequest
from ..mesh.messages import Message
from ..slots import SlotKey, SlotOwner
from ..slots.budget import LOAN_TTL_S
from .beliefs import GatewayView
from .roster import Roster

# Interval at which an owner asks the others, while few retries are left.
ASK_INTERVAL_S = 0.1


class RetryLoans:
    """Asks the other owners of a service, and gives what they lend to an owner here.

    Parameters
    ----------
    numbers
        Numbers of requests, unique within this process.
    deliver
        Hands a message to a host, which may be this one; returns False if it is not
        linked.
    """

    def __init__(
        self,
        roster: Roster,
        view: GatewayView,
        zones: Iterable[str],
        numbers: Iterator[int],
        deliver: Callable[[str, Message], bool],
    ):
        self._roster = roster
        self._view = view
        self._zones = tuple(zones)
        self._numbers = numbers
        self._deliver = deliver
        self._asked_at: dict[SlotKey, float] = {}
        self._asked: dict[int, tuple[SlotOwner, float]] = {}

    def ask(self, owner: SlotOwner, now: float) -> None:
        """Ask the other owners of the service if few retries are left."""
        wanted = owner.budget.count_wanted(now)
        if not wanted or now - self._asked_at.get(owner.key, 0.0) < ASK_INTERVAL_S:
            return
        self._asked_at[owner.key] = now
        self._asked = {
            number: item
            for number, item in self._asked.items()
            if now - item[1] < LOAN_TTL_S
        }
        for key in self._list_others(owner.key):
            lender = self._roster.find_owner(key)
            if lender is None:
                continue
            number = next(self._numbers)
            self._asked[number] = (owner, now)
            self._deliver(
                lender,
                RetryLoanRequest(number, key.zone, key.service, key.model, wanted),
            )

    def is_awaited(self, owner: SlotOwner, now: float) -> bool:
        """Return whether another owner was just asked and has not answered."""
        return any(
            asking is owner and now - asked_at < ASK_INTERVAL_S
            for asking, asked_at in self._asked.values()
        )

    def handle(self, message: RetryLoan, now: float) -> None:
        """Give what was lent to the owner that asked for it."""
        owner, asked_at = self._asked.pop(message.number, (None, 0.0))
        if owner is not None and now - asked_at < LOAN_TTL_S:
            owner.budget.borrow(message.lent, asked_at)

    def _list_others(self, own: SlotKey) -> list[SlotKey]:
        return [
            key
            for zone in self._zones
            for key in self._view.list_slot_keys(zone)
            if key.service == own.service and key != own
        ]
