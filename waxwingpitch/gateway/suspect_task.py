"""Blocks requests that repeatedly crash targets, in agreement with the peers."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import gevent

from ..mesh.fleet_messages import CrashedAttemptItem, CrashNews, SlotRelease
from ..requests.blame import BLOCK_TTL_S, BlameBook
from ..requests.crash_trials import TrialBook
from ..requests.crash_watch import BrokenAttempt, CrashWatch
from ..requests.culprits import CrashItem, Culprit
from ..slots import Outcome
from .beliefs import GatewayView

# Time in which the connections of all requests at a target break, before it is probed.
PROBE_DELAY_S = 0.02

logger = logging.getLogger(__name__)


class SuspectTracker:
    """Crashes of targets and the requests in flight, shared among gateways.

    Parameters
    ----------
    announce
        Sends news to all gateways.
    send
        Sends news to one peer.
    is_reachable
        Probes a target, given its id and address; returns whether it answers.
    is_head
        Returns whether this gateway leads its zone, so that it answers for it.
    """

    def __init__(
        self,
        view: GatewayView,
        announce: Callable[[CrashNews], None],
        send: Callable[[str, CrashNews], None],
        is_reachable: Callable[[str, str], bool],
        is_head: Callable[[], bool],
    ):
        self._view = view
        self._announce = announce
        self._send = send
        self._is_reachable = is_reachable
        self._is_head = is_head
        self._crash_watch = CrashWatch()
        self._book = BlameBook()
        self._trials = TrialBook()
        self._probed: set[tuple[str, int]] = set()
        self._blocked: frozenset[str] = frozenset()

    def find_blocked(self, keys: tuple[str, ...]) -> Culprit | None:
        """Return the key of a request for which it is blocked, if any."""
        return self._book.find_blocked(keys)

    def may_try(self, keys: tuple[str, ...]) -> bool:
        """Return whether a request with blocked keys may be sent as a trial of them."""
        now = time.monotonic()
        return all(
            self._trials.may_try(item, keys, now)
            for item in self._book.iter_blocked(keys)
        )

    def begin_trials(self, request: str, keys: tuple[str, ...]) -> bool:
        """Record that a request is sent; return whether it is a trial of its keys."""
        tried = list(self._book.iter_blocked(keys))
        for item in tried:
            self._trials.record(item.key, time.monotonic())
            logger.info(
                "blocked key on trial",
                extra={
                    "request": request,
                    "key": item.key,
                    "crashes": item.crashes,
                    "lacks": sorted(item.rivals.difference(keys)),
                },
            )
        if tried:
            self._announce(CrashNews(tried={item.key: 0.0 for item in tried}))
        return bool(tried)

    def record_served(self, keys: tuple[str, ...], sent_at: float) -> None:
        """Clear the keys of a request that its target survived."""
        now = time.monotonic()
        cleared = self._book.find_served(keys, sent_at)
        if cleared:
            self._clear(dict.fromkeys(cleared, now))
            self._announce(CrashNews(cleared=dict.fromkeys(cleared, 0.0)))

    def handle_use(self, release: SlotRelease, at: float) -> None:
        """Learn from how a request that held a slot ended at its target.

        A target that answers has outlived the requests before.

        Parameters
        ----------
        at
            Monotonic time of the release's receipt.
        """
        known = self._view.find_target(release.target)
        if known is None:
            return
        started_ms = known.record.started_ms
        match Outcome(release.outcome):
            case Outcome.SERVED:
                sent_at = at - release.service_s
                self._crash_watch.discard(release.target, started_ms, sent_at)
            case Outcome.BROKEN if release.fingerprint:
                self._record_broken(release, started_ms, known.record.address, at)

    def _record_broken(
        self, release: SlotRelease, started_ms: int, address: str, at: float
    ) -> None:
        target = release.target
        keys = (*release.parts, release.fingerprint)
        sent_at = at - release.service_s
        attempt = BrokenAttempt(
            keys, target, started_ms, sent_at, at, release.had_output
        )
        self._report(self._crash_watch.add(attempt))
        is_model_target = release.epoch > 0
        if is_model_target and (target, started_ms) not in self._probed:
            self._probed.add((target, started_ms))
            gevent.spawn(self._probe, target, started_ms, address)

    def handle_lost_target(self, target: str, started_ms: int | None) -> None:
        """Find the requests that were in flight at a target that was lost.

        Parameters
        ----------
        started_ms
            Start time of its new incarnation; None if it is no longer listed.
        """
        now = time.monotonic()
        self._report(self._crash_watch.find_crashes(target, started_ms, now))

    def handle_news(self, news: CrashNews, at: float) -> None:
        """Merge the news of a peer, received at a monotonic time."""
        self._book.merge(_decode_item(item, at) for item in news.items)
        if news.cleared:
            self._clear({key: at - age_s for key, age_s in news.cleared.items()})
        for key, age_s in news.tried.items():
            self._trials.record(key, at - age_s)
        self._object_to(news.blocked)
        self._log_changes()

    def tell(self, peer: str) -> None:
        """Tell a new peer why keys are blocked, and which were cleared or tried.

        It may have missed that while it was not linked.
        """
        now = time.monotonic()
        items = self._book.list_blocking()
        cleared = {key: now - at for key, at in self._book.list_cleared().items()}
        tried = {key: now - at for key, at in self._trials.list_recorded().items()}
        if items or cleared:
            self._send(peer, _encode_news(items, now, cleared, tried))

    def expire(self, now: float) -> None:
        """Forget crashes that no longer count."""
        self._book.expire(now)
        self._trials.expire(now - BLOCK_TTL_S)
        self._log_changes()

    def describe(self) -> list[dict]:
        """Return the blocked keys for the dump."""
        culprits = self._book.list_culprits()
        return [{"key": item.key, "crashes": item.crashes} for item in culprits]

    def _probe(self, target: str, started_ms: int, address: str) -> None:
        try:
            gevent.sleep(PROBE_DELAY_S)
            asked_at = time.monotonic()
            if self._is_reachable(target, address):
                self._crash_watch.discard(target, started_ms, asked_at)
            else:
                self.handle_lost_target(target, None)
        finally:
            self._probed.discard((target, started_ms))

    def _report(self, items: tuple[CrashItem, ...]) -> None:
        if not items:
            return
        self._book.merge(items)
        now = time.monotonic()
        for item in items:
            logger.info(
                "request suspected of a crash",
                extra={
                    "fingerprint": item.fingerprint,
                    "parts": list(item.keys[:-1]),
                    "target": item.target,
                    "crashes": self._book.count_crashes(item.fingerprint),
                },
            )
        self._announce(_encode_news(items, now))
        self._log_changes()

    def _object_to(self, blocked: tuple[str, ...]) -> None:
        """Tell gateways that block keys for want of the news that clears them."""
        now = time.monotonic()
        served = {key: self._book.find_served_at(key) for key in blocked}
        cleared = {key: now - at for key, at in served.items() if at is not None}
        if cleared and self._is_head():
            logger.info("keys of a peer cleared", extra={"keys": list(cleared)})
            self._announce(CrashNews(cleared=cleared))

    def _clear(self, cleared: dict[str, float]) -> None:
        """Clear keys from the monotonic times at which requests were served."""
        logger.info("keys cleared of crashes", extra={"keys": list(cleared)})
        for key, at in cleared.items():
            self._book.clear((key,), at)

    def _log_changes(self) -> None:
        culprits = self._book.list_culprits()
        blocked = frozenset(item.key for item in culprits)
        for item in culprits:
            if item.key not in self._blocked:
                logger.warning(
                    "requests blocked for crashes",
                    extra={
                        "key": item.key,
                        "crashes": item.crashes,
                        "incarnations": sorted({one.incarnation for one in item.items}),
                    },
                )
        for key in self._blocked - blocked:
            logger.info("requests no longer blocked", extra={"key": key})
        added, self._blocked = blocked - self._blocked, blocked
        if added:
            self._announce(CrashNews(blocked=tuple(sorted(added))))


def _encode_news(
    items: tuple[CrashItem, ...],
    now: float,
    cleared: dict[str, float] | None = None,
    tried: dict[str, float] | None = None,
) -> CrashNews:
    return CrashNews(
        tuple(
            CrashedAttemptItem(
                item.incarnation,
                item.keys,
                now - item.sent_at,
                now - item.broken_at,
                item.had_output,
            )
            for item in items
        ),
        cleared or {},
        tried=tried or {},
    )


def _decode_item(item: CrashedAttemptItem, at: float) -> CrashItem:
    return CrashItem(
        item.incarnation,
        item.keys,
        at - item.sent_age_s,
        at - item.broken_age_s,
        item.had_output,
    )
