"""Extraction of the decisions on a request from log lines."""

from __future__ import annotations

import json

from ..telemetry.explain import explain, parse_lines, render_explanation


def write(seconds: float, number: int, message: str, **fields) -> str:
    at = f"2026-06-25T06:00:{seconds:06.3f}+00:00"
    line = {"at": at, "level": "info", "message": message, "line": number, **fields}
    return "  12.5 gw-1 " + json.dumps(line)


LINES = [
    write(1.0, 1, "target suspected", target="t1", epoch=7),
    write(1.5, 2, "target suspected", target="t9", epoch=8),
    write(2.0, 3, "request placed", request="r1", target="t1", outstanding=3),
    write(2.1, 4, "request placed", request="r2", target="t2", outstanding=1),
    write(2.5, 6, "attempt failed", request="r1", target="t1", outcome="Stalled"),
    "no JSON at all",
    write(2.6, 7, "request refused", request="r1", status=503, reason="no slot"),
]


def test_decisions_are_in_order_and_have_their_background():
    explanation = explain("r1", parse_lines("gw-1.log", reversed(LINES)))
    assert [line.message for line in explanation.decisions] == [
        "request placed",
        "attempt failed",
        "request refused",
    ]
    assert [line.fields["target"] for line in explanation.background] == ["t1"]


def test_missing_lines_are_counted():
    explanation = explain("r1", parse_lines("gw-1.log", LINES))
    assert explanation.missing == {"gw-1.log": 1}
    text = "\n".join(render_explanation(explanation))
    assert "1 lines are missing in gw-1.log" in text
    assert "reason=no slot" in text


def test_unknown_request_is_reported():
    explanation = explain("r7", parse_lines("gw-1.log", LINES))
    assert list(render_explanation(explanation)) == [
        "no line names request 'r7'; valid: an id from a log line"
    ]
