"""Passes requests on to the owners of other zones, and slots back to their clients."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

import gevent
from msgspec import structs

from ..mesh.fleet_messages import SlotGrant, SlotRefusal, SlotRelease, TargetRate
from ..mesh.messages import Message
from ..slots import Forwarded, Granted, SlotKey, SlotOwner
from ..slots.common import Decision
from ..slots.ledger import REPORT_DELAY_S
from ..slots.rates import RecentSends, ReportedSends
from .passed_on import PassedOn, PassedOnTable, build_unused
from .roster import Roster
from .slot_replies import SlotReplies
from .slot_wire import decode_grant

# Time in which the owner of another zone's slots answers a request passed on to it.
FORWARD_TIMEOUT_S = 0.1

logger = logging.getLogger(__name__)


class PassedOnRequests:
    """Requests of the owners in this process that other zones serve.

    Parameters
    ----------
    numbers
        Numbers of requests, unique within this process.
    deliver
        Hands a message to a host; returns False if it is not linked.
    find
        Returns the owner of a key's slots in this process.
    carry_out
        Carries out what an owner has decided.
    release
        Handles the release of a slot by a client, given the client's name, the message
        and the monotonic time.
    on_taken_back
        Called with the zone of each request that it declined or did not answer.
    """

    def __init__(
        self,
        roster: Roster,
        table: PassedOnTable,
        numbers: Iterator[int],
        replies: SlotReplies,
        deliver: Callable[[str, Message], bool],
        *,
        find: Callable[[SlotKey], SlotOwner],
        carry_out: Callable[[SlotOwner, Iterable[Decision]], None],
        release: Callable[[str, SlotRelease, float], None],
        on_taken_back: Callable[[str], None],
    ):
        self._roster = roster
        self._table = table
        self._numbers = numbers
        self._replies = replies
        self._deliver = deliver
        self._find = find
        self._carry_out = carry_out
        self._release = release
        self._on_taken_back = on_taken_back
        self._sends_of_zones: dict[str, RecentSends] = {}

    def pass_on(self, owner: SlotOwner, decision: Forwarded) -> None:
        """Pass a request on to the owner of another zone's slots."""
        key = replace(owner.key, zone=decision.zone)
        number = next(self._numbers)
        logger.info(
            "request passed on to another zone",
            extra={
                "request": decision.request.request,
                "key": str(owner.key),
                "zone": decision.zone,
                "reason": decision.reason,
                "gain": round(decision.gain, 3),
                "may_wait": decision.may_wait,
                "waiting": owner.count_waiting(),
                "report_age_ms": round(1000 * decision.report_age_s),
            },
        )
        item = PassedOn(
            decision.client,
            decision.number,
            key,
            decision.request,
            self._roster.find_owner(key) or "",
            may_wait=decision.may_wait,
            is_passed_on=decision.is_passed_on,
        )
        if not self._table.ask(number, item):
            gevent.spawn(self._take_back, number)
        elif not decision.may_wait:
            gevent.spawn_later(FORWARD_TIMEOUT_S, self._take_back, number)

    def handle_grant(self, peer: str, message: SlotGrant, now: float) -> None:
        """Pass a slot of another zone on to the client that asked for one."""
        item = self._table.grant(message.number, message.target, now)
        if item is None:
            self._table.withdraw(peer, message.number, SlotKey(message.zone, "", ""))
            return
        offer = decode_grant(message, item.key.service, item.key.model, now)
        owner = self._find(item.key)
        refused = owner.use_elsewhere(item.client, item.number, now)
        if refused is not None:
            self._carry_out(owner, [refused])
            self._release(item.client, build_unused(item.number, item.key), now)
            return
        sends = self._sends_of_zones.setdefault(item.key.zone, RecentSends())
        sends.record(offer.id, offer.rate_per_s, now)
        granted = Granted(item.client, item.number, offer, message.in_flight)
        if not self._replies.give(granted, now):
            self._release(item.client, build_unused(item.number, item.key), now)

    def handle_refusal(self, message: SlotRefusal) -> None:
        """Decide on a request that another zone declined, or pass its refusal on."""
        if message.declined:
            self._take_back(message.number)
            return
        item = self._table.pop(message.number)
        if item is None:
            return
        self._find(item.key).end_elsewhere(item.client, item.number)
        self._replies.pass_refusal(item.client, item.number, message)

    def pass_release(self, client: str, message: SlotRelease) -> bool:
        """Pass a release on to the zone that granted the slot, if another did."""
        number = self._table.find_number(client, message.number)
        item = None if number is None else self._table.pop(number)
        if item is None:
            return False
        self._deliver(
            item.owner, structs.replace(message, number=number, zone=item.key.zone)
        )
        return True

    def pass_rate(self, client: str, message: TargetRate) -> bool:
        """Pass a stated limit on to the zone that granted the slot, if another did."""
        number = self._table.find_number(client, message.number)
        item = None if number is None else self._table.find(number)
        if item is None:
            return False
        passed_on = structs.replace(message, number=number, zone=item.key.zone)
        self._deliver(item.owner, passed_on)
        return True

    def list_sends_to(self, zone: str, now: float) -> list[ReportedSends]:
        """Return what was passed on to another zone's targets with a limit."""
        sends = self._sends_of_zones.get(zone)
        return [] if sends is None else sends.list_reports(now)

    def reconcile(self, peer: str, held: set[int], now: float) -> None:
        """Give back the slots that a client no longer holds, by its numbers."""
        self._give_back(self._table.list_gone(peer, held, now - REPORT_DELAY_S), now)

    def handle_lost_peer(self, peer: str, now: float) -> None:
        """Give back what a lost client waits for; ask others what a lost owner had."""
        self._give_back(self._table.list_waiting_of(peer), now)
        for number, item in self._table.iter_at(peer):
            if not item.target and not self._table.ask_next_owner(number):
                self._take_back(number)

    def drop_client(self, client: str, now: float) -> None:
        """Give back all that was passed on for a client that is gone."""
        self._give_back(self._table.list_of(client), now)

    def iter_granted(self, peer: str) -> Iterator[tuple[int, SlotKey, str, int]]:
        """Yield number, key, target and tokens of slots that a peer granted here."""
        for number, item in self._table.iter_at(peer):
            if item.target:
                yield number, item.key, item.target, item.request.tokens

    def _take_back(self, number: int) -> None:
        """Decide here on a request that another zone declined or did not answer."""
        item = self._table.find(number)
        if item is None or item.target:
            return
        self._table.pop(number)
        self._table.withdraw(item.owner, number, item.key)
        owner = self._find(item.key)
        now = time.monotonic()
        self._on_taken_back(item.key.zone)
        logger.info(
            "request not taken by another zone",
            extra={
                "request": item.request.request,
                "key": str(owner.key),
                "zone": item.key.zone,
                "may_wait": item.may_wait,
            },
        )
        decisions = owner.take_back(
            item.client,
            item.number,
            item.request,
            item.key.zone,
            now,
            has_waited=item.may_wait,
            is_passed_on=item.is_passed_on,
        )
        self._carry_out(owner, decisions)

    def _give_back(self, items: Iterable[PassedOn], now: float) -> None:
        """Give back the slots of other zones, or the places in their queues."""
        for item in items:
            self._find(item.key).settle_retry(item.client, item.number, now)
            self._release(item.client, build_unused(item.number, item.key), now)
