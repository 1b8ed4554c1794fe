"""Replicas to which requests may be sent, derived from the targets and their groups."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from ..configuration.routes import ServiceSpec
from ..targets.records import MemberState, TargetRecord

# Name of a group and its epoch.
GroupEpoch = tuple[str, int]
# Members of a group by rank.
_Members = dict[int, "KnownTarget"]


@dataclass(frozen=True, slots=True)
class KnownTarget:
    """A target's record, its version, and times computed when the record arrived.

    Attributes
    ----------
    version
        Version of the store's entry that holds the record.
    cold_until
        Monotonic time until which the target is cold.
    membership_since
        Monotonic time since which it has been listed without interruption and with the
        same group, if any.
    """

    record: TargetRecord
    version: int
    cold_until: float
    membership_since: float


@dataclass(frozen=True, slots=True)
class Replica:
    """An endpoint for requests: a plain target, or the head of a complete group.

    Attributes
    ----------
    members
        Ids of all targets that it needs; the loss of any one stops it.
    epoch
        Epoch of the group; 0 for a plain target.
    """

    id: str
    address: str
    zone: str
    service: str
    model: str
    capacity: int
    epoch: int
    members: tuple[str, ...]
    cold_until: float


class ReplicaIndex:
    """Replicas by service and model, derived zone by zone when they are asked for.

    Parameters
    ----------
    iter_targets
        Yields the targets that count as listed.
    find_service
        Returns a service of the configuration in force.
    get_evacuated
        Returns the zones that are out of service.
    """

    def __init__(
        self,
        iter_targets: Callable[[], Iterator[KnownTarget]],
        find_service: Callable[[str], ServiceSpec | None],
        get_evacuated: Callable[[], frozenset[str]],
    ):
        self._iter_targets = iter_targets
        self._find_service = find_service
        self._get_evacuated = get_evacuated
        self._by_zone: dict[str, dict[tuple[str, str], tuple[Replica, ...]]] = {}
        self._replicas: dict[tuple[str, str], tuple[Replica, ...]] = {}
        self._opening: dict[str, dict[tuple[str, str], frozenset[GroupEpoch]]] = {}
        self._opened: dict[str, frozenset[GroupEpoch]] = {}
        self._dirty_zones: set[str] | None = set()
        self._generation = 0

    def find(self, service: str, model: str) -> tuple[Replica, ...]:
        """Return the replicas of a service's model."""
        self.refresh()
        return self._replicas.get((service, model), ())

    def find_opening(
        self, service: str, model: str, zones: Iterable[str]
    ) -> frozenset[GroupEpoch]:
        """Return the groups in some zones that are ready and have not opened yet."""
        self.refresh()
        return frozenset().union(
            *(
                self._opening.get(zone, {}).get((service, model), frozenset())
                for zone in zones
            )
        )

    def iter_all(self) -> Iterable[Replica]:
        """Yield all replicas."""
        self.refresh()
        for replicas in self._replicas.values():
            yield from replicas

    def mark_dirty(self, zone: str | None = None) -> None:
        """Derive a zone's replicas, by default all, anew when next asked for."""
        if zone is None:
            self._dirty_zones = None
        elif self._dirty_zones is not None:
            self._dirty_zones.add(zone)

    def refresh(self) -> int:
        """Derive the replicas anew if needed; return a number that then grows."""
        dirty = self._dirty_zones
        if dirty is not None and not dirty:
            return self._generation
        self._dirty_zones = set()
        self._generation += 1
        targets: dict[str, list[KnownTarget]] = defaultdict(list)
        for known in self._iter_targets():
            zone = known.record.zone
            if dirty is None or zone in dirty:
                targets[zone].append(known)
        for zone in list(self._by_zone) if dirty is None else dirty:
            self._by_zone.pop(zone, None)
            self._opening.pop(zone, None)
        for zone, known in targets.items():
            groups = self._list_groups(known)
            self._by_zone[zone] = self._build_zone(known, groups)
            self._opening[zone] = self._find_opening(zone, groups)
        merged: dict[tuple[str, str], list[Replica]] = defaultdict(list)
        for by_key in self._by_zone.values():
            for key, replicas in by_key.items():
                merged[key].extend(replicas)
        self._replicas = {key: tuple(replicas) for key, replicas in merged.items()}
        return self._generation

    def _build_zone(
        self, targets: Iterable[KnownTarget], groups: dict[GroupEpoch, _Members]
    ) -> dict[tuple[str, str], tuple[Replica, ...]]:
        found: dict[tuple[str, str], list[Replica]] = defaultdict(list)
        for known in targets:
            record = known.record
            service = self._find_service(record.service)
            if service is None or service.engine is None:
                if not record.leaving and record.zone not in self._get_evacuated():
                    found[(record.service, "")].append(_build_replica(known, (known,)))
        for members in groups.values():
            replica = self._build_group(members)
            if replica is not None:
                found[(replica.service, replica.model)].append(replica)
        return {key: tuple(replicas) for key, replicas in found.items()}

    def _list_groups(
        self, targets: Iterable[KnownTarget]
    ) -> dict[GroupEpoch, _Members]:
        groups: dict[GroupEpoch, _Members] = defaultdict(dict)
        for known in targets:
            service = self._find_service(known.record.service)
            place = known.record.membership
            if service is not None and service.engine is not None and place is not None:
                groups[(place.group, place.epoch)][place.rank] = known
        return groups

    def _find_opening(
        self, zone: str, groups: dict[GroupEpoch, _Members]
    ) -> dict[tuple[str, str], frozenset[GroupEpoch]]:
        """Return the groups that are ready, without those that were closed."""
        opened = self._opened.get(zone, frozenset())
        self._opened[zone] = frozenset(
            group
            for group, members in groups.items()
            if group in opened or _has_opened(members)
        )
        found: dict[tuple[str, str], set[GroupEpoch]] = defaultdict(set)
        for group, members in groups.items():
            is_ready = all(
                known.record.membership.state is MemberState.READY
                for known in members.values()
            )
            if is_ready and group not in opened:
                replica = self._build_complete_group(members)
                if replica is not None:
                    found[(replica.service, replica.model)].add(group)
        return {key: frozenset(names) for key, names in found.items()}

    def _build_group(self, members: _Members) -> Replica | None:
        head = members.get(0)
        if head is None or head.record.membership.state is not MemberState.OPEN:
            return None
        return self._build_complete_group(members)

    def _build_complete_group(self, members: _Members) -> Replica | None:
        """Return the replica of a group that has all its members."""
        head = members.get(0)
        if head is None:
            return None
        record = head.record
        engine = self._find_service(record.service).engine
        model = engine.find_model(record.model)
        if model is None or set(members) != set(range(model.size)):
            return None
        by_rank = tuple(members[rank] for rank in range(model.size))
        if any(known.record.leaving for known in by_rank):
            return None
        if record.zone in self._get_evacuated():
            return None
        return _build_replica(head, by_rank, engine.capacity)


def _build_replica(
    known: KnownTarget, members: tuple[KnownTarget, ...], capacity: int = 0
) -> Replica:
    record = known.record
    return Replica(
        id=record.id,
        address=record.address,
        zone=record.zone,
        service=record.service,
        model=record.model if record.membership is not None else "",
        capacity=capacity or record.capacity,
        epoch=0 if record.membership is None else record.membership.epoch,
        members=tuple(member.record.id for member in members),
        cold_until=known.cold_until,
    )


def _has_opened(members: _Members) -> bool:
    """Return whether a group's head takes requests, or did so."""
    head = members.get(0)
    opened = (MemberState.OPEN, MemberState.CLOSING)
    return head is not None and head.record.membership.state in opened


def affects_replicas(before: TargetRecord, after: TargetRecord) -> bool:
    """Return whether a change of a target's record may change the replicas."""
    return (
        before.membership != after.membership
        or before.zone != after.zone
        or before.model != after.model
        or before.leaving != after.leaving
        or before.address != after.address
        or before.service != after.service
        or before.started_ms != after.started_ms
        or (before.cold_s > 0) != (after.cold_s > 0)
    )
