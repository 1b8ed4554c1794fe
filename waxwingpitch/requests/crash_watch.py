"""Detects connections that broke because their target crashed.

A broken connection alone is no evidence against the request. If the target then no
longer answers, restarts, or disappears from the list without announcing that it leaves,
the requests that were in flight there may have crashed it.
"""

from __future__ import annotations

from dataclasses import dataclass

from .culprits import CrashItem

# Time after a broken connection within which a crash is seen in the list: three
# heartbeats until an entry expires, and the time to restart.
CRASH_DETECTION_S = 8.0
MAX_BROKEN_ATTEMPTS = 1024


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """A request in flight when its connection broke.

    Attributes
    ----------
    keys
        Keys of the request; see :class:`~waxwingpitch.requests.culprits.CrashItem`.
    started_ms
        Start time of the target that it ran on.
    sent_at, broken_at
        Monotonic times at which it was sent and at which its connection broke.
    had_output
        Whether a part of its answer had arrived.
    """

    keys: tuple[str, ...]
    target: str
    started_ms: int
    sent_at: float
    broken_at: float
    had_output: bool = False


class CrashWatch:
    """Attempts with broken connections, whose targets may have crashed.

    Examples
    --------
    >>> watch = CrashWatch()
    >>> watch.add(BrokenAttempt(("f",), "t", 5, sent_at=0.5, broken_at=1.0))
    ()
    >>> watch.find_crashes("t", 5, now=2.0)
    ()
    >>> [(item.incarnation, item.keys) for item in watch.find_crashes("t", 9, now=3.0)]
    [('t:5', ('f',))]
    """

    def __init__(self):
        self._broken: list[BrokenAttempt] = []
        self._crashed: dict[tuple[str, int], float] = {}

    def add(self, attempt: BrokenAttempt) -> tuple[CrashItem, ...]:
        """Add an attempt; return it as a crash if its target is known to have crashed.

        Gateways report the attempts at a target one after the other.
        """
        now = attempt.broken_at
        if (attempt.target, attempt.started_ms) in self._crashed:
            return (_build_item(attempt),)
        self._broken = [
            item for item in self._broken if now - item.broken_at < CRASH_DETECTION_S
        ][-MAX_BROKEN_ATTEMPTS:]
        self._broken.append(attempt)
        return ()

    def discard(self, target: str, started_ms: int, before: float) -> None:
        """Forget the attempts that an incarnation outlived, as it answered since.

        Parameters
        ----------
        before
            Monotonic time at which the request that it answered was sent.
        """
        if self._broken:
            self._broken = [
                item
                for item in self._broken
                if (item.target, item.started_ms) != (target, started_ms)
                or item.broken_at >= before
            ]

    def find_crashes(
        self, target: str, started_ms: int | None, now: float
    ) -> tuple[CrashItem, ...]:
        """Return the crashes that a change of a target reveals.

        Parameters
        ----------
        started_ms
            Start time in its new record; None if it no longer answers, or disappeared
            from the list without announcing it.
        """
        crashed = [
            item
            for item in self._broken
            if item.target == target
            and item.started_ms != started_ms
            and now - item.broken_at < CRASH_DETECTION_S
        ]
        self._broken = [item for item in self._broken if item not in crashed]
        self._crashed = {
            incarnation: at
            for incarnation, at in self._crashed.items()
            if now - at < CRASH_DETECTION_S
        }
        self._crashed.update(((item.target, item.started_ms), now) for item in crashed)
        return tuple(_build_item(item) for item in crashed)


def _build_item(attempt: BrokenAttempt) -> CrashItem:
    incarnation = f"{attempt.target}:{attempt.started_ms}"
    return CrashItem(
        incarnation,
        attempt.keys,
        attempt.sent_at,
        attempt.broken_at,
        attempt.had_output,
    )
