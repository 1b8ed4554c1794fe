"""One worker answers a stream with bytes without end; are other calls answered?"""

from __future__ import annotations

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
    call,
    run,
    stream,
    wait_until,
)

CALL_TIMEOUT_S = 0.8
CALL_DEADLINE_MS = 1500
CALLS_PER_S = 10.0
BEFORE_S, AFTER_S = 6.0, 18.0
MIN_LATE = 20


class Traffic:
    def __init__(self, deployment):
        self.deployment = deployment
        self.answers, self.probes = [], []
        self.lock = threading.Lock()
        self.threads = []

    def spawn(self, function, *values):
        thread = threading.Thread(target=function, args=values, daemon=True)
        self.threads.append(thread)
        thread.start()

    def send(self, gateway, request):
        answer = call(gateway, "/file/x", request, deadline_ms=CALL_DEADLINE_MS)
        with self.lock:
            self.answers.append(answer)
        self.deployment.note(answer)

    def probe(self, gateway):
        at = time.monotonic()
        is_ready = gateway.is_ready()
        with self.lock:
            self.probes.append((at, gateway.name, is_ready))
        self.deployment.record.write(f"ready? {gateway.name}: {is_ready}", at)

    def read_stream(self, gateway, request, model):
        self.deployment.note(
            stream(gateway, request, model=model, events=30, deadline_ms=8000)
        )


def main() -> int:
    with Deployment(__file__, zones=("z", "z")) as deployment:
        deployment.wait_until_ready()
        first = deployment.gateways[0]
        wait_until(
            lambda: stream(first, f"w{time.monotonic()}", model="pair", events=3).status
            == 200,
            20.0,
            "first stream",
        )
        time.sleep(4.0)
        traffic = Traffic(deployment)
        started_at = time.monotonic()
        number, is_faulty = 0, False
        while (now := time.monotonic()) < started_at + BEFORE_S + AFTER_S:
            if now - started_at >= BEFORE_S and not is_faulty:
                is_faulty = True
                if HAS_TROUBLE:
                    deployment.platform.ask("faulty", answers=1)
                    deployment.record.write("a worker turns faulty for one answer")
                traffic.spawn(traffic.read_stream, first, "stream-1", "pair")
            for index, gateway in enumerate(deployment.gateways):
                traffic.spawn(traffic.send, gateway, f"call-{number}-{index + 1}")
                if number % int(CALLS_PER_S) == 0:
                    traffic.spawn(traffic.probe, gateway)
            number += 1
            time.sleep(max(0.0, started_at + number / CALLS_PER_S - time.monotonic()))
        for thread in traffic.threads:
            thread.join(12.0)
        for at, target, request in deployment.platform.ask("runs"):
            deployment.record.write(f"run of {request} on {target}", at)
        for began, ended, target, request, size in deployment.platform.ask("flooded"):
            deployment.record.write(
                f"answer to {request} of {target}: {size} bytes "
                f"in {ended - began:.2f} s",
                began,
            )
        return judge(deployment, traffic)


def judge(deployment, traffic) -> int:
    if len(traffic.answers) < 200:
        raise CannotRunError("too few calls")
    late, never = 0, 0
    for answer in traffic.answers:
        took_s = answer.answered_at - answer.sent_at if answer.answered_at else 99.0
        late += took_s > CALL_TIMEOUT_S
        never += took_s > CALL_TIMEOUT_S + 0.5
    unready = sum(not is_ready for _, _, is_ready in traffic.probes)
    text = (
        f"{len(traffic.answers)} calls; unanswered at their route's timeout: {late}; "
        f"of these without an answer half a second later: {never}; "
        f"readiness checks missed: {unready} of {len(traffic.probes)}"
    )
    deployment.record.write(text)
    print(text)
    return BROKEN if late >= MIN_LATE and never > late / 2 else HELD


run(main)
