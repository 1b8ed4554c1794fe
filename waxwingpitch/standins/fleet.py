"""Fleet of engine stand-ins that can form groups with each other."""

from __future__ import annotations

from ..ports import WeightStore
from .engine import EngineHost
from .engine_model import EnginePerformance
from .weights import WeightStoreStandIn


class EngineFleet:
    """Engine hosts that can form replica groups with each other.

    Parameters
    ----------
    performance
        Performance and limits of the engines.
    weights
        Weight store that the hosts load from.
    """

    def __init__(
        self, performance: EnginePerformance, weights: WeightStore | None = None
    ):
        self.performance = performance
        self.weights = weights or WeightStoreStandIn()
        self.hosts: dict[str, EngineHost] = {}

    def add_host(self, host: str, port: int = 0) -> EngineHost:
        """Start an engine on a new host and add it to the fleet."""
        engine = EngineHost(host, self, port)
        engine.start()
        self.hosts[engine.address] = engine
        return engine

    def stop(self) -> None:
        """Stop all hosts."""
        for engine in self.hosts.values():
            engine.stop()

    def is_group_ready(self, leader: EngineHost) -> bool:
        """Return whether an engine leads a group whose members are all ready."""
        if not leader.members or leader.members[0] != leader.address:
            return False
        return all(self._is_ready_member(address, leader) for address in leader.members)

    def fail_groups_of(self, lost_host: EngineHost) -> None:
        """Break the streams of every group that had a member on a lost host."""
        for engine in self.hosts.values():
            if lost_host.address in engine.members:
                engine.fail_streams()

    def _is_ready_member(self, address: str, leader: EngineHost) -> bool:
        member = self.hosts.get(address)
        return (
            member is not None
            and member.alive
            and member.ready
            and (member.group, member.epoch) == (leader.group, leader.epoch)
        )
