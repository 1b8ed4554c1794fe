"""Orders to heads that are missing from the list but still answer."""

from __future__ import annotations

from ..targets.records import Membership, MemberState
from .orders_to_targets import Close, Leave


def choose_release_order(
    place: Membership, close_deadline: float, now: float
) -> Close | Leave | None:
    """Return the order that frees the members of a head's group; None while it closes.

    A head leaves the list also when it stops by plan without saying so. It serves for a
    while after that, so that its requests in flight have time to finish.

    Parameters
    ----------
    place
        Group in the head's own report.
    close_deadline
        Monotonic time from which its requests in flight are ended.
    """
    match place.state:
        case MemberState.OPEN | MemberState.CLOSING if now >= close_deadline:
            return Close(place.group, place.epoch, preempt=True)
        case MemberState.OPEN:
            return Close(place.group, place.epoch, preempt=False)
        case MemberState.CLOSING:
            return None
        case _:
            return Leave(place.group, place.epoch)
