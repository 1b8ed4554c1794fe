"""Stand-in of the rate-limited weight store."""

from __future__ import annotations

import bottle
import gevent

from ..ports import WeightStore
from .server import StandInServer

DEFAULT_LOADS = 4
DEFAULT_LOAD_S = 0.2


class WeightStoreStandIn(WeightStore):
    """Shares a limited rate between the hosts that load weights.

    It can be used in the process, or over HTTP once it is started.

    Parameters
    ----------
    load_s
        Time that one load takes alone, in seconds.
    loads
        Loads that run at full speed at once; more wait in turn.
    port
        TCP port; 0 takes a free one.
    """

    def __init__(
        self, load_s: float = DEFAULT_LOAD_S, loads: int = DEFAULT_LOADS, port: int = 0
    ):
        self._load_s = load_s
        self._slots = gevent.lock.BoundedSemaphore(loads)
        self.loaded = 0
        app = bottle.Bottle()
        app.route("/v1/weights/<model>/<version>", "GET", self._get)
        self.server = StandInServer(app, port)

    def start(self) -> None:
        """Serve over HTTP."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def load(self, model: str, version: str) -> None:
        with self._slots:
            gevent.sleep(self._load_s)
        self.loaded += 1

    def _get(self, model: str, version: str):
        self.load(model, version)
        return bottle.HTTPResponse(f"{model}@{version}")
