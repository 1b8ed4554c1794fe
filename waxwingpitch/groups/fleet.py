"""View of a zone's targets for its planner, and the groups in their records."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from ..configuration.routes import EngineSpec, ModelSpec
from ..targets.records import MemberState, TargetRecord
from .naming import parse_head

# Least time that requests in flight have to finish when a group is closed for a planned
# change.
MIN_CLOSE_TIMEOUT_S = 6.0
# Time for a target to join another group of the model that it served last.
REJOIN_S = 0.2


@dataclass(frozen=True, slots=True)
class FleetView:
    """Known state of a service's targets in one availability zone.

    Attributes
    ----------
    targets
        Records by id.
    unreachable
        Targets that do not answer although they are still listed.
    membership_since
        Monotonic time since which each target has been listed with the same group.
    removed_at
        Monotonic time at which targets were removed from the list, as far as observed.
    absent
        Members of groups that left the list and still serve, as they were listed last.
    headless
        Groups whose heads are not listed and are known to accept no more requests for
        them.
    demand
        Requests in flight and queued, by model, over all zones.
    slots
        Requests that all open groups can run at once, by model, over all zones.
    planned
        Groups that the planners of other zones are forming, by model.
    has_traffic
        Whether any request has arrived; until then, loads of weights are not limited.
    may_rebalance
        Whether groups of one model may be closed for another now.
    longest_answer_s
        Longest time that any route to the service allows for an answer.
    """

    spec: EngineSpec
    targets: Mapping[str, TargetRecord]
    unreachable: frozenset[str] = frozenset()
    membership_since: Mapping[str, float] = field(default_factory=dict)
    removed_at: Mapping[str, float] = field(default_factory=dict)
    absent: Mapping[str, TargetRecord] = field(default_factory=dict)
    headless: frozenset[str] = frozenset()
    demand: Mapping[str, float] = field(default_factory=dict)
    slots: Mapping[str, int] = field(default_factory=dict)
    planned: Mapping[str, int] = field(default_factory=dict)
    has_traffic: bool = True
    may_rebalance: bool = True
    longest_answer_s: float = 0.0

    @property
    def close_timeout_s(self) -> float:
        """Time that requests in flight have when a group is closed by plan."""
        return max(MIN_CLOSE_TIMEOUT_S, self.longest_answer_s)


@dataclass(frozen=True, slots=True)
class ObservedGroup:
    """A group as found in the records of its members."""

    group: str
    epoch: int
    members: dict[int, TargetRecord] = field(default_factory=dict)

    @property
    def head(self) -> TargetRecord | None:
        return self.members.get(0)

    @property
    def state(self) -> MemberState | None:
        head = self.head
        return None if head is None else head.membership.state


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """Counts of a service's targets in one zone, for logs and the dump.

    Attributes
    ----------
    open_groups
        Groups that accept requests, by model.
    idle
        Targets in no open group, by the model that is loaded or staged on their hosts.
    """

    targets: int
    open_groups: Mapping[str, int]
    forming: Mapping[str, int]
    idle: Mapping[str, int]
    unreachable: int


def summarize(view: FleetView, forming: Mapping[str, int]) -> FleetSummary:
    """Count the targets and groups of a view.

    Parameters
    ----------
    forming
        Groups being formed, by model.
    """
    groups = find_groups(view.targets.values())
    serving = {key for key, group in groups.items() if group.state is MemberState.OPEN}
    open_groups = Counter(groups[key].head.model for key in serving)
    idle = Counter(
        record.model or (record.staged[0] if record.staged else "")
        for record in view.targets.values()
        if record.membership is None
        or (record.membership.group, record.membership.epoch) not in serving
    )
    return FleetSummary(
        len(view.targets),
        dict(open_groups),
        dict(forming),
        dict(idle),
        len(view.unreachable),
    )


def find_groups(
    records: Iterable[TargetRecord],
) -> dict[tuple[str, int], ObservedGroup]:
    found: dict[tuple[str, int], ObservedGroup] = {}
    for record in records:
        place = record.membership
        if place is None:
            continue
        key = (place.group, place.epoch)
        group = found.setdefault(key, ObservedGroup(place.group, place.epoch))
        group.members[place.rank] = record
    return found


@dataclass(frozen=True, slots=True)
class MissingHead:
    """The head of a group that is not listed although members of the group are.

    Attributes
    ----------
    groups
        Groups of which it is the head.
    survivors
        Listed members of these groups.
    """

    id: str
    address: str
    groups: frozenset[str]
    survivors: tuple[TargetRecord, ...]


def find_missing_heads(targets: Mapping[str, TargetRecord]) -> dict[str, MissingHead]:
    """Return the unlisted heads of groups that have listed members, by id."""
    found: dict[str, MissingHead] = {}
    for record in targets.values():
        place = record.membership
        head = None if place is None else parse_head(place.group)
        if head is None or head.id in targets:
            continue
        known = found.get(head.id, MissingHead(head.id, head.address, frozenset(), ()))
        found[head.id] = replace(
            known,
            groups=known.groups | {place.group},
            survivors=(*known.survivors, record),
        )
    return found


def count_models(record: TargetRecord) -> int:
    """Return how many models a target can serve without the weight store."""
    return len({*record.staged, record.model} - {""})


def is_member(record: TargetRecord, key: tuple[str, int]) -> bool:
    place = record.membership
    return place is not None and (place.group, place.epoch) == key


def find_join_s(model: ModelSpec, record: TargetRecord) -> float | None:
    """Return the time to join with weights that are on the host, or None."""
    if record.model == model.name:
        return REJOIN_S
    if model.name in record.staged:
        return model.staged_s
    return None
