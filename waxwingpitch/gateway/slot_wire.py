"""Translates slot requests and decisions into messages and back."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..admission.forecast import Pressure
from ..mesh.fleet_messages import (
    KeySummaryItem,
    SentItem,
    SlotGrant,
    SlotRefusal,
    SlotRequestMessage,
)
from ..slots import (
    Granted,
    KeySummary,
    Refused,
    SlotKey,
    SlotOffer,
    SlotRequest,
)
from ..slots.budget import RetryCounts
from ..slots.rates import ReportedSends

# Sent for times that never come.
NEVER_S = 1e6
# Sent for a target that states no limit of requests a second.
NO_RATE = -1.0


def encode_request(
    number: int,
    key: SlotKey,
    req: SlotRequest,
    now: float,
    *,
    for_other_zone: bool = False,
    may_wait: bool = False,
) -> SlotRequestMessage:
    """Return the message for a request, at a monotonic time."""
    resume = req.resume_deadline
    return SlotRequestMessage(
        number=number,
        zone=key.zone,
        service=key.service,
        model=key.model,
        request=req.request,
        workspace=req.workspace,
        priority=req.priority,
        cost=req.cost,
        left_s=req.deadline - now,
        due_left_s=min(NEVER_S, req.due_at - now),
        resume_left_s=-1.0 if resume is None else max(0.0, resume - now),
        avoid=tuple(req.avoid),
        excluded=tuple(req.excluded),
        excluded_left_s=min(NEVER_S, req.excluded_until - now),
        is_retry=req.is_retry,
        for_other_zone=for_other_zone,
        may_wait=may_wait,
        is_repeated=req.is_repeated,
        tokens=req.tokens,
        objective_s=req.objective_s,
    )


def decode_request(message: SlotRequestMessage, now: float) -> SlotRequest:
    """Return the request of a message that arrived at a monotonic time."""
    resume_s = message.resume_left_s
    return SlotRequest(
        request=message.request,
        service=message.service,
        model=message.model,
        workspace=message.workspace,
        priority=message.priority,
        cost=message.cost,
        deadline=now + message.left_s,
        avoid=frozenset(message.avoid),
        excluded=frozenset(message.excluded),
        excluded_until=_decode_time(message.excluded_left_s, now),
        resume_deadline=None if resume_s < 0 else now + resume_s,
        due_at=_decode_time(message.due_left_s, now),
        is_retry=message.is_retry,
        is_repeated=message.is_repeated,
        tokens=max(0, message.tokens),
        objective_s=message.objective_s,
    )


def _decode_time(left_s: float, now: float) -> float:
    return math.inf if left_s >= NEVER_S else now + left_s


def encode_grant(number: int, granted: Granted, now: float) -> SlotGrant:
    """Return the message for a grant."""
    offer = granted.offer
    return SlotGrant(
        number=number,
        target=offer.id,
        address=offer.address,
        zone=offer.zone,
        capacity=offer.capacity,
        epoch=offer.epoch,
        cold_left_s=max(0.0, offer.cold_until - now),
        in_flight=granted.in_flight,
        rate_per_s=encode_rate(offer.rate_per_s),
    )


def decode_grant(message: SlotGrant, service: str, model: str, now: float) -> SlotOffer:
    """Return the replica of a grant that arrived at a monotonic time."""
    return SlotOffer(
        id=message.target,
        address=message.address,
        zone=message.zone,
        service=service,
        model=model,
        capacity=message.capacity,
        epoch=message.epoch,
        cold_until=now + message.cold_left_s,
        rate_per_s=decode_rate(message.rate_per_s),
    )


def encode_rate(per_s: float | None) -> float:
    """Return a limit of requests a second as messages tell it."""
    return NO_RATE if per_s is None else per_s


def decode_rate(per_s: float) -> float | None:
    """Return the limit that a message tells; None for no limit."""
    return None if per_s < 0 else per_s


def encode_sends(reports: Iterable[ReportedSends]) -> tuple[SentItem, ...]:
    """Return the items for a status."""
    return tuple(SentItem(item.target, item.per_s, item.sent) for item in reports)


def decode_sends(items: Iterable[SentItem]) -> list[ReportedSends]:
    """Return what a status reports."""
    return [ReportedSends(item.target, item.per_s, item.sent) for item in items]


def encode_refusal(number: int, refused: Refused) -> SlotRefusal:
    """Return the message for a refusal."""
    return SlotRefusal(
        number=number,
        retry_after_s=refused.retry_after_s,
        reason=refused.reason,
        slots=math.ceil(refused.pressure.slots),
        waiting=refused.pressure.waiting,
        service_s=refused.pressure.service_s,
    )


def decode_refusal(client: str, message: SlotRefusal) -> Refused:
    """Return the refusal of a message."""
    return Refused(
        client=client,
        number=message.number,
        retry_after_s=message.retry_after_s,
        reason=message.reason,
        pressure=Pressure(message.slots, message.waiting, message.service_s),
    )


def encode_summary(key: SlotKey, summary: KeySummary) -> KeySummaryItem:
    """Return the message's item for a key's summary."""
    return KeySummaryItem(
        key.zone,
        key.service,
        key.model,
        summary.slots,
        summary.in_flight,
        summary.free,
        summary.lowest_utilisation,
        summary.waiting,
        summary.unmet,
        summary.service_s,
        summary.retry_counts.requests,
        summary.retry_counts.retries,
        summary.withheld,
    )


def decode_summary(item: KeySummaryItem) -> tuple[SlotKey, KeySummary]:
    """Return the key and the summary of a message's item."""
    return SlotKey(item.zone, item.service, item.model), KeySummary(
        item.slots,
        item.in_flight,
        item.free,
        item.lowest_utilisation,
        item.waiting,
        item.unmet,
        item.service_s,
        RetryCounts(item.requests, item.retries),
        item.withheld,
    )
