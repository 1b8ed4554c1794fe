"""Stand-in of the platform's list of hosts."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Iterable
from dataclasses import replace

import bottle
import msgspec

from ..ports import Host, HostState
from .server import StandInServer, answer_json


class HostListStandIn:
    """In-memory host list whose changes become visible after a delay.

    Parameters
    ----------
    hosts
        Initial hosts.
    lag_s
        Delay until a change becomes visible, in seconds.
    """

    def __init__(self, hosts: Iterable[Host] = (), port: int = 0, *, lag_s: float = 0):
        self._hosts = {host.id: host for host in hosts}
        self._visible = tuple(self._hosts.values())
        self._pending: deque[tuple[float, tuple[Host, ...]]] = deque()
        self._lag_s = lag_s
        self._version = 1
        app = bottle.Bottle()
        app.route("/v1/hosts", "GET", self._get)
        app.route("/admin/hosts", "PUT", self._put)
        app.route("/admin/hosts/<host>/state", "PUT", self._put_state)
        app.route("/admin/hosts/<host>", "DELETE", self._delete)
        self.server = StandInServer(app, port)

    def start(self) -> None:
        """Start serving."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def set_hosts(self, hosts: Iterable[Host]) -> None:
        """Replace all hosts."""
        self._hosts = {host.id: host for host in hosts}
        self._schedule_update()

    def set_state(self, host: str, state: HostState) -> None:
        """Change the state of a host."""
        self._hosts[host] = replace(self._hosts[host], state=state)
        self._schedule_update()

    def remove(self, host: str) -> None:
        """Remove a host from the list."""
        self._hosts.pop(host, None)
        self._schedule_update()

    def _schedule_update(self) -> None:
        due_at = time.monotonic() + self._lag_s
        self._pending.append((due_at, tuple(self._hosts.values())))

    def _apply_pending(self) -> None:
        while self._pending and self._pending[0][0] <= time.monotonic():
            self._visible = self._pending.popleft()[1]
            self._version += 1

    def _get(self):
        self._apply_pending()
        tag = f'"{self._version}"'
        if bottle.request.headers.get("If-None-Match") == tag:
            return bottle.HTTPResponse(status=304)
        return answer_json(self._visible, ETag=tag)

    def _put(self):
        body = bottle.request.body.read()
        self.set_hosts(msgspec.json.decode(body, type=tuple[Host, ...]))
        return answer_json({"hosts": len(self._hosts)})

    def _put_state(self, host: str):
        self.set_state(host, HostState(bottle.request.body.read().decode()))
        return answer_json({"host": host})

    def _delete(self, host: str):
        self.remove(host)
        return answer_json({"host": host})
