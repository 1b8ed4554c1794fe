"""Keeps requests that crash targets away from them, together with the peers."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from ..mesh.messages import SuspectItem
from ..requests.crash_watch import CrashWatch
from ..requests.suspects import SuspectBook, SuspectRecord, Verdict
from .beliefs import GatewayView

logger = logging.getLogger(__name__)


class SuspectTask:
    """Suspects known to one gateway.

    Parameters
    ----------
    announce
        Tells all peers of suspects.
    """

    def __init__(
        self, view: GatewayView, announce: Callable[[tuple[SuspectItem, ...]], None]
    ):
        self._view = view
        self._announce = announce
        self._watch = CrashWatch()
        self._book = SuspectBook()
        view.on_target_lost = self._note_target

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether like requests crashed too many targets."""
        return self._book.judge(fingerprint, time.monotonic()) is Verdict.BLOCKED

    def clear(self, fingerprint: str) -> None:
        """Note that a request was served."""
        self._book.clear(fingerprint)

    def note_broken(self, fingerprint: str, target: str) -> None:
        """Note that a request's connection to a target broke."""
        known = self._view.targets.get(target)
        if known is not None:
            started_ms = known.record.started_ms
            self._watch.note_broken(fingerprint, target, started_ms, time.monotonic())

    def merge(self, items: tuple[SuspectItem, ...], at: float) -> None:
        """Take in what a peer knows."""
        self._book.merge(
            SuspectRecord(
                item.fingerprint, frozenset(item.crashes), at + item.left_ms / 1000
            )
            for item in items
        )

    def _note_target(self, target: str, started_ms: int | None) -> None:
        now = time.monotonic()
        items = []
        for crash in self._watch.note_target(target, started_ms, now):
            record = self._book.note_crash(crash.fingerprint, crash.incarnation, now)
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
