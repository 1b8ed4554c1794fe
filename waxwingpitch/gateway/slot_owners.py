"""Keys whose slots this gateway owns, or would own next."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

import gevent
from msgspec import structs

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
    Outcome,
    Refused,
    SlotKey,
    SlotOffer,
    SlotOwner,
)
from ..slots.ledger import REPORT_DELAY_S
from ..slots.rates import RecentSends, ReportedSends
from ..targets.progress import ProgressBook
from .beliefs import GatewayView
from .passed_on import PassedOn, PassedOnTable, build_unused
from .retry_budgets import RetryBudgets
from .roster import Roster
from .slot_client import UNUSED, SlotClient
from .slot_wire import (
    decode_grant,
    decode_rate,
    decode_refusal,
    decode_request,
    encode_grant,
    encode_refusal,
)
from .stall_checks import StallChecks

# Time in which the owner of another zone's slots answers a request passed on to it.
FORWARD_TIMEOUT_S = 0.1
# Time for which a retry waits for what other owners lend.
LOAN_WAIT_S = 0.01
# Time after which a plain target that refused a connection is tried again.
REFUSING_TTL_S = 0.5
# Share of a cold target's limit that one owner uses, as two may own its key.
COLD_SHARE = 0.5
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
        self._bounds = bounds
        self._numbers = numbers
        self._client = client
        self._deliver = deliver
        self._zone, self._name = roster.local.zone, roster.local.name
        self._owners: dict[tuple[str, str], SlotOwner] = {}
        self._passed_on = PassedOnTable(roster, deliver)
        self._stall_checks = StallChecks(
            progress,
            self._passed_on,
            self._has_retry_left,
            deliver,
        )
        self._sends_of_zones: dict[str, RecentSends] = {}
        self._lost_clients: dict[str, float] = {}
        self._service_s: dict[tuple[str, str], float] = {}
        self._new_suspicions: list[tuple[str, int]] = []
        self._served_zones = (self._zone,)
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
            owner = SlotOwner(key, self._budgets.build(), self._accepts, zones=zones)
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
        item = self._passed_on.grant(message.number, message.target, now)
        if item is None:
            self._passed_on.withdraw(
                peer, message.number, SlotKey(message.zone, "", "")
            )
            return
        offer = decode_grant(message, item.key.service, item.key.model, now)
        owner = self.find(item.key)
        refused = owner.use_elsewhere(item.client, item.number, now)
        if refused is not None:
            self._carry_out(owner, [refused])
            self.handle_release(item.client, build_unused(item.number, item.key), now)
            return
        sends = self._sends_of_zones.setdefault(item.key.zone, RecentSends())
        sends.record(offer.id, offer.rate_per_s, now)
        granted = Granted(item.client, item.number, offer, message.in_flight)
        if not self._give(granted, now):
            self.handle_release(item.client, build_unused(item.number, item.key), now)

    def handle_refusal(self, message: SlotRefusal) -> None:
        """Decide on a request that another zone declined, or pass its refusal on."""
        if message.declined:
            self._take_back(message.number)
            return
        item = self._passed_on.pop(message.number)
        if item is None:
            return
        self.find(item.key).end_elsewhere(item.client, item.number)
        refusal = structs.replace(message, number=item.number)
        if item.client == self._name:
            refused = decode_refusal(self._name, refusal)
            self._client.finish_refused(item.number, refused)
        else:
            self._deliver(item.client, refusal)

    def handle_release(self, peer: str, message: SlotRelease, now: float) -> None:
        """Free a slot, and learn from how it was used."""
        is_passed_on = self._release_passed_on(peer, message)
        for key, owner in list(self._owners.items()):
            if message.service and key != (message.service, message.model):
                continue
            if message.outcome != UNUSED and not is_passed_on:
                self._note_outcome(owner, peer, message, now)
            was_used = message.outcome != UNUSED
            decisions = owner.cancel(peer, message.number, now, was_used=was_used)
            self._carry_out(owner, decisions)

    def handle_rate(self, peer: str, message: TargetRate, now: float) -> None:
        """Adopt a limit that a target states, or tell the zone that granted a slot."""
        number = self._passed_on.find_number(peer, message.number)
        item = None if number is None else self._passed_on.find(number)
        if item is not None:
            passed_on = structs.replace(message, number=number, zone=item.key.zone)
            self._deliver(item.owner, passed_on)
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
        sends = self._sends_of_zones.get(zone)
        return [] if sends is None else sends.list_reports(now)

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
        numbers = {item.number for item in held}
        gone = self._passed_on.list_gone(peer, numbers, now - REPORT_DELAY_S)
        self._give_back(gone, now)

    def handle_lost_peer(self, peer: str, now: float) -> None:
        """Take back what was passed on to a lost peer; drop what it holds soon.

        What it waits for is dropped at once: it asks another owner, and a process that
        starts under its name gives other requests the same numbers.
        """
        self._lost_clients[peer] = now + LOST_CLIENT_S
        for owner in self:
            owner.drop_waiting(peer, now)
        self._give_back(self._passed_on.list_waiting_of(peer), now)
        for number, item in self._passed_on.iter_at(peer):
            if not item.target and not self._passed_on.ask_next_owner(number):
                self._take_back(number)

    def tick(self, served_zones: tuple[str, ...], now: float) -> None:
        """Expire what has waited too long, and forget clients that are gone.

        Parameters
        ----------
        served_zones
            Zones whose targets this zone's owners are responsible for.
        """
        if served_zones != self._served_zones:
            logger.info("zones served", extra={"zones": list(served_zones)})
            self._served_zones = served_zones
            self.handle_view_change(force=True)
        for client in [item for item, at in self._lost_clients.items() if at <= now]:
            del self._lost_clients[client]
            self._give_back(self._passed_on.list_of(client), now)
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
        for number, item in self._passed_on.iter_at(peer):
            if item.target:
                yield number, item.key, item.target, item.request.tokens

    def take_new_suspicions(self) -> tuple[tuple[str, int], ...]:
        """Return the targets suspected since the last call, with their epochs."""
        suspicions, self._new_suspicions = tuple(self._new_suspicions), []
        return suspicions

    def _has_retry_left(self, service: str, model: str, now: float) -> bool:
        owner = self.find(SlotKey(self._zone, service, model))
        return self._budgets.has_left(owner, now)

    def _accepts(self, target: str, epoch: int, now: float) -> bool:
        return not self._progress.is_suspected(target, epoch, now)

    def _update_offers(self, owner: SlotOwner) -> None:
        key = owner.key
        service = self._view.find_service(key.service)
        cold_per_s = 0.0 if service is None else service.cold_per_s
        engine = None if service is None else service.engine
        kv_capacity = None if engine is None else engine.kv_capacity
        limit = cold_per_s * self._bounds.cold_factor + self._bounds.cold_slack
        offers = tuple(
            SlotOffer(
                item.id,
                item.address,
                item.zone,
                item.service,
                item.model,
                item.capacity,
                item.epoch,
                item.cold_until if cold_per_s else 0.0,
                kv_capacity=kv_capacity,
            )
            for item in self._view.find_replicas(key.service, key.model)
            if item.zone in self._served_zones
        )
        owner.set_offers(offers, max(1, int(limit * COLD_SHARE)))
        engine = None if service is None else service.engine
        if engine is not None:
            owner.zones.delays_s = engine.find_delays_s(self._zone)
            owner.zones.batch_slowdown = engine.batch_slowdown
        self._budgets.update_part(owner)

    def _carry_out(self, owner: SlotOwner, decisions) -> None:
        now = time.monotonic()
        for decision in decisions:
            match decision:
                case Granted(client=client, number=number):
                    if not self._give(decision, now):
                        unused = owner.release(client, number, now, was_used=False)
                        self._carry_out(owner, unused)
                case Refused(client=client, number=number):
                    if client == self._name:
                        self._client.finish_refused(number, decision)
                    else:
                        self._deliver(client, encode_refusal(number, decision))
                case Declined(client=client, number=number):
                    refusal = SlotRefusal(number, 0.0, "no free slot", 0, 0, 0.0, True)
                    self._deliver(client, refusal)
                case Forwarded():
                    self._pass_on(owner, decision)

    def _give(self, granted: Granted, now: float) -> bool:
        """Give a slot to its client; return False if the client is gone."""
        if granted.client != self._name:
            message = encode_grant(granted.number, granted, now)
            return self._deliver(granted.client, message)
        if not self._client.has_pending(granted.number):
            return False
        self._client.resolve(
            self._name, granted.number, granted.offer, granted.in_flight
        )
        return True

    def _pass_on(self, owner: SlotOwner, decision: Forwarded) -> None:
        key = replace(owner.key, zone=decision.zone)
        number = next(self._numbers)
        self.on_passed_on(decision)
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
        if not self._passed_on.ask(number, item):
            gevent.spawn(self._take_back, number)
        elif not decision.may_wait:
            gevent.spawn_later(FORWARD_TIMEOUT_S, self._take_back, number)

    def _take_back(self, number: int) -> None:
        """Decide here on a request that another zone declined or did not answer."""
        item = self._passed_on.find(number)
        if item is None or item.target:
            return
        self._passed_on.pop(number)
        self._passed_on.withdraw(item.owner, number, item.key)
        owner = self.find(item.key)
        now = time.monotonic()
        self.on_taken_back(item.key.zone)
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
            self.find(item.key).settle_retry(item.client, item.number, now)
            self.handle_release(item.client, build_unused(item.number, item.key), now)

    def _release_passed_on(self, client: str, message: SlotRelease) -> bool:
        """Pass a release on to the zone that granted the slot, if another did."""
        number = self._passed_on.find_number(client, message.number)
        item = None if number is None else self._passed_on.pop(number)
        if item is None:
            return False
        self._deliver(
            item.owner, structs.replace(message, number=number, zone=item.key.zone)
        )
        return True

    def _note_outcome(
        self, owner: SlotOwner, peer: str, message: SlotRelease, now: float
    ) -> None:
        self.on_used(message, now)
        match Outcome(message.outcome):
            case Outcome.SERVED:
                owner.record_times(
                    message.service_s,
                    message.first_s,
                    client=peer,
                    number=message.number,
                )
                self._progress.record_progress(message.target, message.epoch, now)
            case Outcome.UNREACHABLE if not message.epoch:
                self._pause_refusing(message.target, now)
            case Outcome.MISDIRECTED | Outcome.STALLED | Outcome.UNREACHABLE:
                self.suspect(message.target, message.epoch, now)

    def _pause_refusing(self, target: str, now: float) -> None:
        """Give a plain target that refuses connections nothing for a moment.

        It answers faster than those that work, and would get most requests as the
        least loaded one. The other zones' owners find out by their own requests.
        """
        if self._progress.suspect(target, 0, now, is_local=True, ttl_s=REFUSING_TTL_S):
            logger.info("plain target refuses connections", extra={"target": target})

    def suspect(self, target: str, epoch: int, now: float) -> None:
        """Give a replica no new requests for a while, and tell the peers."""
        if self._progress.suspect(target, epoch, now):
            self._new_suspicions.append((target, epoch))
            logger.info("target suspected", extra={"target": target, "epoch": epoch})
