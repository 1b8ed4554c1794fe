"""Starts gateways and a stand-in of the platform, and records what is seen.

Used by the scripts of the cases. Needs the standard library only.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]
METRICS_PORT = 9464
START_S = 30.0
# Time after which a case gives up.
MAX_S = 115
HELD, BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = """
node_name = "front-{zone}-{number}"
role = "gateway"
machine_class = "front"
serves = ["front"]
bind_ip = "{ip}"
zone = "{zone}"
region = "r"
port_range = [{first_port}, {last_port}]
seed_nodes = []
bootstrap = true
heartbeat_ms = 1200
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_period_s = 8
config_ms = 2000
retry_ratio = 0.2
budget_window_s = 10
budget_slack = 103
cold_over = 1.5
cold_slack = 5
stall_ms = 6000
pass_ms = 120
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
    """The case could not be set up."""


def find_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def find_ip() -> str:
    """Return a loopback address whose port for metrics is free."""
    start = os.getpid()
    for step in range(500):
        number = start * 7 + step
        high, low = divmod(number, 250)
        ip = f"127.{100 + high // 250 % 100}.{high % 250 + 1}.{low + 1}"
        if ip in _taken:
            continue
        try:
            with socket.socket() as sock:
                sock.bind((ip, METRICS_PORT))
        except OSError:
            continue
        _taken.add(ip)
        return ip
    raise CannotRunError("no free loopback address")


_taken: set[str] = set()


def read_command() -> list[str]:
    """Return the command of the deploy file's role."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["gateway"]["run"].split()


def build_environment(**more: str) -> dict[str, str]:
    kept = {
        key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
    }
    return {**kept, "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}", **more}


class Record:
    """Lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        now = time.monotonic() if at is None else at
        with self._lock:
            self._file.write(f"{now - self.started_at:8.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


class Gateway:
    """One gateway process on a loopback address of its own."""

    def __init__(self, folder: Path, number: int, store: str, zone: str, zones):
        self.name = f"front-{zone}-{number}"
        self.ip = find_ip()
        ports = [find_port(self.ip) for _ in range(3)]
        first = find_port(self.ip)
        self.front, self.ready = ports[0], ports[1]
        self._path = folder / f"{self.name}.toml"
        self._path.write_text(
            SETTINGS.format(
                number=number,
                ip=self.ip,
                zone=zone,
                zones="\n".join(f'{item} = "r"' for item in zones),
                first_port=min(first, 65000),
                last_port=min(first, 65000) + 1,
                front=self.front,
                ready=self.ready,
                store=store,
            )
        )
        self._log = (folder / f"{self.name}.log").open("ab")
        self.log_path = folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        self.process = subprocess.Popen(
            read_command(),
            cwd=ROOT,
            env=build_environment(WAXWINGPITCH_CONFIG=str(self._path)),
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def kill(self, sign: int = signal.SIGKILL) -> None:
        self.process.send_signal(sign)
        if sign == signal.SIGKILL:
            self.process.wait(10)

    def is_ready(self, timeout_s: float = 0.9) -> bool:
        try:
            with socket.create_connection((self.ip, self.ready), timeout_s) as sock:
                sock.sendall(b"GET /waxwingpitch/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)


class Platform:
    """The stand-in of the platform: a process that takes one JSON command a line."""

    def __init__(self, script: Path, **options):
        self._process = subprocess.Popen(
            ["python3", "-m", "gevent.monkey", str(script), json.dumps(options)],
            cwd=ROOT,
            env=build_environment(),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._lock = threading.Lock()
        self.store = self.ask("address")

    def ask(self, command: str, **values):
        """Send a command and return its result."""
        with self._lock:
            self._process.stdin.write(json.dumps({"command": command, **values}) + "\n")
            self._process.stdin.flush()
            line = self._process.stdout.readline()
        if not line:
            raise CannotRunError("the stand-in of the platform ended")
        return json.loads(line)

    def stop(self) -> None:
        self._process.kill()
        self._process.wait(10)


@dataclass
class Answer:
    """What a client saw of one request; status 0 if its connection ended without one.

    Attributes
    ----------
    sent_at, answered_at
        Monotonic times; ``answered_at`` is 0 if there was no final answer in time.
    """

    request: str
    gateway: str
    sent_at: float
    status: int = 0
    answered_at: float = 0.0
    headers: dict | None = None
    body: bytes = b""
    is_complete: bool = False
    reason: str = ""

    @property
    def events(self) -> list[int]:
        lines = self.body.decode("latin-1").splitlines()
        return [int(line[3:]) for line in lines if line.startswith("id:")]


def call(
    gateway: Gateway,
    path: str,
    request: str,
    *,
    method: str = "POST",
    body: bytes = b"{}",
    key: str = "key-1",
    deadline_ms: int = 4000,
    connect_s: float = 1.0,
    **headers: str,
) -> Answer:
    """Send one request over a new connection, and wait for its answer."""
    answer = Answer(request, gateway.name, time.monotonic())
    until = answer.sent_at + deadline_ms / 1000
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        f"Attempt-Id: {request}",
        f"Authorization: Bearer {key}",
        f"Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    try:
        with socket.create_connection((gateway.ip, gateway.front), connect_s) as sock:
            sock.sendall(data)
            _read_answer(sock, answer, until)
    except OSError as exc:
        answer.reason = f"{type(exc).__name__}: {exc}"
    except ValueError as exc:
        answer.reason = str(exc)
    return answer


def stream(
    gateway: Gateway,
    request: str,
    *,
    model: str,
    events: int,
    prompt_tokens: int = 100,
    **options,
) -> Answer:
    """Request a stream of a number of events."""
    options.setdefault("Prompt_Prefix", f"aa:40,{request}:60")
    return call(
        gateway,
        "/chat/x",
        request,
        Model=model,
        Token_Counts=f"{prompt_tokens},{events * 5}",
        **options,
    )


def _read_answer(sock: socket.socket, answer: Answer, until: float) -> None:
    data = b""

    def _more() -> bool:
        nonlocal data
        left_s = until - time.monotonic()
        if left_s <= 0:
            raise ValueError("deadline")
        sock.settimeout(left_s)
        part = sock.recv(65536)
        data += part
        return bool(part)

    while b"\r\n\r\n" not in data:
        if not _more():
            raise ValueError("closed without an answer")
    head, _, data = data.partition(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    answer.status = int(first.split()[1])
    answer.headers = {
        line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in rest
    }
    if answer.headers.get("transfer-encoding") == "chunked":
        body = []
        while True:
            while b"\r\n" not in data:
                if not _more():
                    answer.body = b"".join(body)
                    raise ValueError("closed early")
            line, _, data = data.partition(b"\r\n")
            size = int(line, 16)
            while len(data) < size + 2:
                if not _more():
                    answer.body = b"".join(body)
                    raise ValueError("closed early")
            body.append(data[:size])
            data = data[size + 2 :]
            answer.body = b"".join(body) if size == 0 else b""
            if size == 0:
                break
    else:
        length = int(answer.headers["content-length"])
        while len(data) < length:
            if not _more():
                raise ValueError("closed early")
        answer.body = data[:length]
    answer.is_complete = True
    answer.answered_at = time.monotonic()


def wait_until(check, wait_s: float, what: str):
    """Poll a check until it is true; the case can't run if it never is."""
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        found = check()
        if found:
            return found
        time.sleep(0.05)
    raise CannotRunError(f"{what} not within {wait_s} s")


class Deployment:
    """A platform stand-in, and gateways before it that serve.

    Parameters
    ----------
    zones
        Zone of each gateway.
    """

    def __init__(self, script: str, zones=("z",), **options):
        self.folder = Path(script).resolve().parent
        self.record = Record(self.folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.scratch = Path(self._temporary.name)
        self._script = self.folder / "platform.py"
        self._options, self._zones = options, zones
        self.gateways: list[Gateway] = []
        self.platform: Platform | None = None

    def __enter__(self):
        try:
            self.platform = Platform(self._script, **self._options)
            all_zones = list(dict.fromkeys(self._zones))
            for number, zone in enumerate(self._zones, 1):
                gateway = Gateway(
                    self.scratch, number, self.platform.store, zone, all_zones
                )
                gateway.start()
                self.gateways.append(gateway)
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *exc) -> None:
        for gateway in self.gateways:
            gateway.stop()
        if self.platform is not None:
            self.platform.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for gateway in self.gateways:
                Path(keep, gateway.log_path.name).write_bytes(
                    gateway.log_path.read_bytes()
                )
        self._temporary.cleanup()
        self.record.close()

    def wait_until_ready(self) -> None:
        for gateway in self.gateways:
            wait_until(gateway.is_ready, START_S, f"{gateway.name} ready")

    def note(self, answer: Answer) -> None:
        took = answer.answered_at - answer.sent_at if answer.answered_at else 0.0
        self.record.write(
            f"sent {answer.request} to {answer.gateway}: status {answer.status} "
            f"{'complete' if answer.is_complete else answer.reason} took {took:.3f}",
            answer.sent_at,
        )


def _give_up(number: int, frame) -> None:
    raise CannotRunError(f"ended by signal {number}")


def run(main) -> None:
    """Run a case's main function, which returns an exit status."""
    signal.signal(signal.SIGTERM, _give_up)
    signal.signal(signal.SIGALRM, _give_up)
    signal.alarm(MAX_S)
    try:
        status = main()
    except Exception as exc:  # only a verdict of the case may end it with BROKEN
        print(f"could not run: {exc!r}")
        status = NOT_RUN
    sys.exit(status)
