"""Gateways of several zones as processes of their own, killed and started again."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path

import gevent

from ..settings.gateway import Address
from .free_ports import find_port
from .gateway_client import call

ROOT = Path(__file__).parents[2]
START_S = 20.0

SETTINGS = """
node_name = "{name}"
zone = "{zone}"
bind_ip = "{ip}"
bootstrap = {bootstrap}
port_range = [{peers}, {peers}]
[zones]
{zones}
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.5
cpu_cores = 2
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_period_s = 8
retry_ratio = 0.2
budget_slack = {slack}
budget_window_s = 10
cold_over = 1.5
cold_slack = 5
stall_ms = 6000
pass_ms = 120
[provider]
address = "{store}"
ttl_min_ms = 1000
"""


class GatewayProcess:
    """A gateway that is started, killed or stopped, and started again.

    Attributes
    ----------
    front
        Address for callers, the same after each start.
    log
        File with the logs of all starts.
    """

    def __init__(
        self,
        folder: Path,
        store: str,
        zones: tuple[str, ...],
        number: int,
        slack: int,
        *,
        memory_mb: int = 300,
        max_fds: int = 4096,
    ):
        self.name = f"gw-{number}"
        self.front = Address("127.0.0.1", find_port())
        self.log = folder / f"{self.name}.log"
        self._path = folder / f"{self.name}.toml"
        self._process: subprocess.Popen | None = None
        run = os.getpid()
        self._fields = {
            "name": self.name,
            "zone": zones[number % len(zones)],
            "zones": "\n".join(f'{zone} = "r"' for zone in zones),
            # The port for metrics is fixed, so that each gateway has its own address.
            "ip": f"127.{100 + number}.{run // 250 % 250 + 1}.{run % 250 + 1}",
            "peers": find_port(),
            "front": self.front.port,
            "ready": find_port(),
            "store": store,
            "slack": slack,
            "memory_mb": memory_mb,
            "max_fds": max_fds,
        }

    def start(self, *, is_first: bool) -> None:
        """Start the process, for the first time or after it has ended."""
        fields = {**self._fields, "bootstrap": str(is_first).lower()}
        self._path.write_text(SETTINGS.format(**fields))
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "gevent.monkey",
                    "--module",
                    "waxwingpitch.gateway.main",
                ],
                cwd=ROOT,
                env={**os.environ, "WAXWINGPITCH_CONFIG": str(self._path)},
                stdout=output,
                stderr=output,
            )

    def wait_until_it_serves(self) -> None:
        deadline = time.monotonic() + START_S
        while time.monotonic() < deadline:
            try:
                if call(self.front, "/none/x", "probe").status == 404:
                    return
            except (OSError, IndexError):
                pass  # it does not listen yet
            gevent.sleep(0.05)
        raise AssertionError(f"{self.name} does not serve: {self.log.read_text()}")

    @property
    def pid(self) -> int:
        return self._process.pid

    def kill(self) -> None:
        """End the process at once, if it runs."""
        self._process.kill()
        self._process.wait(10)

    def stop(self) -> None:
        """Stop the process as planned."""
        self._process.terminate()
        self._process.wait(20)
