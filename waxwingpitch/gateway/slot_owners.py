"""Keys whose slots this gateway owns, or would own next."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

import gevent

from ..mesh.fleet_messages import (
    HeldSlotItem,
    RetryHandover,
    RetryLoan,
    RetryLoanRequest,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequestMessage,
    StallCheck,
    StallReply,
    TargetRate,
)
from ..mesh.messages import Message
from ..routing.zones import OtherZones
from ..settings.gateway import OperatingBounds
from ..slots import (
    Declined,
    Forwarded,
    Granted,
    KeySummary,
    Refused,
    SlotKey,
    SlotOwner,
)
from ..slots.common import Decision
from ..slots.rates import ReportedSends
from ..targets.progress import ProgressBook
from .beliefs import GatewayView
from .offers import OfferSource
from .passed_on import PassedOnTable
from .passing_on import PassedOnRequests
from .retry_budgets import RetryBudgets
from .roster import Roster
from .slot_client import UNUSED, SlotClient
from .slot_outcomes import REFUSING_TTL_S, SlotOutcomes
from .slot_replies import SlotReplies
from .slot_wire import decode_rate, decode_request
from .stall_checks import StallChecks

__all__ = ["LOST_CLIENT_S", "REFUSING_TTL_S", "SlotOwners"]

# Time for which a retry waits for what other owners lend.
LOAN_WAIT_S = 0.01
# Time after its link is lost for which a client's slots are still counted.
LOST_CLIENT_S = 1.0

logger = logging.getLogger(__name__)


class SlotOwners:
    """The owners in this process, and the requests that they pass on to other zones.

    Parameters
    ----------
    numbers
        Numbers of requests, unique within this process.
    deliver
        Hands a message to a host, which may be this one; returns False if it is not
        linked.
    zones
        All zones.
    is_first_start
        Whether the whole system starts for the first time, so that nobody owned slots
        before.
    may_leave_zone
        Whether requests may leave a zone that has a usable replica.

    Attributes
    ----------
    on_used
        Called with the release of a used slot and the monotonic time of its receipt.
    on_passed_on
        Called with each request that is passed on to another zone.
    on_taken_back
        Called with the zone of each that it declined or did not answer.
    """

    def __init__(
        self,
        roster: Roster,
        view: GatewayView,
        progress: ProgressBook,
        bounds: OperatingBounds,
        zones: tuple[str, ...],
        numbers: Iterator[int],
        client: SlotClient,
        deliver: Callable[[str, Message], bool],
        *,
        is_first_start: bool = False,
        may_leave_zone: bool = True,
    ):
        self._roster = roster
        self._view = view
        self._progress = progress
        self._zone, self._name = roster.local.zone, roster.local.name
        self._owners: dict[tuple[str, str], SlotOwner] = {}
        self._offers = OfferSource(view, bounds, self._zone)
        self._outcomes = SlotOutcomes(progress)
        self._replies = SlotReplies(self._name, client, deliver)
        passed_on = PassedOnTable(roster, deliver)
        self._passed_on = PassedOnRequests(
            roster,
            passed_on,
            numbers,
            self._replies,
            deliver,
            find=self.find,
            carry_out=self._carry_out,
            release=self.handle_release,
            on_taken_back=lambda zone: self.on_taken_back(zone),
        )
        self._stall_checks = StallChecks(
            progress,
            passed_on,
            self._has_retry_left,
            deliver,
        )
        self._lost_clients: dict[str, float] = {}
        self._service_s: dict[tuple[str, str], float] = {}
        self._budgets = RetryBudgets(
            roster,
            view,
            bounds,
            zones,
            numbers,
            deliver,
            is_first_start=is_first_start,
        )
        self._generation = -1
        self._may_leave_zone = may_leave_zone
        self.on_used: Callable[[SlotRelease, float], None] = lambda release, at: None
        self.on_passed_on: Callable[[Forwarded], None] = lambda decision: None
        self.on_taken_back: Callable[[str], None] = lambda zone: None

    def find(self, key: SlotKey) -> SlotOwner:
        """Return the owner of a key's slots in this process, created on first use."""
        owner = self._owners.get((key.service, key.model))
        if owner is None:
            key = replace(key, zone=self._zone)
            zones = OtherZones(self._zone, is_on=self._may_leave_zone)
            owner = SlotOwner(
                key, self._budgets.build(), self._outcomes.accepts, zones=zones
            )
            self._owners[key.service, key.model] = owner
            if (key.service, key.model) in self._service_s:
                owner.adopt_service_s(self._service_s[key.service, key.model])
            self._update_offers(owner)
        return owner

    def __iter__(self) -> Iterator[SlotOwner]:
        return iter(list(self._owners.values()))

    def handle_view_change(self, *, force: bool = False) -> None:
        """Give the owners the replicas as they are now known."""
        generation = self._view.refresh()
        if generation == self._generation and not force:
            return
        self._generation = generation
        now = time.monotonic()
        for owner in self:
            self._update_offers(owner)
            self._carry_out(owner, owner.assign(now))

    def handle_request(
        self, peer: str, message: SlotRequestMessage, now: float
    ) -> None:
        """Decide on a request for a slot."""
        owner = self.find(SlotKey(self._zone, message.service, message.model))
        is_retry = message.is_retry and not message.for_other_zone
        if is_retry and not self._budgets.has_left(owner, now):
            if self._budgets.is_loan_awaited(owner, now):
                gevent.spawn_later(LOAN_WAIT_S, self._decide, owner, peer, message)
                return
        self._decide(owner, peer, message)

    def _decide(self, owner: SlotOwner, peer: str, message: SlotRequestMessage) -> None:
        now = time.monotonic()
        req = decode_request(message, now)
        decide = owner.request
        if message.for_other_zone and message.may_wait:
            decide = owner.request_passed_on
        elif message.for_other_zone:
            decide = owner.request_for_zone
        self._carry_out(owner, decide(peer, message.number, req, now))

    def handle_retry_message(
        self,
        peer: str,
        message: RetryLoanRequest | RetryLoan | RetryHandover,
        now: float,
    ) -> None:
        """Lend, borrow or take over a part of a retry budget."""
        match message:
            case RetryLoan():
                self._budgets.handle_loan(message, now)
            case RetryLoanRequest(service=service, model=model):
                owner = self.find(SlotKey(self._zone, service, model))
                self._budgets.lend(owner, peer, message, now)
            case RetryHandover(service=service, model=model):
                owner = self.find(SlotKey(self._zone, service, model))
                self._budgets.handle_handover(owner, message, now)

    def handle_grant(self, peer: str, message: SlotGrant, now: float) -> None:
        """Pass a slot of another zone on to the client that asked for one."""
        self._passed_on.handle_grant(peer, message, now)

    def handle_refusal(self, message: SlotRefusal) -> None:
        """Decide on a request that another zone declined, or pass its refusal on."""
        self._passed_on.handle_refusal(message)

    def handle_release(self, peer: str, message: SlotRelease, now: float) -> None:
        """Free a slot, and learn from how it was used."""
        is_passed_on = self._passed_on.pass_release(peer, message)
        for key, owner in list(self._owners.items()):
            if message.service and key != (message.service, message.model):
                continue
            if message.outcome != UNUSED and not is_passed_on:
                self.on_used(message, now)
                self._outcomes.record(owner, peer, message, now)
            was_used = message.outcome != UNUSED
            decisions = owner.cancel(peer, message.number, now, was_used=was_used)
            self._carry_out(owner, decisions)

    def handle_rate(self, peer: str, message: TargetRate, now: float) -> None:
        """Adopt a limit that a target states, or tell the zone that granted a slot."""
        if self._passed_on.pass_rate(peer, message):
            return
        owner = self.find(SlotKey(self._zone, message.service, message.model))
        per_s = decode_rate(message.per_s)
        was_limited = owner.rates.find(message.target) is not None
        if owner.rates.state(message.target, per_s):
            if not was_limited:
                owner.rates.record(message.target, peer, now)
            logger.info(
                "target's rate limit in force",
                extra={
                    "target": message.target,
                    "per_s": per_s,
                    "key": str(owner.key),
                    "told_by": peer,
                },
            )
            self._carry_out(owner, owner.assign(now))

    def reconcile_sends(
        self, peer: str, reports: Iterable[ReportedSends], now: float
    ) -> None:
        """Count what a host reports to have sent to targets with a limit."""
        reports = list(reports)
        for owner in self:
            owner.reconcile_sends(peer, reports, now)

    def list_sends_to(self, zone: str, now: float) -> list[ReportedSends]:
        """Return what was passed on to another zone's targets with a limit."""
        return self._passed_on.list_sends_to(zone, now)

    def handle_stall_check(self, peer: str, message: StallCheck, now: float) -> None:
        """Answer whether a silent stream may be resumed on another target."""
        self._stall_checks.handle(peer, message, now)

    def handle_stall_reply(self, message: StallReply, now: float) -> None:
        """Answer the client on whose behalf another zone's owner was asked."""
        self._stall_checks.handle_reply(message, now)

    def update_zone(self, key: SlotKey, summary: KeySummary, now: float) -> None:
        """Take note of another zone's summary, or of the times measured in this one."""
        owner = self._owners.get((key.service, key.model))
        if key.zone == self._zone:
            self._service_s[key.service, key.model] = summary.service_s
            if owner is not None:
                owner.adopt_service_s(summary.service_s)
        elif owner is not None:
            self._carry_out(owner, owner.update_zone(key.zone, summary, now))

    def reconcile(self, peer: str, held: tuple[HeldSlotItem, ...], now: float) -> None:
        """Adopt a host's report of the slots that it holds."""
        self._lost_clients.pop(peer, None)
        by_key: dict[tuple[str, str], dict[int, str]] = {}
        for item in held:
            by_key.setdefault((item.service, item.model), {})[item.number] = item.target
            if item.progress_age_ms >= 0:
                self._progress.record_peer_progress(
                    item.target, now - item.progress_age_ms / 1000
                )
        tokens = {item.number: max(0, item.tokens) for item in held}
        for service, model in by_key.keys() - self._owners.keys():
            self.find(SlotKey(self._zone, service, model))
        for key, owner in self._owners.items():
            owner.ledger.reconcile(peer, by_key.get(key, {}), now, tokens=tokens)
        self._passed_on.reconcile(peer, {item.number for item in held}, now)

    def handle_lost_peer(self, peer: str, now: float) -> None:
        """Take back what was passed on to a lost peer; drop what it holds soon.

        What it waits for is dropped at once: it asks another owner, and a process that
        starts under its name gives other requests the same numbers.
        """
        self._lost_clients[peer] = now + LOST_CLIENT_S
        for owner in self:
            owner.drop_waiting(peer, now)
        self._passed_on.handle_lost_peer(peer, now)

    def tick(self, served_zones: tuple[str, ...], now: float) -> None:
        """Expire what has waited too long, and forget clients that are gone.

        Parameters
        ----------
        served_zones
            Zones whose targets this zone's owners are responsible for.
        """
        if served_zones != self._offers.served_zones:
            logger.info("zones served", extra={"zones": list(served_zones)})
            self._offers.served_zones = served_zones
            self.handle_view_change(force=True)
        for client in [item for item, at in self._lost_clients.items() if at <= now]:
            del self._lost_clients[client]
            self._passed_on.drop_client(client, now)
            for owner in self:
                self._carry_out(owner, owner.drop_client(client, now))
        share = self._roster.measure_heard_share()
        for owner in self:
            self._budgets.note_ownership(owner, now)
            self._budgets.log_payments(owner, now)
            owner.rates.share = owner.budget.share = share
            self._carry_out(owner, owner.assign(now))

    def iter_passed_on(self, peer: str) -> Iterable[tuple[int, SlotKey, str, int]]:
        """Yield number, key, target and tokens of slots that a peer granted here."""
        return self._passed_on.iter_granted(peer)

    def take_new_suspicions(self) -> tuple[tuple[str, int], ...]:
        """Return the targets suspected since the last call, with their epochs."""
        return self._outcomes.take_new_suspicions()

    def suspect(self, target: str, epoch: int, now: float) -> None:
        """Give a replica no new requests for a while, and tell the peers."""
        self._outcomes.suspect(target, epoch, now)

    def _has_retry_left(self, service: str, model: str, now: float) -> bool:
        owner = self.find(SlotKey(self._zone, service, model))
        return self._budgets.has_left(owner, now)

    def _update_offers(self, owner: SlotOwner) -> None:
        self._offers.update(owner)
        self._budgets.update_part(owner)

    def _carry_out(self, owner: SlotOwner, decisions: Iterable[Decision]) -> None:
        now = time.monotonic()
        for decision in decisions:
            match decision:
                case Granted(client=client, number=number):
                    if not self._replies.give(decision, now):
                        unused = owner.release(client, number, now, was_used=False)
                        self._carry_out(owner, unused)
                case Refused():
                    self._replies.refuse(decision)
                case Declined(client=client, number=number):
                    self._replies.decline(client, number)
                case Forwarded():
                    self.on_passed_on(decision)
                    self._passed_on.pass_on(owner, decision)
