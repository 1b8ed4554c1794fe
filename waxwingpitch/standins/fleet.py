"""Fleet of engine stand-ins that can form groups with each other."""

from __future__ import annotations

from ..ports import WeightStore
from .engine import EngineHost
from .engine_model import EnginePerformance
from .groups import EngineGroups
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
        self._groups = EngineGroups(self.hosts)

    def add_host(self, host: str, port: int = 0) -> EngineHost:
        """Start an engine on a new host and add it to the fleet."""
        engine = EngineHost(host, self.performance, self.weights, self._groups, port)
        engine.start()
        self.hosts[engine.address] = engine
        return engine

    def stop(self) -> None:
        """Stop all hosts."""
        for engine in self.hosts.values():
            engine.stop()

    def is_group_ready(self, leader: EngineHost) -> bool:
        """Return whether an engine leads a group whose members are all ready."""
        return self._groups.is_ready(leader)
