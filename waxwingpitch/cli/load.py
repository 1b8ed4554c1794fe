"""Command that generates load from a profile."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import msgspec
from cleo.helpers import argument, option

from ..load import LoadRunner, read_profile, render_report
from ..load.report import build_report
from ..ports.http import (
    ConnectionLostError,
    HttpClient,
    NotSentError,
    ResponseTimeoutError,
)
from .common import BaseCommand, ExitCode

CALL_TIMEOUT_S = 5.0


class LoadCommand(BaseCommand):
    """Generates load from a profile and reports the outcomes."""

    name = "load"
    description = "Send open-loop load from a profile and report what came of it."
    help = (
        "Fails when an answer is wrong, lost or doubled. With --effects, reads from\n"
        "the plain service stand-in how often each mark took effect.\n"
        "Example: <info>waxwingpitch load examples/ubao.jsonc --url http://IP:PORT "
        "--json out.json</info>"
    )
    arguments = [argument("profile", "Profile in JSON with comments.")]
    options = [
        option("url", None, "Entry host; repeat for more.", flag=False, multiple=True),
        option("effects", None, "Base URL of a service stand-in.", flag=False),
        option("json", None, "File for the result as JSON.", flag=False),
    ]

    def run_command(self) -> ExitCode:
        profile = read_profile(self.argument("profile"))
        urls = self.option("url") or ["http://127.0.0.1:8400"]
        runner = LoadRunner(profile, urls)
        runner.run(self._show_progress)
        report = build_report(runner.outcomes, self._read_effects())
        print(render_report(report))
        if self.option("json"):
            data = msgspec.json.format(msgspec.json.encode(report), indent=2)
            Path(self.option("json")).write_bytes(data + b"\n")
        return (
            ExitCode.GUARANTEE_VIOLATED if report.guarantee_violations else ExitCode.OK
        )

    def _show_progress(self, runner: LoadRunner) -> None:
        done = len(runner.outcomes)
        print(f"\rsent {runner.sent}, ended {done}", end="", file=sys.stderr)

    def _read_effects(self) -> Counter[str]:
        url = self.option("effects")
        if not url:
            return Counter()
        try:
            resp = HttpClient(url).send(
                "GET", "/admin/effects", timeout_s=CALL_TIMEOUT_S
            )
        except (NotSentError, ResponseTimeoutError, ConnectionLostError) as exc:
            self.line_error(f"effects can't be read: {exc}", style="error")
            return Counter()
        return Counter(msgspec.json.decode(resp.data))
