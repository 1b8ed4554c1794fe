"""Matches a caller's request to its route, workspace, model and deadlines."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..configuration.routes import Route
from ..errors import RequestError, ResultCode
from ..forwarding import CallerRequest
from ..platform import HeaderNames
from ..platform.headers import BEARER_PREFIX
from ..requests.blame import build_part_key
from ..requests.suspects import fingerprint_request
from ..routing.routes import choose_service
from .beliefs import GatewayView
from .freshness import OUTDATED_AFTER_S

# Margin before the caller's own deadline by which the final answer is sent.
ANSWER_MARGIN_S = 0.03
# Retry-After of requests that arrive before a configuration is known, or while there
# may be a newer one.
STARTUP_RETRY_AFTER_S = 0.5
# A caller is assumed to abandon a stream that delivers nothing for the longest of: this
# time, and these multiples of the route's objectives for the first event and a gap.
CALLER_IDLE_TIMEOUT_S = 2.0
CALLER_IDLE_TIMEOUT_OBJECTIVES = 4.0
CALLER_IDLE_TIMEOUT_GAP_OBJECTIVES = 8.0

# Parts of a prompt, from its beginning, under which crashes of targets count.
MAX_PARTS = 16
# Tokens of a request that are told to owners of slots, so that they fit a message.
MAX_TOKENS = 2**53


@dataclass(frozen=True, slots=True)
class RequestContext:
    """A routed request.

    Attributes
    ----------
    parts
        Keys of the parts of the prompt that other requests share, in their order.
    cost
        Expected work: in tokens, where an answer token counts as ten prompt tokens, for
        services with models; 1 for each call otherwise.
    tokens
        Tokens of the prompt and the expected answer; 0 if they are not told.
    deadline
        Monotonic time by which the final answer is sent.
    caller_deadline
        Monotonic time until which the caller waits for it.
    """

    id: str
    req: CallerRequest
    route: Route
    service: str
    model: str
    workspace: str | None
    priority: int
    parts: tuple[str, ...]
    cost: float
    prompt_tokens: int
    tokens: int
    arrived_at: float
    deadline: float
    caller_deadline: float

    @property
    def fingerprint(self) -> str:
        """Fingerprint that is the same for a caller's repeats of a request."""
        parts = (self.req.target, (self.workspace or "").encode(), self.req.body)
        return fingerprint_request(self.service, *parts)

    @property
    def crash_keys(self) -> tuple[str, ...]:
        """Keys under which crashes of targets count; the fingerprint last."""
        return (*self.parts, self.fingerprint)

    def find_idle_deadline(self, last_forwarded_at: float) -> float:
        """Return the monotonic time until which the caller waits for the next part.

        Parameters
        ----------
        last_forwarded_at
            Monotonic time at which the last part was forwarded; that of the request's
            arrival if there was none.
        """
        idle_timeout_s = max(
            CALLER_IDLE_TIMEOUT_S,
            CALLER_IDLE_TIMEOUT_OBJECTIVES * self.route.latency_objective_s,
            CALLER_IDLE_TIMEOUT_GAP_OBJECTIVES * self.route.gap_objective_s,
        )
        return min(self.deadline, last_forwarded_at + idle_timeout_s)


def read_request_id(req: CallerRequest) -> str:
    """Return the id of a request; an empty string if it has none."""
    return (req.find(HeaderNames.REQUEST_ID) or b"").decode("latin-1")


def read_time_left_s(req: CallerRequest, *, default_s: float) -> float:
    """Return the time that a caller waits for the answer, in seconds."""
    return _read_number(req, HeaderNames.DEADLINE_MS, 1000 * default_s) / 1000


def route_request(
    req: CallerRequest, arrived_at: float, view: GatewayView
) -> RequestContext:
    """Return a request with its parameters by the configuration in force.

    Raises
    ------
    RequestError
        No configuration is known yet, there is no such route, or the request's key
        is unknown; the last two are not said if there may be a newer configuration.
    """
    request = read_request_id(req)
    table = view.route_table
    if table is None:
        raise RequestError(
            ResultCode.NO_CONFIGURATION,
            "no configuration yet",
            retry_after_s=STARTUP_RETRY_AFTER_S,
        )
    host = (req.find(b"host") or b"").decode("latin-1")
    route = table.find(host, req.path.decode("latin-1"))
    if route is None:
        _check_age(view)
        raise RequestError(ResultCode.NOT_FOUND, "no such route")
    workspace, priority = _authenticate(req, route, view)
    caller_deadline = arrived_at + read_time_left_s(req, default_s=route.timeout_s)
    prompt, answer = _read_token_counts(req)
    service = choose_service(route, request)
    spec = view.find_service(service)
    has_models = spec is not None and spec.engine is not None
    model = (req.find(HeaderNames.MODEL) or b"").decode("latin-1")
    return RequestContext(
        id=request,
        req=req,
        route=route,
        service=service,
        model=model if has_models else "",
        workspace=workspace,
        priority=priority,
        parts=_read_shared_parts(req, service),
        cost=prompt + 10 * answer if has_models else 1.0,
        prompt_tokens=prompt,
        tokens=min(MAX_TOKENS, prompt + answer) if has_models else 0,
        arrived_at=arrived_at,
        deadline=min(arrived_at + route.timeout_s, caller_deadline - ANSWER_MARGIN_S),
        caller_deadline=caller_deadline,
    )


def _authenticate(
    req: CallerRequest, route: Route, view: GatewayView
) -> tuple[str | None, int]:
    """Return the workspace that the request's key belongs to, and the priority."""
    keys = view.cfg.keys
    if keys is None:
        return None, route.priority
    owner = keys.get(_read_key(req))
    if owner is None:
        if not route.public:
            _check_age(view)
            raise RequestError(ResultCode.UNAUTHENTICATED, "unknown key")
        return None, route.priority
    if owner.priority is None:
        return owner.workspace, route.priority
    return owner.workspace, owner.priority


def _check_age(view: GatewayView) -> None:
    """Raise if a newer configuration than the known one may have been confirmed."""
    if view.find_age_s() >= OUTDATED_AFTER_S:
        raise RequestError(
            ResultCode.CONFIGURATION_OUTDATED,
            "there may be a newer configuration than the one known here",
            retry_after_s=STARTUP_RETRY_AFTER_S,
        )


def _read_key(req: CallerRequest) -> str:
    value = req.find(HeaderNames.AUTHORIZATION) or b""
    if not value.startswith(BEARER_PREFIX):
        return ""
    return value.removeprefix(BEARER_PREFIX).strip().decode("latin-1")


def _read_number(req: CallerRequest, name: bytes, default: float) -> float:
    value = req.find(name)
    try:
        number = float(value) if value is not None else default
    except ValueError:
        return default
    return number if math.isfinite(number) else default


def _read_token_counts(req: CallerRequest) -> tuple[int, int]:
    value = req.find(HeaderNames.TOKEN_COUNTS) or b""
    prompt, _, answer = value.partition(b",")
    try:
        counts = max(0, int(prompt)), max(0, int(answer))
    except ValueError:
        return 0, 0
    # Larger numbers can't be sent to peers.
    return min(counts[0], MAX_TOKENS), min(counts[1], MAX_TOKENS)


def _read_shared_parts(req: CallerRequest, service: str) -> tuple[str, ...]:
    """Return the keys of all parts of the prompt but the last, which is its own."""
    value = (req.find(HeaderNames.PROMPT_PARTS) or b"").decode("latin-1")
    parts = [item.partition(":")[0].strip() for item in value.split(",")]
    shared = dict.fromkeys(part for part in parts[:-1] if part)
    return tuple(build_part_key(service, part) for part in shared)[:MAX_PARTS]


def read_last_event(req: CallerRequest) -> int | None:
    """Return the id of the last event that the caller has; None if there is none."""
    value = req.find(HeaderNames.LAST_EVENT)
    return int(value) if value is not None and value.isdigit() else None
