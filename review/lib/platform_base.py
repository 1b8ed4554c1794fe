"""The project's stand-in of the platform as a process that takes commands on stdin.

A case's ``platform.py`` defines a subclass of :class:`Standin` and calls :func:`serve`.
"""

from __future__ import annotations

import base64
import json
import sys
import time

import gevent
from gevent.fileobject import FileObject

from waxwingpitch.tests.platform_standin import PlatformFake


class Standin(PlatformFake):
    """Keeps the time, the worker and the id of each run."""

    def __init__(self, **options):
        self.run_list: list[tuple[float, str, str]] = []
        super().__init__(**options)

    def _serve_plain(self, target, sock, request, headers):
        self.run_list.append((time.monotonic(), target, request))
        super()._serve_plain(target, sock, request, headers)

    def set_routes(self, **by_name: dict) -> None:
        """Write a configuration with other fields of some routes."""
        self.configure()
        item = self.store.items["op/config"]
        config = json.loads(base64.b64decode(item["value"]))
        for route in config["routes"]:
            route |= by_name.get(route["name"], {})
        self.version += 1
        config["version"] = self.version
        self.store.write("op/config", config)

    def do_address(self):
        return self.store.address

    def do_runs(self):
        return self.run_list

    def do_plain_s(self, seconds: float):
        self.plain_s = seconds


def serve(standin: Standin) -> None:
    """Carry out commands until standard input ends."""
    commands = FileObject(sys.stdin.fileno(), "r", closefd=False)
    try:
        for line in commands:
            values = json.loads(line)
            result = getattr(standin, "do_" + values.pop("command"))(**values)
            sys.stdout.write(json.dumps(result) + "\n")
            sys.stdout.flush()
            gevent.sleep(0)
    finally:
        standin.stop()
