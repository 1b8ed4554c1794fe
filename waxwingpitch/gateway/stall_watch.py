"""For how long a silent stream is read, and when it moves to another target."""

from __future__ import annotations

from collections.abc import Callable

from ..forwarding import TargetTimeoutError
from ..targets.progress import ProgressBook
from .attempts import Attempts
from .routed import RequestContext
from .slot_client import Slot, SlotClient
from .slot_search import SlotSearch
from .slot_use import build_slot_request

# Factor on the stall timeout while other streams of the same target make progress.
STALL_FACTOR_ACTIVE_TARGET = 6.0
# Interval at which a stalled stream that could not be retried is checked again. A check
# may probe the targets that it ran on, which takes up to 0.5 s each.
STALL_RECHECK_INTERVAL_S = 0.5
# Interval at which a silent stream looks whether a slot on another target was found.
SEARCH_POLL_INTERVAL_S = 0.02


class StallWatch:
    """Watches a stream from one piece of its answer to the next.

    Bytes that complete no event keep a stream only for a while. A silent target is
    suspected, so that it gets no further requests, but it may go on, as sound targets
    do that fall silent for a moment. It is abandoned only if the request may be retried
    and holds a slot on another target.

    Parameters
    ----------
    may_retry
        Returns whether the request may be sent to another target.
    may_move
        Returns whether the request may go on at another target at a monotonic time.
    is_link_lost
        Returns whether peers reach the target and this host does not.
    last_data_at, last_event_at
        Monotonic times of the last bytes and of the last complete event.
    stall_timeout_s
        Time without progress after which the target counts as stalled.
    """

    def __init__(
        self,
        ctx: RequestContext,
        attempts: Attempts,
        slot: Slot,
        slots: SlotClient,
        progress: ProgressBook,
        *,
        may_retry: Callable[[], bool],
        may_move: Callable[[float], bool],
        is_link_lost: Callable[[], bool],
        last_data_at: float,
        last_event_at: float,
        stall_timeout_s: float,
    ):
        self._ctx = ctx
        self._attempts = attempts
        self._slot = slot
        self._slots = slots
        self._progress = progress
        self._may_retry = may_retry
        self._may_move = may_move
        self._is_link_lost = is_link_lost
        self._last_event_at = last_event_at
        self._stall_timeout_s = stall_timeout_s
        self._last_data_at = last_data_at
        self._seen_elsewhere_at = 0.0
        self._search: SlotSearch | None = None

    def find_read_deadline(self, now: float) -> float:
        """Return the monotonic time until which to read before asking again.

        Raises
        ------
        TargetTimeoutError
            The request's deadline has passed, or it goes on at another target.
        """
        if now >= self._ctx.deadline:
            raise TargetTimeoutError("deadline passed")
        return min(self._ctx.deadline, self._find_next_check(now))

    def end(self) -> None:
        """End the search for another slot, if there is one."""
        if self._search is not None:
            self._search.cancel()

    def _find_next_check(self, now: float) -> float:
        if self._search is not None:
            return self._check_search(self._search, now)
        last_activity_at = max(
            self._last_data_at,
            self._seen_elsewhere_at,
            self._progress.last_progress_at(self._slot.offer.id),
        )
        stalled_at = last_activity_at + self._stall_timeout_s
        stall_limit_at = (
            self._last_event_at + self._stall_timeout_s * STALL_FACTOR_ACTIVE_TARGET
        )
        until = min(stalled_at, stall_limit_at)
        if now < until:
            return until
        return self._check_stall(now, is_over_limit=now >= stall_limit_at)

    def _check_search(self, search: SlotSearch, now: float) -> float:
        if not self._may_move(now):
            search.cancel()
            self._search = None
            return now + STALL_RECHECK_INTERVAL_S
        if not search.has_ended:
            return now + SEARCH_POLL_INTERVAL_S
        self._search = None
        self._attempts.next_slot = search.take()
        if self._attempts.next_slot is not None:
            raise TargetTimeoutError(f"no event for {now - self._last_event_at:.2f} s")
        return now + STALL_RECHECK_INTERVAL_S

    def _check_stall(self, now: float, *, is_over_limit: bool) -> float:
        """Search for another slot if the target is stalled and a retry is allowed."""
        if not self._may_move(now) or not self._may_retry():
            return now + STALL_RECHECK_INTERVAL_S
        limit_s = 0.0 if is_over_limit else self._stall_timeout_s
        self._seen_elsewhere_at, may_resume = self._slots.may_resume(
            self._slot, limit_s
        )
        if may_resume:
            self._slots.note_stalled(self._slot)
            req = build_slot_request(self._ctx, self._attempts)
            self._search = SlotSearch(self._slots, req, self._slot)
            return now + SEARCH_POLL_INTERVAL_S
        if self._is_link_lost():
            raise TargetTimeoutError("the link to the target is lost")
        seen_until = self._seen_elsewhere_at + self._stall_timeout_s
        return seen_until if seen_until > now else now + STALL_RECHECK_INTERVAL_S
