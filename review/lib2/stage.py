"""A small deployment on loopback: gateways as processes, a store, plain workers.

The gateways are started with the command of deploy/system.toml. The store is the
project's own stand-in (waxwingpitch/tests/platform_standin.py).
"""

from __future__ import annotations

import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import gevent
from gevent.server import StreamServer

ROOT = Path(__file__).resolve().parents[2]
START_S = 25.0
HOST = "h.example"
KEY = "key-1"

SETTINGS = """
node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
bind_ip = "{ip}"
zone = "{zone}"
region = "r"
port_range = [{first_port}, {last_port}]
seed_nodes = []
bootstrap = {bootstrap}
discovery = "platform"
ingress = "virtual_ip"
heartbeat_ms = 1200
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catchup_s = 4
drain_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
budget_window_s = 10
budget_slack = 107
cold_over = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 6000
require_fencing = false
ceiling_window_s = 5
ceiling_over = 1.1
[provider]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRunError(Exception):
    """The deployment did not come up, so that the case says nothing."""


def find_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free at an address now, below the ephemeral ones."""
    chooser = random.SystemRandom()
    found: list[int] = []
    while len(found) < count:
        port = chooser.randrange(12000, 30000)
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


def find_port_pair(ip: str) -> int:
    """Return the first of two neighbouring free ports."""
    while True:
        (port,) = find_ports(ip, 1)
        with socket.socket() as sock:
            try:
                sock.bind((ip, port + 1))
            except OSError:
                continue
        return port


class Record:
    """Lines of record.txt, with the time since the start of the case."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        at = time.monotonic() - self._started_at
        self._file.write(f"{at:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


@dataclass
class Worker:
    """A plain worker: some slots, a queue, and what it says of itself.

    Attributes
    ----------
    limit
        Requests a second that it names in its answers; None for none.
    arrivals
        Time and id of each request that reached it.
    """

    id: str
    record: Record
    slots: int = 6
    queue: int = 24
    work_s: float = 0.09
    limit: float | None = None
    service: str = "plain"
    zone: str = "z"
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    extra: Callable[[str], dict[str, str]] = lambda request: {}

    def __post_init__(self):
        self._taken = self._waiting = self._writes = 0
        self._server = StreamServer(("127.0.0.1", 0), lambda sock, _: self._serve(sock))
        self._server.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.address[1]}"

    def describe(self, state: str = "ready") -> dict:
        """Return the entry that the worker writes into the store."""
        self._writes += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": state,
            "seq": self._writes,
            "cold_left_ms": 0,
            "born": 1000,
        }

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, sock) -> None:
        reader = sock.makefile("rb")
        try:
            while (line := reader.readline()).strip():
                path = line.split()[1].decode()
                headers = {}
                while (line := reader.readline()).strip():
                    name, _, value = line.decode("latin-1").partition(":")
                    headers[name.lower()] = value.strip()
                reader.read(int(headers.get("content-length", 0)))
                self._answer(sock, path, headers)
        except OSError:
            return
        finally:
            reader.close()
            sock.close()

    def _answer(self, sock, path: str, headers: dict[str, str]) -> None:
        request = headers.get("attempt-id", "")
        said = {"Attempt-Id": request} if request else {}
        if self.limit is not None:
            said["Server-Limit"] = f"{self.limit}"
        if path == "/health":
            sock.sendall(format_answer(200, {"Instance-Id": self.id}))
            return
        if path.startswith("/waxwingpitch/"):
            sock.sendall(format_answer(200, said, b'{"seq": 0, "queued": 0}'))
            return
        if headers.get("expect-instance", self.id) != self.id:
            sock.sendall(format_answer(421, said))
            return
        self.arrivals.append((time.monotonic(), request))
        self.record.write(f"worker {self.id} gets {request}")
        deadline = time.monotonic() + float(headers["deadline-ms"]) / 1000
        if self._waiting >= self.queue:
            sock.sendall(format_answer(503, {**said, "Not-Executed": "1"}))
            return
        self._waiting += 1
        while self._taken >= self.slots and time.monotonic() < deadline:
            gevent.sleep(0.002)
        self._waiting -= 1
        if time.monotonic() >= deadline:
            sock.sendall(format_answer(503, {**said, "Not-Executed": "1"}))
            return
        self._taken += 1
        self.record.write(f"worker {self.id} runs {request}")
        try:
            gevent.sleep(self.work_s)
        finally:
            self._taken -= 1
        said |= {"Response-Seal": f"seal.{self.id}", **self.extra(request)}
        sock.sendall(format_answer(200, said, f"answer to {request}".encode()))


def format_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a complete answer."""
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}"]
    lines += [f"{key}: {value}" for key, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Gateway:
    """One gateway as a process, which is started again under its name."""

    def __init__(
        self,
        stage: Stage,
        number: int,
        zone: str,
        memory_mb: int,
        max_fds: int,
    ):
        self._stage = stage
        self.name = f"front-{zone}-{number}"
        run = os.getpid()
        # Each machine has an address, as the port for metrics is fixed.
        self.ip = f"127.{60 + number}.{run // 250 % 250 + 1}.{run % 250 + 1}"
        front, ready = find_ports(self.ip, 2)
        pair = find_port_pair(self.ip)
        self.front = (self.ip, front)
        self._ready = (self.ip, ready)
        self._fields = {
            "name": self.name,
            "ip": self.ip,
            "zone": zone,
            "zones": "\n".join(f'{item} = "r"' for item in stage.zones),
            "first_port": pair,
            "last_port": pair + 1,
            "front": front,
            "ready": ready,
            "memory_mb": memory_mb,
            "max_fds": max_fds,
            "store": stage.store.address,
        }
        self._path = stage.folder / f"{self.name}.toml"
        self.log = stage.folder / f"{self.name}.log"
        self._process: subprocess.Popen | None = None

    def start(self, *, is_first: bool) -> None:
        """Start the process with the command of the deploy file."""
        fields = {**self._fields, "bootstrap": str(is_first).lower()}
        self._path.write_text(SETTINGS.format(**fields))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        env = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        env["WAXWINGPITCH_CONFIG"] = str(self._path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=output, stderr=output
            )
        self._stage.record.write(f"{self.name} starts, process {self._process.pid}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._stage.record.write(f"{self.name} gets {number.name}")
        self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        self._process.wait(10)

    @property
    def has_ended(self) -> bool:
        return self._process is None or self._process.poll() is not None

    @property
    def pid(self) -> int:
        return self._process.pid

    def is_ready(self) -> bool:
        """Ask whether the machine counts as ready, as the platform does."""
        try:
            with socket.create_connection(self._ready, 1.0) as sock:
                sock.settimeout(1.0)
                sock.sendall(
                    b"GET /waxwingpitch/ready HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                return sock.recv(64).split()[1] == b"200"
        except (OSError, IndexError):
            return False

    def end(self) -> None:
        """End the process for good."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait(10)


class Stage:
    """Gateways, store and workers of one case."""

    def __init__(
        self,
        folder: Path,
        store,
        *,
        zones: tuple[str, ...] = ("z",),
        machines: int = 3,
        memory_mb: int = 300,
        max_fds: int = 4100,
    ):
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = store
        self.zones = zones
        self.gateways = [
            Gateway(self, number, zones[number % len(zones)], memory_mb, max_fds)
            for number in range(machines)
        ]

    def start(self) -> None:
        """Start all machines together, for the first time, and wait until all serve."""
        for gateway in self.gateways:
            gateway.start(is_first=True)
        self.await_ready(self.gateways)

    def await_ready(self, gateways, wait_s: float = START_S) -> None:
        """Wait until machines say that they are ready."""
        deadline = time.monotonic() + wait_s
        for gateway in gateways:
            while not gateway.is_ready():
                if time.monotonic() > deadline or gateway.has_ended:
                    tail = gateway.log.read_text()[-2000:]
                    raise CannotRunError(f"{gateway.name} is not ready: {tail}")
                gevent.sleep(0.1)
        self.record.write("ready: " + ", ".join(item.name for item in gateways))

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for gateway in self.gateways:
            gateway.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def build_request(
    path: str,
    request: str,
    *,
    method: str = "POST",
    body: bytes = b"{}",
    deadline_ms: int = 4000,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {request}",
        f"Authorization: Bearer {KEY}",
        f"Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def call(
    stage: Stage, gateway: Gateway, path: str, request: str, **options
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection; return status 0 if there is no answer."""
    deadline_ms = options.get("deadline_ms", 4000)
    stage.record.write(f"client sends {request} to {gateway.name}")
    answer = (0, {}, b"")
    try:
        with socket.create_connection(gateway.front, 1.0) as sock:
            sock.settimeout(deadline_ms / 1000)
            sock.sendall(build_request(path, request, **options))
            answer = read_answer(sock)
    except OSError as exc:
        stage.record.write(f"client: {request}: {exc!r}")
    stage.record.write(f"client gets {answer[0]} for {request}")
    return answer


def read_answer(sock: socket.socket) -> tuple[int, dict[str, str], bytes]:
    """Read one answer; status 0 if the connection ends before it is complete."""
    with sock.makefile("rb") as reader:
        line = reader.readline()
        if not line:
            return 0, {}, b""
        status = int(line.split()[1])
        headers = {}
        while (line := reader.readline()).strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding") != "chunked":
            length = int(headers.get("content-length", 0))
            body = reader.read(length)
            return (status, headers, body) if len(body) == length else (0, {}, body)
        body = b""
        while True:
            size = reader.readline().strip()
            if not size:
                return 0, headers, body
            data = reader.read(int(size, 16) + 2)
            if int(size, 16) == 0:
                return status, headers, body
            body += data[:-2]


def build_configuration(version: int, *, services=(), routes=()) -> dict:
    """Return an operator's configuration with two routes to plain workers."""
    common = {
        "host": HOST,
        "timeout_ms": 4000,
        "priority": 1,
        "service": "plain",
        "target_latency_ms": 300,
    }
    return {
        "version": version,
        "routes": [
            {
                **common,
                "name": "file",
                "path_prefix": "/file/",
                "kind": "non_idempotent",
                "max_attempts": 1,
            },
            {
                **common,
                "name": "read",
                "path_prefix": "/read/",
                "kind": "idempotent",
                "max_attempts": 2,
            },
            *routes,
        ],
        "services": [
            {
                "name": "plain",
                "health_path": "/health",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            },
            *services,
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "w1", "api_keys": [KEY], "priority": 1}],
    }
