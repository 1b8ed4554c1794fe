"""Parsing of JSON with comments into validated data classes."""

from __future__ import annotations

import dataclasses
import enum
import re
import types
import typing
from pathlib import Path
from typing import Any, TypeVar

import jsoncfg
import msgspec

from ..errors import SettingsError, WaxwingpitchError

T = TypeVar("T")

_PATH = re.compile(r" - at `\$(?P<path>[^`]*)`$")
_STEP = re.compile(r"\.(?P<key>[^.\[\]]+)|\[(?P<index>\d+|\.\.\.)\]")
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<field>[^`]+)`")
_PARSE_LOCATION = re.compile(r"\[line=(?P<line>\d+);col=(?P<column>\d+)\]")


def read_file(path: str | Path, cls: type[T]) -> T:
    """Read a file of JSON with comments into a data class.

    Parameters
    ----------
    path
        File to read.
    cls
        Frozen data class that describes the content.

    Raises
    ------
    SettingsError
        The file can't be read, or a value is invalid; the message names file, line, key
        and value.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: can't be read: {exc}") from exc
    return decode(text, cls, source=str(path))


def decode(
    text: str,
    cls: type[T],
    *,
    source: str = "<text>",
    error: type[WaxwingpitchError] = SettingsError,
) -> T:
    """Parse JSON with comments and validate it against a data class.

    Parameters
    ----------
    text
        JSON; ``//`` and ``/* */`` comments and trailing commas are allowed.
    cls
        Frozen data class that describes the content.
    source
        Name of the text in error messages.
    error
        Class of the error to raise.

    Examples
    --------
    >>> import dataclasses
    >>> @dataclasses.dataclass(frozen=True)
    ... class Point:
    ...     x: int
    >>> decode('{"x": 1 /* metres */}', Point)
    Point(x=1)
    """
    try:
        plain = jsoncfg.loads(text)
        located = jsoncfg.loads_config(text)
    except jsoncfg.JSONConfigParserException as exc:
        raise error(f"{source}: {_describe_syntax(exc)}") from exc
    except RecursionError as exc:
        raise error(f"{source}: nested too deeply") from exc
    try:
        return msgspec.convert(plain, cls, strict=True)
    except msgspec.ValidationError as exc:
        raise error(_describe_invalid(source, str(exc), plain, located, cls)) from exc


def find_line(text: str, path: str) -> int:
    """Return the line of a dotted key in a text that :func:`decode` can parse.

    If the key is missing, the line of the innermost value on its path is returned.

    Examples
    --------
    >>> find_line('{"a":\\n {"b": 1}}', "a.b")
    2
    """
    node = jsoncfg.loads_config(text)
    for key in path.split("."):
        if not isinstance(node, jsoncfg.config_classes.ConfigJSONObject):
            break
        if key not in node:
            break
        node = node[key]
    return jsoncfg.node_location(node).line


def _describe_syntax(exc: Exception) -> str:
    message = str(exc)
    match = _PARSE_LOCATION.search(message)
    if match is None:
        return message
    text = message[: match.start()].strip()
    return f"line {match['line']}, column {match['column']}: {text}"


def _describe_invalid(
    source: str, message: str, plain: Any, located: Any, cls: type
) -> str:
    match = _PATH.search(message)
    path = match["path"] if match else ""
    problem = message[: match.start()] if match else message
    value, node, expected_type = plain, located, cls
    for key in _iter_steps(path):
        try:
            value, node = value[key], node[key]
        except (KeyError, IndexError, TypeError):
            break
        expected_type = _child_type(expected_type, key)
    line = jsoncfg.node_location(node).line
    shown = f"{value!r:.80}" if path else "the top level"
    valid = _describe_valid(expected_type, problem)
    where = f"{source}: line {line}, key '{path.lstrip('.')}'"
    return f"{where}: {problem}; got {shown}{valid}"


def _iter_steps(path: str):
    for match in _STEP.finditer(path):
        if match["key"] is not None:
            yield match["key"]
        elif match["index"] == "...":
            return
        else:
            yield int(match["index"])


def _child_type(expected_type: Any, key: str | int) -> Any:
    expected_type = _strip_optional(expected_type)
    if dataclasses.is_dataclass(expected_type) and isinstance(key, str):
        return typing.get_type_hints(expected_type).get(key)
    args = [arg for arg in typing.get_args(expected_type) if arg is not Ellipsis]
    return args[-1] if args else None


def _strip_optional(expected_type: Any) -> Any:
    if isinstance(expected_type, types.UnionType):
        options = [
            arg for arg in typing.get_args(expected_type) if arg is not types.NoneType
        ]
        return options[0] if len(options) == 1 else expected_type
    if typing.get_origin(expected_type) is typing.Annotated:
        return typing.get_args(expected_type)[0]
    return expected_type


def _describe_valid(expected_type: Any, problem: str) -> str:
    expected_type = _strip_optional(expected_type)
    if isinstance(expected_type, type) and issubclass(expected_type, enum.Enum):
        values = ", ".join(repr(member.value) for member in expected_type)
        return f"; valid values: {values}"
    if _UNKNOWN_FIELD.search(problem) and dataclasses.is_dataclass(expected_type):
        names = ", ".join(field.name for field in dataclasses.fields(expected_type))
        return f"; valid keys: {names}"
    return ""
