"""Members of groups that left the list, and whether they still answer."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import gevent

from ..targets.records import MembershipReport, MemberState, TargetRecord

# Minimum time between two probes of the same member.
PROBE_INTERVAL_S = 1.0


class AbsentMembers:
    """Finds out which members of serving groups left the list by plan.

    Some targets leave the list without saying so, and serve on for seconds.

    Parameters
    ----------
    probe
        Returns the report of a target, given its id and address; None if it does not
        answer.
    """

    def __init__(self, probe: Callable[[str, str], MembershipReport | None]):
        self._probe = probe
        self._probed_at: dict[str, float] = {}
        self._serving: dict[str, TargetRecord] = {}

    def update(
        self,
        removed: Iterable[TargetRecord],
        targets: Mapping[str, TargetRecord],
        now: float,
    ) -> dict[str, TargetRecord]:
        """Probe members that are missing, and return those that serve on.

        Parameters
        ----------
        removed
            Targets that left the list, as they were listed last.
        targets
            Listed targets.
        """
        groups = {
            _get_group_key(record)
            for record in targets.values()
            if record.membership is not None
            and record.membership.state in (MemberState.OPEN, MemberState.CLOSING)
        }
        missing = {
            record.id: record
            for record in removed
            if record.membership is not None and _get_group_key(record) in groups
        }
        for known in (self._probed_at, self._serving):
            for target in known.keys() - missing.keys():
                del known[target]
        for target, record in missing.items():
            if now - self._probed_at.get(target, -PROBE_INTERVAL_S) >= PROBE_INTERVAL_S:
                self._probed_at[target] = now
                gevent.spawn(self._check, record)
        return dict(self._serving)

    def _check(self, record: TargetRecord) -> None:
        report = self._probe(record.id, record.address)
        place = None if report is None else report.membership
        is_serving = (
            place is not None
            and place.state is not MemberState.BROKEN
            and (place.group, place.epoch) == _get_group_key(record)
        )
        if is_serving:
            self._serving[record.id] = record
        else:
            self._serving.pop(record.id, None)


def _get_group_key(record: TargetRecord) -> tuple[str, int]:
    return record.membership.group, record.membership.epoch
