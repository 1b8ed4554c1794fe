"""Commands that take availability zones in and out of service."""

from __future__ import annotations

import time
import uuid

from cleo.helpers import argument

from ..configuration import ConfigurationBuilder, submit
from ..configuration.confirmation import await_revision, find_unconfirmed
from ..errors import StaleBaseError
from .common import STORE_OPTION, BaseCommand, ExitCode
from .configuration import TIMEOUT_OPTION, read_current

ZONE_ARGUMENT = argument("zone", "Availability zone.")
MAX_SUBMIT_ATTEMPTS = 10


class _ZoneCommand(BaseCommand):
    """Submits a change of one zone and waits until every entry host applies it."""

    in_service = True
    arguments = [ZONE_ARGUMENT]
    options = [STORE_OPTION, TIMEOUT_OPTION]

    def run_command(self) -> ExitCode:
        deadline = time.monotonic() + float(self.option("timeout"))
        store = self.open_store()
        revision = self._submit(store, deadline)
        reports = await_revision(store, revision, deadline)
        unconfirmed = list(find_unconfirmed(reports, revision))
        state = "in service" if self.in_service else "out of service"
        self.line(f"revision {revision}: zone {self.argument('zone')} {state}")
        for item in unconfirmed:
            self.line(f"not confirmed by {item.member.zone} {item.member.id}")
        return ExitCode.NOT_CONFIRMED if unconfirmed else ExitCode.OK

    def _submit(self, store, deadline: float) -> int:
        """Submit the change; rebuild it if another change was accepted meanwhile."""
        submission_id = str(uuid.uuid4())
        for attempt in range(MAX_SUBMIT_ATTEMPTS):
            builder = ConfigurationBuilder(read_current(store))
            builder.set_zone_in_service(self.argument("zone"), self.in_service)
            try:
                result = submit(
                    store,
                    builder.build(),
                    submission_id=submission_id,
                    deadline=deadline,
                )
                return result.revision
            except StaleBaseError:
                if attempt == MAX_SUBMIT_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")


class ZoneOutCommand(_ZoneCommand):
    """Takes a zone out of service."""

    name = "zone out"
    description = "Give the targets of a zone no new work."
    help = "Example: <info>waxwingpitch zone out dar-a</info>"
    in_service = False


class ZoneInCommand(_ZoneCommand):
    """Takes a zone into service."""

    name = "zone in"
    description = "Give the targets of a zone work again."
    help = "Example: <info>waxwingpitch zone in dar-a</info>"


class ZoneShowCommand(BaseCommand):
    """Shows the zones."""

    name = "zone show"
    description = "Show the availability zones."
    help = "Example: <info>waxwingpitch zone show</info>"
    options = [STORE_OPTION]

    def run_command(self) -> ExitCode:
        for zone in read_current(self.open_store()).zones:
            state = "in service" if zone.in_service else "out of service"
            self.line(f"{zone.region} {zone.name}: {state}")
        return ExitCode.OK
