"""Stand-in of the rate-limited weight store."""

from __future__ import annotations

import bottle
import gevent

from ..ports import WeightStore
from .server import StandInServer

DEFAULT_CONCURRENT_LOADS = 4
DEFAULT_LOAD_S = 0.2


class WeightStoreStandIn(WeightStore):
    """Weight store that limits the number of concurrent loads.

    It can be called within the process, or over HTTP after it was started.

    Parameters
    ----------
    load_s
        Duration of one load, in seconds.
    max_concurrent_loads
        Number of loads that run at the same time; further ones wait in a queue.
    port
        TCP port; 0 takes a free one.
    """

    def __init__(
        self,
        load_s: float = DEFAULT_LOAD_S,
        max_concurrent_loads: int = DEFAULT_CONCURRENT_LOADS,
        port: int = 0,
    ):
        self._load_s = load_s
        self._slots = gevent.lock.BoundedSemaphore(max_concurrent_loads)
        self.completed_loads = 0
        app = bottle.Bottle()
        app.route("/v1/weights/<model>/<version>", "GET", self._get)
        self.server = StandInServer(app, port)

    def start(self) -> None:
        """Start serving over HTTP."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def load(self, model: str, version: str) -> None:
        with self._slots:
            gevent.sleep(self._load_s)
        self.completed_loads += 1

    def _get(self, model: str, version: str):
        self.load(model, version)
        return bottle.HTTPResponse(f"{model}@{version}")
