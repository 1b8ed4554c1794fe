"""Exit codes, options and error handling shared by all commands."""

from __future__ import annotations

import enum
import signal
from collections.abc import Callable

import gevent
from cleo.commands.command import Command
from cleo.helpers import option
from gevent.event import Event

from ..errors import (
    ConfigurationError,
    RequestError,
    SettingsError,
    StaleBaseError,
    StoreError,
    WaxwingpitchError,
)
from ..ports import HttpKeyValueStore

DEFAULT_STORE = "http://127.0.0.1:8401"

STORE_OPTION = option(
    "store",
    None,
    "Base URL of the key-value service.",
    flag=False,
    default=DEFAULT_STORE,
)


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    INVALID = 2
    STALE = 3
    UNAVAILABLE = 4
    NOT_CONFIRMED = 5
    GUARANTEE_VIOLATED = 6


class BaseCommand(Command):
    """Command that reports an error as one line and an exit code."""

    def run_command(self) -> ExitCode:
        """Run the command; overridden by each command."""
        raise NotImplementedError

    def handle(self) -> int:
        try:
            return int(self.run_command())
        except WaxwingpitchError as exc:
            self.line_error(f"{int(exc.code)} {exc.message}", style="error")
            return int(exit_code_for(exc))

    def open_store(self) -> HttpKeyValueStore:
        """Return a client of the key-value service at the URL of ``--store``."""
        return HttpKeyValueStore(self.option("store"))


def exit_code_for(exc: WaxwingpitchError) -> ExitCode:
    """Return the exit code for an error."""
    match exc:
        case SettingsError() | ConfigurationError():
            return ExitCode.INVALID
        case StaleBaseError():
            return ExitCode.STALE
        case StoreError():
            return ExitCode.UNAVAILABLE
        case RequestError():
            return ExitCode.FAILED
        case _:
            return ExitCode.FAILED


def wait_for_stop(stop: Callable[[], None]) -> None:
    """Wait for SIGTERM or SIGINT, then call ``stop``."""
    signal_received = Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, signal_received.set)
    signal_received.wait()
    stop()
