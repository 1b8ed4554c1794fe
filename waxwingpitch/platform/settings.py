"""Decodes the platform's settings file into the settings of a gateway."""

from __future__ import annotations

import tomllib
from pathlib import Path

from ..errors import SettingsError
from ..settings.fields import FieldReader
from ..settings.gateway import Address, GatewaySettings, OperatingBounds

SETTINGS_VARIABLE = "WAXWINGPITCH_CONFIG"
METRICS_PORT = 9464
# Descriptors where the file states none, the least that larger hosts have.
DEFAULT_MAX_FDS = 4096


def load_platform_settings(path: str) -> GatewaySettings:
    """Read and validate the settings file.

    Raises
    ------
    SettingsError
        The file is unreadable or a field is invalid; the message names the file, the
        field, its value and valid values.
    """
    try:
        with Path(path).open("rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}; valid: a readable TOML file") from exc
    reader = FieldReader(path, fields)
    bind = reader.text("bind_ip")
    ports = reader.ports("port_range")
    return GatewaySettings(
        name=reader.text("node_name"),
        zone=reader.text("zone"),
        zones=tuple(reader.table("zones")),
        front=reader.address("listen", "front"),
        ready=reader.address("listen", "ready"),
        peers=Address(bind, ports[0]),
        relay=Address(bind, ports[1]) if ports[1] > ports[0] else None,
        store=reader.address("provider", "address"),
        metrics=Address(bind, METRICS_PORT),
        bounds=OperatingBounds(
            contact_s=reader.number("bounds", "contact_ms") / 1000,
            leaving_s=reader.number("bounds", "drain_ms") / 1000,
            stop_s=reader.number("bounds", "grace_period_s"),
            retry_ratio=reader.number("bounds", "retry_ratio"),
            retry_slack=reader.number("bounds", "budget_slack"),
            retry_window_s=reader.number("bounds", "budget_window_s"),
            cold_factor=reader.number("bounds", "cold_over"),
            cold_slack=reader.number("bounds", "cold_slack"),
            stall_s=reader.number("bounds", "stall_ms") / 1000,
            pass_s=reader.number("bounds", "pass_ms") / 1000,
        ),
        min_lease_s=reader.number("provider", "ttl_min_ms") / 1000,
        processor_share=reader.number("limits", "cpu_share")
        * reader.number("limits", "cpu_cores"),
        link_mbps=reader.number("limits", "link_mbps"),
        memory_mb=reader.number("limits", "memory_mb"),
        max_fds=int(reader.number("limits", "max_fds", default=DEFAULT_MAX_FDS)),
        is_first_start=fields.get("bootstrap") is True,
        may_leave_zone=reader.flag("zone_spillover", default=True),
    )
