"""The command line's application and its exit codes."""

from __future__ import annotations

from collections.abc import Sequence

from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput

from .. import __version__
from .call import CallCommand
from .configuration import (
    ConfigCheckCommand,
    ConfigPrintCommand,
    ConfigShowCommand,
    ConfigSubmitCommand,
    ConfigWaitCommand,
)
from .demo import DemoCommand
from .dump import DumpCommand
from .entry import EntryCommand
from .explain import ExplainCommand
from .load import LoadCommand
from .review import ConfigReviewCommand
from .standins import (
    StandInEngineCommand,
    StandInHostsCommand,
    StandInServiceCommand,
    StandInStoreCommand,
    StandInWeightsCommand,
)
from .zones import ZoneInCommand, ZoneOutCommand, ZoneShowCommand

COMMANDS = (
    EntryCommand,
    StandInStoreCommand,
    StandInEngineCommand,
    StandInServiceCommand,
    StandInHostsCommand,
    StandInWeightsCommand,
    ConfigPrintCommand,
    ConfigCheckCommand,
    ConfigReviewCommand,
    ConfigSubmitCommand,
    ConfigShowCommand,
    ConfigWaitCommand,
    ZoneOutCommand,
    ZoneInCommand,
    ZoneShowCommand,
    DumpCommand,
    ExplainCommand,
    CallCommand,
    LoadCommand,
    DemoCommand,
)


def run_cli(arguments: Sequence[str]) -> int:
    """Run the command that the arguments name and return its exit code."""
    app = Application("waxwingpitch", __version__)
    app.auto_exits(False)
    for command in COMMANDS:
        app.add(command())
    return app.run(ArgvInput(["waxwingpitch", *arguments]))
