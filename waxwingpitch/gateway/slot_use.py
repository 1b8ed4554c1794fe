"""What a request asks the owner of slots for, and what it tells it of their use."""

from __future__ import annotations

from ..slots import Outcome as SlotOutcome, SlotRequest
from .attempts import Attempts, Broken, Done, NotRun, Outcome, Stalled
from .routed import RequestContext


def build_slot_request(ctx: RequestContext, attempts: Attempts) -> SlotRequest:
    """Return the request for a slot of a replica for the next attempt."""
    resume_deadline = None
    if attempts.runs:
        resume_deadline = ctx.find_idle_deadline(attempts.last_forwarded_at)
    return SlotRequest(
        request=ctx.id,
        service=ctx.service,
        model=ctx.model,
        workspace=ctx.workspace or "",
        priority=ctx.priority,
        cost=ctx.cost,
        deadline=ctx.deadline,
        avoid=frozenset(attempts.tried),
        resume_deadline=resume_deadline,
        due_at=ctx.arrived_at + ctx.route.latency_objective_s,
        is_retry=attempts.sends > 0,
        is_repeated=attempts.has_asked,
        tokens=ctx.tokens,
        objective_s=ctx.route.latency_objective_s,
    )


def classify_outcome(outcome: Outcome | None, *, has_epoch: bool) -> SlotOutcome:
    """Return what the owner of a slot is told about its use."""
    match outcome:
        case Done():
            return SlotOutcome.SERVED
        case NotRun(is_misdirected=True):
            return SlotOutcome.MISDIRECTED
        case Broken():
            return SlotOutcome.BROKEN
        case NotRun(is_refused=True):
            return SlotOutcome.UNREACHABLE
        case NotRun(is_unreachable=True) if has_epoch:
            return SlotOutcome.UNREACHABLE
        case Stalled(is_link_lost=False) if has_epoch:
            return SlotOutcome.STALLED
        case _:
            return SlotOutcome.FAILED
