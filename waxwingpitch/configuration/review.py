"""Review of a routed configuration before it is sent: findings, and what it changes."""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields

from .routes import (
    CallerLimits,
    EngineSpec,
    Route,
    RoutedConfiguration,
    RouteKind,
    ServiceSpec,
)


class Severity(enum.StrEnum):
    """How much a finding matters: an error must be corrected before sending."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that is wrong, contradictory or without effect.

    Attributes
    ----------
    place
        What it is about, such as ``route file``.
    """

    severity: Severity
    place: str
    message: str


@dataclass(frozen=True, slots=True)
class Change:
    """A difference from the version in force; values are None where there is none."""

    place: str
    field: str
    before: object
    after: object


def review_configuration(cfg: RoutedConfiguration) -> list[Finding]:
    """Return what is wrong with a configuration, errors first."""
    findings = [
        *_review_matches(cfg),
        *(finding for route in cfg.routes for finding in _review_route(route, cfg)),
        *(
            finding
            for item in cfg.services.values()
            for finding in _review_service(item)
        ),
        *_review_unused_services(cfg),
        *_review_limits(cfg.limits),
    ]
    return sorted(findings, key=lambda item: item.severity is not Severity.ERROR)


def review_repeats(document: object, keys: Iterable[tuple[str, str]]) -> list[Finding]:
    """Return errors for what a configuration names twice, of which the last counts.

    Parameters
    ----------
    document
        The configuration as it is written; objects with a name are looked at.
    keys
        Each API key with its workspace.
    """
    workspaces: dict[str, list[str]] = defaultdict(list)
    for key, workspace in keys:
        workspaces[key].append(workspace)
    shared = (names for names in workspaces.values() if len(names) > 1)
    places = [*_list_repeated_names(document, "")]
    places += [f"API key of {' and '.join(names)}" for names in shared]
    return [_error(place, "named more than once; valid: once") for place in places]


def list_changes(
    before: RoutedConfiguration, after: RoutedConfiguration
) -> list[Change]:
    """Return how a configuration differs from another; API keys are only counted."""
    changes = [
        *_compare_named(
            "route",
            {route.name: route for route in before.routes},
            {route.name: route for route in after.routes},
        ),
        *_compare_named("service", before.services, after.services),
        *_compare_fields("limits", before.limits, after.limits),
    ]
    old, new = _count_keys(before), _count_keys(after)
    for workspace in sorted(old.keys() | new.keys()):
        kept = _list_keys(before, workspace) & _list_keys(after, workspace)
        removed, added = old[workspace] - len(kept), new[workspace] - len(kept)
        if removed or added:
            place = f"workspace {workspace}"
            changes.append(Change(place, "keys removed, added", removed, added))
    if (before.keys is None) != (after.keys is None):
        changes.append(
            Change("keys", "required", before.keys is not None, after.keys is not None)
        )
    return changes


def review_version(
    before: RoutedConfiguration, after: RoutedConfiguration
) -> list[Finding]:
    """Return an error if the version in force would not be replaced."""
    if after.version > before.version:
        return []
    message = (
        f"version {after.version} is not above {before.version}, which is in force"
    )
    return [Finding(Severity.ERROR, "version", message)]


def _error(place: str, message: str) -> Finding:
    return Finding(Severity.ERROR, place, message)


def _warning(place: str, message: str) -> Finding:
    return Finding(Severity.WARNING, place, message)


def _review_matches(cfg: RoutedConfiguration) -> Iterator[Finding]:
    """Yield the routes and keys that no request can ever match."""
    by_match: dict[tuple[str, str], list[Route]] = defaultdict(list)
    for route in cfg.routes:
        by_match[route.host.lower(), route.prefix].append(route)
        if not route.host or any(char in route.host for char in "/ \t"):
            yield _error(
                f"route {route.name}",
                f"host {route.host!r} matches no request; valid: a host name",
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield _error(
                f"route {route.name}",
                f"path prefix {route.prefix!r} matches no request; "
                "valid: begins and ends with a slash",
            )
        if "?" in route.prefix or "#" in route.prefix:
            yield _error(
                f"route {route.name}",
                f"path prefix {route.prefix!r} matches no request; valid: a path "
                "without a query",
            )
    for first, *others in by_match.values():
        for route in others:
            yield _error(
                f"route {route.name}",
                f"never matches: route {first.name} has the same host and prefix",
            )
    if cfg.keys is not None and not cfg.keys:
        for route in cfg.routes:
            if not route.public:
                yield _error(
                    f"route {route.name}",
                    "every request gets 401: it needs an API key, and there is none",
                )


def _review_route(route: Route, cfg: RoutedConfiguration) -> Iterator[Finding]:
    place = f"route {route.name}"
    names = ", ".join(sorted(cfg.services)) or "none"
    for share in route.shares:
        if share.service not in cfg.services:
            yield _error(place, f"service {share.service!r} is unknown; valid: {names}")
        if share.weight < 0:
            yield _error(place, f"weight {share.weight} is below 0; valid: 0 or more")
        elif share.weight == 0 and len(route.shares) > 1:
            yield _warning(
                place, f"service {share.service} has weight 0 and gets nothing"
            )
    if len(route.shares) > 1 and sum(share.weight for share in route.shares) <= 0:
        yield _error(place, "the weights of its services add up to 0; valid: above 0")
    if route.timeout_s <= 0:
        yield _error(place, f"time-out {route.timeout_s:g} s; valid: above 0")
    elif route.latency_objective_s > route.timeout_s:
        yield _error(
            place,
            f"latency objective {route.latency_objective_s:g} s is above the time-out "
            f"{route.timeout_s:g} s",
        )
    elif route.gap_objective_s > route.timeout_s:
        yield _error(
            place,
            f"gap objective {route.gap_objective_s:g} s is above the time-out "
            f"{route.timeout_s:g} s",
        )
    if route.max_attempts < 1:
        yield _error(place, f"max_attempts {route.max_attempts}; valid: 1 or more")
    elif route.max_attempts > 1 and not route.is_repeatable:
        yield _warning(
            place,
            f"max_attempts {route.max_attempts} has no effect: its requests run once",
        )
    if route.kind is not RouteKind.STREAM:
        if route.resumable:
            yield _warning(place, "resumable has no effect: it is no stream")
        if route.gap_objective_s:
            yield _warning(place, "the gap objective has no effect: it is no stream")


def _review_service(service: ServiceSpec) -> Iterator[Finding]:
    place = f"service {service.name}"
    if service.max_connections < 1:
        yield _error(
            place, f"{service.max_connections} connections a target; valid: 1 or more"
        )
    if service.cold_per_s < 0:
        yield _error(
            place, f"{service.cold_per_s:g} requests a second if cold; valid: 0 or more"
        )
    if service.engine is not None:
        yield from _review_engine(place, service, service.engine)


def _review_engine(
    place: str, service: ServiceSpec, engine: EngineSpec
) -> Iterator[Finding]:
    if engine.capacity < 1:
        yield _error(place, f"capacity {engine.capacity}; valid: 1 or more")
    elif 1 <= service.max_connections < engine.capacity:
        yield _error(
            place,
            f"{service.max_connections} connections a target are fewer than the "
            f"{engine.capacity} requests that it runs at once",
        )
    for model in engine.models:
        if model.size < 1:
            yield _error(
                place, f"model {model.name}: size {model.size}; valid: 1 or more"
            )
        if model.pace <= 0:
            yield _error(
                place, f"model {model.name}: pace {model.pace:g}; valid: above 0"
            )
        if model.staged_s > model.load_s:
            yield _warning(
                place,
                f"model {model.name}: joining from the host takes {model.staged_s:g} s "
                f"and loading {model.load_s:g} s",
            )
    if engine.models and engine.loads_per_s <= 0:
        yield _error(
            place,
            f"{engine.loads_per_s:g} loads a second: no model is ever loaded; "
            "valid: above 0",
        )
    if engine.models and engine.max_concurrent_loads < 1:
        yield _error(
            place, f"{engine.max_concurrent_loads} loads at once; valid: 1 or more"
        )


def _review_unused_services(cfg: RoutedConfiguration) -> Iterator[Finding]:
    used = {share.service for route in cfg.routes for share in route.shares}
    for name in sorted(cfg.services.keys() - used):
        yield _warning(f"service {name}", "no route sends requests to it")


def _review_limits(limits: CallerLimits) -> Iterator[Finding]:
    for field in fields(limits):
        value = getattr(limits, field.name)
        if value <= 0:
            yield _error("limits", f"{field.name} is {value:g}; valid: above 0")
    if 0 < limits.idle_timeout_s < limits.header_timeout_s:
        yield _warning(
            "limits",
            f"a connection may be idle for {limits.idle_timeout_s:g} s, and a request "
            f"may take {limits.header_timeout_s:g} s to arrive",
        )


def _list_repeated_names(document: object, place: str) -> Iterator[str]:
    match document:
        case dict():
            for key, value in document.items():
                yield from _list_repeated_names(value, f"{place} {key}".strip())
        case list():
            named = (item.get("name") for item in document if isinstance(item, dict))
            for name, count in Counter(named).items():
                if name is not None and count > 1:
                    yield f"{place}: {name}"
            for value in document:
                yield from _list_repeated_names(value, place)


def _compare_named(kind: str, before, after) -> Iterator[Change]:
    for name in sorted(before.keys() | after.keys()):
        place = f"{kind} {name}"
        if name not in after:
            yield Change(place, "present", True, False)
        elif name not in before:
            yield Change(place, "present", False, True)
        else:
            yield from _compare_fields(place, before[name], after[name])


def _compare_fields(place: str, before, after) -> Iterator[Change]:
    for field in fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield Change(place, field.name, old, new)


def _count_keys(cfg: RoutedConfiguration) -> Counter[str]:
    return Counter(owner.workspace for owner in (cfg.keys or {}).values())


def _list_keys(cfg: RoutedConfiguration, workspace: str) -> set[str]:
    return {
        key for key, owner in (cfg.keys or {}).items() if owner.workspace == workspace
    }
