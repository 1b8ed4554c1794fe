"""Call to a plain service, as its data path and the runs under bound keys use it."""

from __future__ import annotations

from dataclasses import dataclass

from ..configuration import Service, Workspace
from ..ports import PlainCall
from ..requests import IdempotencyKey, fingerprint_request


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A validated call to a plain service."""

    call: PlainCall
    service: Service
    workspace: Workspace
    deadline: float
    key: IdempotencyKey | None

    @property
    def is_repeatable(self) -> bool:
        """Whether the call may run more than once."""
        return self.call.method in self.service.repeatable_methods

    @property
    def fingerprint(self) -> str:
        """Hash by which a key that is reused for another call is detected."""
        call = self.call
        text = "\0".join((call.method, call.path, call.query)).encode()
        return fingerprint_request(self.service.name, text + b"\0" + call.body)

    @property
    def scoped_key(self) -> str:
        """Idempotency key within its workspace."""
        return f"{self.workspace.name}/{self.key.text}"
