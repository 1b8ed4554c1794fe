"""What targets say of themselves in the heads of their answers."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..forwarding import AnswerHead
from ..forwarding.answers import parse_retry_after
from ..platform import HeaderNames, decode_rate_limit
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
        self._rate_limits: dict[str, float] = {}

    def read(self, target: str, head: AnswerHead, now: float) -> None:
        """Take note of an answer's head, received at a monotonic time."""
        if head.find(HeaderNames.LEAVING) is not None:
            self._metrics.count_leaving_answer()
            self._on_leaving(target, now)
        self._read_rate_limit(target, head)
        pause_s = parse_retry_after(head) if head.status == 503 else None
        if pause_s:
            self._pauses.pause(target, until=now + pause_s)
            self._metrics.count_pause(target)
            logger.info(
                "target asked for a pause", extra={"target": target, "pause_s": pause_s}
            )

    def _read_rate_limit(self, target: str, head: AnswerHead) -> None:
        """Log a limit of requests a second that a target states, once it changes."""
        try:
            per_s = decode_rate_limit(head.find_all(HeaderNames.RATE_LIMIT))
        except ValueError as exc:
            logger.warning(
                "target's rate limit ignored",
                extra={"target": target, "reason": str(exc)},
            )
            return
        if per_s == self._rate_limits.get(target):
            return
        if per_s is None:
            del self._rate_limits[target]
        else:
            self._rate_limits[target] = per_s
        self._metrics.count_rate_limit(target)
        logger.info(
            "target stated a rate limit", extra={"target": target, "per_s": per_s}
        )
