"""Stand-in of a model engine on one host of a replica group.

The leader of a group generates only while every member is running and has the same
group and epoch, as the collective operations of real engines require.
"""

from __future__ import annotations

import time
import uuid
from collections.abc import Iterator

import bottle
import gevent
import msgspec
from gevent.event import Event

from ..http_server import HttpServer
from ..ports import (
    EngineOrder,
    GenerateRequest,
    OrderKind,
    Piece,
    TargetReport,
    Warmth,
    WeightStore,
)
from ..ports.http import RAN_HEADER, REPORT_HEADER
from .answers import answer_token, count_tokens, default_length
from .engine_model import EnginePerformance
from .groups import EngineGroups
from .prefix_cache import PrefixCache
from .server import answer_json
from .stream import Stream

MAX_CONNECTIONS = 4096
# A prompt with this text crashes the engine one step after its admission.
POISON = "CRASH-ENGINE"


class EngineHost:
    """Engine stand-in on one host of a fleet.

    Parameters
    ----------
    host
        Id of the host.
    performance
        Performance and limits of the engine.
    weights
        Weight store that it loads from.
    groups
        Groups of the fleet that the host belongs to.
    port
        TCP port; 0 takes a free one.
    """

    def __init__(
        self,
        host: str,
        performance: EnginePerformance,
        weights: WeightStore,
        groups: EngineGroups,
        port: int = 0,
    ):
        self.host = host
        self.alive = False
        self.frozen = False
        self.slowdown = 1.0
        self.group = ""
        self.epoch = 0
        self.members: tuple[str, ...] = ()
        self.ready = False
        self.crashes = 0
        self.crash_causes: list[str] = []
        self.peak_running = 0
        self.streams: dict[str, Stream] = {}
        self._performance = performance
        self._weights = weights
        self._groups = groups
        self._loaded = ""
        self._loading = ""
        self._highest_epoch = 0
        self._leaving = False
        self._warm_at = 0.0
        self._cache = PrefixCache(performance.cache_blocks)
        self._load = 0
        self._sampled_at = 0.0
        self._work = Event()
        self._port = port
        self._server: HttpServer | None = None
        self._greenlets: list[gevent.Greenlet] = []
        self.incarnation = ""

    @property
    def address(self) -> str:
        """``IP:port``."""
        return f"127.0.0.1:{self._port}"

    def start(self) -> None:
        """Start the engine's simulated process, without a group or weights."""
        self.incarnation = uuid.uuid4().hex
        self.alive = True
        self.group, self.epoch, self.members = "", 0, ()
        self.ready, self._loaded, self._loading = False, "", ""
        self._leaving = False
        self._highest_epoch = 0
        self._cache.clear()
        self._server = HttpServer(
            "127.0.0.1", self._port, self._build_app(), connections=MAX_CONNECTIONS
        )
        self._server.start()
        self._port = self._server.address[1]
        self._greenlets = [gevent.spawn(self._step_forever)]

    def stop(self) -> None:
        """End the simulated process and break its connections."""
        self.alive = False
        self.fail_streams()
        gevent.killall(self._greenlets, block=False)
        if self._server is not None:
            self._server.stop(timeout=0)

    def crash(self, cause: str = "told to") -> None:
        """End the simulated process and restart it after ``restart_s`` seconds."""
        if not self.alive:
            return
        self.crashes += 1
        self.crash_causes.append(cause)
        gevent.spawn(self._crash_and_restart)

    def turn_cold(self) -> None:
        """Make a warm engine cold again, without prior notice."""
        self._warm_at = time.monotonic() + self._performance.cold_s

    def leave(self) -> None:
        """Start leaving; new requests are refused as not run."""
        self._leaving = True

    def report(self) -> TargetReport:
        """Return the status of the engine; its load lags by ``report_lag_s``."""
        now = time.monotonic()
        if now - self._sampled_at >= self._performance.report_lag_s:
            self._load, self._sampled_at = self.running, now
        return TargetReport(
            host=self.host,
            incarnation=self.incarnation,
            warmth=Warmth.WARM if self.is_warm else Warmth.COLD,
            leaving=self._leaving,
            ready=self.ready,
            load=self._load,
            group=self.group,
            epoch=self.epoch,
            loaded=self._loaded,
        )

    @property
    def is_warm(self) -> bool:
        """Whether the engine can take full load."""
        return self.ready and time.monotonic() >= self._warm_at

    @property
    def running(self) -> int:
        """Number of requests running and waiting."""
        return len(self.streams)

    def _crash_and_restart(self) -> None:
        self.stop()
        self._groups.fail_groups_of(self)
        gevent.sleep(self._performance.restart_s)
        self.start()

    def fail_streams(self) -> None:
        """Break all generations in progress."""
        for stream in list(self.streams.values()):
            stream.failed = True
            stream.notify()
        self.streams.clear()

    def _build_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.route("/v1/status", "GET", self._get_status)
        app.route("/v1/generate", "POST", self._generate)
        app.route("/v1/streams/<request>", "GET", self._resume)
        app.route("/v1/streams/<request>", "DELETE", self._cancel)
        app.route("/v1/orders", "POST", self._handle_order)
        app.route("/v1/cache-events", "GET", self._get_cache_events)
        app.route("/admin/<action>", "POST", self._run_admin_action)
        return app

    def _get_status(self):
        self._wait_while_frozen()
        return answer_json(self.report())

    def _get_cache_events(self):
        return answer_json(self._cache.events(int(bottle.request.query.after)))

    def _run_admin_action(self, action: str):
        match action:
            case "crash":
                self.crash()
            case "kill":
                gevent.spawn(self._kill)
            case "chill":
                self.turn_cold()
            case "leave":
                self.leave()
            case "freeze":
                self.frozen = True
            case "thaw":
                self.frozen = False
            case _:
                return bottle.HTTPResponse("unknown action", status=404)
        return answer_json(self.report())

    def _kill(self) -> None:
        self.stop()
        self._groups.fail_groups_of(self)

    def _wait_while_frozen(self) -> None:
        """Block while the engine is frozen; raise if its process has ended."""
        if not self.alive:
            raise ConnectionError("engine process has ended")
        while self.frozen:
            gevent.sleep(0.05)

    def _refuse(self, reason: str, status: int = 503) -> bottle.HTTPResponse:
        headers = {RAN_HEADER: "no", REPORT_HEADER: self._encode_report()}
        return bottle.HTTPResponse(reason, status=status, headers=headers)

    def _encode_report(self) -> str:
        return msgspec.json.encode(self.report()).decode()

    def _generate(self):
        self._wait_while_frozen()
        body = bottle.request.body.read()
        try:
            req = msgspec.json.decode(body, type=GenerateRequest)
        except msgspec.MsgspecError as exc:
            return self._refuse(f"malformed: {exc}", 400)
        if self._leaving:
            return self._refuse("leaving")
        if (req.group, req.epoch) != (self.group, self.epoch):
            return self._refuse(f"holds {self.group!r} epoch {self.epoch}", 409)
        if not self._groups.is_ready(self):
            return self._refuse("group is not complete")
        stream = self._admit(req)
        return self._answer(stream, req.attempt, req.offset)

    def _admit(self, req: GenerateRequest) -> Stream:
        prompt_tokens = count_tokens(req.prompt)
        cached_share = self._cache.lookup(req.prompt)
        tokens_to_prefill = int(prompt_tokens * (1 - cached_share)) + len(req.delivered)
        length = req.max_tokens or default_length(req.prompt)
        stream = Stream(
            req, length, tokens_to_prefill // self._performance.prefill_tokens
        )
        stream.cached_tokens = int(prompt_tokens * cached_share)
        self.streams[req.request] = stream
        self.peak_running = max(self.peak_running, self.running)
        if POISON in req.prompt:
            cause = f"request {req.request} attempt {req.attempt}"
            gevent.spawn_later(self._performance.step_s, self.crash, cause)
        elif not self.is_warm and self.running > self._performance.cold_cap:
            self.crash(f"{self.running} requests while cold")
        self._work.set()
        return stream

    def _resume(self, request: str):
        self._wait_while_frozen()
        stream = self.streams.get(request)
        if stream is None:
            return self._refuse("no such stream", 404)
        query = bottle.request.query
        return self._answer(stream, int(query.attempt), int(query.offset))

    def _answer(self, stream: Stream, attempt: int, offset: int):
        return bottle.HTTPResponse(
            self._iter_pieces(stream, attempt, offset),
            headers={
                "Content-Type": "application/x-ndjson",
                REPORT_HEADER: self._encode_report(),
            },
        )

    def _iter_pieces(
        self, stream: Stream, attempt: int, next_offset: int
    ) -> Iterator[bytes]:
        stream.readers += 1
        try:
            while True:
                changed = stream.changed
                if stream.failed:
                    raise ConnectionError(
                        "generation aborted by a crash or a group change"
                    )
                if stream.cancelled:
                    return
                if stream.produced > next_offset or stream.done:
                    piece = self._build_piece(stream, attempt, next_offset)
                    next_offset += len(piece.tokens)
                    yield msgspec.json.encode(piece) + b"\n"
                    if piece.finish:
                        self.streams.pop(stream.req.request, None)
                        return
                else:
                    changed.wait()
                self._wait_while_frozen()
        finally:
            stream.readers -= 1
            stream.orphaned_at = time.monotonic()

    def _build_piece(self, stream: Stream, attempt: int, first_index: int) -> Piece:
        req = stream.req
        tokens = [
            answer_token(req.prompt, i) for i in range(first_index, stream.produced)
        ]
        return Piece(
            request=req.request,
            attempt=attempt,
            offset=first_index,
            tokens=tuple(tokens),
            finish="stop" if stream.done else "",
            prompt_tokens=count_tokens(req.prompt) if stream.done else 0,
            cached_tokens=stream.cached_tokens if stream.done else 0,
        )

    def _cancel(self, request: str):
        stream = self.streams.pop(request, None)
        if stream is not None:
            stream.cancelled = True
            stream.notify()
        return answer_json({"cancelled": stream is not None})

    def _handle_order(self):
        self._wait_while_frozen()
        order = msgspec.json.decode(bottle.request.body.read(), type=EngineOrder)
        if self._performance.checks_fencing and order.epoch < self._highest_epoch:
            return self._refuse(f"epoch {order.epoch} < {self._highest_epoch}", 409)
        self._highest_epoch = max(self._highest_epoch, order.epoch)
        match order.kind:
            case OrderKind.JOIN:
                self._join(order)
            case OrderKind.LOAD if not self.group:
                self._start_loading(order)
            case OrderKind.RELEASE if order.group == self.group:
                self.fail_streams()
                self.group, self.epoch, self.members = "", 0, ()
        return answer_json(self.report())

    def _join(self, order: EngineOrder) -> None:
        if (order.group, order.epoch) == (self.group, self.epoch):
            return
        self.fail_streams()
        self.group, self.epoch = order.group, order.epoch
        self.members = order.members
        self._warm_at = time.monotonic() + self._performance.cold_s
        self._start_loading(order)

    def _start_loading(self, order: EngineOrder) -> None:
        requested = f"{order.model}@{order.model_version}"
        self.ready = self._loaded == requested
        if not self.ready and self._loading != requested:
            self._loading = requested
            self._greenlets.append(gevent.spawn(self._load_weights, order, requested))

    def _load_weights(self, order: EngineOrder, requested: str) -> None:
        self._weights.load(order.model, order.model_version)
        if self._loading != requested:
            return
        self._loaded, self._loading = requested, ""
        self.ready = True
        self._warm_at = time.monotonic() + self._performance.cold_s

    def _step_forever(self) -> None:
        while True:
            if not self.streams:
                self._work.clear()
                self._work.wait()
            gevent.sleep(self._performance.step_s * self.slowdown)
            self._wait_while_frozen()
            self._drop_orphans()
            active = [item for item in self.streams.values() if not item.done]
            active.sort(key=lambda item: item.req.priority)
            for stream in active[: self._performance.batch]:
                stream.advance()

    def _drop_orphans(self) -> None:
        cutoff = time.monotonic() - self._performance.retain_s
        for request, stream in list(self.streams.items()):
            if stream.readers == 0 and stream.orphaned_at < cutoff:
                del self.streams[request]
