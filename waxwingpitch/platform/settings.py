"""Decodes the platform's settings file into the settings of a gateway."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from ..errors import SettingsError
from ..settings.gateway import (
    DEFAULT_MAX_FDS,
    Address,
    GatewaySettings,
    OperatingBounds,
)

SETTINGS_VARIABLE = "WAXWINGPITCH_CONFIG"
METRICS_PORT = 9464
MAX_PORT = 65535


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
    reader = _FieldReader(path, fields)
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
        max_fds=int(
            reader.number("limits", "max_fds", default=DEFAULT_MAX_FDS),
        ),
        is_first_start=fields.get("bootstrap") is True,
    )


class _FieldReader:
    """Reads and validates fields; the error for an invalid field names it."""

    def __init__(self, path: str, fields: Mapping[str, Any]):
        self._path = path
        self._fields = fields

    def text(self, *names: str) -> str:
        return self._read(names, lambda value: isinstance(value, str) and value, "text")

    def number(self, *names: str, default: float | None = None) -> float:
        """Return a number; an absent field without a default is an error."""
        return float(
            self._read(
                names,
                lambda value: isinstance(value, int | float)
                and not isinstance(value, bool)
                and value >= 0,
                "a number of 0 or more",
                default,
            )
        )

    def table(self, *names: str) -> Mapping[str, Any]:
        return self._read(names, lambda value: isinstance(value, dict), "a table")

    def address(self, *names: str) -> Address:
        text = self._read(names, _is_address, "IP:port")
        return Address.parse(text)

    def ports(self, *names: str) -> tuple[int, int]:
        """Return the first and the last port of a port range."""
        ports = self._read(
            names,
            lambda value: isinstance(value, list)
            and len(value) == 2
            and all(isinstance(port, int) for port in value)
            and 0 < value[0] <= value[1] <= MAX_PORT,
            "a list of the first and the last port",
        )
        return ports[0], ports[1]

    def _read(
        self, names: tuple[str, ...], is_valid, valid: str, default: Any = None
    ) -> Any:
        value: Any = self._fields
        for name in names:
            value = value.get(name) if isinstance(value, dict) else None
        if value is None:
            value = default
        if not is_valid(value):
            raise SettingsError(
                f"{self._path}: {'.'.join(names)}: {value!r} is invalid; valid: {valid}"
            )
        return value


def _is_address(value: Any) -> bool:
    try:
        Address.parse(value)
    except (ValueError, AttributeError):
        return False
    return True
