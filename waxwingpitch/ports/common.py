"""Abstract interfaces of the systems that waxwingpitch meets."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """A value of the key-value service.

    Attributes
    ----------
    version
        Service-wide revision of the last write to the key; never 0.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class StoredDeletion:
    """A key that was deleted, or whose lease ended, at a version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class StoredChange:
    """Answer of a watch.

    Attributes
    ----------
    version
        Service-wide revision to watch from next.
    entries
        Entries written since, oldest first.
    deletions
        Keys deleted since; a key is in only one of the two, by its last change.
    """

    version: int
    entries: tuple[StoredEntry, ...]
    deletions: tuple[StoredDeletion, ...] = ()


class KeyValueStore(ABC):
    """The platform's key-value service.

    Every method raises :class:`~waxwingpitch.errors.StoreUnavailableError` if
    the call certainly had no effect, and
    :class:`~waxwingpitch.errors.StoreAnswerLostError` if it may have had one.
    """

    @abstractmethod
    def get(self, key: str) -> StoredEntry | None:
        """Return the entry of a key, or None."""

    @abstractmethod
    def put(
        self, key: str, value: bytes, *, expect: int, lease: str | None = None
    ) -> int:
        """Write by compare-and-swap and return the new version.

        Parameters
        ----------
        expect
            Version that the key must have; 0 if it must not exist.
        lease
            Lease with which the key ends.

        Raises
        ------
        StoreConflictError
            The key has another version.
        """

    @abstractmethod
    def delete(self, key: str, *, expect: int) -> None:
        """Delete by compare-and-swap."""

    @abstractmethod
    def list(self, prefix: str) -> StoredChange:
        """Return all entries whose key starts with a prefix."""

    @abstractmethod
    def watch(self, prefix: str, after: int, *, wait_s: float) -> StoredChange:
        """Wait for entries below a prefix that were written after a version."""

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> str:
        """Grant a lease and return its id."""

    @abstractmethod
    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has lapsed."""

    def end_lease(self, lease: str) -> None:
        """End a lease and delete its keys; best effort, does nothing by default."""


class HostState(enum.StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """A host that runs a target or a member of one.

    Attributes
    ----------
    address
        ``IP:port`` of the engine or plain service.
    pool
        Pool that the host belongs to.
    zone, domain
        Availability zone and fabric domain.
    """

    id: str
    address: str
    pool: str
    zone: str
    domain: str
    state: HostState = HostState.LIVE


@dataclass(frozen=True, slots=True)
class HostSnapshot:
    """The platform's list of hosts at one version."""

    version: str
    hosts: tuple[Host, ...]


class HostList(ABC):
    """The platform's lagging list of hosts."""

    @abstractmethod
    def fetch(self, known_version: str | None = None) -> HostSnapshot | None:
        """Return the list, or None if the known version is still current.

        Raises
        ------
        StoreUnavailableError
            The list can't be reached.
        """


class WeightStore(ABC):
    """The platform's rate-limited weight store."""

    @abstractmethod
    def load(self, model: str, version: str) -> None:
        """Load weights; blocks until they are in memory.

        Raises
        ------
        StoreUnavailableError
            The store can't be reached or has no such weights.
        """


class Warmth(enum.StrEnum):
    """How much load a target bears; unknown counts as cold."""

    COLD = "cold"
    WARM = "warm"


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says about itself, with each answer and probe.

    Attributes
    ----------
    incarnation
        Changes whenever the target's process starts again.
    group, epoch
        Replica group and its epoch, as the target was last ordered; empty and
        0 if it belongs to none.
    ready
        Whether the weights are loaded and the member can serve.
    load
        Requests running and waiting, as last sampled by the target.
    loaded
        Weights in memory as ``model@version``; empty if there are none.
    """

    host: str
    incarnation: str
    warmth: Warmth = Warmth.COLD
    leaving: bool = False
    ready: bool = True
    load: int = 0
    group: str = ""
    epoch: int = 0
    loaded: str = ""


class OrderKind(enum.StrEnum):
    """Orders that model engines take."""

    JOIN = "join"
    RELEASE = "release"
    LOAD = "load"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to a member of a replica group.

    Attributes
    ----------
    epoch
        Fencing number; engines that check it refuse lower ones.
    members
        Addresses of all members, the leader first.
    """

    kind: OrderKind
    group: str
    epoch: int
    members: tuple[str, ...] = ()
    model: str = ""
    model_version: str = ""


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A generation, first or continued.

    Attributes
    ----------
    request, attempt
        Id of the request and number of the attempt; every piece carries both.
    epoch
        Epoch of the group that the sender believes in.
    offset
        First token wanted.
    delivered
        Tokens before ``offset``, when another target produced them.
    """

    request: str
    attempt: int
    group: str
    epoch: int
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    offset: int = 0
    delivered: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Piece:
    """A part of an answer.

    Attributes
    ----------
    offset
        Index of the first token.
    finish
        Why the answer ended; empty unless this is the last piece.
    prompt_tokens
        Tokens of the prompt, in the last piece.
    """

    request: str
    attempt: int
    offset: int
    tokens: tuple[str, ...]
    finish: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prompt prefix that entered or left an engine's cache."""

    sequence: int
    prefix: str
    stored: bool


class ModelTarget(ABC):
    """A model engine, reached at one host."""

    @abstractmethod
    def generate(self, req: GenerateRequest, *, progress_s: float) -> Iterator[Piece]:
        """Run a generation and yield its pieces as they arrive.

        Raises
        ------
        TargetRefusedError
            Proof that the request did not run.
        TargetProgressTimeoutError
            No piece arrived for ``progress_s`` seconds.
        TargetConnectionLostError
            The connection broke.
        """

    @abstractmethod
    def resume(
        self, request: str, attempt: int, offset: int, *, progress_s: float
    ) -> Iterator[Piece]:
        """Attach again to a running generation, from an offset."""

    @abstractmethod
    def cancel(self, request: str) -> None:
        """Stop a generation; best effort."""

    @abstractmethod
    def probe(self, *, timeout_s: float) -> TargetReport:
        """Ask the target about itself."""

    @abstractmethod
    def order(self, order: EngineOrder, *, timeout_s: float) -> TargetReport:
        """Give an order; raise TargetRefusedError if its epoch is too old."""

    @abstractmethod
    def cache_events(self, after: int, *, timeout_s: float) -> Sequence[CacheEvent]:
        """Return cache events after a sequence number; gaps are possible."""


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A call to a plain service."""

    request: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """The whole answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainTarget(ABC):
    """A plain service, reached at one host."""

    @abstractmethod
    def call(self, call: PlainCall, *, timeout_s: float) -> PlainAnswer:
        """Make a call.

        Raises
        ------
        TargetRefusedError
            Proof that the call did not run.
        TargetProgressTimeoutError, TargetConnectionLostError
            It may have run.
        """

    @abstractmethod
    def probe(self, *, timeout_s: float) -> TargetReport:
        """Ask the target about itself."""
