"""Models that targets hold in memory although they are in no group.

The load it is for: groups that lose members, whose other members have left them and can
serve the same model again within a fraction of a second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from ..targets.records import TargetRecord


class LoadedModels:
    """The model of each target's last group, for as long as the target runs.

    The list names the model of a target only while it is in a group.
    """

    def __init__(self):
        self._last: dict[str, TargetRecord] = {}

    def complete(self, targets: Mapping[str, TargetRecord]) -> dict[str, TargetRecord]:
        """Return records that name the model a target holds in memory, if known."""
        for target in self._last.keys() - targets.keys():
            del self._last[target]
        return {target: self._complete(record) for target, record in targets.items()}

    def _complete(self, record: TargetRecord) -> TargetRecord:
        if record.model:
            self._last[record.id] = record
            return record
        last = self._last.get(record.id)
        if last is None:
            return record
        is_same_run = (
            record.started_ms == last.started_ms and record.writes >= last.writes
        )
        if record.membership is not None or not is_same_run:
            del self._last[record.id]
            return record
        return replace(record, model=last.model)
