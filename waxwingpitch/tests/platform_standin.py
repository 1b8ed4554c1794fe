"""Stand-in for the users' platform: store, model targets and plain targets.

Implements the platform's protocol over HTTP on loopback, with fault injection.
"""

from __future__ import annotations

import _socket
import base64
import json
import os
import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import gevent
from gevent.server import StreamServer

from ..configuration.routes import ModelSpec
from ..groups.orders_to_targets import Close, Join, Leave, Open, Stage
from ..http_server import HttpServer
from ..targets.records import MemberState
from .endless_source import send_without_end
from .fleet_fake import PAIR, QUAD, SPEC, FleetFake, InvariantViolatedError

MODEL_SERVICE = "pool"
PLAIN_SERVICE = "plain"
TICK_S = 0.02
# Time from the head of an answer to the crash that its request causes, in seconds.
CRASH_DELAY_S = 0.03
# Time after which a crashed target accepts connections and is listed again, in seconds.
RESTART_S = 1.0
# Time for which a silent call is not answered, in seconds.
SILENCE_S = 60.0


class StoreFake:
    """The platform's metadata store.

    Attributes
    ----------
    compacted_revision
        Revision up to which the history has been discarded.
    down
        Whether every call is answered with 503.
    lose_answers
        Number of next writes that are applied but not answered.
    calls
        Number of calls by path.
    era
        Number of times that it was restored from a copy.
    silent_before
        Watches that began before this monotonic time are never answered.
    """

    def __init__(self):
        self.silent_before = 0.0
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 10
        self.compacted_revision = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.down = False
        self.lose_answers = 0
        self.calls: Counter[str] = Counter()
        self.era = 0
        self._changed = gevent.event.Event()
        self.server = HttpServer("127.0.0.1", 0, self._answer)
        self.server.start()
        self._lease_expirer = gevent.spawn(self._expire_leases)

    @property
    def address(self) -> str:
        return self.server.address_text

    def stop(self) -> None:
        self._lease_expirer.kill()
        self.server.stop(timeout=0)

    def write(self, key: str, value, lease: int = 0) -> None:
        """Write a key, as operators and targets do."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._append_event(item)

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def forget_history(self) -> None:
        """Discard the history, so that watches from earlier revisions get 410."""
        self.compacted_revision = self.revision
        self._notify_watchers()

    def take_copy(self) -> tuple:
        """Return a copy of the present state, for :meth:`restore`."""
        return dict(self.items), dict(self.leases), list(self.history), self.revision

    def restore(self, copy: tuple) -> None:
        """Come back from an older copy, with a new era."""
        items, leases, history, self.revision = copy
        self.items, self.leases, self.history = dict(items), dict(leases), list(history)
        self.era += 1
        self._notify_watchers()

    def _append_event(self, event: dict) -> None:
        self.history.append(event)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = gevent.event.Event()

    def _expire_leases(self) -> None:
        while True:
            gevent.sleep(0.1)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until < now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def _answer(self, environ, start_response):
        path = environ["PATH_INFO"].removeprefix("/waxwingpitch/")
        self.calls[path.partition("/")[0]] += 1
        headers = [("Store-Era", str(self.era))] if self.era else []
        if self.down:
            start_response("503 Service Unavailable", headers)
            return [b""]
        query = dict(
            part.split("=", 1)
            for part in environ["QUERY_STRING"].split("&")
            if "=" in part
        )
        query = {key: _unquote(value) for key, value in query.items()}
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length) or b"null")
        status, answer = self._handle(path, query, body)
        if path.startswith("kv-txn") and self.lose_answers:
            self.lose_answers -= 1
            environ["waxwingpitch.socket"].close()
            return [b""]
        headers = [("Content-Type", "application/json")]
        if self.era:
            headers.append(("Store-Era", str(self.era)))
        start_response(f"{status} S", headers)
        return [json.dumps(answer).encode()]

    def _handle(self, path, query, body):
        match path.split("/"):
            case ["kv-key"]:
                item = self.items.get(query["key"])
                return (404, {}) if item is None else (200, item)
            case ["kv-range"]:
                return self._list(query)
            case ["kv-watch"]:
                return self._watch(query)
            case ["kv-txn"]:
                return self._transact(body)
            case ["kv-lease"]:
                self.revision += 1
                ttl_s = body["ttl_ms"] / 1000
                self.leases[self.revision] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"lease": self.revision, "ttl_ms": body["ttl_ms"]}
            case ["kv-keep", lease]:
                if int(lease) not in self.leases:
                    return 404, {}
                ttl_s = self.leases[int(lease)][1]
                self.leases[int(lease)] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"ttl_ms": ttl_s * 1000}
            case ["kv-lease-end", lease]:
                self._end_lease(int(lease))
                return 200, {}
        return 404, {}

    def _list(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["path_prefix"]) and key > query.get("after", "")
        )
        page = [self.items[key] for key in keys[:50]]
        more = len(keys) > 50
        return 200, {"items": page, "has_more": more, "at": self.revision}

    def _watch(self, query):
        after = int(query["after"])
        began_at = time.monotonic()
        until = began_at + int(query["wait_ms"]) / 1000
        while True:
            if began_at < self.silent_before:
                gevent.sleep(SILENCE_S)
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            matching = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(query["path_prefix"])
            ]
            left_s = until - time.monotonic()
            if matching or left_s <= 0 or self.down:
                return 200, {"events": matching, "at": self.revision}
            self._changed.wait(min(left_s, 0.2))

    def _transact(self, body):
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for put in body["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for put in body["puts"]:
            self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body["delete"]:
            self.remove(key)
        return 200, {"revision": self.revision}


@dataclass
class TargetFaults:
    """Faults injected into a target.

    Attributes
    ----------
    cut_after
        Number of the event after which it cuts the next stream; None for no cut.
    refuse
        Number of next requests that it refuses as not run.
    foreign
        Number of next answers before which it sends another request's answer.
    reset
        Number of next requests that it runs and whose connection it then resets.
    hang
        Whether it stops answering.
    silent_before
        Connections accepted before this monotonic time get no more answers.
    pause_until
        Monotonic time until which streams are paused.
    script
        Called in place of answering plain calls, with the socket and the request's
        id.
    is_early
        Whether the script is called before the body is read.
    first_s
        Delay of the first event, in seconds, by request id.
    is_unframed
        Whether streams have neither a length nor chunks, and end with their connection.
    endless
        Bytes of which the next stream consists without end; empty for none.
    """

    cut_after: int | None = None
    refuse: int = 0
    foreign: int = 0
    reset: int = 0
    hang: bool = False
    silent_before: float = 0.0
    pause_until: float = 0.0
    first_s: dict[str, float] = field(default_factory=dict)
    script: Callable[[socket.socket, str], None] | None = None
    is_early: bool = False
    is_unframed: bool = False
    endless: bytes = b""


@dataclass
class TargetServer:
    """One target's listening socket, its connections and its injected faults."""

    id: str
    server: StreamServer
    faults: TargetFaults = field(default_factory=TargetFaults)
    connections: set[socket.socket] = field(default_factory=set)
    started_ms: int = 1000

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.address[1]}"


class PlatformFake:
    """Store, model targets in one domain, and plain targets.

    Attributes
    ----------
    models
        Models that the model service serves.
    runs
        Number of runs by request id.
    ran_on
        Target that last ran a streaming request, by request id.
    request_headers
        Headers of each request that ran, by request id.
    disconnected
        Requests whose connection was closed while they ran.
    event_s
        Time between two events of a stream, in seconds.
    plain_s
        Time that a plain call takes, in seconds.
    frozen
        Targets that can't reach the store, so that their entries are stale.
    bodies
        Body of each request that was read, by request id.
    refused_orders
        Number of orders that were refused.
    expected_counts
        Count that each order expected its target to have begun; None if it named none.
    misdirected
        Number of requests sent to targets that head no open group, by target.
    crashing_parts
        Ids of prompt parts; a model target crashes once it answers a request with one.
    crashed_at
        Monotonic time of each crash.
    sends
        Monotonic time and id of each streaming request that reached the head of an open
        group.
    invariant_violations
        Messages of refused orders that violate an invariant of groups, such as one
        that takes a target from a serving group.
    """

    def __init__(
        self,
        *,
        size: int = 10,
        plain: int = 2,
        event_s: float = 0.02,
        models: tuple[ModelSpec, ...] = (QUAD, PAIR),
    ):
        self.models = models
        self.store = StoreFake()
        self.fleet = FleetFake(domains=1, size=size)
        self.runs: Counter[str] = Counter()
        self.ran_on: dict[str, str] = {}
        self.stream_scripts: list[Callable[[socket.socket, str], None]] = []
        self.request_headers: dict[str, dict[str, str]] = {}
        self.disconnected: list[str] = []
        self.event_s = event_s
        self.plain_s = 0.02
        self.targets: dict[str, TargetServer] = {}
        self._orders: Counter[str] = Counter()
        self._published: dict[str, bytes] = {}
        self._writes: Counter[str] = Counter()
        self.frozen: set[str] = set()
        self.invariant_violations: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self.refused_orders = 0
        self.expected_counts: list[int | None] = []
        self.misdirected: Counter[str] = Counter()
        self.crashing_parts: set[str] = set()
        self.crashed_at: list[float] = []
        self.sends: list[tuple[float, str]] = []
        for target in self.fleet.targets:
            self._listen(target)
        self.plain = [f"p-{number}" for number in range(plain)]
        for target in self.plain:
            self._listen(target)
            self.publish_plain(target)
        self.version = 1
        self.routes: list[dict] = []
        self._last_tick = time.monotonic()
        self._ticker = gevent.spawn(self._tick_forever)

    def stop(self) -> None:
        self._ticker.kill()
        self.store.stop()
        for target in self.targets.values():
            target.server.stop(timeout=0)

    def kill(self, target: str) -> None:
        """Stop a target from answering, permanently; its entry expires later."""
        self.fleet.kill(target)
        self.targets[target].faults.hang = True

    def crash(self, target: str) -> None:
        """End a model target; its host starts it again after ``RESTART_S``."""
        server = self.targets[target]
        self.fleet.kill(target)
        self.crashed_at.append(time.monotonic())
        server.server.stop(timeout=0)
        for sock in list(server.connections):
            _shut_down(sock)
        gevent.spawn_later(RESTART_S, self._restart, target)

    def _restart(self, target: str) -> None:
        """Start a crashed target, which knows nothing of before."""
        server = self.targets[target]
        server.started_ms += 1
        self._orders[target] = 0
        self.fleet.restart(target)
        server.server = self._start_server(target, server.server.address)

    def freeze(self, target: str, state: MemberState | None) -> None:
        """Cut a target off from the store and leave a stale entry of it there.

        Parameters
        ----------
        state
            State in its group that the entry shows; None to show it in no group.
        """
        record = self.fleet.targets[target].record
        self.frozen.add(target)
        place = None if state is None else replace(record.membership, state=state)
        self._publish(target, replace(record, membership=place))

    def find_group(self, model: str) -> list[str]:
        """Return the members of an open group, the head first."""
        for item in self.fleet.targets.values():
            place = item.record.membership
            if (
                place is not None
                and place.rank == 0
                and place.state is MemberState.OPEN
                and item.record.model == model
            ):
                return list(item.members)
        raise AssertionError(f"no open group of {model}")

    def publish_plain(self, target: str, state: str = "ready") -> None:
        """Write a plain target's entry."""
        self._writes[target] += 1
        entry = {
            "service": PLAIN_SERVICE,
            "address": self.targets[target].address,
            "zone": "z",
            "version": "v1",
            "capacity": 6,
            "state": state,
            "seq": self._writes[target],
            "cold_left_ms": 0,
            "born": self.targets[target].started_ms,
        }
        self.store.write(f"servers/{target}", entry)

    def configure(self, *, keys=("key-1",), drop=(), limits=(), **route) -> None:
        """Write a new configuration."""
        self.version += 3
        common = {"host": "h.example", "timeout_ms": 4000, "priority": 1}
        stream = {
            **common,
            "kind": "stream",
            "target_latency_ms": 300,
            "service": MODEL_SERVICE,
            "max_attempts": 2,
            "resumable": True,
            "sticky": True,
            "gap_aim_ms": 200,
        }
        routes = [
            {**stream, "name": "chat", "path_prefix": "/chat/"},
            {
                **common,
                "name": "file",
                "path_prefix": "/file/",
                "kind": "non_idempotent",
                "service": PLAIN_SERVICE,
                "max_attempts": 1,
                "target_latency_ms": 300,
            },
            {
                **common,
                "name": "read",
                "path_prefix": "/read/",
                "kind": "idempotent",
                "service": PLAIN_SERVICE,
                "max_attempts": 2,
                "target_latency_ms": 300,
            },
        ]
        config = {
            "version": self.version,
            "routes": [
                {**item, **route} for item in routes if item["name"] not in drop
            ],
            "services": [
                {
                    "name": MODEL_SERVICE,
                    "health_path": "/health",
                    "max_conns": 300,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": 3.0,
                    "cold_per_s": 26.0,
                    "engine": _encode_engine(self.models),
                },
                {
                    "name": PLAIN_SERVICE,
                    "health_path": "/health",
                    "max_conns": 100,
                    "protocol": "h1",
                    "tls": False,
                },
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 65536,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                **dict(limits),
            },
            "tenants": [{"name": "w1", "api_keys": list(keys), "priority": 1}],
        }
        self.store.write("op/config", config)

    def _listen(self, target: str) -> None:
        server = self._start_server(target, ("127.0.0.1", 0))
        self.targets[target] = TargetServer(target, server)

    def _start_server(self, target: str, address: tuple[str, int]) -> StreamServer:
        server = StreamServer(
            address, lambda sock, _: self._serve_connection(target, sock)
        )
        server.start()
        return server

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            now = time.monotonic()
            self.fleet.advance(now - self._last_tick)
            self._last_tick = now
            for target, item in self.fleet.targets.items():
                if item.alive and target not in self.frozen:
                    self._publish(target, item.record)

    def _publish(self, target: str, record) -> None:
        entry = {
            "service": MODEL_SERVICE,
            "address": self.targets[target].address,
            "zone": "z",
            "version": "v1",
            "capacity": record.capacity,
            "state": "draining" if record.leaving else "ready",
            "cold_left_ms": 0,
            "born": self.targets[target].started_ms,
            "stage": "colocated",
            "fault_domain": record.domain,
            **_encode_weights(record),
        }
        data = json.dumps(entry).encode()
        if self._published.get(target) != data:
            self._published[target] = data
            self._writes[target] += 1
            entry["seq"] = self._writes[target]
            self.store.write(f"servers/{target}", entry)

    def write_again(self) -> None:
        """Let the targets write their entries again, after the store was restored."""
        self._published.clear()
        for target in self.plain:
            self.publish_plain(target)

    def _serve_connection(self, target: str, sock) -> None:
        reader = sock.makefile("rb")
        accepted_at = time.monotonic()
        connections = self.targets[target].connections
        connections.add(sock)
        try:
            while (line := reader.readline()).strip():
                method, path, _ = line.decode().split()
                headers = {}
                while (line := reader.readline()).strip():
                    name, _, value = line.decode().partition(":")
                    headers[name.lower()] = value.strip()
                faults = self.targets[target].faults
                if faults.is_early:
                    faults.script(sock, headers.get("attempt-id", ""))
                    gevent.sleep(0.1)
                body = reader.read(int(headers.get("content-length", 0)))
                self.bodies[headers.get("attempt-id", "")] = body
                if faults.is_early:
                    continue
                while faults.hang or accepted_at < faults.silent_before:
                    gevent.sleep(0.05)
                self._answer(target, sock, method, path, headers, body)
        except OSError:
            return
        finally:
            connections.discard(sock)
            sock.close()

    def _answer(self, target, sock, method, path, headers, body) -> None:
        request = headers.get("attempt-id", "")
        faults = self.targets[target].faults
        if headers.get("expect-instance", target) != target:
            _send(sock, 421, {"Instance-Id": target, "Attempt-Id": request})
        elif path == "/waxwingpitch/report":
            report = {"seq": self._orders[target]}
            if target in self.fleet.targets:
                report |= _encode_weights(self.fleet.targets[target].record)
            _send(sock, 200, {}, json.dumps(report).encode())
        elif path == "/waxwingpitch/order":
            self._handle_order(target, sock, json.loads(body))
        elif faults.refuse:
            faults.refuse -= 1
            _send(sock, 503, {"Not-Executed": "1", "Attempt-Id": request})
        elif target in self.plain:
            self._serve_plain(target, sock, request, headers)
        else:
            self._serve_stream(target, sock, request, headers)

    def _handle_order(self, target, sock, body) -> None:
        self.expected_counts.append(body.get("expected"))
        if body.get("expected", self._orders[target]) != self._orders[target]:
            self.refused_orders += 1
            _send(sock, 409, {})
        elif self._apply_order(target, body):
            self._orders[target] += 1
            _send(sock, 200 if body["operation"] == "leave" else 202, {})
        else:
            self.refused_orders += 1
            _send(sock, 409, {})

    def _apply_order(self, target: str, body: dict) -> bool:
        try:
            return self.fleet.carry_out(target, _decode_order(body))
        except InvariantViolatedError as exc:
            self.invariant_violations.append(str(exc))
            return False

    def _record_run(self, request, headers) -> None:
        self.runs[request] += 1
        self.request_headers[request] = headers

    def _serve_plain(self, target, sock, request, headers) -> None:
        faults = self.targets[target].faults
        self._record_run(request, headers)
        gevent.sleep(self.plain_s)
        if faults.script is not None:
            faults.script(sock, request)
            return
        if faults.reset:
            faults.reset -= 1
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            raise OSError("reset")
        if faults.foreign:
            faults.foreign -= 1
            _send(sock, 200, _seal(target, "another"), b"another's answer")
        _send(sock, 200, _seal(target, request), f"answer to {request}".encode())

    def _serve_stream(self, target, sock, request, headers) -> None:
        item = self.fleet.targets[target]
        place = item.record.membership
        if place is None or place.rank != 0 or place.state is not MemberState.OPEN:
            self.misdirected[target] += 1
            _send(sock, 421, {"Not-Executed": "1", "Attempt-Id": request})
            return
        members = item.members
        self.sends.append((time.monotonic(), request))
        self._record_run(request, headers)
        self.ran_on[request] = target
        count = int(headers["token-counts"].partition(",")[2]) // 5
        start = int(headers.get("last-event-id", 0)) + 1
        faults = self.targets[target].faults
        if self.stream_scripts:
            self.stream_scripts.pop(0)(sock, request)
            raise OSError("closed by the script")
        endless, faults.endless = faults.endless, b""
        is_unframed = faults.is_unframed or bool(endless)
        stream = _StreamWriter(sock, is_unframed=is_unframed)
        stream.begin(_seal(target, request))
        if endless:
            send_without_end(_socket.socket(fileno=os.dup(sock.fileno())), endless)
            raise OSError("a thread goes on")
        if self.crashing_parts & _read_parts(headers):
            gevent.sleep(CRASH_DELAY_S)
            if item.alive:
                self.crash(target)
            raise OSError("crashed")
        gevent.sleep(faults.first_s.get(request, 0.0))
        for number in range(start, count + 1):
            gevent.sleep(self.event_s)
            while time.monotonic() < faults.pause_until:
                gevent.sleep(0.02)
            while not all(self.fleet.targets[name].alive for name in members):
                gevent.sleep(0.05)
            if faults.cut_after is not None and number > faults.cut_after:
                faults.cut_after = None
                stream.cut_event()
                raise OSError("cut")
            try:
                stream.send(f"id: {number}\ndata: token {number}\n\n".encode())
            except OSError:
                self.disconnected.append(request)
                raise
        stream.end()


class _StreamWriter:
    """Writes a stream in chunks, or without any framing."""

    def __init__(self, sock: socket.socket, *, is_unframed: bool):
        self._sock = sock
        self._is_unframed = is_unframed

    def begin(self, headers: dict[str, str]) -> None:
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{key}: {value}" for key, value in headers.items()]
        if not self._is_unframed:
            lines.append("Transfer-Encoding: chunked")
        self._sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")

    def send(self, data: bytes) -> None:
        if not self._is_unframed:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._sock.sendall(data)

    def cut_event(self) -> None:
        """Send the beginning of an event, after which the connection is closed."""
        self._sock.sendall(b"id: 9\n" if self._is_unframed else b"5\r\nid: 9\r\n")

    def end(self) -> None:
        if self._is_unframed:
            raise OSError("the stream ends with its connection")
        self._sock.sendall(b"0\r\n\r\n")


def _read_parts(headers: dict[str, str]) -> set[str]:
    """Return the ids of a request's prompt parts."""
    entries = headers.get("prompt-prefix", "").split(",")
    return {entry.partition(":")[0] for entry in entries}


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def _seal(target: str, request: str) -> dict[str, str]:
    return {"Attempt-Id": request, "Response-Seal": f"seal.{target}"}


def _send(sock, status: int, headers: dict, body: bytes = b"") -> None:
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}"]
    lines += [f"{key}: {value}" for key, value in headers.items()]
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def _encode_weights(record) -> dict:
    place = record.membership
    return {
        "models": [{"name": record.model}] if record.model else [],
        "staged": list(record.staged),
        "group": None if place is None else _encode_membership(place),
    }


def _encode_membership(membership) -> dict:
    return {
        "name": membership.group,
        "epoch": membership.epoch,
        "rank": membership.rank,
        "state": membership.state.value,
    }


def _encode_engine(models: tuple[ModelSpec, ...]) -> dict:
    return {
        "capacity": SPEC.capacity,
        "step_ms": 7.8,
        "per_seq_ms": 0.2,
        "read_per_s": SPEC.prefill_tokens_per_s,
        "stride": SPEC.steps_per_pass,
        "chunk": SPEC.prefill_chunk_tokens,
        "loads_per_s": SPEC.loads_per_s,
        "loads_at_once": SPEC.max_concurrent_loads,
        "form_ms": SPEC.open_s * 1000,
        "usual": {"prompt": 979, "answer": 154},
        "models": [
            {
                "name": model.name,
                "size": model.size,
                "share": model.share,
                "pace": model.pace,
                "load_s": model.load_s,
                "warm_s": model.staged_s,
            }
            for model in models
        ],
    }


def _decode_order(body: dict):
    match body["operation"]:
        case "join":
            return Join(
                body["group"], body["epoch"], body["model"], tuple(body["members"])
            )
        case "open":
            return Open(body["group"], body["epoch"])
        case "close":
            return Close(body["group"], body["epoch"], body["mode"] == "preempt")
        case "leave":
            return Leave(body["group"], body["epoch"])
        case "stage":
            return Stage(body["model"])


def _unquote(text: str) -> str:
    return text.replace("%2F", "/").replace("%3A", ":")
