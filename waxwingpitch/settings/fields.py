"""Reads and validates the fields of a settings file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..errors import SettingsError
from .gateway import Address

MAX_PORT = 65535


class FieldReader:
    """Reads and validates fields; the error for an invalid field names it."""

    def __init__(self, path: str, fields: Mapping[str, Any]):
        self._path = path
        self._fields = fields

    def text(self, *names: str) -> str:
        return self._read(names, lambda value: isinstance(value, str) and value, "text")

    def number(self, *names: str, default: float | None = None) -> float:
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

    def flag(self, *names: str, default: bool) -> bool:
        return self._read(
            names, lambda value: isinstance(value, bool), "true or false", default
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
