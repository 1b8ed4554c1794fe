"""What targets say of themselves in the heads of their answers."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..forwarding import AnswerHead
from ..forwarding.answers import parse_retry_after
from ..platform import HeaderNames
from ..targets.pauses import PauseBook
from ..telemetry import GatewayMetrics

logger = logging.getLogger(__name__)


class TargetNotices:
    """Reads notices that a target leaves, or wants no requests for a while.

    Parameters
    ----------
    on_leaving
        Called with the id of a target that says that it leaves, and the monotonic time.
    """

    def __init__(
        self,
        pauses: PauseBook,
        metrics: GatewayMetrics,
        on_leaving: Callable[[str, float], None],
    ):
        self._pauses = pauses
        self._metrics = metrics
        self._on_leaving = on_leaving

    def read(self, target: str, head: AnswerHead, now: float) -> None:
        """Take note of an answer's head, received at a monotonic time."""
        if head.find(HeaderNames.LEAVING) is not None:
            self._metrics.count_leaving_answer()
            self._on_leaving(target, now)
        pause_s = parse_retry_after(head) if head.status == 503 else None
        if pause_s:
            self._pauses.pause(target, until=now + pause_s)
            self._metrics.count_pause(target)
            logger.info(
                "target asked for a pause", extra={"target": target, "pause_s": pause_s}
            )
