"""Signs of life of targets, as one entry host sees them in its own streams."""

from __future__ import annotations

from dataclasses import dataclass

# Time for which a target in which nothing moved gets no new requests. After that one
# request may try it again, in case it only paused.
SUSPICION_S = 2.5


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A target in which nothing moves.

    Attributes
    ----------
    since, until
        Monotonic times.
    """

    since: float
    until: float


class ProgressBook:
    """When each target last gave a sign of life, and which are suspected.

    Targets are named with the epoch of their group, so that a group that was formed
    anew starts without suspicion.
    """

    def __init__(self):
        self._progress: dict[str, float] = {}
        self._suspicions: dict[tuple[str, int], Suspicion] = {}

    def note_progress(self, target: str, epoch: int, now: float) -> None:
        """Note that something arrived from a target."""
        self._progress[target] = now
        self._suspicions.pop((target, epoch), None)

    def find_progress(self, target: str) -> float:
        """Return when something last arrived from a target; 0 if never."""
        return self._progress.get(target, 0.0)

    def suspect(self, target: str, epoch: int, now: float) -> bool:
        """Suspect a target; return whether that is news."""
        known = self._suspicions.get((target, epoch))
        since = known.since if known is not None and known.until > now else now
        self._suspicions[(target, epoch)] = Suspicion(since, now + SUSPICION_S)
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
