"""Rendering of plain values as JSON with comments."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

INDENT = "  "


@dataclass(frozen=True, slots=True)
class Comment:
    """A comment line above a key.

    Attributes
    ----------
    path
        Dotted path of the key, without list indices.
    text
        One line of text.
    """

    path: str
    text: str


def render(value: Any, comments: Sequence[Comment] = ()) -> str:
    """Render a plain value as JSON with comments.

    Parameters
    ----------
    value
        Mappings, sequences, strings, numbers, booleans and None.
    comments
        Comments, each written above the first key with its path.

    Examples
    --------
    >>> print(render({"a": 1}, [Comment("a", "Metres.")]), end="")
    {
      // Metres.
      "a": 1
    }
    """
    pending = {comment.path: comment.text for comment in comments}
    return "\n".join(_render_lines(value, "", "", pending)) + "\n"


def _render_lines(
    value: Any, path: str, indent: str, pending: dict[str, str]
) -> Iterator[str]:
    match value:
        case Mapping() if value:
            yield "{"
            yield from _render_members(value, path, indent + INDENT, pending)
            yield indent + "}"
        case list() | tuple() if value and not _is_flat(value):
            yield "["
            last = len(value) - 1
            for i, item in enumerate(value):
                lines = list(_render_lines(item, path, indent + INDENT, pending))
                lines[0] = indent + INDENT + lines[0]
                lines[-1] += "" if i == last else ","
                yield from lines
            yield indent + "]"
        case _:
            yield json.dumps(value, ensure_ascii=False)


def _render_members(
    value: Mapping, path: str, indent: str, pending: dict[str, str]
) -> Iterator[str]:
    last = len(value) - 1
    for i, (key, item) in enumerate(value.items()):
        child = f"{path}.{key}" if path else str(key)
        comment = pending.pop(child, None)
        if comment is not None:
            yield f"{indent}// {comment}"
        lines = list(_render_lines(item, child, indent, pending))
        lines[0] = f"{indent}{json.dumps(key, ensure_ascii=False)}: {lines[0]}"
        lines[-1] += "" if i == last else ","
        yield from lines


def _is_flat(value: Sequence) -> bool:
    return all(not isinstance(item, (Mapping, list, tuple)) for item in value)
