"""Decodes the documents that operators and targets write to the platform's store."""

from __future__ import annotations

from typing import Any

import msgspec

from ..configuration.routes import (
    CallerLimits,
    EngineSpec,
    KeyOwner,
    ModelSpec,
    Route,
    RoutedConfiguration,
    RouteKind,
    ServiceShare,
    ServiceSpec,
)
from ..configuration.zone_delays import read_zone_delays
from ..decoding import MAX_NUMBER, Count, DurationMs, Number, decode_json, parse_address
from ..errors import ConfigurationError
from ..targets.records import Membership, MemberState, TargetRecord

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}


class _TrafficSplit(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    max_attempts: int = 1
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    traffic_split: list[_TrafficSplit] = []
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


class _Model(msgspec.Struct):
    name: str
    size: int = 1
    share: float = 0.0
    pace: float = 1.0
    load_s: float = 0.0
    warm_s: float = 0.0


class _UsualRequest(msgspec.Struct):
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(msgspec.Struct):
    capacity: int
    step_ms: float
    per_seq_ms: float
    read_per_s: float
    models: list[_Model] = []
    stride: int = 1
    chunk: int = 2048
    loads_per_s: float = 1.0
    loads_at_once: int = 1
    form_ms: float = 0.0
    usual: _UsualRequest = msgspec.field(default_factory=_UsualRequest)
    kv_capacity: float | None = None
    delays: Any = None


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _GroupMembership(msgspec.Struct):
    name: str
    epoch: Number
    rank: Count
    state: MemberState


class _EntryModel(msgspec.Struct):
    name: str


class _TargetEntry(msgspec.Struct):
    service: str
    address: str
    zone: str
    capacity: Count
    state: str
    cold_left_ms: DurationMs = 0.0
    fault_domain: str | Number | None = ""
    staged: list[str | _EntryModel] = []
    models: list[_EntryModel] = []
    group: _GroupMembership | None = None
    born: Number = 0
    seq: Number = 0


def decode_routed_configuration(data: bytes) -> RoutedConfiguration:
    """Decode a configuration document written by an operator.

    Raises
    ------
    ConfigurationError
        The bytes are not a valid configuration.
    """
    try:
        document = decode_json(data, _Configuration)
        return RoutedConfiguration(
            version=document.version,
            routes=tuple(map(_convert_route, document.routes)),
            services={item.name: _convert_service(item) for item in document.services},
            limits=_convert_limits(document.limits),
            keys=_convert_keys(document.tenants),
        )
    except (ValueError, KeyError) as exc:
        raise ConfigurationError(f"configuration: {exc}") from exc


def list_keys(data: bytes) -> list[tuple[str, str]]:
    """Return each API key of a valid configuration with each of its workspaces."""
    tenants = decode_json(data, _Configuration).tenants or []
    return [(key, tenant.name) for tenant in tenants for key in tenant.api_keys]


def decode_target_record(key: str, data: bytes) -> TargetRecord:
    """Decode a target's entry in the store.

    Raises
    ------
    ValueError
        The entry is malformed, or its state is neither ready nor draining.
    """
    entry = decode_json(data, _TargetEntry)
    parse_address(entry.address)
    if entry.state not in ("ready", "draining"):
        raise ValueError(f"{key}: state {entry.state!r}; valid: ready, draining")
    group = entry.group
    return TargetRecord(
        id=key.removeprefix(TARGET_PREFIX),
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        capacity=entry.capacity,
        leaving=entry.state == "draining",
        cold_s=entry.cold_left_ms / 1000,
        domain="" if entry.fault_domain is None else str(entry.fault_domain),
        staged=tuple(
            item if isinstance(item, str) else item.name for item in entry.staged
        ),
        model=entry.models[0].name if entry.models else "",
        membership=(
            None
            if group is None or not group.name
            else Membership(group.name, group.epoch, group.rank, group.state)
        ),
        started_ms=entry.born,
        writes=entry.seq,
    )


def decode_target_id(key: str) -> str | None:
    """Return the id of the target whose entry a key holds, or None for other keys."""
    if key.startswith(TARGET_PREFIX):
        return key.removeprefix(TARGET_PREFIX)
    return None


def decode_evacuated_zone(key: str) -> str | None:
    """Return the zone that a key takes out of service, or None for other keys."""
    if key.startswith(EVACUATION_PREFIX):
        return key.removeprefix(EVACUATION_PREFIX)
    return None


def _convert_route(item: _Route) -> Route:
    if item.kind not in _ROUTE_KINDS:
        valid = ", ".join(_ROUTE_KINDS)
        raise ValueError(f"route {item.name}: kind {item.kind!r}; valid: {valid}")
    shares = tuple(
        ServiceShare(split.service, split.weight) for split in item.traffic_split
    )
    return Route(
        name=item.name,
        host=item.host,
        prefix=item.path_prefix,
        kind=_ROUTE_KINDS[item.kind],
        timeout_s=item.timeout_ms / 1000,
        latency_objective_s=item.target_latency_ms / 1000,
        priority=item.priority,
        max_attempts=item.max_attempts,
        shares=shares or (ServiceShare(item.service, 1.0),),
        public=item.public,
        resumable=item.resumable,
        gap_objective_s=item.gap_aim_ms / 1000,
    )


def _convert_service(item: _Service) -> ServiceSpec:
    engine = None if item.engine is None else _convert_engine(item.engine)
    return ServiceSpec(item.name, item.max_conns, item.cold_per_s, engine)


def _convert_engine(item: _Engine) -> EngineSpec:
    return EngineSpec(
        capacity=item.capacity,
        step_s=item.step_ms / 1000,
        step_per_request_s=item.per_seq_ms / 1000,
        prefill_tokens_per_s=item.read_per_s,
        steps_per_pass=item.stride,
        prefill_chunk_tokens=item.chunk,
        typical_prompt_tokens=item.usual.prompt,
        typical_answer_tokens=item.usual.answer,
        loads_per_s=item.loads_per_s,
        max_concurrent_loads=item.loads_at_once,
        open_s=item.form_ms / 1000,
        models=tuple(
            ModelSpec(*msgspec.structs.astuple(model)) for model in item.models
        ),
        kv_capacity=int(min(max(0, item.kv_capacity or 0), MAX_NUMBER)) or None,
        zone_delays=read_zone_delays(item.delays),
    )


def _convert_limits(item: _Limits | None) -> CallerLimits:
    if item is None:
        return CallerLimits()
    sizes = item.max_header_bytes, item.max_body_bytes
    return CallerLimits(
        *sizes, item.header_timeout_ms / 1000, item.idle_timeout_ms / 1000
    )


def _convert_keys(tenants: list[_Tenant] | None) -> dict[str, KeyOwner] | None:
    if tenants is None:
        return None
    return {
        key: KeyOwner(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }
