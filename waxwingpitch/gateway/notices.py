"""What targets say of themselves in the heads of their answers."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..forwarding import AnswerHead
from ..forwarding.answers import parse_retry_after
from ..platform import HeaderNames, decode_rate_limit
from ..targets.pauses import PauseBook
from ..telemetry import GatewayMetrics
from .slot_client import Slot

logger = logging.getLogger(__name__)


class TargetNotices:
    """Reads notices that a target leaves, or wants no requests for a while.

    Parameters
    ----------
    on_leaving
        Called with the id of a target that says that it leaves, and the monotonic time.
    on_rate
        Called with the slot of a target that states another limit of requests a second
        than the slot's owner knew, and that limit; None if it states none.
    """

    def __init__(
        self,
        pauses: PauseBook,
        metrics: GatewayMetrics,
        on_leaving: Callable[[str, float], None],
        on_rate: Callable[[Slot, float | None], None],
    ):
        self._pauses = pauses
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._on_rate = on_rate

    def read(self, slot: Slot, head: AnswerHead, now: float) -> None:
        """Take note of the head of a slot's answer, received at a monotonic time."""
        target = slot.offer.id
        if head.find(HeaderNames.LEAVING) is not None:
            self._metrics.count_leaving_answer()
            self._on_leaving(target, now)
        self._read_rate_limit(slot, head)
        pause_s = parse_retry_after(head) if head.status == 503 else None
        if pause_s:
            self._pauses.pause(target, until=now + pause_s)
            self._metrics.count_pause(target)
            logger.info(
                "target asked for a pause", extra={"target": target, "pause_s": pause_s}
            )

    def _read_rate_limit(self, slot: Slot, head: AnswerHead) -> None:
        """Tell a limit of requests a second that the slot's owner does not know.

        The end of a limit is taken from answers of the target itself only.
        """
        target = slot.offer.id
        try:
            per_s = decode_rate_limit(head.find_all(HeaderNames.RATE_LIMIT))
        except ValueError as exc:
            logger.warning(
                "target's rate limit ignored",
                extra={"target": target, "reason": str(exc)},
            )
            return
        if per_s == slot.offer.rate_per_s:
            return
        # Errors made on the way, and other targets, say nothing of this one's limit.
        if per_s is None and not _is_own_answer(head):
            return
        self._on_rate(slot, per_s)
        self._metrics.count_rate_limit(target)
        logger.info(
            "target stated a rate limit", extra={"target": target, "per_s": per_s}
        )


def _is_own_answer(head: AnswerHead) -> bool:
    """Return whether an answer comes from the target that it was expected of."""
    if head.status == 421:
        return False
    names = (HeaderNames.SEAL, HeaderNames.NOT_RUN)
    return any(head.find(name) is not None for name in names)
