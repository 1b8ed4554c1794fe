"""Platform on which one part of prompts crashes workers that begin to answer it."""

from __future__ import annotations

import json
import sys
import time

import gevent

from review.lib.platform_base import Standin, serve
from waxwingpitch.targets.records import MemberState
from waxwingpitch.tests import platform_standin
from waxwingpitch.tests.fleet_fake import PAIR
from waxwingpitch.tests.platform_standin import (
    CRASH_DELAY_S,
    _read_parts,
    _seal,
    _StreamWriter,
)

# Time for which a worker reads a prompt, in seconds.
PREFILL_S = 0.3

# Time after which a crashed worker is back: "some seconds".
platform_standin.RESTART_S = 3.0


class Platform(Standin):
    """Workers that crash soon after they have begun to write an answer.

    Parameters
    ----------
    has_output
        Whether the first event of such an answer is on its way then.
    """

    def __init__(self, *, has_output: bool, **options):
        self.has_output = has_output
        self.arrivals: list[tuple[float, str]] = []
        super().__init__(models=(PAIR,), **options)

    def _serve_stream(self, target, sock, request, headers):
        """Read the prompt, and write the answer unless the worker has crashed."""
        item = self.fleet.targets[target]
        place = item.record.membership
        if place is None or place.rank != 0 or place.state is not MemberState.OPEN:
            super()._serve_stream(target, sock, request, headers)  # 421
            return
        self.arrivals.append((time.monotonic(), request))
        gevent.sleep(PREFILL_S)
        if not item.alive:
            raise OSError("crashed")
        if self.has_output and self.crashing_parts & _read_parts(headers):
            self._write_and_crash(target, sock, request, headers)
        super()._serve_stream(target, sock, request, headers)

    def _write_and_crash(self, target, sock, request, headers):
        """Write the next event, and crash a moment later."""
        self._record_run(request, headers)
        stream = _StreamWriter(sock, is_unframed=False)
        stream.begin(_seal(target, request))
        number = int(headers.get("last-event-id", 0)) + 1
        stream.send(f"id: {number}\ndata: token {number}\n\n".encode())
        gevent.sleep(CRASH_DELAY_S)
        if self.fleet.targets[target].alive:
            self.crash(target)
        raise OSError("crashed")

    def do_crashing_part(self, part: str):
        """Let a part of prompts crash the workers from now on."""
        self.crashing_parts.add(part)

    def do_crashes(self):
        return self.crashed_at

    def do_arrivals(self):
        return self.arrivals

    def do_heads(self):
        """Return the heads of the open groups."""
        return sorted(
            target
            for target, item in self.fleet.targets.items()
            if item.record.membership is not None
            and item.record.membership.rank == 0
            and item.record.membership.state is MemberState.OPEN
        )


platform = Platform(event_s=0.03, **json.loads(sys.argv[1]))
platform.set_routes(
    chat={"timeout_ms": 6000, "target_latency_ms": 500, "gap_aim_ms": 300}
)
serve(platform)
