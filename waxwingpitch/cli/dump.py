"""Command that prints the state of an entry host."""

from __future__ import annotations

import msgspec
from cleo.helpers import option

from ..errors import StoreUnavailableError
from ..ports.http import (
    ConnectionLostError,
    HttpClient,
    NotSentError,
    ResponseTimeoutError,
)
from .common import BaseCommand, ExitCode

CALL_TIMEOUT_S = 5.0


class DumpCommand(BaseCommand):
    """Prints the state of an entry host."""

    name = "dump"
    description = "Print the state of an entry host as JSON."
    help = "Example: <info>waxwingpitch dump --url http://IP:PORT --token T</info>"
    options = [
        option("url", None, "Base URL of the entry host.", flag=False),
        option("token", None, "Operator token.", flag=False, default=""),
    ]

    def run_command(self) -> ExitCode:
        client = HttpClient(self.option("url") or "http://127.0.0.1:8400")
        headers = {"Authorization": f"Bearer {self.option('token')}"}
        try:
            resp = client.send(
                "GET", "/operator/state", timeout_s=CALL_TIMEOUT_S, headers=headers
            )
        except (NotSentError, ResponseTimeoutError, ConnectionLostError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
        print(msgspec.json.format(resp.data, indent=2).decode())
        return ExitCode.OK if resp.status == 200 else ExitCode.FAILED
