"""Command that runs the entry daemon."""

from __future__ import annotations

from cleo.helpers import option

from .common import BaseCommand, ExitCode


class EntryCommand(BaseCommand):
    """Runs the entry daemon."""

    name = "entry"
    description = "Run the entry daemon of this host."
    help = "Example: <info>waxwingpitch entry --settings entry.jsonc</info>"
    options = [option("settings", None, "Settings file.", flag=False)]

    def run_command(self) -> ExitCode:
        from ..entry.main import run_entry

        if self.option("settings") is None:
            self.line_error("--settings FILE is missing", style="error")
            return ExitCode.INVALID
        return ExitCode(run_entry(self.option("settings")))
