"""Entry daemon: builds its tasks from the settings and runs them."""

from __future__ import annotations

import logging
import random
import signal
import time
import uuid

import gevent
from gevent.event import Event

from ..admission import RetryBudget
from ..http_server import HttpServer
from ..membership import Member, MemberList
from ..mesh import Identity, MeshNode
from ..ports import HttpHostList, HttpKeyValueStore, TargetReport
from ..requests.claim_writer import ClaimWriter
from ..routing import PrefixIndex, Router
from ..settings import EntrySettings
from ..targets import Health
from ..telemetry import EntryMetrics
from .bound_runs import BoundKeyRuns
from .clients import TargetClients
from .controller import Controller
from .coordination import Coordination
from .dispatch import Dispatcher, Wake
from .dump import render_state
from .events import DrainStarted, HealthObserved
from .model_path import ModelPath
from .observer import Observer
from .plain_path import PlainPath
from .platform_tasks import DocumentWatcher, HostFollower
from .registrar import Registrar
from .trials import TrialLocks
from .view import EntryView
from .web import EntryWeb

DRAIN_POLL_S = 0.05
# Time to announce the stop to peers before the drain begins.
STOP_NOTICE_S = 0.2
# Time in which connections end by themselves after the drain.
CONNECTION_END_S = 1.0
# Time to write the outcomes of calls after the drain.
CLAIM_FLUSH_TIMEOUT_S = 2.0

logger = logging.getLogger(__name__)


class EntryDaemon:
    """The process of one entry host.

    Parameters
    ----------
    settings
        Validated settings.
    """

    def __init__(self, settings: EntrySettings):
        self.settings = settings
        self.metrics = EntryMetrics()
        self.started_at = time.time()
        self._dispatchers: dict[str, Dispatcher] = {}
        self._stop_requested = Event()
        self._incarnation = uuid.uuid4().hex[:16]
        self.web = EntryWeb(self)
        self.http = HttpServer(
            settings.http.host,
            settings.http.port,
            self.web.app,
            connections=settings.limits.connections,
        )
        self.http.init_socket()
        self._mesh_events = []
        self.mesh = MeshNode(
            Identity(settings.id, self._incarnation, settings.zone),
            settings.mesh.key,
            host=settings.mesh.host,
            port=settings.mesh.port,
            frame_bytes=settings.limits.frame_bytes,
            deliver=lambda event: self.coordination.post(event),
        )
        self.view = EntryView(self._build_member())
        self._build_tasks()

    def _build_member(self) -> Member:
        http, mesh = self.settings.http, self.settings.mesh
        port = self.http.socket.getsockname()[1]
        return Member(
            id=self.settings.id,
            incarnation=self._incarnation,
            zone=self.settings.zone,
            http=http.advertise or f"{http.host}:{port}",
            mesh=mesh.advertise or self.mesh.address,
        )

    def _build_tasks(self) -> None:
        view, platform = self.view, self.settings.platform
        self.store = HttpKeyValueStore(platform.store)
        self.coordination = Coordination(
            view,
            wake=self._wake_dispatchers,
            may_confirm=self._is_within_shares,
            seeds=self.settings.mesh.seeds,
        )
        self.coordination.attach(self.mesh)
        self.clients = TargetClients(self._post_report)
        self.budget = RetryBudget()
        self.prefixes = PrefixIndex()
        self.router = Router(self.prefixes, random.Random())
        self.claims = ClaimWriter(self.store)
        self.bound_key_runs = BoundKeyRuns(view)
        self.registrar = Registrar(view, self.store, self.coordination)
        self.watcher = DocumentWatcher(view, self.store, self.coordination)
        self.host_follower = HostFollower(
            view, HttpHostList(platform.hosts), self.coordination
        )
        self.observer = Observer(view, self.clients, self.coordination)
        self.controller = Controller(
            view, self.store, self.registrar, self.clients, self.coordination
        )
        self.model_path = ModelPath(
            view,
            self.clients,
            self.coordination,
            self.prefixes,
            self.budget,
            self.metrics,
            self.find_dispatcher,
            TrialLocks(view, self.store),
        )
        self.plain_path = PlainPath(
            view,
            self.clients,
            self.claims,
            self.bound_key_runs,
            self.budget,
            self.find_dispatcher,
        )
        self._tasks = (
            self.coordination,
            self.watcher,
            self.registrar,
            self.host_follower,
            self.observer,
            self.controller,
        )

    def start(self) -> None:
        """Start the tasks and accept connections from callers and peers."""
        self.mesh.start()
        for task in self._tasks:
            task.start()
        self.http.start()
        logger.info(
            "entry daemon started",
            extra={
                "id": self.view.me.id,
                "http": self.view.me.http,
                "mesh": self.mesh.address,
            },
        )

    def run_until_stopped(self) -> None:
        """Run until SIGTERM or SIGINT, then drain and stop."""
        self.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stop_requested.set)
        self._stop_requested.wait()
        self.stop()

    def stop(self) -> None:
        """Refuse new requests, drain those in progress and stop.

        Requests that exceed the drain timeout are cut off. The outcomes of calls are
        written after that, so that repeats are not told to wait for this process.
        """
        deadline = time.monotonic() + self.settings.drain_timeout_s
        self.view.stopping = self.http.is_stopping = True
        self.coordination.post(DrainStarted())
        logger.info("stopping", extra={"in_progress": self.http.in_progress})
        gevent.sleep(STOP_NOTICE_S)
        while self.http.in_progress and time.monotonic() < deadline:
            gevent.sleep(DRAIN_POLL_S)
        cut_off = self.http.in_progress
        self.http.stop(timeout=CONNECTION_END_S)
        self.claims.flush(max(deadline, time.monotonic() + CLAIM_FLUSH_TIMEOUT_S))
        self.registrar.leave()
        self.kill()
        logger.info("stopped", extra={"cut_off": cut_off})

    def kill(self) -> None:
        """Stop at once, without draining."""
        for task in (*self._tasks, *self._dispatchers.values()):
            task.stop()
        self.mesh.stop()
        self.http.stop(timeout=CONNECTION_END_S)

    def find_dispatcher(self, service: str) -> Dispatcher:
        """Return the dispatcher of a service; the first call creates and starts it."""
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            dispatcher = Dispatcher(service, self.view, self.router)
            self._dispatchers[service] = dispatcher
            dispatcher.start()
        return dispatcher

    def find_unready_reason(self) -> str | None:
        """Return why this process is not ready for requests, or None if it is."""
        if self.view.stopping:
            return "stopping"
        if self.view.cfg.revision == 0:
            return "no configuration is known yet"
        return None

    def dump(self) -> bytes:
        """Return the state of the process as JSON."""
        return render_state(self)

    @property
    def dispatchers(self) -> dict[str, Dispatcher]:
        """Dispatchers by service."""
        return self._dispatchers

    @property
    def in_progress(self) -> int:
        """Number of requests of callers in progress."""
        return self.web.in_progress

    def _wake_dispatchers(self) -> None:
        for dispatcher in self._dispatchers.values():
            dispatcher.post(Wake())

    def _is_within_shares(self, members: MemberList) -> bool:
        return all(
            item.is_within_shares(members) for item in self._dispatchers.values()
        )

    def _post_report(self, report: TargetReport) -> None:
        event = HealthObserved(report.host, Health.UP, time.monotonic(), report)
        self.coordination.post(event)
