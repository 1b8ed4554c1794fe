"""Slots of replicas at one gateway: its own requests, and the keys that it owns."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable

from ..mesh.fleet_messages import (
    HeldSlotItem,
    KeySummaryItem,
    RetryHandover,
    RetryLoan,
    RetryLoanRequest,
    SentItem,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequestMessage,
    StallCheck,
    StallReply,
    TargetRate,
)
from ..mesh.messages import Message
from ..settings.gateway import OperatingBounds
from ..slots import KeySummary, SlotKey
from ..targets.progress import ProgressBook
from .beliefs import GatewayView
from .roster import Roster
from .slot_client import SlotClient
from .slot_owners import SlotOwners
from .slot_wire import (
    decode_sends,
    decode_summary,
    encode_sends,
    encode_summary,
)

# Age at which a key's summary is no longer used.
SUMMARY_TTL_S = 1.0


class SlotTask:
    """Connects a gateway's requests and its owners with those of the other gateways.

    Parameters
    ----------
    send
        Sends a message to a peer; returns False if it is not linked.
    is_first_start
        Whether the whole system starts for the first time.
    may_leave_zone
        Whether requests may leave a zone that has a usable replica.

    Attributes
    ----------
    client
        Slots of this gateway's requests.
    owners
        Keys that this gateway owns, or would own next.
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
        *,
        is_first_start: bool = False,
        may_leave_zone: bool = True,
    ):
        self._roster = roster
        self._view = view
        self._progress = progress
        self._send = send
        self._name, self._zone = roster.local.name, roster.local.zone
        self._summaries: dict[SlotKey, tuple[float, KeySummary]] = {}
        self.has_seen_requests = False
        numbers = itertools.count(1)
        self.client = SlotClient(roster, numbers, self._deliver)
        self.owners = SlotOwners(
            roster,
            view,
            progress,
            bounds,
            zones,
            numbers,
            self.client,
            self._deliver,
            is_first_start=is_first_start,
            may_leave_zone=may_leave_zone,
        )
        self.client.on_stalled = lambda target, epoch: self.owners.suspect(
            target, epoch, time.monotonic()
        )

    def handle(self, peer: str, message: Message) -> None:
        """Handle a message of a peer, or of this process itself."""
        now = time.monotonic()
        match message:
            case SlotRequestMessage():
                self.owners.handle_request(peer, message, now)
            case SlotGrant():
                if not self.client.handle_grant(peer, message, now):
                    self.owners.handle_grant(peer, message, now)
            case SlotRefusal():
                if not self.client.handle_refusal(peer, message):
                    self.owners.handle_refusal(message)
            case SlotRelease():
                self.owners.handle_release(peer, message, now)
            case TargetRate():
                self.owners.handle_rate(peer, message, now)
            case StallCheck():
                self.owners.handle_stall_check(peer, message, now)
            case RetryLoanRequest() | RetryLoan() | RetryHandover():
                self.owners.handle_retry_message(peer, message, now)
            case StallReply():
                if not self.client.handle_stall_reply(message):
                    self.owners.handle_stall_reply(message, now)

    def handle_status(
        self,
        peer: str,
        summaries: tuple[KeySummaryItem, ...],
        held: tuple[HeldSlotItem, ...],
        sent: tuple[SentItem, ...] = (),
    ) -> None:
        """Take note of a peer's summaries, and of what it holds and has sent."""
        now = time.monotonic()
        for item in summaries:
            key, summary = decode_summary(item)
            self._summaries[key] = (now, summary)
            self.has_seen_requests |= summary.in_flight > 0
            if self._roster.find_owner(key) == peer:
                self.owners.update_zone(key, summary, now)
        self.owners.reconcile(peer, held, now)
        self.owners.reconcile_sends(peer, decode_sends(sent), now)

    def handle_lost_peer(self, peer: str) -> None:
        """Ask the next owners for what the lost peer would have decided."""
        self.client.handle_lost_peer(peer)
        self.owners.handle_lost_peer(peer, time.monotonic())

    def tick(self, served_zones: tuple[str, ...]) -> None:
        """Expire what has waited too long, and move keys whose owner changed."""
        now = time.monotonic()
        sends = self.client.sends.list_reports(now)
        self.owners.reconcile_sends(self._name, sends, now)
        self.owners.tick(served_zones, now)
        self.client.tick(now)
        self.has_seen_requests |= bool(self.client.held)

    def list_summaries(self) -> tuple[KeySummaryItem, ...]:
        """Return the summaries of the keys that this gateway owns now."""
        now = time.monotonic()
        items = []
        for key in self._view.list_slot_keys(self._zone):
            if self._roster.find_owner(key) == self._name:
                summary = self.owners.find(key).summarize(now)
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
        if peer_zone != self._zone:
            return tuple(
                self._build_held(number, key, target, tokens, now)
                for number, key, target, tokens in self.owners.iter_passed_on(peer)
            )
        return tuple(
            self._build_held(slot.number, slot.key, slot.offer.id, slot.tokens, now)
            for slot in self.client.held.values()
            if slot.owner == peer or peer in self._roster.list_owners(slot.key)
        )

    def list_sent_for(self, peer_zone: str) -> tuple[SentItem, ...]:
        """Return what was sent to targets with a limit whose owner a peer may be."""
        now = time.monotonic()
        if peer_zone == self._zone:
            return encode_sends(self.client.sends.list_reports(now))
        return encode_sends(self.owners.list_sends_to(peer_zone, now))

    def count_withheld(self, service: str, model: str) -> int:
        """Return a model's slots that can't be used for limits of requests a second."""
        now = time.monotonic()
        return sum(
            summary.withheld
            for key, (at, summary) in self._summaries.items()
            if (key.service, key.model) == (service, model) and now - at < SUMMARY_TTL_S
        )

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
        """Whether an owner that was heard lately has any slot, even if withheld."""
        now = time.monotonic()
        return any(
            summary.slots + summary.withheld > 0 and now - at < SUMMARY_TTL_S
            for at, summary in self._summaries.values()
        )

    def describe(self) -> dict:
        """Return the state for the dump."""
        return {
            "held": len(self.client.held),
            "pending": self.client.count_pending(),
            "owns": [
                str(owner.key)
                for owner in self.owners
                if self._roster.find_owner(owner.key) == self._name
            ],
            "rate_limits": {
                target: per_s
                for owner in self.owners
                for target, per_s in owner.rates.describe().items()
            },
            "summaries": {str(key): item for key, (_, item) in self._summaries.items()},
        }

    def _deliver(self, name: str, message: Message) -> bool:
        if name == self._name:
            self.handle(name, message)
            return True
        return self._send(name, message)

    def _build_held(
        self, number: int, key: SlotKey, target: str, tokens: int, now: float
    ) -> HeldSlotItem:
        at = self._progress.last_own_progress_at(target)
        age_ms = int(1000 * (now - at)) if at else -1
        return HeldSlotItem(number, key.service, key.model, target, age_ms, tokens)
