"""Answers whether a silent stream may be resumed on another target."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import gevent
from msgspec import structs

from ..mesh.fleet_messages import StallCheck, StallReply
from ..mesh.messages import Message
from ..targets.progress import ProgressBook
from .passed_on import PassedOnTable
from .slot_client import STALL_CHECK_TIMEOUT_S

# Time in which the owner of another zone answers, so that the client's has not passed.
STALL_FORWARD_TIMEOUT_S = 0.6 * STALL_CHECK_TIMEOUT_S
# Age of the progress of a target of which nothing was seen.
NO_PROGRESS_AGE_S = 1e6

logger = logging.getLogger(__name__)


class StallChecks:
    """Answers clients from what is known of a target's progress, and the retry budget.

    Progress of another zone's target is seen by the clients of that zone first, and
    they tell their owner, so that the owner that granted the slot is asked.

    Parameters
    ----------
    has_retry_left
        Returns whether the retry budget covers an attempt, given service, model and the
        monotonic time.
    """

    def __init__(
        self,
        progress: ProgressBook,
        passed_on: PassedOnTable,
        has_retry_left: Callable[[str, str, float], bool],
        deliver: Callable[[str, Message], bool],
    ):
        self._progress = progress
        self._passed_on = passed_on
        self._has_retry_left = has_retry_left
        self._deliver = deliver
        self._asked: dict[int, tuple[str, StallCheck]] = {}

    def handle(self, peer: str, check: StallCheck, now: float) -> None:
        """Answer a client's check, after asking the owner of the target if needed."""
        if check.for_other_zone:
            age_s = self._measure_age_s(check.target, now)
            self._deliver(peer, StallReply(check.number, age_s, False))
            return
        number = self._passed_on.find_number(peer, check.number)
        item = None if number is None else self._passed_on.find(number)
        if item is None:
            self._decide(peer, check, self._measure_age_s(check.target, now), now)
            return
        question = structs.replace(
            check, number=number, zone=item.key.zone, for_other_zone=True
        )
        self._asked[number] = (peer, check)
        if self._deliver(item.owner, question):
            gevent.spawn_later(STALL_FORWARD_TIMEOUT_S, self._give_up, number, check)
        else:
            self._give_up(number, check)

    def handle_reply(self, reply: StallReply, now: float) -> None:
        """Answer the client on whose behalf another zone's owner was asked."""
        peer, check = self._asked.pop(reply.number, ("", None))
        if check is not None:
            age_s = min(reply.progress_age_s, self._measure_age_s(check.target, now))
            self._decide(peer, check, age_s, now)

    def _give_up(self, number: int, check: StallCheck) -> None:
        peer, asked = self._asked.get(number, ("", None))
        if asked is not check:
            return
        del self._asked[number]
        logger.info(
            "owner of another zone does not say whether its target works",
            extra={"target": check.target},
        )
        now = time.monotonic()
        self._decide(peer, check, self._measure_age_s(check.target, now), now)

    def _decide(self, peer: str, check: StallCheck, age_s: float, now: float) -> None:
        may_retry = age_s >= check.stalled_after_s and self._has_retry_left(
            check.service, check.model, now
        )
        self._deliver(peer, StallReply(check.number, age_s, may_retry))

    def _measure_age_s(self, target: str, now: float) -> float:
        at = self._progress.last_progress_at(target)
        return now - at if at else NO_PROGRESS_AGE_S
