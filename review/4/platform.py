"""Platform whose store loses the answers of writes, and carries them out later."""

from __future__ import annotations

import json
import sys
import time

import gevent

from review.lib.platform_base import Standin, serve
from waxwingpitch.targets.records import MemberState
from waxwingpitch.tests.fleet_fake import PAIR

SILENT_S = 30.0
# Time for which answers are lost, and the largest number of them: one of the three or
# four writes with which two gateways start.
LOSING_S = 4.5
MAX_LOST = 1


class Platform(Standin):
    def __init__(self, **options):
        self.late_s = 0.0
        self.losing_until = 0.0
        self.lost = 0
        self.writes: list[tuple[float, str]] = []
        super().__init__(models=(PAIR,), **options)
        self._transact = self.store._transact
        self.store._transact = self._transact_late

    def _note(self, body, text):
        keys = [put["key"] for put in body["puts"]]
        self.writes.append((time.monotonic(), f"write of {keys} {text}"))

    def _transact_late(self, body):
        """Carry out a write; while answers are lost, later and without an answer."""
        is_planner = any("/planners/" in put["key"] for put in body["puts"])
        if self.late_s and is_planner and not self.losing_until:
            self.losing_until = time.monotonic() + LOSING_S
        is_lost = is_planner and self.lost < MAX_LOST
        if not is_lost or time.monotonic() >= self.losing_until:
            status, answer = self._transact(body)
            self._note(body, f"answered {status}")
            return status, answer
        self.lost += 1
        self._note(body, "gets no answer")
        gevent.spawn_later(self.late_s, self._carry_out, body)
        gevent.sleep(SILENT_S)
        return 503, {}

    def _carry_out(self, body):
        status, _ = self._transact(body)
        self._note(body, f"is carried out late, with {status}")

    def do_lose_answer(self, late_s: float):
        """Lose answers of writes of a planner's key for a while, from the next one on.

        They are done later.
        """
        self.late_s = late_s

    def do_writes(self):
        return self.writes

    def do_heads(self):
        """Return the heads of the open groups."""
        return sorted(
            target
            for target, item in self.fleet.targets.items()
            if item.record.membership is not None
            and item.record.membership.rank == 0
            and item.record.membership.state is MemberState.OPEN
        )

    def do_lose_power(self, seconds: float):
        """Let all model workers lose power, and start again after a while."""
        for target in list(self.fleet.targets):
            if self.fleet.targets[target].alive:
                self.crash(target)


platform = Platform(event_s=0.03, **json.loads(sys.argv[1]))
platform.set_routes(
    chat={"timeout_ms": 8000, "target_latency_ms": 400, "gap_aim_ms": 300}
)
serve(platform)
