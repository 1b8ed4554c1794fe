"""Slots that this gateway's requests ask for and hold."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import gevent
from gevent.event import AsyncResult

from ..admission.forecast import MAX_WAIT_SHARE, Pressure
from ..mesh.fleet_messages import (
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    StallCheck,
    StallReply,
    TargetRate,
)
from ..mesh.messages import Message
from ..slots import Outcome, Refused, SlotKey, SlotOffer, SlotRequest
from ..slots.rates import RecentSends
from ..targets.pauses import PauseBook
from .roster import Roster
from .slot_wire import decode_grant, decode_refusal, encode_rate, encode_request

# Time in which an owner answers the question about a silent stream.
STALL_CHECK_TIMEOUT_S = 0.05
# Time for which a target that said that it leaves is avoided here.
LEAVING_TTL_S = 30.0
# Time for which peers are told of a target whose start is not known here.
LEAVING_NEWS_S = 1.0
RETRY_WITHOUT_OWNER_S = 0.5
# Outcome of a slot that was not used.
UNUSED = -1
# Times that a slot of a target is given back which must not be used from here.
MAX_VETOES = 3

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot that one of this gateway's requests holds.

    Attributes
    ----------
    owner
        Host that granted it.
    tokens
        Tokens that its request occupies; 0 if they are not told.
    """

    number: int
    owner: str
    key: SlotKey
    offer: SlotOffer
    in_flight: int
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class _Pending:
    """A request that awaits a slot; ``owner`` is the host asked, if any."""

    key: SlotKey
    request: SlotRequest
    since: float
    owner: str
    result: AsyncResult


class SlotClient:
    """Asks the owners of slots for this gateway's requests.

    Parameters
    ----------
    numbers
        Numbers of requests, unique within this process.
    deliver
        Hands a message to a host, which may be this one; returns False if it is not
        linked.

    Attributes
    ----------
    held
        Slots held, by number.
    pauses
        Pauses that targets asked this gateway for.
    sends
        Requests sent to targets that limit the requests a second.
    on_leaving
        Called with a target that said here that it leaves.
    on_stalled
        Called with a target that is silent, and the epoch of its group.
    """

    def __init__(
        self,
        roster: Roster,
        numbers: Iterator[int],
        deliver: Callable[[str, Message], bool],
    ):
        self._roster = roster
        self._numbers = numbers
        self._deliver = deliver
        self._pending: dict[int, _Pending] = {}
        self._stall_replies: dict[int, AsyncResult] = {}
        self._leaving: dict[str, float] = {}
        self.held: dict[int, Slot] = {}
        self.pauses = PauseBook()
        self.sends = RecentSends()
        self.on_leaving: Callable[[str], None] = lambda target: None
        self.on_stalled: Callable[[str, int], None] = lambda target, epoch: None

    def acquire(self, req: SlotRequest) -> Slot | Refused:
        """Return a slot for a request, waiting for one if needed."""
        slot = self._acquire_once(req)
        for _ in range(MAX_VETOES):
            if not isinstance(slot, Slot) or not self._is_excluded(slot.offer.id):
                break
            self.release(slot, None, service_s=0.0, first_s=0.0)
            slot = self._acquire_once(replace(req, is_repeated=True))
        return slot

    def _acquire_once(self, req: SlotRequest) -> Slot | Refused:
        now = time.monotonic()
        key = SlotKey(self._roster.local.zone, req.service, req.model)
        paused = self.pauses.list_paused(now)
        req = replace(
            req,
            excluded=frozenset((*self._leaving, *paused)),
            excluded_until=self.pauses.find_first_end(paused, now) or math.inf,
        )
        number = next(self._numbers)
        result: AsyncResult = AsyncResult()
        timeout = gevent.Timeout((req.resume_deadline or req.deadline) - now)
        try:
            self._submit(number, _Pending(key, req, now, "", result))
            with timeout:
                return result.get()
        except gevent.Timeout as exc:
            self._abandon(number)
            if exc is not timeout:
                raise
            return self._refuse(number, "no answer of the slots' owner")
        except BaseException:
            self._abandon(number)
            raise

    def release(
        self,
        slot: Slot,
        outcome: Outcome | None,
        *,
        service_s: float,
        first_s: float,
        keys: tuple[str, ...] = (),
        had_output: bool = False,
    ) -> None:
        """Give a slot back, and tell its owner how it was used.

        Parameters
        ----------
        outcome
            None if it was not used.
        service_s, first_s
            Time to the whole answer and to its first part.
        keys
            Keys of a request whose connection broke, its fingerprint last.
        had_output
            Whether a part of its answer had arrived.
        """
        self.held.pop(slot.number, None)
        message = SlotRelease(
            slot.number,
            slot.key.zone,
            slot.key.service,
            slot.key.model,
            slot.offer.id,
            slot.offer.epoch,
            UNUSED if outcome is None else int(outcome),
            service_s,
            first_s,
            keys[-1] if keys else "",
            keys[:-1],
            had_output,
        )
        self._deliver(self._find_present_owner(slot), message)

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
            and whether the retry budget covers the attempt.
        """
        key = slot.key
        check = StallCheck(
            slot.number,
            key.zone,
            key.service,
            key.model,
            slot.offer.id,
            stalled_after_s,
        )
        result = self._stall_replies[slot.number] = AsyncResult()
        try:
            self._deliver(self._find_present_owner(slot), check)
            reply = result.get(timeout=STALL_CHECK_TIMEOUT_S)
        except gevent.Timeout:
            return 0.0, False
        finally:
            self._stall_replies.pop(slot.number, None)
        return time.monotonic() - reply.progress_age_s, reply.may_retry

    def note_stalled(self, slot: Slot) -> None:
        """Suspect a slot's target, which is silent; it may be heard again."""
        if slot.offer.epoch:
            self.on_stalled(slot.offer.id, slot.offer.epoch)

    def note_leaving(self, target: str, now: float) -> None:
        """Avoid a target that said that it leaves."""
        is_new = target not in self._leaving
        self._leaving[target] = now + LEAVING_TTL_S
        if is_new:
            logger.info("target says that it leaves", extra={"target": target})
            self.on_leaving(target)

    def note_rate(self, slot: Slot, per_s: float | None) -> None:
        """Tell the owner which limit of requests a second a slot's target states."""
        key = slot.key
        self._deliver(
            self._find_present_owner(slot),
            TargetRate(
                slot.number,
                key.zone,
                key.service,
                key.model,
                slot.offer.id,
                encode_rate(per_s),
            ),
        )

    def forget_leaving(self, target: str) -> None:
        """Use a target again that was started anew under its id."""
        if self._leaving.pop(target, None) is not None:
            logger.info("target that left is back", extra={"target": target})

    def list_new_leaving(self, now: float) -> list[str]:
        """Return the targets that have just said here that they leave.

        Their start is not told with them, so that later it may be another one's.
        """
        return [
            target
            for target, until in self._leaving.items()
            if until - now > LEAVING_TTL_S - LEAVING_NEWS_S
        ]

    def count_pending(self) -> int:
        """Return the number of requests that await a slot."""
        return len(self._pending)

    def has_pending(self, number: int) -> bool:
        """Return whether a request still awaits a slot."""
        return number in self._pending

    def handle_grant(self, peer: str, message: SlotGrant, now: float) -> bool:
        """Use a slot; return False if no request awaits it."""
        pending = self._pending.get(message.number)
        if pending is None:
            return False
        key = pending.key
        offer = decode_grant(message, key.service, key.model, now)
        self.resolve(peer, message.number, offer, message.in_flight)
        return True

    def handle_refusal(self, peer: str, message: SlotRefusal) -> bool:
        """Give a refusal to the request that it is for; return whether there is one."""
        pending = self._pending.get(message.number)
        if pending is None:
            return False
        if pending.owner == peer:
            refused = decode_refusal(self._roster.local.name, message)
            self.finish_refused(message.number, refused)
        return True

    def handle_stall_reply(self, message: StallReply) -> bool:
        """Give a reply to the stream that it is for; return whether there is one."""
        result = self._stall_replies.get(message.number)
        if result is not None:
            result.set(message)
        return result is not None

    def resolve(
        self, owner: str, number: int, offer: SlotOffer, in_flight: int
    ) -> None:
        """Give a slot to the request that awaits it."""
        pending = self._pending.pop(number, None)
        if pending is not None:
            tokens = pending.request.tokens
            slot = Slot(number, owner, pending.key, offer, in_flight, tokens)
            self.held[number] = slot
            self.sends.record(offer.id, offer.rate_per_s, time.monotonic())
            pending.result.set(slot)

    def finish_refused(self, number: int, refused: Refused) -> None:
        """Tell a request that it gets no slot."""
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending.result.set(refused)

    def handle_lost_peer(self, peer: str) -> None:
        """Ask the next owners for what the lost peer would have decided."""
        for number, pending in list(self._pending.items()):
            if pending.owner == peer:
                self._submit(number, pending)

    def tick(self, now: float) -> None:
        """Ask again where the owner is lost, and give up where there is none."""
        for target in [item for item, until in self._leaving.items() if until <= now]:
            del self._leaving[target]
        for number, pending in list(self._pending.items()):
            if not pending.owner or not self._roster.is_heard(pending.owner):
                self._submit(number, pending)
            if number in self._pending and not self._pending[number].owner:
                self._give_up_without_owner(number, pending, now)

    def _submit(self, number: int, pending: _Pending) -> None:
        """Send a pending request to the present owner of its key."""
        owner = self._roster.find_owner(pending.key) or ""
        asked = replace(pending.request, is_repeated=True)
        self._pending[number] = replace(pending, owner=owner, request=asked)
        if not owner:
            self._pending[number] = replace(pending, owner="")
            return
        message = encode_request(
            number,
            pending.key,
            pending.request,
            time.monotonic(),
        )
        if not self._deliver(owner, message):
            self._pending[number] = replace(pending, owner="")

    def _give_up_without_owner(
        self, number: int, pending: _Pending, now: float
    ) -> None:
        """Refuse a request for which no owner was found in time, unless it has run.

        Owners are missing while many hosts start, for a second or two.
        """
        has_run = pending.request.resume_deadline is not None
        time_s = pending.request.deadline - pending.since
        if not has_run and now - pending.since > time_s * MAX_WAIT_SHARE:
            refused = self._refuse(number, "no owner of the slots is known")
            self.finish_refused(number, refused)

    def _abandon(self, number: int) -> None:
        """Withdraw a request, or give back the slot that it was granted."""
        asked = self._pending.pop(number, None) or self.held.pop(number, None)
        if asked is not None and asked.owner:
            key = asked.key
            self._deliver(
                asked.owner,
                SlotRelease(number, key.zone, key.service, key.model, "", 0, UNUSED),
            )

    def _find_present_owner(self, slot: Slot) -> str:
        """Return the owner that granted a slot, or the next one if that has stopped.

        The next one knows the slot, and what other gateways see of its target, from the
        gateways' reports.
        """
        if self._roster.is_deciding(slot.owner):
            return slot.owner
        return self._roster.find_owner(slot.key) or slot.owner

    def _is_excluded(self, target: str) -> bool:
        paused = self.pauses.is_paused(target, time.monotonic())
        return paused or target in self._leaving

    def _refuse(self, number: int, reason: str) -> Refused:
        pressure = Pressure(0, 0, 0.0)
        name = self._roster.local.name
        return Refused(name, number, RETRY_WITHOUT_OWNER_S, reason, pressure)
