"""Configuration of routes, services and workspaces, as operators wrote it."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests to a host name below a path go.

    Attributes
    ----------
    timeout_s
        Longest time until the whole answer, in seconds.
    latency_objective_s
        Time to the answer, or to a stream's first event, for full worth.
    gap_objective_s
        Longest pause between a stream's events for full worth; 0 if not set.
    priority
        Rank; 0 is the highest.
    max_attempts
        Most targets that one request may run on.
    public
        Whether no key is asked for.
    resumable
        Whether a stream may go on at another target.
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
        Members of a group.
    share
        Share of the service's work at the start.
    pace
        Factor on all of a group's times.
    load_s, staged_s
        Time to join with weights from the store, and from the host, in seconds.
    """

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    staged_s: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Figures of a service's model engines.

    Attributes
    ----------
    capacity
        Requests that a group runs at once.
    step_s, step_per_request_s
        Time of a token step, and what each running request adds, in seconds.
    prefill_tokens_per_s
        Prompt tokens read a second.
    steps_per_pass
        Steps in a pass; events come once a pass.
    prefill_chunk_tokens
        Most prompt tokens read in a step.
    loads_per_s, max_concurrent_loads
        Limits of the weight store.
    open_s
        Time to open a group, in seconds.
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

    def find_model(self, name: str) -> ModelSpec | None:
        """Return a model by name."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service that routes lead to.

    Attributes
    ----------
    max_connections
        Connections that one target takes from all entry hosts together.
    cold_per_s
        Requests a second that a cold target bears; 0 if it does not matter.
    engine
        Figures of its model engines; None for a plain service.
    """

    name: str
    max_connections: int
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The workspace that holds a key."""

    workspace: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

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
        Grows with each change.
    keys
        Holder of each key; None if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits = field(default_factory=CallerLimits)
    keys: Mapping[str, KeyOwner] | None = None
