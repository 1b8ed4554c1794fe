"""Detects connections that broke because their target crashed.

A broken connection alone is no evidence against the request. If the target then
restarts, or disappears from the list without announcing that it leaves, the requests
that were in flight there are suspects.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time after a broken connection within which a crash is seen in the list: three
# heartbeats until an entry expires, and the time to restart.
CRASH_DETECTION_S = 8.0
MAX_BROKEN_ATTEMPTS = 1024


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """A request in flight when its connection broke.

    Attributes
    ----------
    started_ms
        Start time of the target that it ran on.
    at
        Monotonic time at which the connection broke.
    """

    fingerprint: str
    target: str
    started_ms: int
    at: float


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a target's incarnation, and the fingerprint of a request in flight."""

    fingerprint: str
    incarnation: str


class CrashWatch:
    """Attempts with broken connections, whose targets may have crashed.

    Examples
    --------
    >>> watch = CrashWatch()
    >>> watch.record_broken("f", "t", 5, now=1.0)
    >>> watch.find_crashes("t", 5, now=2.0)
    ()
    >>> watch.find_crashes("t", 9, now=3.0)
    (Crash(fingerprint='f', incarnation='t:5'),)
    """

    def __init__(self):
        self._broken: list[BrokenAttempt] = []

    def record_broken(
        self, fingerprint: str, target: str, started_ms: int, now: float
    ) -> None:
        """Record that a request's connection broke."""
        self._broken = [
            item for item in self._broken if now - item.at < CRASH_DETECTION_S
        ][-MAX_BROKEN_ATTEMPTS:]
        self._broken.append(BrokenAttempt(fingerprint, target, started_ms, now))

    def find_crashes(
        self, target: str, started_ms: int | None, now: float
    ) -> tuple[Crash, ...]:
        """Return the crashes that a change of a target's record reveals.

        Parameters
        ----------
        started_ms
            Start time in the new record; None if the target disappeared from the list
            without announcing it.
        """
        crashed = [
            item
            for item in self._broken
            if item.target == target
            and item.started_ms != started_ms
            and now - item.at < CRASH_DETECTION_S
        ]
        self._broken = [item for item in self._broken if item not in crashed]
        return tuple(
            Crash(item.fingerprint, f"{target}:{item.started_ms}") for item in crashed
        )
