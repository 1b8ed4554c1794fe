"""Observer task: probes the hosts of its zone that are assigned to this process.

Each host is assigned to a few of the connected members by rendezvous hashing.
"""

from __future__ import annotations

import logging
import random
import time

import gevent
from gevent.pool import Pool

from ..errors import TargetProgressTimeoutError, TargetRefusedError, WaxwingpitchError
from ..membership import rank_by_rendezvous
from ..ports import Host
from ..targets import Health
from ..task import PeriodicTask
from .clients import TargetClients
from .coordination import Coordination
from .events import HealthObserved
from .view import EntryView

OBSERVERS_PER_HOST = 2
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5
MAX_PARALLEL_PROBES = 64

logger = logging.getLogger(__name__)


class Observer(PeriodicTask):
    """Probes each assigned host once per interval."""

    interval_s = 0.0

    def __init__(
        self, view: EntryView, clients: TargetClients, coordination: Coordination
    ):
        super().__init__()
        self._view = view
        self._clients = clients
        self._coordination = coordination
        self._pool = Pool(MAX_PARALLEL_PROBES)

    def tick(self) -> None:
        """Probe every assigned host, spread over the interval."""
        started_at = time.monotonic()
        hosts = list(self.select_hosts())
        self._coordination.set_observed(host.id for host in hosts)
        pause_s = PROBE_INTERVAL_S / (len(hosts) + 1)
        for host in hosts:
            self._pool.spawn(self._probe, host)
            gevent.sleep(pause_s * random.uniform(0.5, 1.0))
        remaining_s = started_at + PROBE_INTERVAL_S - time.monotonic()
        gevent.sleep(max(0.05, remaining_s))

    def select_hosts(self):
        """Yield the hosts of this zone that are assigned to this process."""
        alive = self._view.alive_in_zone()
        for host in self._view.hosts:
            if host.zone != self._view.me.zone:
                continue
            ranked = rank_by_rendezvous(host.id, alive)
            if self._view.me.id in ranked[:OBSERVERS_PER_HOST]:
                yield host

    def _probe(self, host: Host) -> None:
        at = time.monotonic()
        client = self._clients.model(host.address)
        try:
            report = client.probe(timeout_s=PROBE_TIMEOUT_S)
        except TargetRefusedError:
            observed = HealthObserved(host.id, Health.REFUSED, at)
        except TargetProgressTimeoutError:
            observed = HealthObserved(host.id, Health.SILENT, at)
        except WaxwingpitchError:
            observed = HealthObserved(host.id, Health.REFUSED, at)
        else:
            observed = HealthObserved(host.id, Health.UP, at, report)
        self._coordination.post(observed)
