"""Extracts the decisions on one request, and their causes, from log lines."""

from __future__ import annotations

import datetime
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

# Time before a request's first line from which events at its targets are included.
BACKGROUND_S = 5.0
# Keys of a log line that are not copied to its fields; ``request`` is added last.
_NON_FIELD_KEYS = frozenset({"at", "level", "logger", "message", "line", "request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line.

    Attributes
    ----------
    source
        File from which the line was read.
    number
        Sequence number of the line within its process; 0 if it has none.
    """

    source: str
    at: datetime.datetime
    number: int
    message: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Explanation:
    """Log lines that explain the outcome of one request.

    Attributes
    ----------
    decisions
        Lines with the request's id, oldest first.
    background
        Lines about the targets of the request, from shortly before its first line until
        its last.
    missing
        Number of lines missing between its first and its last line, by file.
    """

    request: str
    decisions: tuple[LogLine, ...]
    background: tuple[LogLine, ...]
    missing: dict[str, int] = field(default_factory=dict)


def parse_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines, ignoring text before the JSON object."""
    for text in lines:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            record = msgspec.json.decode(text[start:])
            at = datetime.datetime.fromisoformat(record["at"])
        except (msgspec.MsgspecError, KeyError, ValueError):
            continue
        fields = {
            key: value for key, value in record.items() if key not in _NON_FIELD_KEYS
        }
        if "request" in record:
            fields["request"] = record["request"]
        yield LogLine(
            source, at, record.get("line", 0), record.get("message", ""), fields
        )


def explain(request: str, lines: Iterable[LogLine]) -> Explanation:
    """Collect the lines that explain a request's outcome."""
    ordered = sorted(lines, key=lambda line: (line.at, line.source, line.number))
    decisions = [line for line in ordered if line.fields.get("request") == request]
    if not decisions:
        return Explanation(request, (), ())
    targets = {line.fields["target"] for line in decisions if "target" in line.fields}
    first = decisions[0].at - datetime.timedelta(seconds=BACKGROUND_S)
    last = decisions[-1].at
    background = tuple(
        line
        for line in ordered
        if first <= line.at <= last
        and "request" not in line.fields
        and line.fields.get("target") in targets
    )
    sources = {line.source for line in decisions}
    return Explanation(
        request,
        tuple(decisions),
        background,
        dict(_count_missing(ordered, sources, decisions[0].at, last)),
    )


def _count_missing(
    ordered: list[LogLine],
    sources: set[str],
    first: datetime.datetime,
    last: datetime.datetime,
) -> Iterator[tuple[str, int]]:
    for source in sorted(sources):
        numbers = [
            line.number
            for line in ordered
            if line.source == source and line.number and first <= line.at <= last
        ]
        if numbers:
            missing = max(numbers) - min(numbers) + 1 - len(set(numbers))
            if missing > 0:
                yield source, missing


def render_explanation(explanation: Explanation) -> Iterator[str]:
    """Yield the lines of an explanation as text."""
    if not explanation.decisions:
        yield (
            f"no line names request {explanation.request!r}; "
            "valid: an id from a log line"
        )
        return
    start = explanation.decisions[0].at
    background = set(map(id, explanation.background))
    merged = sorted(
        (*explanation.decisions, *explanation.background), key=lambda line: line.at
    )
    for line in merged:
        offset_ms = (line.at - start).total_seconds() * 1000
        mark = "  ~" if id(line) in background else "   "
        inputs = " ".join(
            f"{key}={value}"
            for key, value in line.fields.items()
            if key != "request" and value not in (None, "")
        )
        yield f"{offset_ms:9.0f} ms{mark} {line.message}: {inputs} [{line.source}]"
    for source, count in explanation.missing.items():
        yield f"{count} lines are missing in {source} during the request"
