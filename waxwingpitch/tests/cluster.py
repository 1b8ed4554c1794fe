"""Cluster of real entry processes and stand-ins of the platform and its targets.

Fault-injecting proxies stand between them.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path

import gevent
import msgspec
import urllib3
import uuid6

from ..configuration import Configuration, ConfigurationBuilder, submit
from ..ports import Host, HttpKeyValueStore
from ..standins import (
    EngineFleet,
    EnginePerformance,
    HostListStandIn,
    PlainStandIn,
    StoreStandIn,
    WeightStoreStandIn,
)
from .fault_proxy import FaultProxy

TOKEN = "test-workspace-token"
LOW_PRIORITY_TOKEN = "test-low-token"
OPERATOR_TOKEN = "test-operator-token"
MESH_KEY = "test-mesh-key-0123456789"
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 60.0


def wait_until(check: Callable[[], object], timeout_s: float = READY_TIMEOUT_S):
    """Poll a check and return its first true result.

    Raises
    ------
    AssertionError
        The check returned no true result within the time limit.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        gevent.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"check {check} returned no true result within {timeout_s} s")


class EntryProcess:
    """One entry daemon in a separate process.

    Attributes
    ----------
    store_proxy
        Proxy through which the process reaches the key-value service.
    mesh_proxy
        Proxy through which peers reach the process.
    """

    def __init__(self, cluster: Cluster, entry_id: str, zone: str):
        self.id = entry_id
        self.zone = zone
        self.store_proxy = FaultProxy(cluster.store.server.address)
        self.mesh_proxy = FaultProxy()
        self.url = ""
        self.log_path = cluster.directory / f"{entry_id}.log"
        self._settings_path = cluster.directory / f"{entry_id}.jsonc"
        self._cluster = cluster
        self._process: subprocess.Popen | None = None
        self._http = urllib3.PoolManager(maxsize=256)

    def start(self, *, seeds: Sequence[str] = ()) -> None:
        """Start the process and wait until it accepts connections."""
        settings = {
            "id": self.id,
            "zone": self.zone,
            "mesh": {
                "key": MESH_KEY,
                "advertise": self.mesh_proxy.address,
                "seeds": list(seeds),
            },
            "platform": {
                "store": self.store_proxy.url,
                "hosts": self._cluster.hosts.server.url,
            },
            "operator_token": OPERATOR_TOKEN,
            "http": {"port": 0},
            "drain_timeout_s": self._cluster.drain_timeout_s,
            "log_level": "info",
        }
        self._settings_path.write_text("// Test.\n" + json.dumps(settings))
        self.log_path.write_text("")
        command = [sys.executable, "-m", "waxwingpitch", "entry", "--settings"]
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [*command, str(self._settings_path)], stderr=log, stdout=log
            )
        started = wait_until(lambda: self.find_log("entry daemon started"))
        self.url = f"http://{started['http']}"
        self.mesh_proxy.upstream = started["mesh"]

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def send_signal(self, number: int) -> None:
        """Send the process a signal."""
        self._process.send_signal(number)

    def wait(self, timeout_s: float = 30.0) -> int:
        """Wait until the process exits and return its exit code."""
        return self._process.wait(timeout=timeout_s)

    def kill(self) -> None:
        """Kill the process if it is running, even if it is stopped by a signal."""
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def iter_log(self):
        """Yield the structured log lines, decoded."""
        for line in self.log_path.read_text().splitlines():
            if line.startswith("{"):
                yield json.loads(line)

    def find_log(self, message: str):
        """Return the first log line with a message."""
        return next((x for x in self.iter_log() if x["message"] == message), None)

    def request(self, method: str, path: str, *, token: str = TOKEN, **kwargs):
        """Send an HTTP request without retries."""
        headers = {"Authorization": f"Bearer {token}", **kwargs.pop("headers", {})}
        kwargs.setdefault("timeout", CALL_TIMEOUT_S)
        return self._http.request(
            method, self.url + path, headers=headers, retries=False, **kwargs
        )

    def chat(self, prompt: str, *, stream: bool = False, **kwargs):
        """Send a chat request."""
        body = {
            "model": kwargs.pop("model", "lesson"),
            "stream": stream,
            "messages": [{"role": "user", "content": prompt}],
        }
        if "max_tokens" in kwargs:
            body["max_tokens"] = kwargs.pop("max_tokens")
        return self.request(
            "POST", "/v1/chat/completions", body=msgspec.json.encode(body), **kwargs
        )

    def mark(self, name: str, key: str | None = None, **kwargs):
        """Record an attendance mark."""
        headers = {"Idempotency-Key": key or str(uuid6.uuid7())}
        headers.update(kwargs.pop("headers", {}))
        path = f"/v1/services/attendance/marks/{name}"
        return self.request("POST", path, headers=headers, **kwargs)

    def dump(self) -> dict:
        """Return the state dump."""
        return self.request("GET", "/operator/state", token=OPERATOR_TOKEN).json()

    def usable(self, service: str = "lesson") -> list[dict]:
        """Return the usable targets of a service."""
        return self.dump()["services"].get(service, {}).get("usable", [])


class Cluster:
    """Zones of engines, plain services and entry daemons.

    Parameters
    ----------
    zones
        Names of the zones, which are all in one region.
    engines, entries
        Number of engine hosts and of entry daemons in each zone.
    hosts_per_replica
        Number of hosts in each replica group.
    performance
        Performance and limits of the engines.
    load_s
        Time to load weights, in seconds.
    services
        Number of hosts of the plain service, spread over the zones.
    service_delay_s
        Time that the plain service takes to answer, in seconds.
    drain_timeout_s
        Time that entry daemons wait for requests in progress when they stop.
    service_options
        Further options of the model service.
    """

    def __init__(
        self,
        *,
        zones: Sequence[str] = ("dar-a",),
        engines: int = 2,
        entries: int = 1,
        hosts_per_replica: int = 1,
        services: int = 1,
        performance: EnginePerformance = EnginePerformance(cold_s=0.2),
        load_s: float = 0.1,
        service_delay_s: float = 0.0,
        drain_timeout_s: float = 600.0,
        **service_options,
    ):
        self._tmp = tempfile.TemporaryDirectory(prefix="waxwingpitch-")
        self.directory = Path(self._tmp.name)
        self.effects: Counter[str] = Counter()
        self.store = StoreStandIn()
        self.hosts = HostListStandIn()
        self.zones = tuple(zones)
        self.fleets = {
            zone: EngineFleet(performance, WeightStoreStandIn(load_s)) for zone in zones
        }
        self.services: list[PlainStandIn] = []
        self._engine_count = engines
        self._service_count = services
        self._service_delay_s = service_delay_s
        self.drain_timeout_s = drain_timeout_s
        self._entry_count = entries
        self._hosts_per_replica = hosts_per_replica
        self._service_options = service_options
        self.entries: list[EntryProcess] = []
        self.proxies: dict[str, FaultProxy] = {}

    def __enter__(self) -> Cluster:
        try:
            self._start()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *exc_info) -> None:
        for entry in self.entries:
            entry.kill()
            entry.store_proxy.stop()
            entry.mesh_proxy.stop()
        for part in (*self.fleets.values(), *self.services, self.hosts, self.store):
            part.stop()
        for proxy in self.proxies.values():
            proxy.stop()
        self._tmp.cleanup()

    def _start(self) -> None:
        self.store.start()
        self.hosts.start()
        self.hosts.set_hosts([*self._start_engines(), *self._start_services()])
        self.submit(self.build_configuration())
        for zone in self.zones:
            for number in range(self._entry_count):
                self.add_entry(f"{zone}-entry-{number}", zone)

    def add_entry(self, entry_id: str, zone: str, **kwargs) -> EntryProcess:
        """Start another entry daemon."""
        entry = EntryProcess(self, entry_id, zone)
        self.entries.append(entry)
        entry.start(**kwargs)
        return entry

    def _start_engines(self) -> list[Host]:
        hosts = []
        for zone, fleet in self.fleets.items():
            for number in range(self._engine_count):
                engine = fleet.add_host(f"{zone}-engine-{number}")
                hosts.append(
                    Host(engine.host, engine.address, "lesson", zone, f"{zone}-fabric")
                )
        return hosts

    def _start_services(self) -> list[Host]:
        hosts = []
        for number in range(self._service_count):
            zone = self.zones[number % len(self.zones)]
            service = PlainStandIn(
                f"{zone}-attendance-{number}",
                effects=self.effects,
                delay_s=self._service_delay_s,
            )
            service.start()
            self.services.append(service)
            proxy = FaultProxy(service.server.address)
            self.proxies[service.host] = proxy
            hosts.append(Host(service.host, proxy.address, "attendance", zone, ""))
        return hosts

    def build_configuration(self) -> Configuration:
        """Return the initial configuration."""
        builder = ConfigurationBuilder()
        for zone in self.zones:
            builder.add_zone(zone, region="dar")
        builder.add_workspace("form-two", priority=0, tokens=[TOKEN])
        builder.add_workspace("homework", priority=5, tokens=[LOW_PRIORITY_TOKEN])
        builder.add_model_service(
            "lesson",
            pool="lesson",
            model="somo",
            hosts_per_replica=self._hosts_per_replica,
            **self._service_options,
        )
        builder.add_plain_service("attendance", pool="attendance")
        return builder.build()

    @property
    def client(self) -> HttpKeyValueStore:
        """Client of the key-value service that does not go through a proxy."""
        return HttpKeyValueStore(self.store.server.url)

    def submit(self, cfg: Configuration):
        """Submit a configuration."""
        return submit(self.client, cfg)

    def engines(self, zone: str) -> list:
        """Return the engine hosts of a zone."""
        return list(self.fleets[zone].hosts.values())

    def wait_usable(
        self, count: int, *, service: str = "lesson", timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until each entry daemon has at least so many usable targets."""
        for entry in self.entries:
            wait_until(lambda: len(entry.usable(service)) >= count, timeout_s)
