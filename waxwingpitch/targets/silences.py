"""How long targets have left probes unanswered, to tell ended ones from silent ones.

A sound target may be silent for over a second and then go on with what it has read.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time for which a target that leaves every probe unanswered may still be sound.
SOUND_SILENCE_S = 1.5
# Time without a probe after which a silence is not known to have gone on.
MAX_PROBE_GAP_S = 1.2


@dataclass(frozen=True, slots=True)
class _Silence:
    since: float
    probed_at: float


class SilenceBook:
    """Silences of targets, by the probes of this process.

    Examples
    --------
    >>> book = SilenceBook()
    >>> [book.record_unanswered("t", now) for now in (10.0, 11.0, 11.6)]
    [False, False, True]
    """

    def __init__(self):
        self._silences: dict[str, _Silence] = {}

    def record_unanswered(self, target: str, now: float) -> bool:
        """Record an unanswered probe; return whether the target has ended by that."""
        known = self._silences.get(target)
        since = now
        if known is not None and now - known.probed_at <= MAX_PROBE_GAP_S:
            since = known.since
        self._silences[target] = _Silence(since, now)
        return now - since >= SOUND_SILENCE_S

    def record_answered(self, target: str) -> None:
        """Record that a target answered a probe."""
        self._silences.pop(target, None)

    def expire(self, now: float) -> None:
        """Forget silences that are not known to have gone on."""
        for target, known in list(self._silences.items()):
            if now - known.probed_at > MAX_PROBE_GAP_S:
                del self._silences[target]
