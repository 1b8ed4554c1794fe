"""The machine that gives the slots stands still while workers drain, and wakes."""

from gevent import monkey

monkey.patch_all()

import itertools
import random
import signal
import time
from pathlib import Path

import gevent

from review.lib2.runner import has_trouble, run_case
from review.lib2.stage import Stage, Worker, build_configuration, call
from waxwingpitch.tests.platform_standin import StoreFake

ZONE = "zc"
# Of the machines of this zone, by their names, this one gives the slots of the plain
# workers, leads the zone and reads the store.
FIRST_MACHINE = 2
DRAIN_S = 2.0
ROUNDS = 6
FREEZE_S = 4.5
WORKERS = 4
# Half of the workers, one at a time.
DRAINED_A_ROUND = 2
GAP_S = 1.0
PER_S = 60.0


class PlainStage(Stage):
    """Three machines of one zone before four plain workers."""

    def __init__(self, folder: Path):
        super().__init__(folder, StoreFake(), zones=(ZONE,), machines=3)
        self._numbers = itertools.count(1)
        self.live: list[Worker] = []
        self.drained: list[tuple[Worker, float]] = []
        for _ in range(WORKERS):
            self.add_worker()
        self.store.write("op/config", build_configuration(4))

    def add_worker(self) -> None:
        """Start a worker, which registers itself."""
        worker = Worker(f"i-{next(self._numbers)}", self.record, zone=ZONE)
        self.live.append(worker)
        self.store.write(f"servers/{worker.id}", worker.describe())

    def replace_worker(self) -> None:
        """Start a worker; the oldest one says that it drains, and serves on."""
        self.add_worker()
        worker = self.live.pop(0)
        self.store.write(f"servers/{worker.id}", worker.describe("draining"))
        self.drained.append((worker, time.monotonic()))
        self.record.write(f"the store has accepted that {worker.id} is draining")

    def remove_drained(self) -> None:
        """Remove the entries of the workers that drain; they serve on for a while."""
        for worker, _ in self.drained:
            self.store.remove(f"servers/{worker.id}")

    def list_late(self) -> list[tuple[str, str, float]]:
        """Return worker, request and time after the store's answer, if too late."""
        return [
            (worker.id, request, round(at - drained_at, 3))
            for worker, drained_at in self.drained
            for at, request in worker.arrivals
            if at - drained_at > DRAIN_S
        ]


def send_load(stage: Stage, gateways, stop) -> None:
    """Send requests to the machines that run all the time."""
    for number in itertools.count(1):
        if stop:
            return
        options = {"method": "GET", "body": b""}
        gateway = random.choice(gateways)
        gevent.spawn(call, stage, gateway, "/read/x", f"r{number}", **options)
        gevent.sleep(1 / PER_S)


def play(stage: PlainStage) -> bool:
    stage.start()
    first = stage.gateways[FIRST_MACHINE]
    others = [gateway for gateway in stage.gateways if gateway is not first]
    stop = []
    gevent.spawn(send_load, stage, others, stop)
    gevent.sleep(4.0)
    for _ in range(ROUNDS):
        frozen_at = time.monotonic()
        if has_trouble():
            first.send_signal(signal.SIGSTOP)
        gevent.sleep(0.6)
        for _ in range(DRAINED_A_ROUND):
            stage.replace_worker()
            gevent.sleep(GAP_S)
        gevent.sleep(FREEZE_S - (time.monotonic() - frozen_at))
        if has_trouble():
            first.send_signal(signal.SIGCONT)
        gevent.sleep(4.0)
        stage.remove_drained()
        gevent.sleep(1.0)
    stop.append(True)
    gevent.sleep(1.0)
    late = stage.list_late()
    for worker, request, after_s in late:
        stage.record.write(f"{request} reached {worker} {after_s} s after its draining")
    print("late:", late)
    return bool(late)


if __name__ == "__main__":
    run_case(Path(__file__).parent, PlainStage, play)
