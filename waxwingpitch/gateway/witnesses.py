"""What a sample of the other gateways says about a target, or about the store."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

from ..mesh import MeshNode
from ..mesh.messages import ProbeRequest, ProbeResult
from .peer_statuses import PeerStatuses
from .roster import Roster
from .store_tasks import StoreHealth

PROBE_TIMEOUT_S = 0.8
POLL_INTERVAL_S = 0.02
# Gateways of each zone that are asked whether they reach a target.
ASKED_PER_ZONE = 2
# Share of those asked, and of the zones, that must agree that a target or the store is
# unreachable. It exceeds a third, as a partial partition may cut off that many.
QUORUM_SHARE = 0.6
# Age of its last answer from which the store counts as unavailable.
STORE_UNAVAILABLE_AFTER_S = 1.2


class Witnesses:
    """Asks other gateways before a target or the store counts as unreachable.

    Parameters
    ----------
    is_reachable
        Returns whether a target, given its id and address, answers this process.
    """

    def __init__(
        self,
        node: MeshNode,
        roster: Roster,
        statuses: PeerStatuses,
        store_health: StoreHealth,
        zones: tuple[str, ...],
        is_reachable: Callable[[str, str], bool],
    ):
        self._node = node
        self._roster = roster
        self._statuses = statuses
        self._store_health = store_health
        self._zones = zones
        self._is_reachable = is_reachable
        self._results: dict[str, dict[str, bool]] = {}

    def may_be_reachable(self, target: str, address: str) -> bool:
        """Return whether any other entry host may reach a target.

        False only if none of those asked in each zone reaches it, and this entry host
        and those that replied are a quorum; see ``QUORUM_SHARE``.
        """
        asked = self._choose()
        results = self._results.get(target)
        if results is None:
            self._results[target] = results = {}
            self._node.multicast(ProbeRequest(target, address), asked)
        deadline = time.monotonic() + PROBE_TIMEOUT_S
        while (
            time.monotonic() < deadline
            and len(results) < len(asked)
            and not any(results.values())
        ):
            gevent.sleep(POLL_INTERVAL_S)
        if self._results.get(target) is results:
            del self._results[target]
        is_quorum = len(results) + 1 >= QUORUM_SHARE * (len(asked) + 1)
        return any(results.values()) or not (is_quorum and self._hears_most_zones())

    def is_store_unavailable(self) -> bool:
        """Return whether the store answers neither this process nor other heads.

        Requires that most zones are heard; see ``QUORUM_SHARE``.
        """
        if (
            not self._store_health.failing
            or self._statuses.store_age_s < STORE_UNAVAILABLE_AFTER_S
            or not self._hears_most_zones()
        ):
            return False
        return all(
            age_s + status.store_age_ms / 1000 >= STORE_UNAVAILABLE_AFTER_S
            for age_s, status in self._statuses.iter_recent()
            if status.store_age_ms >= 0
        )

    def answer(self, peer: str, message: ProbeRequest) -> None:
        """Probe a target for a peer."""
        reachable = self._is_reachable(message.target, message.address)
        self._node.send(peer, ProbeResult(message.target, reachable))

    def take_result(self, peer: str, message: ProbeResult) -> None:
        """Take note of a peer's answer."""
        if message.target in self._results:
            self._results[message.target][peer] = message.reachable

    def _choose(self) -> list[str]:
        chosen: list[str] = []
        for zone in self._zones:
            live = filter(self._roster.is_live, self._node.list_peers_in(zone))
            chosen.extend(list(live)[:ASKED_PER_ZONE])
        return chosen

    def _hears_most_zones(self) -> bool:
        heard = {
            zone
            for zone in self._zones
            if any(map(self._roster.is_live, self._node.list_peers_in(zone)))
        }
        heard.add(self._roster.local.zone)
        return len(heard) >= QUORUM_SHARE * len(self._zones)
