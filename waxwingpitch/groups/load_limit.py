"""Which loads of weights may begin, so that the weight store is used and not exceeded.

Answers days on which more targets wait for weights than the store can load at once:
beyond its limit each load takes longer, so that nothing is gained, and below it targets
stay idle.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..configuration.routes import EngineSpec, ModelSpec
from ..targets.records import TargetRecord

# Time over which starts are counted.
RATE_WINDOW_S = 1.0
# Time after a load's usual end after which it no longer counts as under way.
OVERDUE_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadInProgress:
    """A load of a model onto a target's host, and when it should have ended."""

    model: str
    until: float


class LoadLimit:
    """One planner's loads from the weight store that all planners share.

    Parameters
    ----------
    zones
        Planners that share the store.
    count_elsewhere
        Returns the loads that other planners have under way, as far as known.
    """

    def __init__(self, zones: int, count_elsewhere: Callable[[], int]):
        self._zones = zones
        self._count_elsewhere = count_elsewhere
        self._in_progress: dict[str, LoadInProgress] = {}
        self._starts: deque[float] = deque()

    def count_in_progress(self, now: float) -> int:
        """Return the loads that this planner has begun and that go on."""
        for target, load in list(self._in_progress.items()):
            if now >= load.until:
                del self._in_progress[target]
        return len(self._in_progress)

    def note_targets(self, targets: Mapping[str, TargetRecord]) -> None:
        """Forget loads that have ended, or whose targets are gone."""
        for target, load in list(self._in_progress.items()):
            record = targets.get(target)
            if record is None or load.model in record.staged:
                del self._in_progress[target]

    def try_begin(
        self, spec: EngineSpec, model: ModelSpec, target: str, now: float, urgent: bool
    ) -> bool:
        """Return whether a load may begin, and count it if so.

        Parameters
        ----------
        urgent
            Whether the target is of no use without it. Other loads leave half of the
            store's limit free.
        """
        own = self.count_in_progress(now)
        share = spec.loads_at_once // self._zones
        room = max(spec.loads_at_once - self._count_elsewhere(), share)
        if not urgent:
            room = min(room, spec.loads_at_once // 2 - self._count_elsewhere())
        while self._starts and now - self._starts[0] >= RATE_WINDOW_S:
            self._starts.popleft()
        if own >= max(room, int(urgent)):
            return False
        if len(self._starts) >= max(1, int(spec.loads_per_s / self._zones)):
            return False
        self._starts.append(now)
        self._in_progress[target] = LoadInProgress(
            model.name, now + model.load_s + OVERDUE_S
        )
        return True
