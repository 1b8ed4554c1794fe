"""What targets say of themselves in the heads of their answers."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..forwarding import AnswerHead
from ..forwarding.answers import parse_retry_after
from ..platform import HeaderNames
from ..targets.pauses import PauseBook
from ..telemetry import GatewayMetrics
from .beliefs import GatewayView

logger = logging.getLogger(__name__)


class TargetNotices:
    """Reads notices that a target leaves, or wants no requests for a while.

    Parameters
    ----------
    announce_leaving
        Tells the peers that a target leaves, given its id and start time in Unix
        milliseconds.
    """

    def __init__(
        self,
        view: GatewayView,
        pauses: PauseBook,
        metrics: GatewayMetrics,
        announce_leaving: Callable[[str, int], None],
    ):
        self._view = view
        self._pauses = pauses
        self._metrics = metrics
        self._announce_leaving = announce_leaving

    def read(self, target: str, head: AnswerHead, now: float) -> None:
        """Take note of an answer's head, received at a monotonic time."""
        if head.find(HeaderNames.LEAVING) is not None:
            self._note_leaving(target)
        pause_s = parse_retry_after(head) if head.status == 503 else None
        if pause_s:
            self._pauses.pause(target, until=now + pause_s)
            self._metrics.count_pause(target)
            logger.info(
                "target asked for a pause", extra={"target": target, "pause_s": pause_s}
            )

    def _note_leaving(self, target: str) -> None:
        started_ms = self._view.mark_leaving(target)
        if started_ms is None:
            return
        self._metrics.count_leaving_answer()
        self._announce_leaving(target, started_ms)
        logger.info("target says that it leaves", extra={"target": target})
