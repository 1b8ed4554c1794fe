"""Commands that read and change the configuration."""

from __future__ import annotations

import time
from pathlib import Path

from cleo.helpers import argument, option

from ..configuration import Configuration, decode_configuration, render_configuration
from ..configuration.confirmation import await_revision, find_unconfirmed
from ..configuration.document import decode_stored
from ..configuration.submission import CONFIGURATION_KEY, submit
from ..errors import ConfigurationError
from ..ports import KeyValueStore
from .common import STORE_OPTION, BaseCommand, ExitCode

FILE_ARGUMENT = argument("file", "Configuration in JSON with comments.")
TIMEOUT_OPTION = option("timeout", None, "Seconds to wait.", flag=False, default=11)


def read_current(store: KeyValueStore) -> Configuration:
    """Return the accepted configuration; an empty one if there is none yet."""
    entry = store.get(CONFIGURATION_KEY)
    return decode_stored(entry.value) if entry else Configuration()


def read_configuration(path: str) -> Configuration:
    """Read a configuration file.

    Raises
    ------
    ConfigurationError
        The file can't be read or its content is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigurationError(f"{path}: can't be read: {exc}") from exc
    return decode_configuration(text, source=path)


class ConfigPrintCommand(BaseCommand):
    """Prints a configuration file in its standard form."""

    name = "config print"
    description = "Print a configuration file in its standard form."
    help = "Example: <info>waxwingpitch config print school.jsonc</info>"
    arguments = [FILE_ARGUMENT]

    def run_command(self) -> ExitCode:
        print(render_configuration(read_configuration(self.argument("file"))), end="")
        return ExitCode.OK


class ConfigCheckCommand(BaseCommand):
    """Checks a configuration file without submitting it."""

    name = "config check"
    description = "Check a configuration file."
    help = "Example: <info>waxwingpitch config check school.jsonc</info>"
    arguments = [FILE_ARGUMENT]

    def run_command(self) -> ExitCode:
        cfg = read_configuration(self.argument("file"))
        self.line(
            f"{len(cfg.zones)} zones, {len(cfg.workspaces)} workspaces, "
            f"{len(cfg.services)} services: correct"
        )
        return ExitCode.OK


class ConfigShowCommand(BaseCommand):
    """Shows the accepted configuration."""

    name = "config show"
    description = "Show the accepted configuration."
    help = "Example: <info>waxwingpitch config show --store http://IP:PORT</info>"
    options = [STORE_OPTION]

    def run_command(self) -> ExitCode:
        print(render_configuration(read_current(self.open_store())), end="")
        return ExitCode.OK


class ConfigSubmitCommand(BaseCommand):
    """Submits a configuration file."""

    name = "config submit"
    description = "Submit a configuration file built on the current revision."
    help = (
        "A submission whose answer was lost may be repeated with the same --id.\n"
        "Example: <info>waxwingpitch config submit school.jsonc --id 7f3</info>"
    )
    arguments = [FILE_ARGUMENT]
    options = [
        STORE_OPTION,
        TIMEOUT_OPTION,
        option("id", None, "Id of the submission.", flag=False),
    ]

    def run_command(self) -> ExitCode:
        cfg = read_configuration(self.argument("file"))
        deadline = time.monotonic() + float(self.option("timeout"))
        result = submit(
            self.open_store(), cfg, submission_id=self.option("id"), deadline=deadline
        )
        self.line(f"{result.outcome}: revision {result.revision}, id {result.id}")
        return ExitCode.OK


class ConfigWaitCommand(BaseCommand):
    """Waits until every entry host applies a revision."""

    name = "config wait"
    description = "Wait until every entry host acts on a revision; list the rest."
    help = "Example: <info>waxwingpitch config wait --revision 7 --timeout 11</info>"
    options = [
        STORE_OPTION,
        TIMEOUT_OPTION,
        option("revision", None, "Revision; the current by default.", flag=False),
    ]

    def run_command(self) -> ExitCode:
        store = self.open_store()
        requested = self.option("revision")
        revision = int(requested) if requested else read_current(store).revision
        deadline = time.monotonic() + float(self.option("timeout"))
        reports = await_revision(store, revision, deadline)
        unconfirmed_ids = {
            item.member.id for item in find_unconfirmed(reports, revision)
        }
        for item in reports:
            state = (
                "not confirmed" if item.member.id in unconfirmed_ids else "confirmed"
            )
            applied = "unreachable" if item.revision is None else item.revision
            self.line(f"{item.member.zone} {item.member.id}: {state} ({applied})")
        return ExitCode.NOT_CONFIRMED if unconfirmed_ids else ExitCode.OK
