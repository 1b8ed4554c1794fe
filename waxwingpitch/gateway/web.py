"""HTTP endpoints for readiness checks, metrics and the dump of the process's state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import bottle
import msgspec

from ..http_server import HttpServer
from ..platform import READY_PATH
from ..settings.gateway import Address
from ..telemetry import render_metrics


class GatewayWeb:
    """Serves readiness on one address, metrics and dump on another.

    Parameters
    ----------
    ready
        Address for the load balancer's readiness checks.
    metrics
        Address for metric scrapers and operators.
    find_unready_reason
        Returns why the process accepts no requests, or None if it does.
    dump
        Returns the process's state.
    """

    def __init__(
        self,
        ready: Address,
        metrics: Address,
        find_unready_reason: Callable[[], str | None],
        dump: Callable[[], Any],
    ):
        self._find_unready_reason = find_unready_reason
        self._dump = dump
        balancer = bottle.Bottle()
        balancer.route(READY_PATH, "GET", self._get_ready)
        internal = bottle.Bottle()
        internal.route("/metrics", "GET", self._get_metrics)
        internal.route("/dump", "GET", self._get_dump)
        self._servers = [
            HttpServer(ready.host, ready.port, balancer),
            HttpServer(metrics.host, metrics.port, internal),
        ]

    def start(self) -> None:
        """Start both servers."""
        for server in self._servers:
            server.start()

    def stop(self) -> None:
        """Close the listening sockets."""
        for server in self._servers:
            server.stop(timeout=0)

    def _get_ready(self):
        reason = self._find_unready_reason()
        if reason is None:
            return bottle.HTTPResponse("ready\n", 200)
        return bottle.HTTPResponse(f"{reason}\n", 503)

    def _get_metrics(self):
        return bottle.HTTPResponse(
            render_metrics(), 200, {"Content-Type": "text/plain"}
        )

    def _get_dump(self):
        return bottle.HTTPResponse(
            msgspec.json.encode(self._dump(), enc_hook=str),
            200,
            {"Content-Type": "application/json"},
        )
