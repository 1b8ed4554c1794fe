"""Decoding of what other programs write, within bounds on depth and on numbers."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

MAX_COUNT = 1_000_000
# Integers up to here are exact in JSON implementations that keep numbers as doubles.
MAX_NUMBER = 2**53
MAX_DURATION_MS = 86_400_000.0
MAX_PORT = 65535

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
DurationMs = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_MS)]

ValueT = TypeVar("ValueT")


class MalformedInputError(ValueError):
    """Input that is malformed, nested too deeply or out of bounds."""


def decode_json(data: bytes, type_: type[ValueT]) -> ValueT:
    """Decode JSON into a type.

    Raises
    ------
    MalformedInputError
        The data are malformed or nested too deeply, or do not fit the type.
    """
    try:
        return msgspec.json.decode(data, type=type_)
    except (ValueError, RecursionError) as exc:
        raise MalformedInputError(str(exc)) from exc


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``IP:port``.

    Raises
    ------
    MalformedInputError
        It is something else, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise MalformedInputError(
            f"address {text[:64]!r}; valid: IP:port with a port of 1 to {MAX_PORT}"
        )
    return host, int(port)
