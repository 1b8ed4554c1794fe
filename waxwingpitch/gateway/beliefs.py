"""A gateway's view of the cluster: configuration, targets, replicas, zones, peers."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

from gevent.event import Event

from ..agreed.mirror import StoreMirror
from ..agreed.versions import get_era
from ..clocks import boot_time
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
from ..slots import EntryHost, SlotKey
from ..targets.records import MembershipReport, TargetRecord
from .expired_targets import ExpiredTargets
from .host_records import HOST_PREFIX, decode_host
from .leaving import LeavingBook
from .replicas import (
    GroupEpoch,
    KnownTarget,
    Replica,
    ReplicaIndex,
    affects_replicas,
)

GATEWAY_PREFIX = "waxwingpitch/"
PLANNER_PREFIX = "waxwingpitch/planners/"

# Grace period after the store recovers, in which targets that were listed before the
# outage may register again; until it ends they are still treated as listed.
RELIST_GRACE_S = 2.5

# Time after the store was restored for which a process that has not learned of it may
# still give orders under a planner's key of before: its lease's time to live.
OLDER_KEYS_S = 3.0

logger = logging.getLogger(__name__)


class GatewayView:
    """Owns the mirror of the store and everything derived from it.

    Parameters
    ----------
    clock
        Returns the monotonic time.
    on_change
        Called after the view has changed.

    Attributes
    ----------
    configured
        Set once a configuration is in force.
    expired
        Targets whose entries were deleted, and which of them are in use.
    retained
        Removed targets that are still treated as listed, each with its last record
        and the monotonic time until which it is; see ``RELIST_GRACE_S``.
    relist_deadline
        Monotonic time until which removed targets are retained.
    restore_deadline
        Monotonic time until which zones and entry hosts that the store named before it
        was restored from an older copy are believed without an entry.
    older_keys_until
        Boot time until which orders may be given under planner keys of an earlier era.
    leaving
        Targets that said that they leave, whatever their entries say.
    find_age_s
        Returns the age of what is known of the operators' keys, in seconds.
    on_restored
        Called when the store is found to have been restored from an older copy.
    on_target_lost
        Called with the id of a target that restarted, and its new start time in Unix
        milliseconds, or that is gone without having announced that it leaves, and
        None.
    """

    def __init__(self, clock: Callable[[], float], on_change: Callable[[], None]):
        self.mirror = StoreMirror()
        self.route_table: RouteTable | None = None
        self.configured = Event()
        self.targets: dict[str, KnownTarget] = {}
        self.expired = ExpiredTargets(self.targets)
        self.expired.on_gone = lambda target: self.on_target_lost(target, None)
        self.retained: dict[str, tuple[KnownTarget, float]] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.relist_deadline = 0.0
        self.restore_deadline = 0.0
        self.older_keys_until = 0.0
        self.find_age_s: Callable[[], float] = lambda: 0.0
        self.on_restored: Callable[[], None] = lambda: None
        self.leaving = LeavingBook(clock)
        self._hosts: dict[str, EntryHost] = {}
        self._hosts_of_before: dict[str, EntryHost] = {}
        self._evacuated_before: frozenset[str] = frozenset()
        self.on_target_lost: Callable[[str, int | None], None] = (
            lambda target, start: None
        )
        self._clock = clock
        self._on_change = on_change
        self._replicas = ReplicaIndex(
            self.iter_targets, self.find_service, lambda: self.evacuated
        )

    @property
    def removed(self) -> dict[str, tuple[KnownTarget, float]]:
        """Targets that were recently removed from the list, and the times of that."""
        return self.expired.removed

    @property
    def cfg(self) -> RoutedConfiguration | None:
        """Configuration in force."""
        return None if self.route_table is None else self.route_table.cfg

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return a service of the configuration in force."""
        return None if self.cfg is None else self.cfg.services.get(name)

    def refresh(self) -> int:
        """Derive the replicas anew if needed; return a number that then grows."""
        return self._replicas.refresh()

    def list_slot_keys(self, zone: str) -> list[SlotKey]:
        """Return the keys of a zone's slots, by the configuration in force."""
        services = () if self.cfg is None else self.cfg.services.values()
        return [
            SlotKey(zone, service.name, model)
            for service in services
            for model in service.list_models()
        ]

    def find_replicas(self, service: str, model: str) -> tuple[Replica, ...]:
        """Return the replicas to which requests may be sent."""
        return self._replicas.find(service, model)

    def find_opening(
        self, service: str, model: str, zones: Iterable[str]
    ) -> frozenset[GroupEpoch]:
        """Return the groups in some zones that are ready and have not opened yet."""
        return self._replicas.find_opening(service, model, zones)

    def iter_replicas(self) -> Iterable[Replica]:
        """Yield all replicas."""
        return self._replicas.iter_all()

    def list_hosts(self) -> dict[str, EntryHost]:
        """Return the entry hosts registered in the store, by name."""
        return self._hosts_of_before | self._hosts

    def find_planner(self, zone: str) -> str | None:
        """Return the name of the entry host that holds a zone's planner key."""
        entry = self.mirror.get(PLANNER_PREFIX + zone)
        return None if entry is None else entry.value.decode()

    def find_target(self, target: str) -> KnownTarget | None:
        """Return a target that is listed or in use without an entry."""
        return self.targets.get(target) or self.expired.in_use.get(target)

    def iter_targets(self) -> Iterator[KnownTarget]:
        """Yield all listed targets, and the removed ones in use or retained."""
        yield from self.targets.values()
        yield from self.expired.in_use.values()
        for target, (known, _) in self.retained.items():
            if target not in self.expired.in_use:
                yield known

    def may_relay_to(self, address: str) -> bool:
        """Return whether a target at an address may be reached for a peer."""
        return self.expired.may_relay_to(address) or any(
            known.record.address == address for known in self.targets.values()
        )

    def judge_expired(self) -> None:
        """Judge the targets without entries by the evidence of now."""
        zones = self.expired.update(self._clock())
        for zone in zones:
            self._replicas.mark_dirty(zone)
        if zones:
            self._on_change()

    def record_answer(self, target: str, report: MembershipReport) -> None:
        """Apply the answer of a target without an entry to a probe.

        The targets are not judged anew before :meth:`judge_expired` is called.
        """
        zone = self.expired.record_answer(target, report, self._clock())
        if zone is not None:
            self._replicas.mark_dirty(zone)
            self._on_change()

    def start_relist_grace_period(self) -> None:
        """Start the grace period, as the store answers again after a failure."""
        self.relist_deadline = self._clock() + RELIST_GRACE_S

    def apply(self, change: StoredChange) -> None:
        """Apply changes from the store or a peer."""
        self._check_era(change)
        self._apply_changed_keys(self.mirror.apply(change))

    def apply_list(self, prefix: str, listed: StoredChange) -> None:
        """Apply a complete listing of the keys below a prefix."""
        self._check_era(listed)
        self._apply_changed_keys(self.mirror.apply_list(prefix, listed))

    def apply_report(self, target: str, version: int, report: MembershipReport) -> bool:
        """Apply a target's own report; return whether it changed anything.

        Parameters
        ----------
        version
            Version of the target's entry that the report is newer than. The report
            is stale, and ignored, once the list has a higher version.
        """
        known = self.targets.get(target)
        if known is None or known.version != version:
            return False
        record = known.record.update(report)
        if record == known.record:
            return False
        self.targets[target] = replace(known, record=record)
        self._replicas.mark_dirty(record.zone)
        self._on_change()
        return True

    def mark_leaving(self, target: str, started_ms: int | None = None) -> int | None:
        """Treat a target as leaving, as it said so in an answer.

        Parameters
        ----------
        started_ms
            Start time of the incarnation that said so, in Unix milliseconds; that of
            the known one by default.

        Returns
        -------
        int or None
            The incarnation's start time; None if this was known already.
        """
        known = self.targets.get(target)
        if known is None and target in self.retained:
            known, _ = self.retained[target]
        if known is None and target in self.removed:
            known, _ = self.removed[target]
        if started_ms is None:
            if known is None:
                return None
            started_ms = known.record.started_ms
        if not self.leaving.add(target, started_ms):
            return None
        self.retained.pop(target, None)
        if known is not None and known.record.started_ms == started_ms:
            self.expired.drop(target)
        if target in self.targets and known.record.started_ms == started_ms:
            record = replace(known.record, leaving=True)
            self.targets[target] = replace(known, record=record)
        self._replicas.mark_dirty(None if known is None else known.record.zone)
        self._on_change()
        return started_ms

    def expire_removed(self) -> None:
        """Forget removed targets whose retention or grace period is over."""
        now = self._clock()
        self.expired.expire(now)
        self.leaving.expire()
        expired = [key for key, (_, until) in self.retained.items() if until <= now]
        for target in expired:
            del self.retained[target]
        if self._hosts_of_before and self.restore_deadline <= now:
            self._hosts_of_before = {}
            self._evacuated_before = frozenset()
            self._load_evacuations()
            expired.append("zones of before")
        if expired:
            self._replicas.mark_dirty()
            self._on_change()

    def _check_era(self, change: StoredChange) -> None:
        """Go on believing the store of before for a while if it was restored."""
        era = get_era(change.version)
        if era <= self.mirror.era:
            return
        if not self.mirror.is_empty:
            logger.warning(
                "store was restored from an older copy",
                extra={"era": era, "earlier_era": self.mirror.era},
            )
            self.relist_deadline = self._clock() + RELIST_GRACE_S
            self.restore_deadline = self.relist_deadline
            self.older_keys_until = boot_time() + OLDER_KEYS_S
            self._hosts_of_before = self.list_hosts()
            self._evacuated_before = self.evacuated
            self.on_restored()

    def _apply_changed_keys(self, changed: list[str]) -> None:
        if not changed:
            return
        for key in changed:
            try:
                self._apply_changed_key(key)
            except Exception:
                logger.exception("changed key not applied", extra={"key": key})
        for zone in self.expired.update(self._clock()):
            self._replicas.mark_dirty(zone)
        self._on_change()

    def _apply_changed_key(self, key: str) -> None:
        if key == CONFIGURATION_KEY:
            self._load_configuration()
            self._replicas.mark_dirty()
        elif key.startswith(EVACUATION_PREFIX):
            self._load_evacuations()
            self._replicas.mark_dirty()
        elif key.startswith(TARGET_PREFIX):
            self._load_target(key)
        elif key.startswith(HOST_PREFIX):
            self._load_host(key)

    def _load_configuration(self) -> None:
        entry = self.mirror.get(CONFIGURATION_KEY)
        if entry is None:
            return
        try:
            cfg = decode_routed_configuration(entry.value)
        except ConfigurationError as exc:
            logger.error(
                "configuration cannot be decoded; ignoring it",
                extra={"reason": exc.message},
            )
            return
        if self.cfg is not None and cfg.version < self.cfg.version:
            logger.warning(
                "older configuration ignored",
                extra={"version": cfg.version, "in_force": self.cfg.version},
            )
            return
        self.route_table = RouteTable(cfg)
        self.configured.set()
        logger.info(
            "configuration in force",
            extra={
                "version": cfg.version,
                "revision": entry.version,
                "routes": len(cfg.routes),
                "header_timeout_s": cfg.limits.header_timeout_s,
                "idle_timeout_s": cfg.limits.idle_timeout_s,
            },
        )

    def _load_evacuations(self) -> None:
        zones = (
            decode_evacuated_zone(entry.key)
            for entry in self.mirror.iter_prefix(EVACUATION_PREFIX)
        )
        listed = frozenset(zone for zone in zones if zone)
        self.evacuated = listed | self._evacuated_before
        logger.info("zones out of service", extra={"zones": sorted(self.evacuated)})

    def _load_host(self, key: str) -> None:
        name, entry = key.removeprefix(HOST_PREFIX), self.mirror.get(key)
        host = None if entry is None else decode_host(name, entry.value)
        if host is None:
            self._hosts.pop(name, None)
        else:
            self._hosts[name] = host

    def _load_target(self, key: str) -> None:
        """Update a target from its entry."""
        target = decode_target_id(key)
        known = self.targets.get(target)
        entry = self.mirror.get(key)
        now = self._clock()
        if entry is None:
            if known is None:
                return
            del self.targets[target]
            may_be_back = now < self.relist_deadline
            self.expired.add(
                known,
                now,
                is_blamed=now >= self.restore_deadline,
                back_until=self.relist_deadline if may_be_back else math.inf,
            )
            if may_be_back and not known.record.leaving:
                self.retained[target] = (known, self.relist_deadline)
            logger.info("target gone from the list", extra={"target": target})
            self._replicas.mark_dirty(known.record.zone)
            return
        try:
            record = decode_target_record(key, entry.value)
        except ValueError as exc:
            logger.warning(
                "entry names no target", extra={"key": key, "reason": str(exc)}
            )
            self.targets.pop(target, None)
            if known is not None:
                self._replicas.mark_dirty(known.record.zone)
            return
        if self.leaving.includes(target, record.started_ms):
            record = replace(record, leaving=True)
        if self._is_copy_of_before(record, entry.version):
            logger.info("older record ignored", extra={"target": target})
            if known is not None:
                self.targets[target] = replace(known, version=entry.version)
            return
        self.retained.pop(target, None)
        record = record.keep_model(None if known is None else known.record)
        self.targets[target] = KnownTarget(
            record,
            entry.version,
            now + record.cold_s,
            (
                now
                if known is None or not _is_same_group(known.record, record)
                else known.membership_since
            ),
        )
        earlier = known or self.expired.find_not_gone(target)
        self.expired.handle_listed(self.targets[target], now, is_new=known is None)
        if earlier is not None and earlier.record.started_ms != record.started_ms:
            self.on_target_lost(target, record.started_ms)
        if known is None or affects_replicas(known.record, record):
            self._replicas.mark_dirty(record.zone)
            if known is not None:
                self._replicas.mark_dirty(known.record.zone)

    def _is_copy_of_before(self, record: TargetRecord, version: int) -> bool:
        """Return whether a restored store shows a target as it was earlier."""
        known = self.targets.get(record.id)
        if known is None and record.id in self.removed:
            known, _ = self.removed[record.id]
        if known is None or get_era(version) <= get_era(known.version):
            return False
        if record.id in self.targets:
            return record.order < known.record.order
        return record.order <= known.record.order


def _is_same_group(before: TargetRecord, after: TargetRecord) -> bool:
    """Return whether two records name the same group and epoch, or both none."""
    former, current = before.membership, after.membership
    if former is None or current is None:
        return former is current
    return (former.group, former.epoch) == (current.group, current.epoch)
