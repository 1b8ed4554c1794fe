"""Stand-in of a plain service that counts its side effects.

``POST /marks/<name>`` has a side effect each time it runs; ``GET /marks/<name>``
reads the count, so that a test can detect a duplicate effect.
"""

from __future__ import annotations

import time
import uuid
from collections import Counter

import bottle
import gevent
import msgspec

from ..ports import TargetReport, Warmth
from ..ports.http import RAN_HEADER, REPORT_HEADER
from .server import StandInServer, answer_json


class PlainStandIn:
    """In-memory plain service.

    Parameters
    ----------
    host
        Id of the host.
    effects
        Number of side effects by name, shared between the instances of a service.
    delay_s
        Duration of a call, in seconds.
    cold_s
        Time after the start until the service is warm, in seconds.
    """

    def __init__(
        self,
        host: str,
        port: int = 0,
        *,
        effects: Counter[str] | None = None,
        delay_s: float = 0.0,
        cold_s: float = 0.0,
    ):
        self.host = host
        self.effects = effects if effects is not None else Counter()
        self.delay_s = delay_s
        self.running = 0
        self.peak_running = 0
        self._incarnation = uuid.uuid4().hex
        self._warm_at = time.monotonic() + cold_s
        self._leaving = False
        app = bottle.Bottle()
        app.route("/v1/status", "GET", lambda: answer_json(self.report()))
        app.route("/admin/leave", "POST", self._leave)
        app.route("/admin/effects", "GET", lambda: answer_json(dict(self.effects)))
        app.route("/marks/<name>", ["GET", "POST"], self._mark)
        app.route("/<path:path>", ["GET", "POST", "PUT"], self._echo)
        self.server = StandInServer(app, port)

    def start(self) -> None:
        """Start serving."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def leave(self) -> None:
        """Start leaving; new calls are refused as not run."""
        self._leaving = True

    def report(self) -> TargetReport:
        """Return the status of the service."""
        warm = time.monotonic() >= self._warm_at
        return TargetReport(
            host=self.host,
            incarnation=self._incarnation,
            warmth=Warmth.WARM if warm else Warmth.COLD,
            leaving=self._leaving,
            load=self.running,
        )

    def _leave(self):
        self.leave()
        return answer_json(self.report())

    def _mark(self, name: str):
        if self._leaving:
            return self._answer_with_report("leaving", 503, **{RAN_HEADER: "no"})
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            if bottle.request.method == "POST":
                self.effects[name] += 1
            gevent.sleep(self.delay_s)
        finally:
            self.running -= 1
        body = msgspec.json.encode({"name": name, "count": self.effects[name]})
        return self._answer_with_report(body, 200)

    def _echo(self, path: str):
        body = {"path": path, "query": bottle.request.query_string}
        return self._answer_with_report(msgspec.json.encode(body), 200)

    def _answer_with_report(self, body, status: int, **headers):
        report = msgspec.json.encode(self.report()).decode()
        headers = {"Content-Type": "application/json", REPORT_HEADER: report, **headers}
        return bottle.HTTPResponse(body, status=status, headers=headers)
