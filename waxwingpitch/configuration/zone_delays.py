"""Reads the delays between zones that a configuration states."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import Any

from .routes import ZoneDelay

logger = logging.getLogger(__name__)


def read_zone_delays(value: Any) -> tuple[ZoneDelay, ...]:
    """Return the delays of a document, which states them in milliseconds.

    Valid are a mapping of zones to mappings of zones to a number, and a list whose
    items have two zones and a number. Others give a log line and no delays, as a
    configuration serves without them.

    Examples
    --------
    >>> read_zone_delays({"a": {"b": 1.5}}) == read_zone_delays([["a", "b", 1.5]])
    True
    >>> read_zone_delays([{"from": "a", "to": "b", "ms": 1.5}])
    (ZoneDelay(zones=('a', 'b'), delay_s=0.0015),)
    """
    if value is None:
        return ()
    try:
        return tuple(
            ZoneDelay((first, second), delay_ms / 1000)
            for first, second, delay_ms in _iter_entries(value)
        )
    except ValueError as exc:
        logger.warning("delays between zones not used", extra={"error": str(exc)})
        return ()


def _iter_entries(value: Any) -> Iterator[tuple[str, str, float]]:
    if isinstance(value, dict):
        for first, others in value.items():
            if not isinstance(others, dict):
                raise _invalid(others)
            for second, delay_ms in others.items():
                yield _check([first, second, delay_ms])
    elif isinstance(value, list):
        for item in value:
            yield _check(list(item.values()) if isinstance(item, dict) else item)
    else:
        raise _invalid(value)


def _check(entry: Any) -> tuple[str, str, float]:
    match entry:
        case [
            str(first),
            str(second),
            int() | float() as delay_ms,
        ] if delay_ms >= 0 and not isinstance(delay_ms, bool):
            return first, second, delay_ms
    raise _invalid(entry)


def _invalid(value: Any) -> ValueError:
    return ValueError(
        f"{value!r:.200}; valid: {{zone: {{zone: ms}}}} or [[zone, zone, ms]], ms >= 0"
    )
