"""Abstract interfaces of the external systems, and their HTTP implementations."""

from __future__ import annotations

from .common import (
    CacheEvent,
    EngineOrder,
    GenerateRequest,
    Host,
    HostList,
    HostSnapshot,
    HostState,
    KeyValueStore,
    ModelTarget,
    OrderKind,
    Piece,
    PlainAnswer,
    PlainCall,
    PlainTarget,
    StoredChange,
    StoredDeletion,
    StoredEntry,
    TargetReport,
    Warmth,
    WeightStore,
)
from .engine_http import HttpModelTarget
from .hosts_http import HttpHostList
from .plain_http import HttpPlainTarget
from .store_http import HttpKeyValueStore
from .weights_http import HttpWeightStore

__all__ = [
    "CacheEvent",
    "EngineOrder",
    "GenerateRequest",
    "Host",
    "HostList",
    "HostSnapshot",
    "HostState",
    "HttpHostList",
    "HttpKeyValueStore",
    "HttpModelTarget",
    "HttpPlainTarget",
    "HttpWeightStore",
    "KeyValueStore",
    "ModelTarget",
    "OrderKind",
    "Piece",
    "PlainAnswer",
    "PlainCall",
    "PlainTarget",
    "StoredChange",
    "StoredDeletion",
    "StoredEntry",
    "TargetReport",
    "Warmth",
    "WeightStore",
]
