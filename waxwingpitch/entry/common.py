"""Parts of an entry daemon that its HTTP interface and its state dump use."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ..mesh import MeshNode
from ..requests.claim_writer import ClaimWriter
from ..settings import EntrySettings
from ..telemetry import EntryMetrics
from .bound_runs import BoundKeyRuns
from .controller import Controller
from .coordination import Coordination
from .dispatch import Dispatcher
from .model_path import ModelPath
from .observer import Observer
from .plain_path import PlainPath
from .platform_tasks import DocumentWatcher
from .view import EntryView


class RequestHost(Protocol):
    """What the HTTP interface needs of the daemon that runs its requests."""

    settings: EntrySettings
    metrics: EntryMetrics
    view: EntryView
    model_path: ModelPath
    plain_path: PlainPath
    bound_key_runs: BoundKeyRuns

    def find_unready_reason(self) -> str | None:
        """Return why the process is not ready for requests, or None if it is."""

    def dump(self) -> bytes:
        """Return the state of the process as JSON."""


class DaemonState(Protocol):
    """What the state dump shows of a daemon."""

    started_at: float
    view: EntryView
    mesh: MeshNode
    watcher: DocumentWatcher
    controller: Controller
    observer: Observer
    coordination: Coordination
    claims: ClaimWriter

    @property
    def dispatchers(self) -> Mapping[str, Dispatcher]:
        """Dispatchers by service."""

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""

    def find_unready_reason(self) -> str | None:
        """Return why the process is not ready for requests, or None if it is."""
