"""Ways to targets through peers, for when a gateway lost its own links to them."""

from __future__ import annotations

import logging
import random
import socket
import time
from collections.abc import Callable, Iterable, Iterator

from gevent.lock import BoundedSemaphore

from ..forwarding.relay import (
    RelayAnswer,
    RelayedSocket,
    TargetNotReachedError,
    ask_relay,
)
from ..slots import EntryHost
from .peer_statuses import PeerStatuses
from .roster import Roster

# Peers that are asked for one connection.
MAX_ASKED = 4
# Peers with links of their own that must fail to reach a target before it counts as
# unreachable.
UNREACHED_BY = 2
# Time for which a peer that could not relay is asked after all others.
UNABLE_TTL_S = 1.0

# Targets that are tried to tell whether this gateway has links, the time for each, and
# the time for which the result holds.
TRIED_TARGETS = 2
TRY_TIMEOUT_S = 0.04
TRIED_TTL_S = 0.3

logger = logging.getLogger(__name__)


class LinkCheck:
    """Tells a target that has ended from links that this gateway has lost.

    Parameters
    ----------
    open_socket
        Opens a socket to a target, given its address and a timeout in seconds.
    list_addresses
        Returns the addresses of all listed targets.
    """

    def __init__(
        self,
        open_socket: Callable[[str, float], socket.socket],
        list_addresses: Callable[[], Iterable[str]],
    ):
        self._open_socket = open_socket
        self._list_addresses = list_addresses
        self._lock = BoundedSemaphore()
        self._reached = ""
        self._tried_at = -TRIED_TTL_S

    def reaches_another(self, address: str) -> bool:
        """Return whether a target other than that at an address is reached now."""
        with self._lock:
            if time.monotonic() - self._tried_at >= TRIED_TTL_S:
                self._reached = self._find_reached(address)
                self._tried_at = time.monotonic()
            return self._reached not in ("", address)

    def _find_reached(self, address: str) -> str:
        others = [item for item in set(self._list_addresses()) if item != address]
        for other in random.sample(others, min(TRIED_TARGETS, len(others))):
            try:
                self._open_socket(other, TRY_TIMEOUT_S).close()
            except (OSError, ValueError) as exc:
                logger.info(
                    "target not reached to check the own links",
                    extra={"address": other, "reason": str(exc)},
                )
            else:
                return other
        return ""


class RelayChooser:
    """Asks peers for connections to targets, the last that could first.

    Parameters
    ----------
    ask
        Asks one relay, as :func:`~waxwingpitch.forwarding.relay.ask_relay` does.
    """

    def __init__(
        self, roster: Roster, statuses: PeerStatuses, ask: Callable = ask_relay
    ):
        self._roster = roster
        self._statuses = statuses
        self._ask = ask
        self._unable_until: dict[str, float] = {}
        self._last = ""
        self._random = random.Random(roster.local.name)

    def open(self, address: str, timeout_s: float) -> RelayedSocket | None:
        """Return a connection to a target, opened by a peer.

        Returns
        -------
        RelayedSocket or None
            None if no peer that was asked could tell whether the target is reachable.

        Raises
        ------
        TargetNotReachedError
            Peers that have links to targets do not reach this one.
        """
        deadline = time.monotonic() + timeout_s
        unreached = 0
        for host in self._iter_hosts():
            left_s = deadline - time.monotonic()
            if left_s <= 0 or unreached == UNREACHED_BY:
                break
            match self._ask_safely(host, address, left_s):
                case RelayAnswer.OPEN, sock:
                    if host.name != self._last:
                        logger.info("peer relays", extra={"peer": host.name})
                    self._last = host.name
                    return sock
                case RelayAnswer.UNREACHED, _:
                    unreached += 1
                case RelayAnswer.UNABLE, _:
                    until = time.monotonic() + UNABLE_TTL_S
                    self._unable_until[host.name] = until
        if unreached:
            raise TargetNotReachedError(f"{address}: not reached by {unreached} peers")
        return None

    def _ask_safely(self, host: EntryHost, address: str, timeout_s: float):
        try:
            return self._ask(host.relay, address, timeout_s)
        except (OSError, ValueError) as exc:
            logger.info(
                "peer does not relay", extra={"peer": host.name, "reason": str(exc)}
            )
            return RelayAnswer.UNABLE, None

    def _iter_hosts(self) -> Iterator[EntryHost]:
        """Yield the hosts to ask: the last that could, linked ones, then others."""
        now = time.monotonic()
        cut = self._statuses.list_cut()
        hosts = [
            host
            for host in self._roster.hosts.values()
            if host.relay
            and host.name != self._roster.local.name
            and host.name not in cut
            and not self._roster.is_stopping(host.name)
        ]
        self._random.shuffle(hosts)
        hosts.sort(
            key=lambda host: (
                now < self._unable_until.get(host.name, 0.0),
                host.name != self._last,
                not self._roster.is_live(host.name),
                host.zone != self._roster.local.zone,
            )
        )
        yield from hosts[:MAX_ASKED]
