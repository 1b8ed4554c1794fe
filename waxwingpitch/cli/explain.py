"""Command that explains the outcome of one request from log files."""

from __future__ import annotations

from pathlib import Path

from cleo.helpers import argument

from ..telemetry.explain import explain, parse_lines, render_explanation
from .common import BaseCommand, ExitCode


class ExplainCommand(BaseCommand):
    """Prints the decisions on a request in order, with the inputs of each."""

    name = "explain"
    description = "Explain a request's end from log files."
    help = "Example: <info>waxwingpitch explain 9c41d07be2a35f68 gw-*.log</info>"
    arguments = [
        argument("request", "Id of the request."),
        argument("files", "Log files of the gateways.", multiple=True),
    ]

    def run_command(self) -> ExitCode:
        lines = []
        for name in self.argument("files"):
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                lines.extend(parse_lines(name, file))
        explanation = explain(self.argument("request"), lines)
        for text in render_explanation(explanation):
            print(text)
        return ExitCode.OK if explanation.decisions else ExitCode.FAILED
