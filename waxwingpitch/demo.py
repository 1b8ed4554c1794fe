"""Demonstration: stand-ins and an entry daemon in one process."""

from __future__ import annotations

import time
from collections import Counter

import gevent
import msgspec
import uuid6

from .configuration import ConfigurationBuilder, render_configuration, submit
from .entry import EntryDaemon
from .errors import WaxwingpitchError
from .ports import Host, HttpKeyValueStore
from .ports.http import HttpClient
from .settings import EntrySettings, HttpSettings, MeshSettings, PlatformSettings
from .standins import (
    EngineFleet,
    EnginePerformance,
    HostListStandIn,
    PlainStandIn,
    StoreStandIn,
)
from .telemetry import set_up_logging

ZONES = ("dar-a", "dar-b")
HOSTS_PER_ZONE = 4
TOKEN = "demo-workspace-token"
OPERATOR_TOKEN = "demo-operator-token"
READY_TIMEOUT_S = 20.0
LESSON_PROMPT = "Eleza sehemu rahisi kwa darasa la tano"


class Demo:
    """Stand-ins for all external systems, and one entry daemon.

    Parameters
    ----------
    port
        TCP port of the entry daemon; 0 takes a free one.
    """

    def __init__(self, port: int = 0):
        set_up_logging("warning")
        self.effects: Counter[str] = Counter()
        self.store = StoreStandIn()
        self.fleets: list[EngineFleet] = []
        self.services: list[PlainStandIn] = []
        self.hosts = HostListStandIn()
        self._port = port
        self.daemon: EntryDaemon | None = None

    def start(self) -> None:
        """Start everything and submit a configuration."""
        self.store.start()
        self.hosts.start()
        self.hosts.set_hosts([*self._start_engines(), *self._start_services()])
        self._submit()
        self.daemon = EntryDaemon(self._build_settings())
        self.daemon.start()
        self._wait_until_ready()

    def stop(self) -> None:
        """Drain the entry daemon and stop the stand-ins."""
        if self.daemon is not None:
            self.daemon.stop()
        for component in (*self.fleets, *self.services, self.hosts, self.store):
            component.stop()

    def describe(self) -> dict[str, str]:
        """Return the URLs, tokens and names that callers and operators need."""
        return {
            "URL": self.url,
            "TOKEN": TOKEN,
            "OPERATOR_TOKEN": OPERATOR_TOKEN,
            "STORE": self.store.server.url,
            "MODEL": "lesson",
            "SERVICE": "attendance",
        }

    @property
    def url(self) -> str:
        """Base URL of the entry daemon."""
        return f"http://{self.daemon.view.me.http}"

    def show(self) -> bool:
        """Send sample requests, print the answers, and return whether all are right."""
        print(
            "== configuration",
            render_configuration(self._build_configuration()),
            sep="\n",
        )
        client = HttpClient(self.url)
        text = self._show_lesson(client)
        counts = [self._show_mark(client, key) for key in [str(uuid6.uuid7())] * 2]
        state_shown = self._show_state(client)
        took_effect_once = self.effects["asha"] == 1 and counts == [1, 1]
        print(f"== attendance mark sent twice, took effect {self.effects['asha']} time")
        return bool(text) and took_effect_once and state_shown

    def _start_engines(self) -> list[Host]:
        hosts = []
        for zone in ZONES:
            fleet = EngineFleet(EnginePerformance())
            self.fleets.append(fleet)
            for number in range(HOSTS_PER_ZONE):
                engine = fleet.add_host(f"{zone}-engine-{number}")
                domain = f"{zone}-fabric"
                hosts.append(Host(engine.host, engine.address, "lesson", zone, domain))
        return hosts

    def _start_services(self) -> list[Host]:
        service = PlainStandIn("dar-a-attendance-0", effects=self.effects)
        service.start()
        self.services.append(service)
        address = service.server.address
        return [Host(service.host, address, "attendance", ZONES[0], "")]

    def _build_configuration(self):
        builder = ConfigurationBuilder()
        for zone in ZONES:
            builder.add_zone(zone, region="dar")
        builder.add_workspace("form-two", priority=0, share=2.0, tokens=[TOKEN])
        builder.add_workspace("homework", priority=1, tokens=["demo-homework-token"])
        builder.add_model_service(
            "lesson", pool="lesson", model="somo", hosts_per_replica=2
        )
        builder.add_plain_service("attendance", pool="attendance")
        return builder.build()

    def _submit(self) -> None:
        submit(HttpKeyValueStore(self.store.server.url), self._build_configuration())

    def _build_settings(self) -> EntrySettings:
        return EntrySettings(
            id="dar-a-entry-0",
            zone=ZONES[0],
            mesh=MeshSettings(key="demo-mesh-key-not-secret"),
            platform=PlatformSettings(self.store.server.url, self.hosts.server.url),
            operator_token=OPERATOR_TOKEN,
            http=HttpSettings(port=self._port),
        )

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        view = self.daemon.view
        while time.monotonic() < deadline:
            now = time.monotonic()
            if view.cfg.services and all(
                any(True for _ in view.directory.find_usable(service, now))
                for service in view.cfg.services
            ):
                return
            gevent.sleep(0.05)
        raise WaxwingpitchError(
            "the services of the demonstration had no usable targets "
            f"within {READY_TIMEOUT_S:.0f} s"
        )

    def _show_lesson(self, client: HttpClient) -> str:
        print("== lesson, streamed through a replica group")
        body = {
            "model": "lesson",
            "stream": True,
            "messages": [{"role": "user", "content": LESSON_PROMPT}],
            "max_tokens": 24,
        }
        resp = client.send(
            "POST",
            "/v1/chat/completions",
            timeout_s=30.0,
            body=msgspec.json.encode(body),
            headers={"Authorization": f"Bearer {TOKEN}"},
        )
        events = resp.data.decode().split("\n\n")
        is_complete = "data: [DONE]" in events
        texts = [_extract_text(event) for event in events]
        print("".join(texts))
        return "".join(texts) if is_complete else ""

    def _show_mark(self, client: HttpClient, key: str) -> int:
        headers = {"Authorization": f"Bearer {TOKEN}", "Idempotency-Key": key}
        path = "/v1/services/attendance/marks/asha"
        resp = client.send("POST", path, timeout_s=10.0, headers=headers)
        replayed = resp.headers.get("Idempotent-Replayed", "false")
        print(f"== attendance mark: {resp.data.decode()} replayed: {replayed}")
        return msgspec.json.decode(resp.data)["count"]

    def _show_state(self, client: HttpClient) -> bool:
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        resp = client.send("GET", "/operator/state", timeout_s=5.0, headers=headers)
        print("== state", msgspec.json.format(resp.data, indent=2).decode(), sep="\n")
        return resp.status == 200


def _extract_text(event: str) -> str:
    data = event.removeprefix("data: ")
    if not data.startswith("{"):
        return ""
    choices = msgspec.json.decode(data).get("choices", [])
    return "".join(choice["delta"].get("content", "") for choice in choices)
