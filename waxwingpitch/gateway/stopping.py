"""Planned stop of a gateway: hand over, drain, end."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable

import gevent

from ..forwarding import CallerListener
from ..forwarding.relay import RelayListener
from .peers import PeerTask
from .planning import ZonePlanner
from .registration import Registration
from .serving import RequestServer
from .stop_times import StopTimes, StopTimeUpError, plan_stop
from .store_tasks import LeaseKeeper

REMOVAL_TIMEOUT_S = 0.2
DRAIN_INTERVAL_S = 0.05

logger = logging.getLogger(__name__)


class GracefulStop:
    """Stops a gateway within the time that the operators allow.

    Parameters
    ----------
    stop_s
        Time between the signal to stop and a kill, in seconds.
    relay
        Passes connections of peers on to targets, which break with this process.
    """

    def __init__(
        self,
        stop_s: float,
        *,
        listener: CallerListener,
        relay: RelayListener,
        server: RequestServer,
        planners: Iterable[ZonePlanner],
        peers: PeerTask,
        lease_keeper: LeaseKeeper,
        registration: Registration,
    ):
        self._stop_s = stop_s
        self._listener = listener
        self._relay = relay
        self._server = server
        self._planners = planners
        self._peers = peers
        self._lease_keeper = lease_keeper
        self._registration = registration

    def run(self, signalled_at: float, stop_tasks: Callable[[], None]) -> None:
        """Hand over planning, drain requests in progress, then stop the tasks.

        A step that fails keeps no later step from being taken.

        Parameters
        ----------
        signalled_at
            Earliest monotonic time at which the signal may have come.
        """
        started_at = time.monotonic()
        times = plan_stop(signalled_at, self._stop_s, heard_at=started_at)
        self._server.begin_stop(times)
        logger.info(
            "gateway stops",
            extra={
                "in_progress": self._listener.active_connections,
                "signal_ms_ago": round(1000 * (started_at - signalled_at)),
            },
        )
        self._listener.disable_keep_alive()
        for planner in self._planners:
            _take_step(self._hand_over, planner)
        _take_step(self._lease_keeper.stop)
        _take_step(self._registration.stop)
        gevent.spawn(self._lease_keeper.revoke)
        _take_step(self._peers.announce_stop)
        gevent.sleep(max(0.0, times.accepts_until - time.monotonic()))
        _take_step(self._listener.stop_accepting)
        _take_step(self._drain, times)
        # Only now, as peers end their links to a host that is not registered.
        gevent.spawn(self._registration.remove).join(REMOVAL_TIMEOUT_S)
        logger.info(
            "gateway stopped",
            extra={
                "in_progress": self._listener.active_connections,
                "took_s": round(time.monotonic() - started_at, 2),
            },
        )
        _take_step(stop_tasks)

    def _drain(self, times: StopTimes) -> None:
        """Wait until no connection is open, or until begun streams are broken off.

        Peers use no new connection of a host that stops, and close those that are idle.
        """
        has_interrupted = False
        while self._listener.open_connections or self._relay.relayed:
            now = time.monotonic()
            # After a standstill, both times may have passed since the last round.
            if now >= times.drained_by and has_interrupted:
                return
            if now >= times.answers_by:
                self._listener.interrupt_unanswered(StopTimeUpError())
                has_interrupted = True
            self._listener.close_idle()
            gevent.sleep(DRAIN_INTERVAL_S)

    def _hand_over(self, planner: ZonePlanner) -> None:
        handover = planner.hand_over()
        if handover is not None:
            peer = self._peers.hand_over(handover)
            logger.info(
                "planning handed over", extra={"zone": handover.zone, "peer": peer}
            )


def _take_step(step: Callable[..., None], *args) -> None:
    try:
        step(*args)
    except Exception:
        logger.exception("step of the stop failed", extra={"step": step.__name__})
