"""Progress of targets, seen in the answers to this entry host and its peers.

Distinguishes slow targets from stalled ones. A target under high load may send nothing
for a while, and one entry host has too few streams at each target to notice the
difference, so entry hosts share when they last received data from each target.
"""

from __future__ import annotations

from dataclasses import dataclass

from .liveness import OWN, PEERS, Evidence, EvidenceKind

# Time for which a stalled target gets no new requests. After that one request may try
# it again, in case it only paused.
SUSPICION_TTL_S = 2.5
# Age after which a time of progress is removed.
PROGRESS_RETENTION_S = 60.0


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A target that is suspected of being stalled or unreachable.

    Attributes
    ----------
    since, until
        Monotonic times between which the suspicion holds.
    is_local
        Whether the suspicion concerns this entry host alone, for example because it
        can't reach the target. Progress seen by peers does not clear it.
    """

    since: float
    until: float
    is_local: bool


class ProgressBook:
    """Time of the last progress of each target, and the suspected targets.

    Suspicions are stored by target and epoch of its group, so that a newly formed group
    starts without suspicion.
    """

    def __init__(self):
        self._own: dict[str, float] = {}
        self._peers: dict[str, float] = {}
        self._suspicions: dict[tuple[str, int], Suspicion] = {}

    def record_progress(self, target: str, epoch: int, now: float) -> None:
        """Record that data arrived from a target, and clear its suspicion."""
        self._own[target] = now
        self._suspicions.pop((target, epoch), None)

    def record_peer_progress(self, target: str, at: float) -> None:
        """Record that a peer saw progress of a target at a monotonic time."""
        if at <= self._peers.get(target, 0.0):
            return
        self._peers[target] = at
        for key, known in list(self._suspicions.items()):
            if key[0] == target and not known.is_local and known.since < at:
                del self._suspicions[key]

    def expire(self, now: float) -> None:
        """Forget times of progress that are long past."""
        for known in (self._own, self._peers):
            for target in [
                key for key, at in known.items() if now - at > PROGRESS_RETENTION_S
            ]:
                del known[target]

    def last_own_progress_at(self, target: str) -> float:
        """Return the monotonic time of a target's last progress seen here, or 0."""
        return self._own.get(target, 0.0)

    def last_progress_at(self, target: str) -> float:
        """Return the monotonic time of a target's last progress; 0 if there is none."""
        return max(self._own.get(target, 0.0), self._peers.get(target, 0.0))

    def list_responses(self, target: str) -> list[Evidence]:
        """Return when a target last made progress, here and at peers, as evidence."""
        known = ((OWN, self._own.get(target)), (PEERS, self._peers.get(target)))
        return [
            Evidence(EvidenceKind.RESPONSE, source, at)
            for source, at in known
            if at is not None
        ]

    def suspect(
        self,
        target: str,
        epoch: int,
        now: float,
        *,
        is_local: bool = False,
        ttl_s: float = SUSPICION_TTL_S,
    ) -> bool:
        """Suspect a target; return whether it was not suspected before."""
        known = self._suspicions.get((target, epoch))
        since = known.since if known is not None and known.until > now else now
        self._suspicions[(target, epoch)] = Suspicion(since, now + ttl_s, is_local)
        return known is None or known.until <= now

    def is_suspected(self, target: str, epoch: int, now: float) -> bool:
        """Return whether a target is suspected and gets no new requests."""
        known = self._suspicions.get((target, epoch))
        return known is not None and known.until > now

    def list_suspicions(self, now: float) -> dict[tuple[str, int], float]:
        """Return the suspected targets, with the start times of the suspicions."""
        for key, known in list(self._suspicions.items()):
            if known.until <= now:
                del self._suspicions[key]
        return {key: known.since for key, known in self._suspicions.items()}
