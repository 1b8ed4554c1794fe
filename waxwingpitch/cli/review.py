"""Command that reviews a configuration of the gateway before it is sent."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

import msgspec
from cleo.helpers import argument, option

from ..configuration.review import (
    Change,
    Finding,
    Severity,
    list_changes,
    review_configuration,
    review_repeats,
    review_version,
)
from ..configuration.routes import RoutedConfiguration
from ..errors import ConfigurationError
from ..platform.documents import (
    CONFIGURATION_KEY,
    decode_routed_configuration,
    list_keys,
)
from ..platform.store import PlatformStore
from .common import BaseCommand, ExitCode


class ConfigReviewCommand(BaseCommand):
    """Reviews a gateway's configuration file; sends nothing."""

    name = "config review"
    description = "Review a configuration of the gateway before it is sent."
    help = (
        "Names errors, entries that never match, contradictory limits,\n"
        "and what differs from the version in force. Exit code 2 on an error.\n"
        "Example: <info>waxwingpitch config review new.json --store IP:PORT</info>"
    )
    arguments = [argument("file", "Configuration in JSON, as it would be sent.")]
    options = [
        option("store", None, "IP:PORT of the platform's store.", flag=False),
        option("against", None, "File with the version in force.", flag=False),
        option("json", None, "Print findings and changes as JSON.", flag=True),
    ]

    def run_command(self) -> ExitCode:
        path = self.argument("file")
        data = _read_file(path)
        cfg = _decode(data, path)
        findings = review_repeats(msgspec.json.decode(data), list_keys(data))
        findings += review_configuration(cfg)
        changes: list[Change] = []
        in_force = self._read_version_in_force()
        if in_force is not None:
            findings += review_version(in_force, cfg)
            changes = list_changes(in_force, cfg)
        if self.option("json"):
            self.line(_format_json(findings, changes))
        else:
            self._print(findings, changes)
        has_error = any(item.severity is Severity.ERROR for item in findings)
        return ExitCode.INVALID if has_error else ExitCode.OK

    def _read_version_in_force(self) -> RoutedConfiguration | None:
        if path := self.option("against"):
            return _decode(_read_file(path), path)
        if address := self.option("store"):
            entry = PlatformStore(address).get(CONFIGURATION_KEY)
            return None if entry is None else _decode(entry.value, CONFIGURATION_KEY)
        return None

    def _print(self, findings: Sequence[Finding], changes: Sequence[Change]) -> None:
        for item in findings:
            self.line(f"{item.severity}: {item.place}: {item.message}")
        for change in changes:
            self.line(
                f"change: {change.place}: {change.field}: "
                f"{change.before} -> {change.after}"
            )
        errors = sum(item.severity is Severity.ERROR for item in findings)
        self.line(
            f"{errors} errors, {len(findings) - errors} warnings, "
            f"{len(changes)} changes"
        )


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise ConfigurationError(f"{path}: can't be read: {exc}") from exc


def _decode(data: bytes, source: str) -> RoutedConfiguration:
    try:
        return decode_routed_configuration(data)
    except ConfigurationError as exc:
        raise ConfigurationError(f"{source}: {exc.message}") from exc


def _format_json(findings: Sequence[Finding], changes: Sequence[Change]) -> str:
    document = {
        "findings": [asdict(item) for item in findings],
        "changes": [
            {
                "place": change.place,
                "field": change.field,
                "before": _encode(change.before),
                "after": _encode(change.after),
            }
            for change in changes
        ],
    }
    return msgspec.json.encode(document).decode()


def _encode(value: object) -> object:
    return msgspec.to_builtins(value)
