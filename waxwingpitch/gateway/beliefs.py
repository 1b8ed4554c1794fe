"""What a gateway believes: configuration, targets, replicas, zones, peers."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from ..agreed.mirror import StoreMirror
from ..configuration.routes import RoutedConfiguration, ServiceSpec
from ..errors import ConfigurationError
from ..platform import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    TARGET_PREFIX,
    decode_evacuated_zone,
    decode_routed_configuration,
    decode_target_id,
    decode_target_record,
)
from ..ports import StoredChange
from ..routing.routes import RouteTable
from ..targets.records import MemberState, TargetRecord, TargetReport

OWN_PREFIX = "waxwingpitch/"
MEMBER_PREFIX = "waxwingpitch/members/"
PLANNER_PREFIX = "waxwingpitch/planners/"

# Time after the store's return in which targets that were listed before may still
# come back; until then they are not taken for gone.
SETTLE_S = 2.5

# Time for which a target that vanished from the list is still asked whether it lives.
VANISHED_S = 20.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class KnownTarget:
    """A target's record and when it was learnt.

    Attributes
    ----------
    cold_until
        Monotonic time until which the target is cold.
    placed_since
        Monotonic time since which it has been in the list, and in its group, without
        a break.
    """

    record: TargetRecord
    version: int
    cold_until: float
    placed_since: float


@dataclass(frozen=True, slots=True)
class Replica:
    """A place that takes requests: a plain target, or the head of a whole group.

    Attributes
    ----------
    members
        Ids of all targets whose loss stops it.
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


class GatewayView:
    """Owns the mirror of the store and everything derived from it.

    Parameters
    ----------
    clock
        Returns the monotonic time.
    on_change
        Called after what is believed has changed.

    Attributes
    ----------
    on_target
        Called with a target that started anew, and its start in Unix milliseconds,
        or that left the list without a word, and None.
    """

    def __init__(self, clock: Callable[[], float], on_change: Callable[[], None]):
        self.mirror = StoreMirror()
        self.route_table: RouteTable | None = None
        self.targets: dict[str, KnownTarget] = {}
        self.vanished: dict[str, tuple[KnownTarget, float]] = {}
        self.lapsed: dict[str, tuple[KnownTarget, float]] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.settled_at = 0.0
        self.on_target: Callable[[str, int | None], None] = lambda target, start: None
        self._clock = clock
        self._on_change = on_change
        self._replicas: dict[tuple[str, str], tuple[Replica, ...]] = {}

    @property
    def cfg(self) -> RoutedConfiguration | None:
        """Configuration in force."""
        return None if self.route_table is None else self.route_table.cfg

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return a service of the configuration in force."""
        return None if self.cfg is None else self.cfg.services.get(name)

    def find_replicas(self, service: str, model: str) -> tuple[Replica, ...]:
        """Return the replicas that may take requests."""
        return self._replicas.get((service, model), ())

    def iter_replicas(self) -> Iterable[Replica]:
        """Yield all replicas."""
        for replicas in self._replicas.values():
            yield from replicas

    def list_peers(self) -> dict[str, str]:
        """Return the addresses of the entry hosts that the store lists, by name."""
        return {
            entry.key.removeprefix(MEMBER_PREFIX): entry.value.decode()
            for entry in self.mirror.iter_prefix(MEMBER_PREFIX)
        }

    def find_planner(self, zone: str) -> str | None:
        """Return the name of the entry host that plans a zone's groups."""
        entry = self.mirror.get(PLANNER_PREFIX + zone)
        return None if entry is None else entry.value.decode()

    def iter_listed(self) -> Iterator[KnownTarget]:
        """Yield all targets of the list, and those that it dropped by mistake."""
        yield from self.targets.values()
        for known, _ in self.lapsed.values():
            yield known

    def note_store_back(self) -> None:
        """Note that the store answers again after a failure."""
        self.settled_at = self._clock() + SETTLE_S

    def apply(self, change: StoredChange) -> None:
        """Take in changes from the store or a peer."""
        self._take_in(self.mirror.apply(change))

    def apply_list(self, prefix: str, listed: StoredChange) -> None:
        """Take in all entries below a prefix."""
        self._take_in(self.mirror.apply_list(prefix, listed))

    def note_report(self, target: str, version: int, report: TargetReport) -> bool:
        """Take in a target's own report; return whether it changed anything.

        Parameters
        ----------
        version
            Version of the target's entry that the report is newer than. Once the
            list has a higher one, the report no longer counts.
        """
        known = self.targets.get(target)
        if known is None or known.version != version:
            return False
        record = replace(
            known.record,
            membership=report.membership,
            model=report.model,
            staged=report.staged,
        )
        if record == known.record:
            return False
        self.targets[target] = replace(known, record=record)
        self._rebuild()
        self._on_change()
        return True

    def expire_lapsed(self) -> None:
        """Forget targets that did not come back to the list in time."""
        now = self._clock()
        for target, (_, at) in list(self.vanished.items()):
            if now - at > VANISHED_S:
                del self.vanished[target]
        over = [key for key, (_, until) in self.lapsed.items() if until <= now]
        for target in over:
            del self.lapsed[target]
        if over:
            self._rebuild()

    def _take_in(self, changed: list[str]) -> None:
        if not changed:
            return
        substantial = False
        for key in changed:
            if key == CONFIGURATION_KEY:
                self._take_configuration()
                substantial = True
            elif key.startswith(EVACUATION_PREFIX):
                self._take_evacuations()
                substantial = True
            elif key.startswith(TARGET_PREFIX):
                substantial |= self._take_target(key)
        if substantial:
            self._rebuild()
        self._on_change()

    def _take_configuration(self) -> None:
        entry = self.mirror.get(CONFIGURATION_KEY)
        if entry is None:
            return
        try:
            cfg = decode_routed_configuration(entry.value)
        except ConfigurationError as exc:
            logger.error("configuration is unreadable", extra={"reason": exc.message})
            return
        if self.cfg is not None and cfg.version < self.cfg.version:
            return
        self.route_table = RouteTable(cfg)
        logger.info(
            "configuration in force",
            extra={"version": cfg.version, "revision": entry.version},
        )

    def _take_evacuations(self) -> None:
        zones = (
            decode_evacuated_zone(entry.key)
            for entry in self.mirror.iter_prefix(EVACUATION_PREFIX)
        )
        self.evacuated = frozenset(zone for zone in zones if zone)
        logger.info("zones out of service", extra={"zones": sorted(self.evacuated)})

    def _take_target(self, key: str) -> bool:
        target = decode_target_id(key)
        known = self.targets.get(target)
        entry = self.mirror.get(key)
        now = self._clock()
        if entry is None:
            if known is None:
                return False
            del self.targets[target]
            self.vanished[target] = (known, now)
            if not known.record.leaving:
                self.on_target(target, None)
            if now < self.settled_at and not known.record.leaving:
                self.lapsed[target] = (known, self.settled_at)
            logger.info("target gone from the list", extra={"target": target})
            return True
        self.lapsed.pop(target, None)
        self.vanished.pop(target, None)
        try:
            record = decode_target_record(key, entry.value)
        except ValueError as exc:
            logger.warning("entry names no target", extra={"reason": str(exc)})
            self.targets.pop(target, None)
            return known is not None
        self.targets[target] = KnownTarget(
            record,
            entry.version,
            now + record.cold_s,
            (
                now
                if known is None or not _is_same_group(known.record, record)
                else known.placed_since
            ),
        )
        if known is not None and known.record.started_ms != record.started_ms:
            self.on_target(target, record.started_ms)
        return known is None or _is_other(known.record, record)

    def _rebuild(self) -> None:
        """Work out the replicas anew."""
        found: dict[tuple[str, str], list[Replica]] = defaultdict(list)
        groups: dict[tuple[str, int], dict[int, KnownTarget]] = defaultdict(dict)
        for known in self.iter_listed():
            record = known.record
            service = self.find_service(record.service)
            if service is None or service.engine is None:
                if not record.leaving and record.zone not in self.evacuated:
                    found[(record.service, "")].append(_build_replica(known, (known,)))
            elif record.membership is not None:
                place = record.membership
                groups[(place.group, place.epoch)][place.rank] = known
        for members in groups.values():
            replica = self._build_group(members)
            if replica is not None:
                found[(replica.service, replica.model)].append(replica)
        self._replicas = {key: tuple(replicas) for key, replicas in found.items()}

    def _build_group(self, members: dict[int, KnownTarget]) -> Replica | None:
        head = members.get(0)
        if head is None or head.record.membership.state is not MemberState.OPEN:
            return None
        record = head.record
        engine = self.find_service(record.service).engine
        model = engine.find_model(record.model)
        if model is None or set(members) != set(range(model.size)):
            return None
        ordered = tuple(members[rank] for rank in range(model.size))
        if any(known.record.leaving for known in ordered):
            return None
        if record.zone in self.evacuated:
            return None
        return _build_replica(head, ordered, engine.capacity)


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


def _is_same_group(before: TargetRecord, after: TargetRecord) -> bool:
    old, new = before.membership, after.membership
    if old is None or new is None:
        return old is new
    return (old.group, old.epoch) == (new.group, new.epoch)


def _is_other(before: TargetRecord, after: TargetRecord) -> bool:
    return (
        before.membership != after.membership
        or before.model != after.model
        or before.leaving != after.leaving
        or before.address != after.address
        or before.service != after.service
        or before.started_ms != after.started_ms
        or (before.cold_s > 0) != (after.cold_s > 0)
    )
