"""Blocks requests that repeatedly crash targets, in agreement with the peers."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from ..mesh.messages import SuspectItem
from ..requests.crash_watch import CrashWatch
from ..requests.suspects import SuspectBook, SuspectRecord, Verdict
from .beliefs import GatewayView

logger = logging.getLogger(__name__)


class SuspectTracker:
    """Records of requests suspected of crashing targets, shared among gateways.

    Parameters
    ----------
    announce
        Sends suspects to all peers.
    """

    def __init__(
        self, view: GatewayView, announce: Callable[[tuple[SuspectItem, ...]], None]
    ):
        self._view = view
        self._announce = announce
        self._crash_watch = CrashWatch()
        self._book = SuspectBook()

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether requests with this fingerprint crashed too many targets."""
        return self._book.judge(fingerprint, time.monotonic()) is Verdict.BLOCKED

    def clear(self, fingerprint: str) -> None:
        """Clear a request of suspicion, as it was served."""
        self._book.clear(fingerprint)

    def record_broken(self, fingerprint: str, target: str) -> None:
        """Record that a request's connection to a target broke."""
        known = self._view.targets.get(target)
        if known is not None:
            started_ms = known.record.started_ms
            self._crash_watch.record_broken(
                fingerprint, target, started_ms, time.monotonic()
            )

    def merge(self, items: tuple[SuspectItem, ...], at: float) -> None:
        """Merge the suspects of a peer, received at a monotonic time."""
        self._book.merge(
            SuspectRecord(
                item.fingerprint, frozenset(item.crashes), at + item.left_ms / 1000
            )
            for item in items
        )

    def handle_lost_target(self, target: str, started_ms: int | None) -> None:
        """Find the requests that were in flight at a target that was lost.

        Parameters
        ----------
        started_ms
            Start time of its new incarnation; None if it is no longer listed.
        """
        now = time.monotonic()
        items = []
        for crash in self._crash_watch.find_crashes(target, started_ms, now):
            record = self._book.record_crash(crash.fingerprint, crash.incarnation, now)
            left_ms = int(1000 * (record.until - now))
            items.append(
                SuspectItem(record.fingerprint, tuple(record.crashes), left_ms)
            )
            logger.info(
                "request suspected of a crash",
                extra={
                    "fingerprint": crash.fingerprint,
                    "target": target,
                    "crashes": len(record.crashes),
                },
            )
        if items:
            self._announce(tuple(items))
