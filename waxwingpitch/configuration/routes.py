"""Configuration of the gateway: routes, services, API keys and limits."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class RouteKind(enum.StrEnum):
    """Whether requests on a route may be repeated, and whether they stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of a service in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests for a host name and a path prefix to services.

    Attributes
    ----------
    timeout_s
        Time-out for the complete answer, in seconds.
    latency_objective_s
        Latency objective for the answer, or for a stream's first event, in seconds; a
        later one is worth less.
    gap_objective_s
        Objective for the longest gap between a stream's events, in seconds; a longer
        one reduces the answer's worth. 0 if not set.
    priority
        Priority of the requests; 0 is the highest.
    max_attempts
        Maximum number of targets that one request may run on.
    public
        Whether requests without a valid API key are accepted.
    resumable
        Whether an interrupted stream may be resumed on another target.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    latency_objective_s: float
    priority: int
    max_attempts: int
    shares: tuple[ServiceShare, ...]
    public: bool = False
    resumable: bool = False
    gap_objective_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        match self.kind:
            case RouteKind.IDEMPOTENT:
                return True
            case RouteKind.STREAM:
                return self.resumable
            case RouteKind.NON_IDEMPOTENT:
                return False


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model whose replicas are groups of targets.

    Attributes
    ----------
    size
        Number of members of a group.
    share
        Initial share of the service's work.
    pace
        Factor on all service times of the model's groups.
    load_s, staged_s
        Time to join a group with weights from the weight store, and with weights
        staged on the host, in seconds.
    """

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    staged_s: float


@dataclass(frozen=True, slots=True)
class ZoneDelay:
    """One-way delay between two zones, in seconds."""

    zones: tuple[str, str]
    delay_s: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Performance parameters of a service's model engines.

    Attributes
    ----------
    capacity
        Number of requests that a group runs concurrently.
    step_s, step_per_request_s
        Duration of a decoding step, and what each running request adds to it, in
        seconds.
    prefill_tokens_per_s
        Prompt tokens processed per second.
    steps_per_pass
        Decoding steps in a pass; events are emitted once per pass.
    prefill_chunk_tokens
        Maximum number of prompt tokens processed in a step.
    typical_prompt_tokens, typical_answer_tokens
        Lengths of a typical prompt and of its answer.
    loads_per_s, max_concurrent_loads
        Limits of the weight store on loads started per second and in progress.
    open_s
        Time to open a group, in seconds.
    kv_capacity
        Tokens of prompts and answers that a group's memory holds; None if not given.
    zone_delays
        Delays between zones, in either direction, where they are known.
    """

    capacity: int
    step_s: float
    step_per_request_s: float
    prefill_tokens_per_s: float
    steps_per_pass: int
    prefill_chunk_tokens: int
    typical_prompt_tokens: float
    typical_answer_tokens: float
    loads_per_s: float
    max_concurrent_loads: int
    open_s: float
    models: tuple[ModelSpec, ...]
    kv_capacity: int | None = None
    zone_delays: tuple[ZoneDelay, ...] = ()

    @property
    def batch_slowdown(self) -> float:
        """Relative increase of a step's duration from an empty to a full group."""
        if not self.step_s:
            return 0.0
        return self.step_per_request_s * self.capacity / self.step_s

    def find_delays_s(self, zone: str) -> dict[str, float]:
        """Return the one-way delays from a zone to others, in seconds."""
        return {
            other: item.delay_s
            for item in self.zone_delays
            for other in item.zones
            if zone in item.zones and other != zone
        }

    def find_model(self, name: str) -> ModelSpec | None:
        """Return a model by name."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service to which routes send requests.

    Attributes
    ----------
    max_connections
        Maximum number of connections to one target from all entry hosts together.
    cold_per_s
        Maximum request rate at a cold target, in requests per second; 0 for no limit.
    engine
        Parameters of its model engines; None for a plain service.
    """

    name: str
    max_connections: int
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None

    def list_models(self) -> list[str]:
        """Return the names of its models; an empty name for a plain service."""
        if self.engine is None:
            return [""]
        return [model.name for model in self.engine.models]


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """Workspace that an API key belongs to.

    Attributes
    ----------
    priority
        Priority of its requests; None for that of the route.
    """

    workspace: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests, and on slow and idle callers."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutedConfiguration:
    """One version of routes, services, keys and limits.

    Attributes
    ----------
    version
        Increases with each change.
    keys
        Owner of each API key; None if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits = field(default_factory=CallerLimits)
    keys: Mapping[str, KeyOwner] | None = None

    def find_longest_timeout_s(self, service: str) -> float:
        """Return the longest time-out of the routes to a service; 0 without any."""
        return max(
            (
                route.timeout_s
                for route in self.routes
                if any(share.service == service for share in route.shares)
            ),
            default=0.0,
        )
