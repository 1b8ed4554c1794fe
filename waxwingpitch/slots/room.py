"""Memory of replicas, in tokens: what requests occupy and what is free.

The load it is for: bursts of long prompts and answers, of which the slots of a group
hold more than its memory. A group that holds more tokens than its memory crashes, so
that a request is granted a slot only where its prompt and its expected answer fit.

What is bounded: the tokens granted by one owner on each replica. When the owner ends,
the next one learns what is held from the reports of the entry hosts; until they have
come, it uses half of the memory. Two owners that don't know of each other's grants may
together grant up to 1.5 times the memory, for the time that they overlap; a request
occupies its expected answer only at its end.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from .common import SlotOffer, SlotRequest
from .ledger import REPORT_DELAY_S, SlotLedger

# Weight of the newest request in the mean tokens of a request.
NEWEST_SAMPLE_WEIGHT = 0.05
# Time after which a new owner has the reports of all entry hosts, and an owner before
# it grants nothing more: one report, and the time in which an owner is replaced.
TAKEOVER_S = REPORT_DELAY_S + 0.7
# Share of the memory that a new owner uses until then.
TAKEOVER_SHARE = 0.5
# Time without a request after which an owner knows of no other one's grants.
IDLE_S = 5.0
# What sums of shares may be above the memory by rounding.
ROUNDING_TOKENS = 0.5


class MemoryRoom:
    """Free memory of the replicas of one owner.

    A request that does not tell its tokens, as of an earlier build, counts as the share
    of the memory that each slot has.

    Parameters
    ----------
    ledger
        What the entry hosts hold.
    """

    def __init__(self, ledger: SlotLedger):
        self._ledger = ledger
        self._mean_tokens = 0.0
        self._started_at = self._asked_at = -math.inf
        self._largest: int | None = None

    def set_offers(self, offers: Iterable[SlotOffer]) -> None:
        """Take note of the replicas whose memory is counted."""
        known = [item.kv_capacity for item in offers if item.kv_capacity is not None]
        self._largest = max(known, default=None)

    def record(self, req: SlotRequest, now: float) -> None:
        """Take note of a request; the first one for long starts the owner's time.

        One that fits nowhere does not count for the mean of those that do.
        """
        if now - self._asked_at > IDLE_S:
            self._started_at = now
        self._asked_at = now
        if 0 < req.tokens <= (self._largest or 0):
            known = self._mean_tokens or req.tokens
            self._mean_tokens = known + NEWEST_SAMPLE_WEIGHT * (req.tokens - known)

    def can_ever_fit(self, offers: Iterable[SlotOffer], req: SlotRequest) -> bool:
        """Whether some replica, or the lack of any, lets a request hope for room."""
        offers = list(offers)
        return not offers or any(
            offer.kv_capacity is None or req.tokens <= offer.kv_capacity
            for offer in offers
        )

    def has_room(self, offer: SlotOffer, req: SlotRequest, now: float) -> bool:
        """Whether a request fits into what is free of a replica's memory."""
        if offer.kv_capacity is None:
            return True
        held = self._count_held(offer)
        need = req.tokens or self._find_share(offer)
        if not held:
            return need <= offer.kv_capacity + ROUNDING_TOKENS
        is_new = now - self._started_at < TAKEOVER_S
        usable = offer.kv_capacity * (TAKEOVER_SHARE if is_new else 1.0)
        return held + need <= usable + ROUNDING_TOKENS

    def limit_slots(self, offer: SlotOffer, slots: float) -> float:
        """Return the slots of a replica that requests of the mean size can use."""
        if offer.kv_capacity is None or not self._mean_tokens:
            return slots
        return min(slots, max(1.0, offer.kv_capacity / self._mean_tokens))

    def count_free(self, offer: SlotOffer, now: float) -> float:
        """Return the number of requests of the mean size that a replica may get now."""
        if offer.kv_capacity is None:
            return math.inf
        free = offer.kv_capacity - self._count_held(offer)
        return max(0, int(free // (self._mean_tokens or self._find_share(offer))))

    def _count_held(self, offer: SlotOffer) -> float:
        tokens, untold = self._ledger.count_tokens(offer.id)
        return tokens + untold * self._find_share(offer)

    def _find_share(self, offer: SlotOffer) -> float:
        return offer.kv_capacity / max(1, offer.capacity)
