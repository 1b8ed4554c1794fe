"""Services, workspaces and zones as operators configure them."""

from __future__ import annotations

import enum
import hashlib
import re
from collections.abc import Iterator
from dataclasses import dataclass

from ..errors import ConfigurationError

MAX_PRIORITY = 9
# A repeated submission is recognized until this many later ones have been accepted.
MAX_SUBMISSION_IDS = 64
_NAME = re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}$")
_TOKEN_HASH = re.compile(r"^[0-9a-f]{64}$")


class ServiceKind(enum.StrEnum):
    """Kind of targets that serve a service."""

    MODEL = "model"
    PLAIN = "plain"


class Spill(enum.StrEnum):
    """Zones that may serve requests when their own zone is at capacity."""

    NEVER = "never"
    REGION = "region"
    ANYWHERE = "anywhere"


class RoutingPolicyName(enum.StrEnum):
    """Routing policies that a service can select."""

    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_OUTSTANDING = "least-outstanding"
    TWO_CHOICES = "two-choices"
    PREFIX_AFFINITY = "prefix-affinity"


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone.

    Attributes
    ----------
    name, region
        Names assigned by the platform.
    in_service
        Whether the zone's targets receive new work.
    """

    name: str
    region: str
    in_service: bool = True


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace, with its priority and share.

    Attributes
    ----------
    name
        Name of the workspace.
    priority
        Priority from 0 (served first) to 9 (served last).
    share
        Relative weight among the workspaces of the same priority.
    token_hashes
        SHA-256 of each valid token, in hexadecimal.
    """

    name: str
    priority: int
    share: float = 1.0
    token_hashes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """A model or a plain service.

    Attributes
    ----------
    name
        Name that callers use.
    kind
        Whether model engines or plain targets serve it.
    pool
        Pool of hosts on which the service runs.
    hosts_per_replica
        Number of hosts in a replica group.
    model
        Name of the weights to load.
    model_version
        Version of the weights.
    cold_cap
        Maximum number of concurrent requests at a cold target.
    warm_cap
        Maximum number of concurrent requests at a warm target.
    checks_fencing
        Whether targets refuse orders with a stale fencing token.
    routing
        Routing policy.
    spill
        Zones that may serve requests when their own zone is at capacity.
    repeatable_methods
        HTTP methods of a plain service that are idempotent.
    timeout_s
        Default time-out for the complete answer, in seconds.
    max_wait_s
        Maximum expected wait for a target, in seconds; a request that would wait
        longer is refused.
    spare_hosts
        Number of hosts in each fabric domain that are kept out of replica groups as
        spares, with the weights loaded.
    """

    name: str
    kind: ServiceKind
    pool: str
    hosts_per_replica: int = 1
    model: str = ""
    model_version: str = ""
    cold_cap: int = 2
    warm_cap: int = 64
    checks_fencing: bool = True
    routing: RoutingPolicyName = RoutingPolicyName.PREFIX_AFFINITY
    spill: Spill = Spill.REGION
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    timeout_s: float = 60.0
    max_wait_s: float = 5.0
    spare_hosts: int = 0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One revision of the configuration of all services.

    Attributes
    ----------
    revision
        Grows by one with each accepted submission; 0 is the initial, empty
        configuration.
    submissions
        Ids of the most recent submissions, newest last.
    """

    revision: int = 0
    zones: tuple[Zone, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    services: tuple[Service, ...] = ()
    submissions: tuple[str, ...] = ()

    def find_service(self, name: str) -> Service | None:
        """Return the service of a name, or None."""
        return next((item for item in self.services if item.name == name), None)

    def find_zone(self, name: str) -> Zone | None:
        """Return the zone of a name, or None."""
        return next((item for item in self.zones if item.name == name), None)

    def is_zone_in_service(self, name: str) -> bool:
        """Return whether the targets of a zone may receive new work."""
        zone = self.find_zone(name)
        return zone is not None and zone.in_service


def hash_token(token: str) -> str:
    """Return the hash of a workspace's token as stored in the configuration."""
    return hashlib.sha256(token.encode()).hexdigest()


def check_configuration(cfg: Configuration) -> None:
    """Validate a configuration.

    Raises
    ------
    ConfigurationError
        A value is invalid; the message names it and the valid values.
    """
    for problem in _find_problems(cfg):
        raise ConfigurationError(problem)


def _find_problems(cfg: Configuration) -> Iterator[str]:
    for kind, items in (
        ("zone", cfg.zones),
        ("workspace", cfg.workspaces),
        ("service", cfg.services),
    ):
        yield from _find_name_problems(kind, [item.name for item in items])
    for workspace in cfg.workspaces:
        yield from _find_workspace_problems(workspace)
    for service in cfg.services:
        yield from _find_service_problems(service)


def _find_name_problems(kind: str, names: list[str]) -> Iterator[str]:
    for name in names:
        if not _NAME.match(name):
            yield (
                f"{kind} {name!r}: bad name; valid: lower-case letters, digits, "
                "'.', '_' and '-', at most 63"
            )
        if names.count(name) > 1:
            yield f"{kind} {name!r}: appears {names.count(name)} times; valid: once"


def _find_workspace_problems(workspace: Workspace) -> Iterator[str]:
    where = f"workspace {workspace.name!r}"
    if not 0 <= workspace.priority <= MAX_PRIORITY:
        yield f"{where}: priority {workspace.priority}; valid: 0 to {MAX_PRIORITY}"
    if not 0 < workspace.share < float("inf"):
        yield f"{where}: share {workspace.share}; valid: a number above 0"
    for digest in workspace.token_hashes:
        if not _TOKEN_HASH.match(digest):
            yield f"{where}: token hash {digest!r}; valid: 64 hexadecimal digits"


def _find_service_problems(service: Service) -> Iterator[str]:
    where = f"service {service.name!r}"
    for key in ("hosts_per_replica", "cold_cap", "warm_cap"):
        value = getattr(service, key)
        if value < 1:
            yield f"{where}: {key} {value}; valid: 1 or more"
    if service.spare_hosts < 0:
        yield f"{where}: spare_hosts {service.spare_hosts}; valid: 0 or more"
    for key in ("timeout_s", "max_wait_s"):
        value = getattr(service, key)
        if not 0 < value < float("inf"):
            yield f"{where}: {key} {value}; valid: a number above 0"
    if service.kind is ServiceKind.MODEL and not service.model:
        yield f"{where}: model ''; valid: the name of weights in the weight store"
    if service.kind is ServiceKind.PLAIN and service.hosts_per_replica != 1:
        yield f"{where}: hosts_per_replica {service.hosts_per_replica}; valid: 1"
    for method in service.repeatable_methods:
        if method != method.upper():
            yield f"{where}: method {method!r}; valid: {method.upper()!r}"
