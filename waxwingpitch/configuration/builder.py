"""Builder for configurations in Python."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from ..errors import ConfigurationError
from .model import (
    Configuration,
    RoutingPolicyName,
    Service,
    ServiceKind,
    Spill,
    Workspace,
    Zone,
    check_configuration,
    hash_token,
)


class ConfigurationBuilder:
    """Builds a configuration from zones, workspaces and services.

    Parameters
    ----------
    base
        Configuration to change; an empty one by default.

    Examples
    --------
    >>> builder = ConfigurationBuilder()
    >>> builder.add_zone("dar-a", region="dar")
    >>> builder.add_workspace("form-two", priority=0, tokens=["secret"])
    >>> builder.build().zones[0].name
    'dar-a'
    """

    def __init__(self, base: Configuration | None = None):
        base = base or Configuration()
        self._base = base
        self._zones = {item.name: item for item in base.zones}
        self._workspaces = {item.name: item for item in base.workspaces}
        self._services = {item.name: item for item in base.services}

    def add_zone(self, name: str, *, region: str, in_service: bool = True) -> None:
        """Add an availability zone."""
        self._zones[name] = Zone(name, region, in_service)

    def set_zone_in_service(self, name: str, in_service: bool) -> None:
        """Set whether the targets of a zone receive new work.

        Raises
        ------
        ConfigurationError
            The zone is not configured.
        """
        if name not in self._zones:
            valid = ", ".join(sorted(self._zones)) or "none are configured"
            raise ConfigurationError(f"zone {name!r}: unknown; valid: {valid}")
        self._zones[name] = replace(self._zones[name], in_service=in_service)

    def add_workspace(
        self,
        name: str,
        *,
        priority: int,
        share: float = 1.0,
        tokens: Sequence[str] = (),
    ) -> None:
        """Add a workspace; only hashes of its tokens are stored."""
        hashes = tuple(hash_token(token) for token in tokens)
        self._workspaces[name] = Workspace(name, priority, share, hashes)

    def remove_workspace(self, name: str) -> None:
        """Remove a workspace if it exists."""
        self._workspaces.pop(name, None)

    def add_model_service(
        self,
        name: str,
        *,
        pool: str,
        model: str,
        model_version: str = "1",
        hosts_per_replica: int = 1,
        cold_cap: int = 2,
        warm_cap: int = 64,
        checks_fencing: bool = True,
        routing: RoutingPolicyName | str = RoutingPolicyName.PREFIX_AFFINITY,
        spill: Spill | str = Spill.REGION,
        timeout_s: float = 60.0,
        max_wait_s: float = 5.0,
        spare_hosts: int = 0,
    ) -> None:
        """Add a model service; see :class:`Service`."""
        self._services[name] = Service(
            name=name,
            kind=ServiceKind.MODEL,
            pool=pool,
            hosts_per_replica=hosts_per_replica,
            model=model,
            model_version=model_version,
            cold_cap=cold_cap,
            warm_cap=warm_cap,
            checks_fencing=checks_fencing,
            routing=RoutingPolicyName(routing),
            spill=Spill(spill),
            timeout_s=timeout_s,
            max_wait_s=max_wait_s,
            spare_hosts=spare_hosts,
        )

    def add_plain_service(
        self,
        name: str,
        *,
        pool: str,
        cold_cap: int = 16,
        warm_cap: int = 64,
        repeatable_methods: Sequence[str] = ("GET", "HEAD", "OPTIONS"),
        routing: RoutingPolicyName | str = RoutingPolicyName.LEAST_OUTSTANDING,
        spill: Spill | str = Spill.REGION,
        timeout_s: float = 10.0,
        max_wait_s: float = 5.0,
    ) -> None:
        """Add a plain service; see :class:`Service`."""
        self._services[name] = Service(
            name=name,
            kind=ServiceKind.PLAIN,
            pool=pool,
            cold_cap=cold_cap,
            warm_cap=warm_cap,
            repeatable_methods=tuple(repeatable_methods),
            routing=RoutingPolicyName(routing),
            spill=Spill(spill),
            timeout_s=timeout_s,
            max_wait_s=max_wait_s,
        )

    def remove_service(self, name: str) -> None:
        """Remove a service if it exists."""
        self._services.pop(name, None)

    def build(self) -> Configuration:
        """Return the validated configuration, with the revision of the base.

        Raises
        ------
        ConfigurationError
            A value is invalid; the message names it and the valid values.
        """
        cfg = replace(
            self._base,
            zones=tuple(self._zones.values()),
            workspaces=tuple(self._workspaces.values()),
            services=tuple(self._services.values()),
        )
        check_configuration(cfg)
        return cfg
