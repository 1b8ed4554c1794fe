"""Slots of replicas at one gateway: its own requests, and the keys that it owns."""

from __future__ import annotations

import itertools
import logging
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import gevent
from gevent.event import AsyncResult
from msgspec import structs

from ..admission.forecast import Pressure
from ..mesh.fleet_messages import (
    HeldSlotItem,
    KeySummaryItem,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequestMessage,
    StallCheck,
    StallReply,
)
from ..mesh.messages import Message
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
    SlotRequest,
)
from ..slots.budget import SharedRetryBudget
from ..targets.pauses import PauseBook
from ..targets.progress import ProgressBook
from .beliefs import GatewayView
from .roster import Roster
from .slot_wire import (
    decode_grant,
    decode_refusal,
    decode_request,
    decode_summary,
    encode_grant,
    encode_refusal,
    encode_request,
    encode_summary,
)

# Time in which the owner of another zone's slots answers a request passed on to it.
FORWARD_TIMEOUT_S = 0.1
# Time in which an owner answers the question about a silent stream.
STALL_CHECK_TIMEOUT_S = 0.05
# Share of the fleet's retry slack and ratio that owners use; two that believe that they
# own a key, and hosts that reach no owner, stay within the whole together.
OWNER_BUDGET_SHARE = 0.6
# Share of a cold target's limit that one owner uses, as two may own its key for a while.
COLD_SHARE = 0.5
# Time after its link is lost for which a client's slots are still counted.
LOST_CLIENT_S = 1.0
# Time for which a target that said that it leaves is avoided here.
LEAVING_TTL_S = 30.0
# Age at which a key's summary is no longer used.
SUMMARY_TTL_S = 1.0
RETRY_WITHOUT_OWNER_S = 0.5
# Time for which a request waits for an owner of its slots to be found.
OWNER_WAIT_S = 0.6

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot that one of this gateway's requests holds.

    Attributes
    ----------
    owner
        Host that granted it.
    """

    number: int
    owner: str
    key: SlotKey
    offer: SlotOffer
    in_flight: int


@dataclass(frozen=True, slots=True)
class _Pending:
    """A request of this gateway that awaits a slot."""

    key: SlotKey
    request: SlotRequest
    since: float
    owner: str
    result: AsyncResult


@dataclass(frozen=True, slots=True)
class _PassedOn:
    """A client's request, or slot, at the owner of another zone."""

    client: str
    number: int
    key: SlotKey
    request: SlotRequest
    owner: str
    target: str = ""


class SlotTask:
    """Gets slots for this gateway's requests, and decides on those of its own keys.

    Parameters
    ----------
    send
        Sends a message to a peer; returns False if it is not linked.

    Attributes
    ----------
    pauses
        Pauses that targets asked this gateway for.
    on_leaving
        Called when a target said here that it leaves.
    on_broken
        Called with fingerprint and target of a request whose connection broke.
    has_seen_requests
        Whether any request has been seen in flight.
    """

    def __init__(
        self,
        roster: Roster,
        view: GatewayView,
        progress: ProgressBook,
        bounds: OperatingBounds,
        zones: tuple[str, ...],
        send: Callable[[str, Message], bool],
    ):
        self._roster = roster
        self._view = view
        self._progress = progress
        self._bounds = bounds
        self._zones = zones
        self._send = send
        self._zone = roster.local.zone
        self._name = roster.local.name
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._held: dict[int, Slot] = {}
        self._owners: dict[tuple[str, str], SlotOwner] = {}
        self._passed_on: dict[int, _PassedOn] = {}
        self._passed_numbers: dict[tuple[str, int], int] = {}
        self._stall_replies: dict[int, AsyncResult] = {}
        self._summaries: dict[SlotKey, tuple[float, KeySummary]] = {}
        self._leaving: dict[str, float] = {}
        self._lost_clients: dict[str, float] = {}
        self._new_suspicions: list[tuple[str, int]] = []
        self._responsible_zones = (self._zone,)
        self._generation = -1
        self.pauses = PauseBook()
        self.on_leaving: Callable[[], None] = lambda: None
        self.on_broken: Callable[[str, str], None] = lambda fingerprint, target: None
        self.has_seen_requests = False

    # Requests of this gateway.

    def acquire(self, req: SlotRequest) -> Slot | Refused:
        """Return a slot for a request, waiting for one if needed."""
        now = time.monotonic()
        key = SlotKey(self._zone, req.service, req.model)
        req = replace(req, excluded=frozenset(self._iter_excluded(now)))
        number = next(self._numbers)
        pending = _Pending(key, req, now, "", AsyncResult())
        try:
            self._submit(number, pending)
            until = req.resume_deadline or req.deadline
            timeout = gevent.Timeout(max(0.0, until - now))
            with timeout:
                return pending.result.get()
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            self._abandon(number)
            return self._refuse_without_owner(number, "no answer of the slots' owner")
        except BaseException:
            self._abandon(number)
            raise

    def release(
        self,
        slot: Slot,
        outcome: Outcome,
        *,
        service_s: float,
        first_s: float,
        fingerprint: str = "",
    ) -> None:
        """Give a slot back, and tell its owner how it was used.

        Parameters
        ----------
        service_s, first_s
            Time to the whole answer and to its first part.
        fingerprint
            Fingerprint of a request whose connection broke.
        """
        self._held.pop(slot.number, None)
        message = SlotRelease(
            slot.number,
            slot.key.zone,
            slot.key.service,
            slot.key.model,
            slot.offer.id,
            slot.offer.epoch,
            int(outcome),
            service_s,
            first_s,
            fingerprint,
        )
        self._deliver(slot.owner, message)

    def may_resume(self, slot: Slot, stalled_after_s: float) -> tuple[float, bool]:
        """Ask whether a silent stream may be resumed on another target.

        Parameters
        ----------
        stalled_after_s
            Time without progress after which its target counts as stalled.

        Returns
        -------
        tuple
            The monotonic time of the last progress of its target that any gateway saw,
            and whether the retry budget covers the attempt, which was then taken.
        """
        check = StallCheck(
            slot.number,
            slot.key.zone,
            slot.key.service,
            slot.key.model,
            slot.offer.id,
            stalled_after_s,
        )
        result = self._stall_replies[slot.number] = AsyncResult()
        try:
            self._deliver(slot.owner, check)
            reply = result.get(timeout=STALL_CHECK_TIMEOUT_S)
        except gevent.Timeout:
            return 0.0, False
        finally:
            self._stall_replies.pop(slot.number, None)
        return time.monotonic() - reply.progress_age_s, reply.may_retry

    def note_leaving(self, target: str, now: float) -> None:
        """Avoid a target that said that it leaves, and tell the peers."""
        is_new = target not in self._leaving
        self._leaving[target] = now + LEAVING_TTL_S
        if is_new:
            logger.info("target says that it leaves", extra={"target": target})
            self._view.mark_leaving(target)
            self.on_leaving()

    def list_leaving(self) -> list[str]:
        """Return the targets that said here that they leave."""
        return list(self._leaving)

    def count_held(self) -> int:
        """Return the number of slots that this gateway's requests hold."""
        return len(self._held)

    def count_waiting(self) -> int:
        """Return the number of this gateway's requests that await a slot."""
        return len(self._pending)

    # Messages and changes.

    def handle(self, peer: str, message: Message) -> None:
        """Handle a message of a peer, or of this process itself."""
        now = time.monotonic()
        match message:
            case SlotRequestMessage():
                self._handle_request(peer, message, now)
            case SlotGrant():
                self._handle_grant(peer, message, now)
            case SlotRefusal():
                self._handle_refusal(peer, message, now)
            case SlotRelease():
                self._handle_release(peer, message, now)
            case StallCheck():
                self._handle_stall_check(peer, message, now)
            case StallReply():
                result = self._stall_replies.get(message.number)
                if result is not None:
                    result.set(message)

    def handle_status(
        self,
        peer: str,
        summaries: tuple[KeySummaryItem, ...],
        held: tuple[HeldSlotItem, ...],
    ) -> None:
        """Take note of a peer's summaries, and of the slots that it holds."""
        now = time.monotonic()
        self._lost_clients.pop(peer, None)
        for item in summaries:
            key, summary = decode_summary(item)
            self._summaries[key] = (now, summary)
            self.has_seen_requests |= summary.in_flight > 0
            owner = self._owners.get((key.service, key.model))
            is_owner = self._roster.find_owner(key) == peer
            if owner is not None and is_owner and key.zone != self._zone:
                self._carry_out(owner, owner.update_zone(key.zone, summary, now))
        by_key: dict[tuple[str, str], dict[int, str]] = {}
        for item in held:
            key = (item.service, item.model)
            by_key.setdefault(key, {})[item.number] = item.target
            if item.progress_age_ms >= 0:
                self._progress.record_peer_progress(
                    item.target, now - item.progress_age_ms / 1000
                )
        for key in by_key.keys() - self._owners.keys():
            self.find_owner(SlotKey(self._zone, *key))
        for key, owner in self._owners.items():
            owner.ledger.reconcile(peer, by_key.get(key, {}), now)

    def handle_lost_peer(self, peer: str) -> None:
        """Ask the next owners for what the lost peer would have decided."""
        now = time.monotonic()
        self._lost_clients[peer] = now + LOST_CLIENT_S
        for number, pending in list(self._pending.items()):
            if pending.owner == peer:
                self._submit(number, pending)
        for number, item in list(self._passed_on.items()):
            if item.owner == peer and not item.target:
                self._take_back(number)

    def handle_view_change(self, *, force: bool = False) -> None:
        """Give the owners the replicas as they are now known."""
        self._view.find_replicas("", "")
        if self._view.generation == self._generation and not force:
            return
        self._generation = self._view.generation
        now = time.monotonic()
        for owner in self._owners.values():
            self._update_offers(owner)
            self._carry_out(owner, owner.assign(now))

    def tick(self, zones: tuple[str, ...]) -> None:
        """Expire what has waited too long, and move keys whose owner changed.

        Parameters
        ----------
        zones
            Zones whose targets this zone's owners are responsible for.
        """
        now = time.monotonic()
        if zones != self._responsible_zones:
            logger.info("zones served", extra={"zones": list(zones)})
            self._responsible_zones = zones
            self.handle_view_change(force=True)
        for target in [item for item, until in self._leaving.items() if until <= now]:
            del self._leaving[target]
        for client in [item for item, at in self._lost_clients.items() if at <= now]:
            del self._lost_clients[client]
            for owner in self._owners.values():
                self._carry_out(owner, owner.drop_client(client, now))
        for owner in self._owners.values():
            self._carry_out(owner, owner.assign(now))
        for number, pending in list(self._pending.items()):
            if not pending.owner or not self._roster.is_live(pending.owner):
                self._submit(number, pending)
            if number in self._pending and not self._pending[number].owner:
                self._give_up_without_owner(number, pending, now)

    # What statuses tell.

    def list_summaries(self) -> tuple[KeySummaryItem, ...]:
        """Return the summaries of the keys that this gateway owns now."""
        now = time.monotonic()
        items = []
        for key in self._view.list_slot_keys(self._zone):
            if self._roster.find_owner(key) == self._name:
                summary = self.find_owner(key).summarize(now)
                self._summaries[key] = (now, summary)
                items.append(encode_summary(key, summary))
        return tuple(items)

    def list_zone_summaries(self) -> tuple[KeySummaryItem, ...]:
        """Return the recent summaries of all keys of this zone."""
        now = time.monotonic()
        return tuple(
            encode_summary(key, summary)
            for key, (at, summary) in self._summaries.items()
            if key.zone == self._zone and now - at < SUMMARY_TTL_S
        )

    def list_held_for(self, peer: str, peer_zone: str) -> tuple[HeldSlotItem, ...]:
        """Return the slots held here whose owner a peer is, or would be next."""
        now = time.monotonic()
        items = []
        if peer_zone == self._zone:
            for slot in self._held.values():
                if slot.owner == peer or peer in self._roster.list_owners(slot.key):
                    items.append(
                        self._build_held(slot.number, slot.key, slot.offer.id, now)
                    )
        else:
            for number, item in self._passed_on.items():
                if item.owner == peer and item.target:
                    items.append(self._build_held(number, item.key, item.target, now))
        return tuple(items)

    def take_new_suspicions(self) -> tuple[tuple[str, int], ...]:
        """Return the targets suspected since the last call, with their epochs."""
        suspicions, self._new_suspicions = tuple(self._new_suspicions), []
        return suspicions

    def measure_demand(self, service: str, model: str) -> float:
        """Return the slots that a model's requests use or would use, in all zones."""
        now = time.monotonic()
        return sum(
            summary.unmet + summary.in_flight
            for key, (at, summary) in self._summaries.items()
            if (key.service, key.model) == (service, model) and now - at < SUMMARY_TTL_S
        )

    @property
    def has_slots(self) -> bool:
        """Whether an owner that was heard lately has any slot."""
        now = time.monotonic()
        return any(
            summary.slots > 0 and now - at < SUMMARY_TTL_S
            for at, summary in self._summaries.values()
        )

    def describe(self) -> dict:
        """Return the state for the dump."""
        return {
            "held": len(self._held),
            "pending": len(self._pending),
            "owns": {
                str(owner.key): owner.summarize(time.monotonic())
                for owner in self._owners.values()
                if self._roster.find_owner(owner.key) == self._name
            },
            "summaries": {str(key): item for key, (_, item) in self._summaries.items()},
        }

    # Client side.

    def _submit(self, number: int, pending: _Pending) -> None:
        """Send a pending request to the present owner of its key."""
        owner = self._roster.find_owner(pending.key)
        if owner is None:
            self._pending[number] = replace(pending, owner="")
            return
        self._pending[number] = replace(pending, owner=owner)
        now = time.monotonic()
        message = encode_request(
            number, pending.key, pending.request, now, for_other_zone=False
        )
        if not self._deliver(owner, message):
            self._pending[number] = replace(pending, owner="")

    def _give_up_without_owner(
        self, number: int, pending: _Pending, now: float
    ) -> None:
        """Refuse a request for which no owner was found in time, unless it has run."""
        has_run = pending.request.resume_deadline is not None
        if not has_run and now - pending.since > OWNER_WAIT_S:
            del self._pending[number]
            pending.result.set(
                self._refuse_without_owner(number, "no owner of the slots is known")
            )

    def _abandon(self, number: int) -> None:
        """Withdraw a request, or give back the slot that it was granted."""
        pending = self._pending.pop(number, None)
        slot = self._held.pop(number, None)
        if pending is None and slot is None:
            return
        owner = pending.owner if pending is not None else slot.owner
        key = pending.key if pending is not None else slot.key
        release = SlotRelease(number, key.zone, key.service, key.model, "", 0, -1)
        if owner:
            self._deliver(owner, release)

    def _resolve(
        self, owner: str, number: int, offer: SlotOffer, in_flight: int
    ) -> None:
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        slot = Slot(number, owner, pending.key, offer, in_flight)
        self._held[number] = slot
        self.has_seen_requests = True
        pending.result.set(slot)

    def _iter_excluded(self, now: float) -> Iterator[str]:
        yield from self._leaving
        yield from self.pauses.list_paused(now)

    def _refuse_without_owner(self, number: int, reason: str) -> Refused:
        return Refused(
            self._name, number, RETRY_WITHOUT_OWNER_S, reason, Pressure(0, 0, 0.0)
        )

    def _build_held(
        self, number: int, key: SlotKey, target: str, now: float
    ) -> HeldSlotItem:
        at = self._progress.last_own_progress_at(target)
        age_ms = int(1000 * (now - at)) if at else -1
        return HeldSlotItem(number, key.service, key.model, target, age_ms)

    # Owner side.

    def _deliver(self, name: str, message: Message) -> bool:
        if name == self._name:
            self.handle(name, message)
            return True
        return self._send(name, message)

    def find_owner(self, key: SlotKey) -> SlotOwner:
        """Return the owner of a key's slots in this process, created on first use."""
        owner = self._owners.get((key.service, key.model))
        if owner is None:
            key = SlotKey(self._zone, key.service, key.model)
            share = OWNER_BUDGET_SHARE / max(1, len(self._zones))
            budget = SharedRetryBudget(
                ratio=self._bounds.retry_ratio * OWNER_BUDGET_SHARE,
                slack=self._bounds.retry_slack * share / self._count_models(key),
                window_s=self._bounds.retry_window_s,
                now=time.monotonic(),
            )
            owner = SlotOwner(key, budget, self._accepts)
            self._owners[key.service, key.model] = owner
            self._update_offers(owner)
        return owner

    def _count_models(self, key: SlotKey) -> int:
        service = self._view.find_service(key.service)
        return 1 if service is None else max(1, len(service.list_models()))

    def _accepts(self, target: str, epoch: int, now: float) -> bool:
        return not self._progress.is_suspected(target, epoch, now)

    def _update_offers(self, owner: SlotOwner) -> None:
        key = owner.key
        service = self._view.find_service(key.service)
        cold_per_s = 0 if service is None else service.cold_per_s
        limit = cold_per_s * self._bounds.cold_factor + self._bounds.cold_slack
        owner.set_offers(
            tuple(
                SlotOffer(
                    item.id,
                    item.address,
                    item.zone,
                    item.service,
                    item.model,
                    item.capacity,
                    item.epoch,
                    item.cold_until if cold_per_s else 0.0,
                )
                for item in self._view.find_replicas(key.service, key.model)
                if item.zone in self._responsible_zones
            ),
            max(1, int(limit * COLD_SHARE)),
        )

    def _handle_request(
        self, peer: str, message: SlotRequestMessage, now: float
    ) -> None:
        key = SlotKey(self._zone, message.service, message.model)
        owner = self.find_owner(key)
        req = decode_request(message, now)
        if message.for_other_zone:
            decisions = owner.request_for_zone(peer, message.number, req, now)
        else:
            decisions = owner.request(peer, message.number, req, now)
        self._carry_out(owner, decisions)

    def _carry_out(self, owner: SlotOwner, decisions) -> None:
        now = time.monotonic()
        for decision in decisions:
            match decision:
                case Granted(client=client, number=number):
                    if client == self._name and number in self._pending:
                        self._resolve(
                            client, number, decision.offer, decision.in_flight
                        )
                    elif not self._send(client, encode_grant(number, decision, now)):
                        self._carry_out(owner, owner.release(client, number, now))
                case Refused(client=client, number=number):
                    if client == self._name:
                        self._finish_refused(number, decision)
                    else:
                        self._send(client, encode_refusal(number, decision))
                case Declined(client=client, number=number):
                    self._send(
                        client,
                        SlotRefusal(number, 0.0, "no free slot", 0, 0, 0.0, True),
                    )
                case Forwarded():
                    self._pass_on(owner, decision)

    def _finish_refused(self, number: int, refused: Refused) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending.result.set(refused)

    def _pass_on(self, owner: SlotOwner, decision: Forwarded) -> None:
        key = SlotKey(decision.zone, owner.key.service, owner.key.model)
        other = self._roster.find_owner(key) or ""
        number = next(self._numbers)
        client = (decision.client, decision.number)
        self._passed_on[number] = _PassedOn(*client, key, decision.request, other)
        self._passed_numbers[client] = number
        message = encode_request(
            number, key, decision.request, time.monotonic(), for_other_zone=True
        )
        if not other or other == self._name or not self._send(other, message):
            gevent.spawn(self._take_back, number)
        else:
            gevent.spawn_later(FORWARD_TIMEOUT_S, self._take_back, number)

    def _take_back(self, number: int) -> None:
        """Decide here on a request that another zone declined or did not answer."""
        item = self._passed_on.get(number)
        if item is None or item.target:
            return
        del self._passed_on[number]
        self._passed_numbers.pop((item.client, item.number), None)
        now = time.monotonic()
        owner = self.find_owner(item.key)
        self._release_at(item.owner, number, item.key)
        self._carry_out(
            owner, owner.take_back(item.client, item.number, item.request, now)
        )

    def _release_at(self, name: str, number: int, key: SlotKey) -> None:
        if name and name != self._name:
            release = SlotRelease(number, key.zone, key.service, key.model, "", 0, -1)
            self._send(name, release)

    def _handle_grant(self, peer: str, message: SlotGrant, now: float) -> None:
        pending = self._pending.get(message.number)
        if pending is not None:
            offer = decode_grant(message, pending.key.service, pending.key.model, now)
            self._resolve(peer, message.number, offer, message.in_flight)
            return
        item = self._passed_on.get(message.number)
        if item is None:
            self._release_at(peer, message.number, SlotKey(message.zone, "", ""))
            return
        self._passed_on[message.number] = replace(item, target=message.target)
        offer = decode_grant(message, item.key.service, item.key.model, now)
        granted = Granted(item.client, item.number, offer, message.in_flight)
        if item.client == self._name:
            if item.number in self._pending:
                self._resolve(self._name, item.number, offer, message.in_flight)
            else:
                self._withdraw(item)
        elif not self._send(item.client, encode_grant(item.number, granted, now)):
            self._withdraw(item)

    def _withdraw(self, item: _PassedOn) -> None:
        """Give a slot of another zone back whose client is gone."""
        key = item.key
        release = SlotRelease(
            item.number, self._zone, key.service, key.model, item.target, 0, -1
        )
        self.handle(item.client, release)

    def _handle_refusal(self, peer: str, message: SlotRefusal, now: float) -> None:
        if message.declined:
            self._take_back(message.number)
            return
        pending = self._pending.get(message.number)
        if pending is not None and pending.owner == peer:
            self._finish_refused(message.number, decode_refusal(self._name, message))

    def _handle_release(self, peer: str, message: SlotRelease, now: float) -> None:
        is_passed_on = self._release_passed_on(peer, message.number, message)
        for key, owner in list(self._owners.items()):
            if message.service and key != (message.service, message.model):
                continue
            if message.outcome >= 0 and not is_passed_on:
                self._note_outcome(owner, message, now)
            self._carry_out(owner, owner.cancel(peer, message.number, now))

    def _note_outcome(self, owner: SlotOwner, message: SlotRelease, now: float) -> None:
        match Outcome(message.outcome):
            case Outcome.SERVED:
                owner.record_times(message.service_s, message.first_s)
                self._progress.record_progress(message.target, message.epoch, now)
            case Outcome.MISDIRECTED | Outcome.STALLED | Outcome.UNREACHABLE:
                self.suspect(message.target, message.epoch, now)
            case Outcome.BROKEN:
                self.on_broken(message.fingerprint, message.target)

    def suspect(self, target: str, epoch: int, now: float) -> None:
        """Give a replica no new requests for a while, and tell the peers."""
        if self._progress.suspect(target, epoch, now):
            self._new_suspicions.append((target, epoch))
            logger.info("target suspected", extra={"target": target, "epoch": epoch})

    def _release_passed_on(
        self, client: str, number: int, message: SlotRelease
    ) -> bool:
        """Pass a release on to the zone that granted the slot; return whether one did."""
        passed = self._passed_numbers.pop((client, number), None)
        item = self._passed_on.pop(passed, None)
        if item is None:
            return False
        self._send(
            item.owner, structs.replace(message, number=passed, zone=item.key.zone)
        )
        return True

    def _handle_stall_check(self, peer: str, message: StallCheck, now: float) -> None:
        owner = self.find_owner(SlotKey(self._zone, message.service, message.model))
        at = self._progress.last_progress_at(message.target)
        age_s = now - at if at else 1e6
        may_retry = age_s >= message.stalled_after_s and owner.spend_retry(now)
        reply = StallReply(message.number, age_s, may_retry)
        self._deliver(peer, reply)
