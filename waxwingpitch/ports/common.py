"""Abstract interfaces of the external systems that waxwingpitch talks to."""

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
        Service-wide version of the last write to the key; never 0. It includes the
        era of a service that has eras; see :mod:`waxwingpitch.agreed.versions`.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class StoredDeletion:
    """Deletion of a key, by a request or because its lease ended, at a version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class StoredChange:
    """Answer of a list or watch.

    Attributes
    ----------
    version
        Service-wide version after which the next watch starts.
    entries
        All entries for a list; for a watch, those written since its version,
        oldest first.
    deletions
        Keys deleted since that version. A key is either in ``entries`` or in
        ``deletions``, depending on its last change.
    """

    version: int
    entries: tuple[StoredEntry, ...]
    deletions: tuple[StoredDeletion, ...] = ()


class KeyValueStore(ABC):
    """The platform's key-value service.

    Every method raises :class:`~waxwingpitch.errors.StoreUnavailableError` if
    the call failed and had no effect, and
    :class:`~waxwingpitch.errors.StoreAnswerLostError` if it may have taken effect.
    Versions and leases of an earlier era count as lost.
    """

    @property
    def era(self) -> int:
        """Latest known era; 0 for a service that is never restored from a copy."""
        return 0

    @abstractmethod
    def get(self, key: str) -> StoredEntry | None:
        """Return the entry of a key, or None if the key does not exist."""

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
            Lease that the key is attached to; the key is deleted when it ends.

        Raises
        ------
        StoreConflictError
            The key has another version.
        """

    def overwrite(self, key: str, value: bytes) -> int:
        """Write a key whatever its version is, and return the new version.

        For keys that only one process writes.
        """
        known = self.get(key)
        return self.put(key, value, expect=0 if known is None else known.version)

    @abstractmethod
    def delete(self, key: str, *, expect: int) -> None:
        """Delete by compare-and-swap."""

    @abstractmethod
    def list(self, prefix: str) -> StoredChange:
        """Return all entries whose key starts with a prefix."""

    @abstractmethod
    def watch(
        self, prefix: str, after: int, *, wait_s: float, margin_s: float | None = None
    ) -> StoredChange:
        """Wait for changes of keys with a prefix that are later than a version.

        Returns after ``wait_s`` seconds at the latest, then without changes. The
        answer is waited for ``margin_s`` seconds longer; by default as long as suits
        the service.
        """

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> str:
        """Grant a lease and return its id."""

    @abstractmethod
    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""

    def revoke_lease(self, lease: str) -> None:
        """Revoke a lease and delete its keys; best effort, a no-op by default."""


class HostState(enum.StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """A host that runs a target or a member of a replica group.

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
    """The platform's list of hosts, which may be out of date."""

    @abstractmethod
    def fetch(self, known_version: str | None = None) -> HostSnapshot | None:
        """Return the list, or None if ``known_version`` is still current.

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
            The store can't be reached or does not have the weights.
        """


class Warmth(enum.StrEnum):
    """Whether a target can take full load; unknown warmth is treated as cold."""

    COLD = "cold"
    WARM = "warm"


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Status of a target, attached to its answers and returned by probes.

    Attributes
    ----------
    incarnation
        Id of the target's process; changes with each restart.
    group, epoch
        Replica group and its epoch from the last order to the target; empty and
        0 if it is in no group.
    ready
        Whether the weights are loaded and the member can serve.
    load
        Number of requests running and waiting, as last sampled by the target.
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
    """Kinds of order to a model engine."""

    JOIN = "join"
    RELEASE = "release"
    LOAD = "load"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to a member of a replica group.

    Attributes
    ----------
    epoch
        Fencing token; engines that check it refuse an epoch lower than the
        highest one received.
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
    """A generation from its start, or the continuation of one.

    Attributes
    ----------
    request, attempt
        Id of the request and number of the attempt; every piece carries both.
    epoch
        Epoch of the group as known to the sender; a target with another epoch
        refuses the request.
    offset
        Index of the first token to return.
    delivered
        Tokens before ``offset``, if another target generated them.
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
    """A chunk of a streamed answer.

    Attributes
    ----------
    offset
        Index of the first token.
    finish
        Why the answer ended; empty unless this is the last piece.
    prompt_tokens, cached_tokens
        Number of prompt tokens, and of those found in the prefix cache; 0 unless
        this is the last piece.
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
    """Insertion or eviction of a prompt prefix in an engine's cache.

    Attributes
    ----------
    sequence
        Number of the event; increases with each event of the engine.
    stored
        Whether the prefix was inserted; False if it was evicted.
    """

    sequence: int
    prefix: str
    stored: bool


class ModelTarget(ABC):
    """Client of a model engine at one host."""

    @abstractmethod
    def generate(
        self, req: GenerateRequest, *, progress_timeout_s: float
    ) -> Iterator[Piece]:
        """Run a generation and yield its pieces as they arrive.

        Raises
        ------
        TargetRefusedError
            The request did not run: it was not sent, or the target refused it.
        TargetProgressTimeoutError
            No piece arrived for ``progress_timeout_s`` seconds.
        TargetConnectionLostError
            The connection broke.
        """

    @abstractmethod
    def resume(
        self, request: str, attempt: int, offset: int, *, progress_timeout_s: float
    ) -> Iterator[Piece]:
        """Reattach to a running generation and yield its pieces from an offset."""

    @abstractmethod
    def cancel(self, request: str) -> None:
        """Cancel a generation; best effort."""

    @abstractmethod
    def probe(self, *, timeout_s: float) -> TargetReport:
        """Fetch the target's report."""

    @abstractmethod
    def order(self, order: EngineOrder, *, timeout_s: float) -> TargetReport:
        """Send an order; raise TargetRefusedError if its epoch is stale."""

    @abstractmethod
    def cache_events(self, after: int, *, timeout_s: float) -> Sequence[CacheEvent]:
        """Return the cache events after a sequence number; some may be missing."""


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
    """Complete response of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainTarget(ABC):
    """Client of a plain service at one host."""

    @abstractmethod
    def call(self, call: PlainCall, *, timeout_s: float) -> PlainAnswer:
        """Make a call.

        Raises
        ------
        TargetRefusedError
            The call did not run: it was not sent, or the target refused it.
        TargetProgressTimeoutError, TargetConnectionLostError
            The call may have run.
        """

    @abstractmethod
    def probe(self, *, timeout_s: float) -> TargetReport:
        """Fetch the target's report."""
