"""Command that sends one chat request or one call to a plain service."""

from __future__ import annotations

import sys

import msgspec
import uuid6
from cleo.helpers import argument, option

from ..errors import StoreUnavailableError
from ..ports.http import (
    ConnectionLostError,
    HttpClient,
    NotSentError,
    ResponseTimeoutError,
)
from .common import BaseCommand, ExitCode

EVENT_PREFIX = b"data: "


class CallCommand(BaseCommand):
    """Sends one request."""

    name = "call"
    description = "Send a chat request, or a call to a plain service."
    help = (
        "Examples:\n"
        "<info>waxwingpitch call lesson 'Eleza sehemu' --token T</info>\n"
        "<info>waxwingpitch call attendance /marks/asha --method POST --token T</info>"
    )
    arguments = [
        argument("service", "Name of the service."),
        argument("what", "Prompt, or path of a plain service."),
    ]
    options = [
        option("url", None, "Base URL of an entry host.", flag=False),
        option("token", None, "Token of a workspace.", flag=False, default=""),
        option("method", None, "Calls a plain service.", flag=False),
        option("key", None, "Idempotency key; a new one by default.", flag=False),
        option("timeout", None, "Seconds to wait.", flag=False, default=60),
    ]

    def run_command(self) -> ExitCode:
        client = HttpClient(self.option("url") or "http://127.0.0.1:8400")
        try:
            if self.option("method"):
                return self._call_plain(client)
            return self._call_model(client)
        except (NotSentError, ResponseTimeoutError, ConnectionLostError) as exc:
            raise StoreUnavailableError(str(exc)) from exc

    def _headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self.option('token')}",
            "Content-Type": "application/json",
        }

    def _call_plain(self, client: HttpClient) -> ExitCode:
        key = self.option("key") or str(uuid6.uuid7())
        resp = client.send(
            self.option("method"),
            f"/v1/services/{self.argument('service')}{self.argument('what')}",
            timeout_s=float(self.option("timeout")),
            headers={**self._headers(), "Idempotency-Key": key},
        )
        print(resp.data.decode("utf-8", "replace"))
        return ExitCode.OK if resp.status < 400 else ExitCode.FAILED

    def _call_model(self, client: HttpClient) -> ExitCode:
        message = {"role": "user", "content": self.argument("what")}
        body = {
            "model": self.argument("service"),
            "stream": True,
            "messages": [message],
        }
        resp = client.send(
            "POST",
            "/v1/chat/completions",
            timeout_s=float(self.option("timeout")),
            body=msgspec.json.encode(body),
            headers=self._headers(),
            stream=True,
        )
        if resp.status != 200:
            print(resp.data.decode("utf-8", "replace"))
            return ExitCode.FAILED
        return self._print_events(resp)

    def _print_events(self, resp) -> ExitCode:
        rest = b""
        for chunk in resp.stream(65536):
            *events, rest = (rest + chunk).split(b"\n\n")
            for event in events:
                data = event.removeprefix(EVENT_PREFIX)
                if data == b"[DONE]":
                    print()
                    return ExitCode.OK
                self._print_event(msgspec.json.decode(data))
        print()
        return ExitCode.FAILED

    def _print_event(self, event: dict) -> None:
        if "error" in event:
            self.line_error(f"\n{event['error']}", style="error")
        for choice in event.get("choices", ()):
            sys.stdout.write(choice["delta"].get("content", ""))
            sys.stdout.flush()
