"""Platform on which one part of prompts crashes workers that begin to answer it."""

from __future__ import annotations

import json
import sys

from review.lib.platform_base import Standin, serve
from waxwingpitch.targets.records import MemberState
from waxwingpitch.tests import platform_standin
from waxwingpitch.tests.fleet_fake import PAIR

# Time after which a crashed worker is back: "some seconds".
platform_standin.RESTART_S = 3.0


class Platform(Standin):
    def __init__(self, **options):
        super().__init__(models=(PAIR,), **options)

    def do_crashing_part(self, part: str):
        """Let a part of prompts crash the workers from now on."""
        self.crashing_parts.add(part)

    def do_crashes(self):
        return self.crashed_at

    def do_sends(self):
        return self.sends

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
    chat={"timeout_ms": 6000, "target_latency_ms": 300, "gap_aim_ms": 200}
)
serve(platform)
