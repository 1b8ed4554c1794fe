"""Builds the tasks of a gateway, and starts and stops them."""

from __future__ import annotations

import logging
import signal
import time
import uuid
from collections.abc import Callable
from functools import partial

import gevent
from gevent.event import Event

from ..admission import RetryBudget
from ..clocks import boot_time
from ..configuration.routes import CallerLimits
from ..forwarding import (
    CallerListener,
    ConnectionPool,
    TargetBrokenError,
    TargetTimeoutError,
    UnreachableError,
)
from ..groups.load_limit import LoadLimit
from ..mesh.messages import PlanningHandover
from ..platform import (
    OPERATOR_PREFIX,
    TARGET_PREFIX,
    PlatformStore,
)
from ..ports import KeyValueStore
from ..settings.gateway import GatewaySettings
from ..targets.loads import LoadBook
from ..targets.progress import ProgressBook
from ..telemetry import GatewayMetrics
from .beliefs import GATEWAY_PREFIX, GatewayView
from .dispatch import Dispatcher
from .exchange import TargetExchange
from .notices import TargetNotices
from .peers import PeerTask
from .planning import ZonePlanner
from .probing import fetch_report
from .serving import RequestServer
from .store_tasks import LeaseKeeper, PrefixWatcher, StoreHealth
from .suspect_task import SuspectTracker
from .web import GatewayWeb
from .zone_key import ZoneKey

LEASE_S = 3.0
# Pause between two watch calls for targets. It saves calls to the store, but a leaving
# target must still be noticed well within ``OperatingBounds.leaving_s``.
TARGET_WATCH_PAUSE_S = 0.5
TARGET_WATCH_PAUSE_BUSY_S = 0.05
# Share of ``OperatingBounds.retry_ratio`` and ``retry_slack`` that the retry budgets of
# all entry hosts together use.
RETRY_BUDGET_SHARE = 0.8
HOUSEKEEPING_INTERVAL_S = 0.25
# Time until the load balancer has removed a process that is not ready: it does so after
# two readiness checks, one a second.
BALANCER_REMOVAL_S = 2.6
STOP_MARGIN_S = 0.8

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
        self._store = store or PlatformStore(str(settings.store))
        self.metrics = GatewayMetrics()
        self.pool = ConnectionPool()
        self.loads = LoadBook()
        self.progress = ProgressBook()
        self.view = GatewayView(time.monotonic, self._on_view_change)
        self._store_health = StoreHealth(self.view.start_relist_grace_period)
        self._budgets: dict[str, RetryBudget] = {}
        self.dispatcher = Dispatcher(
            settings.zone, self.view, self.loads, self.progress
        )
        self._lease_keeper = LeaseKeeper(
            self._store,
            self._store_health,
            settings.name,
            str(settings.peers),
            max(LEASE_S, settings.min_lease_s),
        )
        self.view.on_restored = self._on_store_restored
        self._peers = PeerTask(
            settings,
            uuid.uuid4().hex,
            self.view,
            self.loads,
            self.progress,
            self._store_health,
            self.dispatcher.assign_free_slots,
            self._is_reachable,
        )
        self._suspects = SuspectTracker(self.view, self._peers.announce_suspects)
        self._peers.on_suspects = self._suspects.merge
        self.view.on_target_lost = self._on_target_lost
        self._server = RequestServer(
            self.view,
            self.dispatcher,
            TargetExchange(
                self.pool,
                self.progress,
                self.metrics,
                self._on_suspect,
                self._is_reachable,
                TargetNotices(
                    self.view,
                    self.dispatcher.pauses,
                    self.metrics,
                    self._peers.announce_leaving,
                ),
            ),
            self._find_budget,
            self._on_suspect,
            self.metrics,
            self._suspects,
        )
        self._load_limits = {
            zone: LoadLimit(
                len(settings.zones), partial(self._count_other_weight_loads, zone)
            )
            for zone in settings.zones
        }
        self._peers.count_weight_loads = partial(
            self._count_other_weight_loads, "", with_peers=False
        )
        self._planners = [
            ZonePlanner(
                ZoneKey(
                    zone,
                    name=settings.name,
                    is_local_zone=zone == settings.zone,
                    view=self.view,
                    lease_keeper=self._lease_keeper,
                    is_store_unavailable=self._peers.is_store_unavailable,
                ),
                view=self.view,
                pool=self.pool,
                loads=self.loads,
                progress=self.progress,
                load_limit=self._load_limits[zone],
                unmet_demand=self.dispatcher.estimate_unmet_demand,
                peers_may_reach=self._peers.may_be_reachable,
                is_store_unavailable=self._peers.is_store_unavailable,
                announce=self._peers.announce_report,
                metrics=self.metrics,
            )
            for zone in settings.zones
        ]
        self._peers.on_planning_handover = self._take_over_planning
        self._watchers = [
            self._watch(OPERATOR_PREFIX, lambda: 0.0),
            self._watch(TARGET_PREFIX, self._find_target_watch_pause),
            self._watch(GATEWAY_PREFIX, lambda: 0.1),
        ]
        self._listener = CallerListener(
            settings.front.host,
            settings.front.port,
            self._server.handle,
            self._find_limits,
        )
        self._web = GatewayWeb(
            settings.ready, settings.metrics, self.find_unready_reason, self.dump
        )
        self._housekeeper: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start all tasks."""
        for watcher in self._watchers:
            watcher.start()
        self._lease_keeper.start()
        self._peers.start()
        for planner in self._planners:
            planner.start()
        self._web.start()
        self._listener.start()
        self._housekeeper = gevent.spawn(self._run_housekeeping)
        logger.info(
            "gateway started",
            extra={"node": self.settings.name, "zone": self.settings.zone},
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
        self._listener.stop_accepting()
        self._web.stop()
        self._peers.stop()
        self._lease_keeper.stop()
        for task in (*self._planners, *self._watchers):
            task.stop()
        if self._housekeeper is not None:
            self._housekeeper.kill(block=False)
        self._stopped.set()

    def find_unready_reason(self) -> str | None:
        """Return why this process accepts no requests, or None if it does."""
        if self._stopping:
            return "stopping"
        if self.view.cfg is None:
            return "no configuration"
        if not any(True for _ in self.view.iter_replicas()):
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
            "plans": [item.zone for item in self._planners if item.is_holder],
            "replicas": list(self.view.iter_replicas()),
            "loads": self.loads.get_own(),
            "suspects": [list(key) for key in self.progress.list_suspicions(now)],
            "waiting": self.dispatcher.count_queued(),
            "store_answered_s_ago": boot_time() - self._store_health.answered_at,
            "store_era": self.view.mirror.era,
        }

    def _watch(self, prefix: str, pause_s: Callable[[], float]) -> PrefixWatcher:
        return PrefixWatcher(
            self._store, prefix, self.view, self._store_health, pause_s
        )

    def _is_reachable(self, target: str, address: str) -> bool:
        """Return whether a target answers this process."""
        try:
            fetch_report(self.pool, target, address)
        except (UnreachableError, TargetTimeoutError, TargetBrokenError, ValueError):
            return False
        return True

    def _count_other_weight_loads(self, zone: str, *, with_peers: bool = True) -> int:
        """Return the number of weight loads in progress that other planners began.

        Parameters
        ----------
        zone
            Zone whose planner in this process is left out; empty for none.
        with_peers
            Whether to count the loads that peers began.
        """
        now = time.monotonic()
        own = sum(
            limit.count_in_progress(now)
            for other, limit in self._load_limits.items()
            if other != zone
        )
        return own + (self._peers.count_peer_weight_loads(now) if with_peers else 0)

    def _find_target_watch_pause(self) -> float:
        if any(planner.is_busy for planner in self._planners):
            return TARGET_WATCH_PAUSE_BUSY_S
        return TARGET_WATCH_PAUSE_S

    def _find_limits(self) -> CallerLimits:
        cfg = self.view.cfg
        return CallerLimits() if cfg is None else cfg.limits

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            peers = max(1, len(self.view.list_peers()))
            slack = bounds.retry_slack * RETRY_BUDGET_SHARE / peers
            budget = RetryBudget(
                ratio=bounds.retry_ratio * RETRY_BUDGET_SHARE,
                balance=slack,
                max_balance=slack,
            )
            self._budgets[service] = budget
        return budget

    def _on_view_change(self) -> None:
        self.dispatcher.assign_free_slots()

    def _on_store_restored(self) -> None:
        self.metrics.count_store_restored()
        self._lease_keeper.wake()

    def _on_target_lost(self, target: str, started_ms: int | None) -> None:
        self.dispatcher.pauses.forget(target)
        self._suspects.handle_lost_target(target, started_ms)

    def _on_suspect(self, target: str, epoch: int) -> None:
        if self.progress.suspect(target, epoch, time.monotonic()):
            logger.info("target suspected", extra={"target": target, "epoch": epoch})
            self._peers.announce_stall(target, epoch)

    def _take_over_planning(self, handover: PlanningHandover) -> None:
        for planner in self._planners:
            if planner.zone == handover.zone and not self._stopping:
                planner.take_over(handover)

    def _run_housekeeping(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            now = time.monotonic()
            self.pool.close_idle(now)
            self.view.expire_removed()
            self.dispatcher.assign_free_slots()

    def _on_hangup(self) -> None:
        logger.info(
            "SIGHUP received; settings are not reloaded",
            extra={"node": self.settings.name},
        )

    def _begin_stop(self) -> None:
        if not self._stopping:
            self._stopping = True
            gevent.spawn(self._stop_gracefully)

    def _stop_gracefully(self) -> None:
        """Hand over planning, drain requests in progress, then stop."""
        started_at = time.monotonic()
        deadline = started_at + self.settings.bounds.stop_s - STOP_MARGIN_S
        logger.info(
            "gateway stops", extra={"in_progress": self._listener.active_connections}
        )
        for planner in self._planners:
            handover = planner.hand_over()
            if handover is not None:
                peer = self._peers.hand_over(handover)
                logger.info(
                    "planning handed over", extra={"zone": handover.zone, "peer": peer}
                )
        self._lease_keeper.stop()
        gevent.spawn(self._lease_keeper.revoke)
        self._listener.disable_keep_alive()
        gevent.sleep(BALANCER_REMOVAL_S)
        self._listener.stop_accepting()
        while self._listener.active_connections and time.monotonic() < deadline:
            self._listener.close_idle()
            gevent.sleep(0.05)
        logger.info(
            "gateway stopped",
            extra={
                "in_progress": self._listener.active_connections,
                "took_s": round(time.monotonic() - started_at, 2),
            },
        )
        self.stop()
