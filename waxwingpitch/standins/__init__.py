"""Small stand-ins for the external systems, for tests, demos and benchmarks."""

from __future__ import annotations

from .engine_model import EnginePerformance
from .fleet import EngineFleet
from .hosts import HostListStandIn
from .plain import PlainStandIn
from .server import StandInServer
from .store import StoreStandIn
from .weights import WeightStoreStandIn

__all__ = [
    "EngineFleet",
    "EnginePerformance",
    "HostListStandIn",
    "PlainStandIn",
    "StandInServer",
    "StoreStandIn",
    "WeightStoreStandIn",
]
