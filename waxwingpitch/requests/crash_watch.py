"""Finds out whether a connection broke because its target crashed.

A broken connection alone says nothing of the request. If the target then starts anew
or leaves the list without a word, the requests that were in flight there are suspects.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time after a broken connection within which a crash shows in the list: three
# heartbeats until an entry lapses, and the time to restart.
SHOWS_WITHIN_S = 8.0
MAX_BROKEN = 1024


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """A request in flight when its connection broke.

    Attributes
    ----------
    started_ms
        Start of the target that it ran on.
    """

    fingerprint: str
    target: str
    started_ms: int
    at: float


@dataclass(frozen=True, slots=True)
class Crash:
    """A fingerprint that was in flight when a target's incarnation crashed."""

    fingerprint: str
    incarnation: str


class CrashWatch:
    """Broken attempts whose targets may have crashed.

    Examples
    --------
    >>> watch = CrashWatch()
    >>> watch.note_broken("f", "t", 5, now=1.0)
    >>> watch.note_target("t", 5, now=2.0)
    ()
    >>> watch.note_target("t", 9, now=3.0)
    (Crash(fingerprint='f', incarnation='t:5'),)
    """

    def __init__(self):
        self._broken: list[BrokenAttempt] = []

    def note_broken(
        self, fingerprint: str, target: str, started_ms: int, now: float
    ) -> None:
        """Note that a request's connection broke."""
        self._broken = [
            item for item in self._broken if now - item.at < SHOWS_WITHIN_S
        ][-MAX_BROKEN:]
        self._broken.append(BrokenAttempt(fingerprint, target, started_ms, now))

    def note_target(
        self, target: str, started_ms: int | None, now: float
    ) -> tuple[Crash, ...]:
        """Return the crashes that a target's new record shows.

        Parameters
        ----------
        started_ms
            Start of the target now; None if it left the list without a word.
        """
        crashed = [
            item
            for item in self._broken
            if item.target == target
            and item.started_ms != started_ms
            and now - item.at < SHOWS_WITHIN_S
        ]
        self._broken = [item for item in self._broken if item not in crashed]
        return tuple(
            Crash(item.fingerprint, f"{target}:{item.started_ms}") for item in crashed
        )
