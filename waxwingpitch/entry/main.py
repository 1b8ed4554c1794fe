"""Entry point of the entry daemon's process."""

from __future__ import annotations

import sys

from ..errors import SettingsError
from ..settings import load_entry_settings
from ..telemetry import set_up_logging
from .daemon import EntryDaemon

EXIT_OK = 0
EXIT_SETTINGS = 2


def run_entry(path: str) -> int:
    """Run an entry daemon until it is told to stop; return the exit code."""
    try:
        settings = load_entry_settings(path)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        return EXIT_SETTINGS
    set_up_logging(settings.log_level)
    EntryDaemon(settings).run_until_stopped()
    return EXIT_OK
