"""Parts of the retry budgets at the owners in this process, and what they exchange."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict

from ..mesh.fleet_messages import RetryHandover, RetryLoan, RetryLoanRequest
from ..mesh.messages import Message
from ..settings.gateway import OperatingBounds
from ..slots import SlotKey, SlotOwner
from ..slots.budget import LOAN_TTL_S, RetryState, SharedRetryBudget
from .beliefs import GatewayView
from .roster import Roster

# Interval at which an owner asks the others, while few retries are left.
ASK_INTERVAL_S = 0.1
# Time after the first start of the whole system in which owners have no predecessor.
FIRST_START_S = 10.0
# Interval at which it is logged what retries were paid from.
LOG_INTERVAL_S = 1.0
# Share of the fleet's retry slack and ratio that its owners use.
OWNER_BUDGET_SHARE = 0.9

logger = logging.getLogger(__name__)


class RetryBudgets:
    """Shares the retry budget of each service among the owners of its slots.

    Parameters
    ----------
    zones
        All zones.
    numbers
        Numbers of requests, unique within this process.
    deliver
        Hands a message to a host, which may be this one; returns False if it is not
        linked.
    is_first_start
        Whether the whole system starts for the first time, so that nobody owned slots
        before.
    """

    def __init__(
        self,
        roster: Roster,
        view: GatewayView,
        bounds: OperatingBounds,
        zones: tuple[str, ...],
        numbers: Iterator[int],
        deliver: Callable[[str, Message], bool],
        *,
        is_first_start: bool,
    ):
        self._roster = roster
        self._view = view
        self._bounds = bounds
        self._zones = zones
        self._numbers = numbers
        self._deliver = deliver
        self._name = roster.local.name
        self._owned: set[SlotKey] = set()
        self._asked_at: dict[SlotKey, float] = {}
        self._asked: dict[int, tuple[SlotOwner, float]] = {}
        self._logged: dict[SlotKey, tuple[float, dict[str, int]]] = {}
        self._first_owners_until = -math.inf
        if is_first_start:
            self._first_owners_until = time.monotonic() + FIRST_START_S

    def build(self) -> SharedRetryBudget:
        """Return the budget of a new owner, which does not decide yet."""
        budget = SharedRetryBudget(
            ratio=self._bounds.retry_ratio * OWNER_BUDGET_SHARE,
            slack=0.0,
            window_s=self._bounds.retry_window_s,
            owners=1,
        )
        budget.hand_over(time.monotonic())
        return budget

    def update_part(self, owner: SlotOwner) -> None:
        """Give an owner its part of the slack, by the configuration in force."""
        service = self._view.find_service(owner.key.service)
        owners = math.inf
        if service is not None:
            owners = len(self._zones) * max(1, len(service.list_models()))
        owner.budget.set_part(self._bounds.retry_slack * OWNER_BUDGET_SHARE / owners)

    def note_ownership(self, owner: SlotOwner, now: float) -> None:
        """Take a key's budget over or hand it over, if its owner has changed.

        While no host can own the key, as in an outage of the store, nothing changes.
        """
        key = owner.key
        present = self._roster.find_owner(key)
        is_owned = present == self._name
        if present is None or is_owned == (key in self._owned):
            return
        counts = owner.budget.count(now)
        if is_owned:
            self._owned.add(key)
            has_predecessor = now >= self._first_owners_until
            owner.budget.take_over(now, has_predecessor=has_predecessor)
        else:
            self._owned.discard(key)
            self._hand_over(owner, now)
        logger.info(
            "slots owned" if is_owned else "slots owned no more",
            extra={
                "key": str(key),
                "requests": counts.requests,
                "retries": counts.retries,
            },
        )

    def log_payments(self, owner: SlotOwner, now: float) -> None:
        """Log what the retries since the last time were paid from, if there are any."""
        logged_at, logged = self._logged.get(owner.key, (-math.inf, {}))
        if now - logged_at < LOG_INTERVAL_S:
            return
        paid = asdict(owner.budget.payments)
        new = {name: count - logged.get(name, 0) for name, count in paid.items()}
        self._logged[owner.key] = now, paid
        if any(new.values()):
            is_owned = owner.key in self._owned
            extra = {"key": str(owner.key), "is_owned": is_owned, **new}
            logger.info("retries paid", extra=extra)

    def has_left(self, owner: SlotOwner, now: float) -> bool:
        """Return whether a retry is left; ask other owners if few are."""
        self.note_ownership(owner, now)
        self._ask(owner, now)
        return owner.budget.has_left(now)

    def is_loan_awaited(self, owner: SlotOwner, now: float) -> bool:
        """Return whether another owner was just asked and has not answered."""
        return any(
            asking is owner and now - asked_at < ASK_INTERVAL_S
            for asking, asked_at in self._asked.values()
        )

    def lend(
        self, owner: SlotOwner, peer: str, message: RetryLoanRequest, now: float
    ) -> None:
        """Lend retries to another owner of the service."""
        lent = owner.budget.lend(message.wanted, now)
        self._deliver(peer, RetryLoan(message.number, lent))

    def handle_loan(self, message: RetryLoan, now: float) -> None:
        """Give what was lent to the owner that asked for it."""
        owner, asked_at = self._asked.pop(message.number, (None, 0.0))
        if owner is not None and now - asked_at < LOAN_TTL_S:
            owner.budget.borrow(message.lent, asked_at)

    def handle_handover(
        self, owner: SlotOwner, message: RetryHandover, now: float
    ) -> None:
        """Go on with the budget of a key's last owner."""
        state = RetryState(message.earned, message.used_ages_s, message.slack_after_s)
        owner.budget.adopt(state, now)

    def _hand_over(self, owner: SlotOwner, now: float) -> None:
        state = owner.budget.hand_over(now)
        key = owner.key
        successor = self._roster.find_owner(key)
        if successor is None:
            return
        handover = RetryHandover(
            key.zone,
            key.service,
            key.model,
            state.earned,
            state.used_ages_s,
            state.slack_after_s,
        )
        self._deliver(successor, handover)

    def _ask(self, owner: SlotOwner, now: float) -> None:
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
            request = RetryLoanRequest(number, key.zone, key.service, key.model, wanted)
            self._asked[number] = (owner, now)
            if not self._deliver(lender, request):
                del self._asked[number]

    def _list_others(self, own: SlotKey) -> list[SlotKey]:
        return [
            key
            for zone in self._zones
            for key in self._view.list_slot_keys(zone)
            if key.service == own.service and key != own
        ]
