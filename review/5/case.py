"""One part of prompts crashes workers; how many requests with it reach them?

With ``FIRST_EVENT=0`` workers crash before the first event of the answer is sent.
"""

from __future__ import annotations

import itertools
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.lib.deployment import (  # noqa: E402
    BROKEN,
    HAS_TROUBLE,
    HELD,
    CannotRunError,
    Deployment,
    run,
    stream,
    wait_until,
)

CONTACT_S = 3.0
CRASHES, ALLOWED = 5, 3
SHARED_PARTS = 3
CRASHING_PART = "badc0de5"
SOUND_PER_S, CRASHING_PER_S = 50.0, 0.4
BEFORE_S, TROUBLE_S = 8.0, 40.0
EVENTS = 10
# Engines read 45,900 tokens a second, and so a prompt of four parts in 0.3 s.
PART_TOKENS = 3443
HAS_FIRST_EVENT = os.environ.get("FIRST_EVENT", "1") != "0"


class Clients:
    def __init__(self, deployment):
        self.deployment = deployment
        self.answers, self.threads = [], []
        self.numbers = itertools.count(0xA000)

    def spawn(self, kind):
        """Send a request whose last part is its own, and which may crash workers."""
        number = next(self.numbers)
        shared = [f"5{place:07x}" for place in range(SHARED_PARTS)]
        if kind == "crash":
            shared[-1] = CRASHING_PART
        parts = [*shared, f"{number:08x}"]
        gateway = self.deployment.gateways[number % len(self.deployment.gateways)]
        thread = threading.Thread(
            target=self._ask, args=(gateway, f"{kind}-{number}", parts), daemon=True
        )
        self.threads.append(thread)
        thread.start()

    def _ask(self, gateway, request, parts):
        answer = stream(
            gateway,
            request,
            model="pair",
            events=EVENTS,
            deadline_ms=6000,
            body=f'{{"own": "{parts[-1]}"}}'.encode(),
            prompt_tokens=PART_TOKENS * len(parts),
            Prompt_Prefix=",".join(f"{part}:{PART_TOKENS}" for part in parts),
        )
        self.answers.append(answer)
        self.deployment.note(answer)


def main() -> int:
    options = {"size": 16, "has_output": HAS_FIRST_EVENT}
    with Deployment(__file__, zones=("z", "z"), **options) as deployment:
        deployment.wait_until_ready()
        wait_until(
            lambda: len(deployment.platform.ask("heads")) == 8,
            30.0,
            "eight open groups",
        )
        time.sleep(4.0)
        clients = Clients(deployment)
        started_at = time.monotonic()
        trouble_at = started_at + BEFORE_S
        deployment.platform.ask("crashing_part", part=CRASHING_PART)
        turn = 0
        while (now := time.monotonic()) < trouble_at + TROUBLE_S:
            clients.spawn("sound")
            if HAS_TROUBLE and now >= trouble_at:
                if turn % int(SOUND_PER_S / CRASHING_PER_S) == 0:
                    clients.spawn("crash")
            turn += 1
            time.sleep(max(0.0, started_at + turn / SOUND_PER_S - time.monotonic()))
        for thread in clients.threads:
            thread.join(7.0)
        return judge(deployment, clients, trouble_at)


def judge(deployment, clients, trouble_at) -> int:
    crashes = deployment.platform.ask("crashes")
    sends = [
        (at, request)
        for at, request in deployment.platform.ask("arrivals")
        if request.startswith("crash")
    ]
    for at in crashes:
        deployment.record.write("a worker crashes", at)
    for at, request in sends:
        deployment.record.write(f"{request} reaches a worker", at)
    fifth_at = crashes[CRASHES - 1] if len(crashes) >= CRASHES else float("inf")
    late = [request for at, request in sends if at > fifth_at + CONTACT_S]
    sound = [item for item in clients.answers if item.request.startswith("sound")]
    before = [item for item in sound if item.sent_at < trouble_at - 1.0]
    after = [item for item in sound if item.sent_at > fifth_at + 2 * CONTACT_S]
    shares = [
        sum(item.status == 200 and item.is_complete for item in part)
        / max(1, len(part))
        for part in (before, after)
    ]
    text = (
        f"{len(crashes)} crashes; requests with the part that reached workers later "
        f"than {CONTACT_S} s after the fifth: {len(late)}; sound requests served: "
        f"{shares[0]:.2f} of {len(before)} before, {shares[1]:.2f} of {len(after)} "
        f"later than {2 * CONTACT_S} s after the fifth"
    )
    deployment.record.write(text)
    print(text)
    if shares[0] < 0.9 or (HAS_TROUBLE and not crashes):
        raise CannotRunError(
            "the sound requests were not served before, or none crashed"
        )
    return BROKEN if len(late) > ALLOWED else HELD


run(main)
