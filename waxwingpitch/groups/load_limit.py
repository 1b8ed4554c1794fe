"""Limit on concurrent loads from the weight store.

More targets may wait for weights than the store can serve at once: above its limit
each load takes longer, so that nothing is gained, and below it targets stay idle.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from ..configuration.routes import EngineSpec, ModelSpec
from ..targets.records import TargetRecord

# Window over which started loads are counted.
RATE_WINDOW_S = 1.0
# Time past a load's expected end after which it no longer counts as in progress.
LOAD_OVERDUE_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadInProgress:
    """A load of a model onto a target's host, counted until a monotonic time.

    Attributes
    ----------
    started_ms
        Start of the target's process; None until its record is seen.
    """

    model: str
    until: float
    started_ms: int | None = None


class LoadLimit:
    """Limits one planner's loads from the weight store, which all planners share.

    Parameters
    ----------
    zones
        Number of planners that share the store.
    count_other_loads
        Returns the number of loads in progress at other planners, as far as known.
    """

    def __init__(self, zones: int, count_other_loads: Callable[[], int]):
        self._zones = zones
        self._count_other_loads = count_other_loads
        self._in_progress: dict[str, LoadInProgress] = {}
        self._starts: deque[tuple[str, float]] = deque()

    def count_in_progress(self, now: float) -> int:
        """Return the number of this planner's loads in progress."""
        for target, load in list(self._in_progress.items()):
            if now >= load.until:
                del self._in_progress[target]
        return len(self._in_progress)

    def drop_ended(self, targets: Mapping[str, TargetRecord]) -> None:
        """Drop loads that have ended, or whose targets restarted or left the list."""
        for target, load in list(self._in_progress.items()):
            record = targets.get(target)
            if (
                record is None
                or load.model in record.staged
                or load.started_ms not in (None, record.started_ms)
            ):
                del self._in_progress[target]
            elif load.started_ms is None:
                self._in_progress[target] = replace(load, started_ms=record.started_ms)

    def cancel(self, target: str) -> None:
        """Give back the start of a load that a target refused."""
        self._in_progress.pop(target, None)
        self._starts = deque(item for item in self._starts if item[0] != target)

    def try_begin(
        self, spec: EngineSpec, model: ModelSpec, target: str, now: float, urgent: bool
    ) -> bool:
        """Return whether a load may start, and count it if so.

        Parameters
        ----------
        urgent
            Whether the target is idle without the load. Loads that are not urgent leave
            half of the store's limit free.
        """
        own = self.count_in_progress(now)
        share = spec.max_concurrent_loads // self._zones
        limit = max(spec.max_concurrent_loads - self._count_other_loads(), share)
        if not urgent:
            limit = min(
                limit, spec.max_concurrent_loads // 2 - self._count_other_loads()
            )
        while self._starts and now - self._starts[0][1] >= RATE_WINDOW_S:
            self._starts.popleft()
        if own >= max(limit, int(urgent)):
            return False
        if len(self._starts) >= max(1, int(spec.loads_per_s / self._zones)):
            return False
        self._starts.append((target, now))
        self._in_progress[target] = LoadInProgress(
            model.name, now + model.load_s + LOAD_OVERDUE_S
        )
        return True
