"""Groups of targets that are about to serve requests."""

from __future__ import annotations

from collections.abc import Iterable

# Time beyond that of opening it within which a group whose members are ready takes
# requests: the planner's order, and the way of the head's entry to this host. A group
# that takes longer is not expected any more, so that callers do not wait in vain.
OPENING_MARGIN_S = 2.0


class OpeningGroups:
    """Groups of one key whose members are ready, but which have not opened yet.

    Examples
    --------
    >>> opening = OpeningGroups()
    >>> opening.update([("g1", 7)], 10.0, open_s=0.3, capacity=9)
    >>> opening.count_slots(11.0), opening.count_slots(13.0)
    (9, 0)
    """

    def __init__(self):
        self._until: dict[tuple[str, int], float] = {}
        self._capacity = 0

    def update(
        self,
        groups: Iterable[tuple[str, int]],
        now: float,
        *,
        open_s: float,
        capacity: int,
    ) -> None:
        """Replace the groups, given their names and epochs.

        Parameters
        ----------
        open_s
            Time to open a group, in seconds.
        capacity
            Requests that a group runs concurrently.
        """
        self._capacity = capacity
        until = now + open_s + OPENING_MARGIN_S
        self._until = {group: self._until.get(group, until) for group in groups}

    def count_slots(self, now: float) -> int:
        """Return the slots of the groups that are expected to open soon."""
        return self._capacity * sum(now < until for until in self._until.values())
