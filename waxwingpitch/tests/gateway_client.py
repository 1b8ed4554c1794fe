"""HTTP caller on plain sockets, gateways within the test process, and waiting."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass

import gevent

from ..gateway import GatewayDaemon
from ..settings.gateway import Address, GatewaySettings, OperatingBounds
from .free_ports import find_port

# Time after which a condition of a test counts as not met.
WAIT_S = 15.0

BOUNDS = OperatingBounds(
    contact_s=3.0,
    leaving_s=2.0,
    stop_s=8.0,
    retry_ratio=0.2,
    retry_slack=100.0,
    retry_window_s=10.0,
    cold_factor=1.5,
    cold_slack=5.0,
    stall_s=6.0,
    pass_s=0.12,
)


def build_settings(store: str, name: str = "gw-1", zone: str = "z") -> GatewaySettings:
    """Return settings with free ports on loopback."""

    def pick() -> Address:
        return Address("127.0.0.1", find_port())

    return GatewaySettings(
        name=name,
        zone=zone,
        zones=(zone,),
        front=pick(),
        ready=pick(),
        peers=pick(),
        relay=pick(),
        store=Address.parse(store),
        metrics=pick(),
        bounds=BOUNDS,
        min_lease_s=1.0,
        processor_share=1.0,
        link_mbps=1000.0,
        memory_mb=300.0,
        max_fds=4096,
        is_first_start=True,
    )


def start_gateway(store: str, name: str = "gw-1", **parts) -> GatewayDaemon:
    """Start a gateway within the test process."""
    daemon = GatewayDaemon(build_settings(store, name), **parts)
    daemon.start()
    return daemon


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """An answer as the caller received it.

    Attributes
    ----------
    is_complete
        Whether the body has the length or the last chunk that its framing requires.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    @property
    def events(self) -> list[int]:
        """Ids of the stream events, in the order of arrival."""
        return [
            int(line.removeprefix("id: "))
            for line in self.body.decode().splitlines()
            if line.startswith("id: ")
        ]


class Caller:
    """One connection to a gateway."""

    def __init__(self, address: Address, timeout_s: float = 10.0):
        self.sock = socket.create_connection((address.host, address.port), timeout_s)
        self._file = self.sock.makefile("rb")

    def close(self) -> None:
        self._file.close()
        self.sock.close()

    def send(
        self,
        path: str,
        request: str,
        *,
        method: str = "POST",
        body: bytes = b"{}",
        key: str = "key-1",
        deadline_ms: int = 4000,
        **headers: str,
    ) -> None:
        """Send a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: h.example",
            f"Attempt-Id: {request}",
            f"Authorization: Bearer {key}",
            f"Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
        ]
        lines += [
            f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
        ]
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def send_chat(self, request: str, *, model: str, events: int, **headers) -> None:
        """Send a request for a stream of a number of events."""
        self.send(
            "/chat/x",
            request,
            Model=model,
            Token_Counts=f"100,{events * 5}",
            Prompt_Prefix="aa:100",
            **headers,
        )

    def read(self) -> CallerAnswer:
        """Read one answer."""
        status = int(self._file.readline().split()[1])
        headers = {}
        while (line := self._file.readline()).strip():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            body, is_complete = self._read_chunks()
        else:
            length = int(headers["content-length"])
            body = self._file.read(length)
            is_complete = len(body) == length
        return CallerAnswer(status, headers, body, is_complete)

    def _read_chunks(self) -> tuple[bytes, bool]:
        parts = []
        while True:
            try:
                line = self._file.readline()
                if not line.strip():
                    return b"".join(parts), False
                size = int(line, 16)
                data = self._file.read(size + 2)
            except OSError:
                return b"".join(parts), False
            if size == 0:
                return b"".join(parts), True
            parts.append(data[:-2])


def call(address: Address, path: str, request: str, **options) -> CallerAnswer:
    """Send one call over a new connection and return its answer."""
    caller = Caller(address)
    try:
        caller.send(path, request, **options)
        return caller.read()
    finally:
        caller.close()


def chat(address: Address, request: str, **options) -> CallerAnswer:
    """Request one stream over a new connection and return its answer."""
    caller = Caller(address)
    try:
        caller.send_chat(request, **options)
        return caller.read()
    finally:
        caller.close()


def wait_for(check, wait_s: float = WAIT_S):
    """Poll a check until it is true and return its value."""
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        found = check()
        if found:
            return found
        gevent.sleep(0.02)
    raise AssertionError(f"condition not met within {wait_s} s")


def count_replicas(daemon: GatewayDaemon, model: str) -> int:
    """Return the number of replicas of a model that a gateway sends requests to."""
    return len(daemon.view.find_replicas("pool", model))


class RefusingStoreClient:
    """A store client whose calls all get 503."""

    status = 503
    headers: dict[str, str] = {}

    def send(self, *args, **kwargs):
        gevent.sleep(0.01)
        return self
