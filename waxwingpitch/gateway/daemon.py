"""Builds the tasks of a gateway, and starts and stops them."""

from __future__ import annotations

import logging
import signal
import time
import uuid

import gevent
from gevent.event import Event

from ..clocks import boot_time
from ..configuration.routes import CallerLimits
from ..forwarding import (
    CallerListener,
    ConnectionPool,
    TargetBrokenError,
    TargetTimeoutError,
    UnreachableError,
)
from ..forwarding.relay import RelayListener
from ..memory import CallerAccount
from ..mesh.messages import PlanningHandover
from ..platform import PlatformStore
from ..ports import KeyValueStore
from ..settings.gateway import GatewaySettings
from ..slots import EntryHost
from ..targets.progress import ProgressBook
from ..targets.records import TargetRecord
from ..targets.silences import SilenceBook
from ..telemetry import GatewayMetrics
from .beliefs import GatewayView
from .exchange import TargetExchange
from .expired_probes import ExpiredProbes
from .following import StoreFollower
from .host_bounds import find_answer_bytes, find_caller_bounds, find_max_relayed
from .notices import TargetNotices
from .peers import PeerTask
from .planning import ZonePlanner
from .probing import AnotherTargetError, fetch_report
from .registration import Registration
from .relays import LinkCheck, RelayChooser
from .roles import Roles
from .roster import Roster
from .serving import RequestServer
from .slots import SlotTask
from .stopping import GracefulStop
from .store_tasks import LeaseKeeper, StoreHealth
from .suspect_task import SuspectTracker
from .web import GatewayWeb
from .zone_key import ZoneKey

LEASE_S = 3.0
# Pause between two watch calls for targets. It saves calls to the store, but a leaving
# target must still be noticed well within ``OperatingBounds.leaving_s``.
TARGET_WATCH_PAUSE_S = 0.2
TARGET_WATCH_PAUSE_BUSY_S = 0.05
HOUSEKEEPING_INTERVAL_S = 0.1
# Delay of the housekeeping from which it is logged.
STANDSTILL_S = 0.25
SLOW_TICK_S = 0.25
# Interval at which lost links to targets are tried again, and how many of them.
LINK_RETRY_S = 0.5
RETRIED_LINKS = 4
# Link of an entry host below which it leads and owns less than its processor allows.
FAST_LINK_MBPS = 100.0
# Time for which a process must be the head or the next host before it plans, so that
# hosts that start at the same time know each other.
CANDIDATE_DELAY_S = 0.8
# Time without a link after which the record of an entry host is removed.
LOST_HOST_S = 20.0

logger = logging.getLogger(__name__)


class GatewayDaemon:
    """One gateway process.

    Parameters
    ----------
    store
        Key-value service to use instead of the one named in the settings.
    """

    def __init__(self, settings: GatewaySettings, store: KeyValueStore | None = None):
        self.settings = settings
        self._stopped = Event()
        self._stopping = False
        self._served_zones: tuple[str, ...] = (settings.zone,)
        self.metrics = GatewayMetrics()
        self._store = store or self._build_store()
        self.pool = ConnectionPool(memory_bytes=find_answer_bytes(settings))
        self.callers = CallerAccount(find_caller_bounds(settings))
        self.metrics.observe_memory(self._measure_held, self.callers)
        self.progress = ProgressBook()
        self._silences = SilenceBook()
        self.view = GatewayView(time.monotonic, self._on_view_change)
        self.view.expired.find_responses = self.progress.list_responses
        self.view.expired.is_cut = lambda: self.pool.links.is_cut
        self.view.expired.on_verdict = self.metrics.count_verdict
        # Plain services have so few targets that two which leave without having said so
        # can't be told from ones that are cut off from the store.
        self.view.expired.may_stay = lambda record: record.membership is not None
        self.view.expired.is_probed = self._is_probed
        self._expired_probes = ExpiredProbes(self.pool, self.view)
        self._store_health = StoreHealth(self._on_store_recovery)
        local = EntryHost(
            settings.name,
            str(settings.peers),
            settings.zone,
            settings.processor_share * min(1.0, settings.link_mbps / FAST_LINK_MBPS),
            uuid.uuid4().hex,
            str(settings.relay or ""),
        )
        self.roster = Roster(local, self.view.list_hosts, boot_time)
        self._peers = PeerTask(
            settings,
            local,
            self.roster,
            self.view,
            self.progress,
            self._store_health,
            self._is_reachable,
        )
        self._peers.is_cut = lambda: self.pool.links.is_cut
        self.pool.open_relayed = RelayChooser(self.roster, self._peers.statuses).open
        self._relay = RelayListener(
            lambda address, timeout_s: self.pool.open_socket(address, timeout_s),
            self._may_relay,
            lambda: self.pool.links.is_cut,
            LinkCheck(
                lambda address, timeout_s: self.pool.open_socket(address, timeout_s),
                lambda: (item.record.address for item in self.view.iter_targets()),
            ).reaches_another,
            max_relayed=find_max_relayed(settings),
        )
        self.slots = SlotTask(
            self.roster,
            self.view,
            self.progress,
            settings.bounds,
            settings.zones,
            self._peers.send,
            is_first_start=settings.is_first_start,
            may_leave_zone=settings.may_leave_zone,
        )
        self.slots.owners.on_passed_on = self.metrics.count_passed_on
        self.slots.owners.on_taken_back = self.metrics.count_taken_back
        self._follower = StoreFollower(
            self._store,
            self.view,
            self._store_health,
            self._peers.send,
            self._peers.multicast,
            self._find_target_watch_pause,
        )
        self._peers.slots = self.slots
        self._peers.follower = self._follower
        self._follower.on_news = self._peers.announce_status
        self.view.find_age_s = lambda: self._follower.configuration_age_s
        self._lease_keeper = LeaseKeeper(
            self._store, self._store_health, max(LEASE_S, settings.min_lease_s)
        )
        self._registration = Registration(
            self._store,
            self.view,
            self._store_health,
            local,
            lambda: bool(self._peers.peers),
        )
        self._suspects = SuspectTracker(
            self.view,
            self._peers.announce_crashes,
            self._peers.send,
            self._is_reachable,
            lambda: self.roster.find_head(settings.zone) == settings.name,
        )
        self._peers.on_crash_news = self._suspects.handle_news
        self._peers.on_linked = self._suspects.tell
        self.slots.owners.on_used = self._suspects.handle_use
        self.slots.client.on_leaving = self._on_leaving
        self.view.on_target_lost = self._on_target_lost
        self.view.on_restored = self._on_store_restored
        self._server = RequestServer(
            self.view,
            self.slots.client,
            TargetExchange(
                self.pool,
                self.progress,
                self.metrics,
                self.slots.client,
                self._has_ended,
                TargetNotices(
                    self.slots.client.pauses,
                    self.metrics,
                    self.slots.client.note_leaving,
                    self.slots.client.note_rate,
                ),
            ),
            self.metrics,
            self._suspects,
            self.pool.memory,
        )
        self._planners = [
            ZonePlanner(
                ZoneKey(
                    zone,
                    name=settings.name,
                    view=self.view,
                    lease_keeper=self._lease_keeper,
                    is_store_unavailable=self._peers.witnesses.is_store_unavailable,
                ),
                view=self.view,
                pool=self.pool,
                progress=self.progress,
                plans=self._peers.plans,
                slots=self.slots,
                peers_may_reach=self._peers.witnesses.may_be_reachable,
                is_store_unavailable=self._peers.witnesses.is_store_unavailable,
                announce=self._peers.announce_report,
                metrics=self.metrics,
            )
            for zone in settings.zones
        ]
        self._peers.on_planning_handover = self._take_over_planning
        self._listener = CallerListener(
            settings.front.host,
            settings.front.port,
            self._server.handle,
            self._find_limits,
            self.callers,
        )
        self._web = GatewayWeb(
            settings.ready, settings.metrics, self.find_unready_reason, self.dump
        )
        self._slow_tick_at = 0.0
        self._links_retried_at = 0.0
        self._roles = Roles(
            settings.zones,
            roster=self.roster,
            view=self.view,
            peers=self._peers,
            follower=self._follower,
            registration=self._registration,
            lease_keeper=self._lease_keeper,
            planners=self._planners,
        )
        self._ticked_at = self._ticked_before_at = time.monotonic()
        self._graceful_stop = GracefulStop(
            settings.bounds.stop_s,
            listener=self._listener,
            relay=self._relay,
            server=self._server,
            planners=self._planners,
            peers=self._peers,
            lease_keeper=self._lease_keeper,
            registration=self._registration,
        )
        self._unready_reason: str | None = "starting"
        self._housekeeper: gevent.Greenlet | None = None

    def _build_store(self) -> PlatformStore:
        store = PlatformStore(str(self.settings.store))
        store.on_call = self.metrics.count_store_call
        return store

    def start(self) -> None:
        """Start all tasks."""
        if not self.settings.is_first_start:
            # Callers do not wait for a process that starts again, and other hosts that
            # it could follow may start at the same time.
            gevent.spawn(self._follower.read_configuration)
        self._registration.start()
        self._lease_keeper.start()
        self._peers.start()
        if self.settings.relay is not None:
            self._relay.start(self.settings.relay.host, self.settings.relay.port)
        for planner in self._planners:
            planner.start()
        self._web.start()
        self._listener.start()
        self._housekeeper = gevent.spawn(self._run_housekeeping)
        logger.info(
            "gateway started",
            extra={
                "node": self.settings.name,
                "zone": self.settings.zone,
                "is_first_start": self.settings.is_first_start,
            },
        )

    def run_until_stopped(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        gevent.signal_handler(signal.SIGTERM, self._begin_stop)
        gevent.signal_handler(signal.SIGINT, self._begin_stop)
        gevent.signal_handler(signal.SIGHUP, self._on_hangup)
        self.start()
        self._stopped.wait()

    def stop(self) -> None:
        """Stop all tasks at once."""
        try:
            self._listener.stop_accepting()
            self._web.stop()
            self._peers.stop()
            self._relay.stop()
            self._lease_keeper.stop()
            self._registration.stop()
            self._follower.stop()
            for task in self._planners:
                task.stop()
            if self._housekeeper is not None:
                self._housekeeper.kill(block=False)
        finally:
            self._stopped.set()

    def find_unready_reason(self) -> str | None:
        """Return why this process accepts no requests, or None if it does."""
        reason = self._find_unready_reason()
        if reason != self._unready_reason:
            self._unready_reason = reason
            logger.info("readiness changed", extra={"unready": reason})
        return reason

    def _find_unready_reason(self) -> str | None:
        if self._stopping:
            return "stopping"
        if self.view.cfg is None:
            return "no configuration"
        if not self.slots.has_slots:
            return "no target"
        return None

    def dump(self) -> dict:
        """Return the state of this process for operators."""
        now = time.monotonic()
        cfg = self.view.cfg
        return {
            "node": self.settings.name,
            "zone": self.settings.zone,
            "stopping": self._stopping,
            "configuration": None if cfg is None else cfg.version,
            "evacuated": sorted(self.view.evacuated),
            "peers": sorted(self._peers.peers),
            "peer_versions": self._peers.peer_versions,
            "unknown_messages": self._peers.unknown_messages,
            "plans": self._roles.planned_zones,
            "replicas": list(self.view.iter_replicas()),
            "slots": self.slots.describe(),
            "answers_held_bytes": self.pool.memory.held_bytes,
            "held_bytes": self._measure_held(),
            "caller_connections": self.callers.connections,
            "rejections": {
                reason.value: count for reason, count in self.callers.rejections.items()
            },
            "store_source": self._follower.source,
            "store_knowledge_age_s": self._follower.data_age_s,
            "head": self.roster.find_head(self.settings.zone),
            "suspects": [list(key) for key in self.progress.list_suspicions(now)],
            "blocked": self._suspects.describe(),
            "waiting": self.slots.client.count_pending(),
            "store_answered_s_ago": boot_time() - self._store_health.answered_at,
            "lost_links": self.pool.links.list_lost(),
            "verdicts": self.view.expired.describe(now),
            "relayed_connections": self._relay.relayed,
            "store_era": self.view.mirror.era,
        }

    def _measure_held(self) -> dict[str, int]:
        """Return the bytes that are held for callers, by kind."""
        held = {kind.value: size for kind, size in self.callers.by_kind.items()}
        return {**held, "answers": self.pool.memory.held_bytes}

    def _is_probed(self, record: TargetRecord, is_store_cut: bool) -> bool:
        """Return whether this gateway probes a target without an entry.

        Owners of slots need to know which serve on while many have no entry, and the
        planner of a zone which members of groups do, also of those that leave.
        """
        if is_store_cut and not record.leaving:
            return record.zone in self._served_zones
        planned = self._roles.planned_zones
        return record.membership is not None and record.zone in planned

    def _is_reachable(self, target: str, address: str) -> bool:
        """Return whether a target answers this process."""
        try:
            fetch_report(self.pool, target, address)
        except (
            UnreachableError,
            TargetTimeoutError,
            TargetBrokenError,
            AnotherTargetError,
        ):
            return False
        except ValueError:
            logger.debug("report of a target can't be decoded")
        return True

    def _has_ended(self, target: str, address: str) -> bool:
        """Return whether a target has ended, is cut off, or is another one."""
        asked_at = time.monotonic()
        try:
            fetch_report(self.pool, target, address)
        except TargetTimeoutError:
            return self._silences.record_unanswered(target, asked_at)
        except (UnreachableError, TargetBrokenError, AnotherTargetError):
            return True
        except ValueError:
            logger.debug("report of a target can't be decoded")
        self._silences.record_answered(target)
        return False

    def _may_relay(self, address: str) -> bool:
        """Return whether an address is that of a target that may be alive."""
        return self.view.may_relay_to(address)

    def _find_target_watch_pause(self) -> float:
        if any(planner.is_busy for planner in self._planners):
            return TARGET_WATCH_PAUSE_BUSY_S
        return TARGET_WATCH_PAUSE_S

    def _find_limits(self) -> CallerLimits:
        cfg = self.view.cfg
        return CallerLimits() if cfg is None else cfg.limits

    def _on_view_change(self) -> None:
        self.slots.owners.handle_view_change()
        self._follower.schedule_push()

    def _on_store_recovery(self) -> None:
        self.view.start_relist_grace_period()
        gevent.spawn(self._follower.restart_watches)

    def _on_store_restored(self) -> None:
        self.metrics.count_store_restored()
        self._lease_keeper.wake()

    def _on_leaving(self, target: str) -> None:
        self.view.mark_leaving(target)
        self._peers.announce_status()

    def _on_target_lost(self, target: str, started_ms: int | None) -> None:
        self.slots.client.pauses.forget(target)
        if started_ms is not None:
            self.slots.client.forget_leaving(target)
        self._suspects.handle_lost_target(target, started_ms)

    def _take_over_planning(self, handover: PlanningHandover) -> None:
        for planner in self._planners:
            if planner.zone == handover.zone and not self._stopping:
                planner.take_over(handover)

    def _run_housekeeping(self) -> None:
        while True:
            try:
                self._tick()
            except Exception:
                logger.exception("housekeeping failed")
            due_at = time.monotonic() + HOUSEKEEPING_INTERVAL_S
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            self._log_standstill(time.monotonic() - due_at)

    def _log_standstill(self, late_s: float) -> None:
        """Log that nothing ran for a while, as one greenlet did not give way."""
        if late_s >= STANDSTILL_S:
            logger.warning(
                "process stood still", extra={"late_ms": round(1000 * late_s)}
            )

    def _tick(self) -> None:
        now = time.monotonic()
        self._ticked_before_at, self._ticked_at = self._ticked_at, now
        served_zones = self._roles.tick(now, is_stopping=self._stopping)
        self._served_zones = served_zones
        self._expired_probes.tick(now)
        self.slots.tick(served_zones)
        if now - self._slow_tick_at >= SLOW_TICK_S:
            self._slow_tick_at = now
            self.pool.close_idle(now)
            self.pool.links.expire(now)
            self._retry_lost_links(now)
            self.view.expire_removed()
            self.progress.expire(now)
            self._silences.expire(now)
            self._suspects.expire(now)

    def _retry_lost_links(self, now: float) -> None:
        """Try lost links again, without waiting for those that hang."""
        is_due = now - self._links_retried_at >= LINK_RETRY_S
        if is_due and self.pool.links.list_lost():
            self._links_retried_at = now
            gevent.spawn(self.pool.retry_lost_links, RETRIED_LINKS)

    def _on_hangup(self) -> None:
        logger.info(
            "SIGHUP received; settings are not reloaded",
            extra={"node": self.settings.name},
        )

    def _begin_stop(self) -> None:
        if not self._stopping:
            self._stopping = True
            # After a standstill a tick may run before a signal that came earlier, but
            # no second one: signals are handled between any two ticks.
            gevent.spawn(self._graceful_stop.run, self._ticked_before_at, self.stop)
