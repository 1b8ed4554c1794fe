"""What the planners of all zones do at the same time, here and at the peers."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from ..groups.load_limit import LoadLimit
from ..mesh.fleet_messages import PlannedGroupsItem
from .peer_statuses import PeerStatuses


class SharedPlans:
    """Loads and groups that planners have begun, which others take into account.

    Attributes
    ----------
    zones
        All availability zones.
    """

    def __init__(self, zones: Sequence[str], statuses: PeerStatuses):
        self.zones = zones
        self._statuses = statuses
        self._load_limits: dict[str, LoadLimit] = {}
        self._list_groups: dict[str, Callable[[], list[PlannedGroupsItem]]] = {}

    def add_planner(
        self, zone: str, list_groups: Callable[[], list[PlannedGroupsItem]]
    ) -> LoadLimit:
        """Add this process's planner of a zone; return the limit on its loads.

        Parameters
        ----------
        list_groups
            Returns the groups that it is forming.
        """
        limit = LoadLimit(len(self.zones), lambda: self._count_other_loads(zone))
        self._load_limits[zone] = limit
        self._list_groups[zone] = list_groups
        return limit

    def count_own_loads(self, *, without: str = "") -> int:
        """Return the loads of weights that this process has in progress.

        Parameters
        ----------
        without
            Zone that is not counted.
        """
        now = time.monotonic()
        return sum(
            limit.count_in_progress(now)
            for zone, limit in self._load_limits.items()
            if zone != without
        )

    def list_own_groups(self, *, without: str = "") -> tuple[PlannedGroupsItem, ...]:
        """Return the groups that this process's planners form, but for one zone's."""
        return tuple(
            item
            for zone, list_groups in self._list_groups.items()
            if zone != without
            for item in list_groups()
        )

    def count_other_groups(self, zone: str, service: str) -> Counter[str]:
        """Return the groups that the planners of other zones form, by model."""
        found: Counter[str] = Counter()
        for item in (*self.list_own_groups(without=zone), *self._iter_peer_groups()):
            if item.service == service:
                found[item.model] += item.count
        return found

    def _iter_peer_groups(self) -> Iterable[PlannedGroupsItem]:
        for _, status in self._statuses.iter_recent():
            yield from status.planned_groups

    def _count_other_loads(self, zone: str) -> int:
        peers = sum(status.weight_loads for _, status in self._statuses.iter_recent())
        return peers + self.count_own_loads(without=zone)
