"""Signs of life of targets, in the streams of this entry host and its peers.

Answers the load under which a busy target is silent for a while: one entry host has a
stream or two at each, and can't tell by them whether a target is slow or stuck.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time for which a target in which nothing moved gets no new requests. After that one
# request may try it again, in case it only paused.
SUSPICION_S = 2.5
# Age of the oldest signs of life that peers are told of.
RECENT_S = 1.0
# Age after which a sign of life says nothing any more.
FORGET_S = 60.0


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A target in which nothing moves.

    Attributes
    ----------
    since, until
        Monotonic times.
    is_local
        Whether it is a matter of this entry host alone, such as a target that it can't
        reach, so that what moves at peers says nothing against it.
    """

    since: float
    until: float
    is_local: bool


class ProgressBook:
    """When each target last gave a sign of life, and which are suspected.

    Targets are named with the epoch of their group, so that a group that was formed
    anew starts without suspicion.
    """

    def __init__(self):
        self._own: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._suspicions: dict[tuple[str, int], Suspicion] = {}

    def note_progress(self, target: str, epoch: int, now: float) -> None:
        """Note that something arrived from a target."""
        self._own[target] = now
        self._suspicions.pop((target, epoch), None)

    def note_peer_progress(self, target: str, at: float) -> None:
        """Note that a peer had a sign of life from a target at a monotonic time."""
        if at <= self._heard.get(target, 0.0):
            return
        self._heard[target] = at
        for key, known in list(self._suspicions.items()):
            if key[0] == target and not known.is_local and known.since < at:
                del self._suspicions[key]

    def list_recent_progress(self, now: float) -> dict[str, float]:
        """Return the ages of recent signs of life here, in seconds, by target."""
        for known in (self._own, self._heard):
            for target in [key for key, at in known.items() if now - at > FORGET_S]:
                del known[target]
        return {
            target: now - at for target, at in self._own.items() if now - at < RECENT_S
        }

    def last_progress_at(self, target: str) -> float:
        """Return when something last arrived from a target; 0 if never."""
        return max(self._own.get(target, 0.0), self._heard.get(target, 0.0))

    def suspect(
        self, target: str, epoch: int, now: float, *, is_local: bool = False
    ) -> bool:
        """Suspect a target; return whether that is news."""
        known = self._suspicions.get((target, epoch))
        since = known.since if known is not None and known.until > now else now
        self._suspicions[(target, epoch)] = Suspicion(
            since, now + SUSPICION_S, is_local
        )
        return known is None or known.until <= now

    def is_suspect(self, target: str, epoch: int, now: float) -> bool:
        """Return whether a target gets no new requests."""
        known = self._suspicions.get((target, epoch))
        return known is not None and known.until > now

    def list_suspects(self, now: float) -> dict[tuple[str, int], float]:
        """Return the suspected targets, with the time since which they are."""
        for key, known in list(self._suspicions.items()):
            if known.until <= now:
                del self._suspicions[key]
        return {key: known.since for key, known in self._suspicions.items()}
