"""One part of prompts crashes workers; are sound requests with the others served?

With ``POSITION=last`` the part stands behind those that the sound requests share.
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
CRASHES, MIN_REQUESTS, SHARE = 5, 20, 0.5
# Parts that all requests share; the one in which they differ stands between them.
FIRST, SECOND = "5a000001", "5a000002"
IS_BETWEEN = os.environ.get("POSITION", "") != "last"
SOUND_PART, CRASHING_PART = "600d0001", "badc0de5"
SOUND_PER_S, CRASHING_PER_S = 1.0, 2.0
SOUND_BEFORE, SOUND_AFTER = 24, 34
EVENTS = 10


class Clients:
    def __init__(self, deployment):
        self.deployment = deployment
        self.answers, self.threads = [], []
        self.numbers = itertools.count(0xA000)

    def spawn(self, kind):
        """Send a request whose last part is its own, and which may crash workers."""
        number = next(self.numbers)
        part = CRASHING_PART if kind == "crash" else SOUND_PART
        shared = [FIRST, part, SECOND] if IS_BETWEEN else [FIRST, SECOND, part]
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
            Prompt_Prefix=",".join(f"{part}:10" for part in parts),
        )
        self.answers.append(answer)
        self.deployment.note(answer)

    def run(self, sound, *, is_crashing):
        """Send a number of sound requests, and crashing ones between them."""
        started_at = time.monotonic()
        steps = int(CRASHING_PER_S / SOUND_PER_S)
        for turn in range(sound * steps):
            if turn % steps == 0:
                self.spawn("sound")
                time.sleep(0.1)
            if is_crashing:
                self.spawn("crash")
            until = started_at + (turn + 1) / CRASHING_PER_S
            time.sleep(max(0.0, until - time.monotonic()))


def main() -> int:
    with Deployment(__file__, zones=("z", "z"), size=16) as deployment:
        deployment.wait_until_ready()
        wait_until(
            lambda: len(deployment.platform.ask("heads")) == 8,
            30.0,
            "eight open groups",
        )
        time.sleep(4.0)
        clients = Clients(deployment)
        deployment.platform.ask("crashing_part", part=CRASHING_PART)
        clients.run(SOUND_BEFORE, is_crashing=False)
        trouble_at = time.monotonic()
        clients.run(SOUND_AFTER, is_crashing=HAS_TROUBLE)
        for thread in clients.threads:
            thread.join(7.0)
        return judge(deployment, clients, trouble_at)


def judge(deployment, clients, trouble_at) -> int:
    crashes = deployment.platform.ask("crashes")
    sends = deployment.platform.ask("sends")
    for at in crashes:
        deployment.record.write("a worker crashes", at)
    for at, request in sends:
        deployment.record.write(f"{request} reaches a worker", at)
    last_at = crashes[:CRASHES][-1] if crashes else trouble_at
    begun = {request for _, request in sends}
    sound = [item for item in clients.answers if item.request.startswith("sound")]
    before = [item for item in sound if item.sent_at < trouble_at - 1.0]
    after = [item for item in sound if item.sent_at > last_at + 2 * CONTACT_S]
    shares = [
        sum(item.request in begun for item in part) / max(1, len(part))
        for part in (before, after)
    ]
    text = (
        f"{len(crashes)} crashes; sound requests that begin at their first attempt: "
        f"{shares[0]:.2f} of {len(before)} before, {shares[1]:.2f} of {len(after)} "
        f"later than {2 * CONTACT_S} s after the last crash that counts"
    )
    deployment.record.write(text)
    print(text)
    if shares[0] < 0.9 or (HAS_TROUBLE and not crashes):
        raise CannotRunError("the sound requests did not begin before, or none crashed")
    if min(len(before), len(after)) < MIN_REQUESTS:
        raise CannotRunError("too few requests")
    return BROKEN if shares[1] < SHARE * shares[0] else HELD


run(main)
