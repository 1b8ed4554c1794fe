"""In-memory fakes of the ports and the dispatcher, for tests without sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import gevent

from ..entry.dispatch import Assignment
from ..errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
    TargetConnectionLostError,
    TargetRefusedError,
)
from ..ports import (
    KeyValueStore,
    PlainAnswer,
    PlainCall,
    StoredChange,
    StoredEntry,
)
from ..targets import Target


class FakeStore(KeyValueStore):
    """In-memory key-value service with injected faults.

    Attributes
    ----------
    down
        Whether all calls fail without effect.
    lose_answers
        Number of next writes that take effect but whose answer is lost.
    delay_writes
        Number of next writes whose answer is lost and which are applied later.
    delayed
        Delayed writes that are not yet applied.
    """

    def __init__(self):
        self.entries: dict[str, StoredEntry] = {}
        self.version = 0
        self.down = False
        self.lose_answers = 0
        self.delay_writes = 0
        self.delayed: list[Callable[[], None]] = []
        self.writes = 0
        self.reads = 0

    def get(self, key: str) -> StoredEntry | None:
        gevent.sleep(0)
        self._check_up()
        self.reads += 1
        return self.entries.get(key)

    def put(
        self, key: str, value: bytes, *, expect: int, lease: str | None = None
    ) -> int:
        gevent.sleep(0)
        self._check_up()
        if self.delay_writes > 0:
            self.delay_writes -= 1
            self.delayed.append(lambda: self._try_write(key, value, expect))
            raise StoreAnswerLostError("delayed")
        version = self._write(key, value, expect)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreAnswerLostError("lost")
        return version

    def delete(self, key: str, *, expect: int) -> None:
        self._check_up()
        self._check_version(key, expect)
        self.entries.pop(key, None)

    def list(self, prefix: str) -> StoredChange:
        self._check_up()
        found = (e for e in self.entries.values() if e.key.startswith(prefix))
        return StoredChange(self.version, tuple(found))

    def watch(
        self, prefix: str, after: int, *, wait_s: float, margin_s: float | None = None
    ) -> StoredChange:
        return self.list(prefix)

    def grant_lease(self, ttl_s: float) -> str:
        self._check_up()
        return f"lease-{self.version}"

    def renew_lease(self, lease: str) -> bool:
        self._check_up()
        return True

    def apply_delayed_write(self) -> None:
        """Apply the oldest delayed write, unless its version conflicts."""
        if self.delayed:
            self.delayed.pop(0)()

    def _try_write(self, key: str, value: bytes, expect: int) -> None:
        try:
            self._write(key, value, expect)
        except StoreConflictError:
            return

    def _write(self, key: str, value: bytes, expect: int) -> int:
        self._check_version(key, expect)
        self.version += 1
        self.writes += 1
        self.entries[key] = StoredEntry(key, self.version, value)
        return self.version

    def _check_version(self, key: str, expect: int) -> None:
        known = self.entries.get(key)
        if (known.version if known else 0) != expect:
            raise StoreConflictError("version differs")

    def _check_up(self) -> None:
        if self.down:
            raise StoreUnavailableError("down")


class FakePlainTarget:
    """In-memory plain service that counts effects by path.

    Attributes
    ----------
    refuse
        Number of next calls to refuse.
    lose_before, lose_after
        Number of next calls whose connection is lost before or after the effect.
    gate
        Event that calls wait for.
    """

    def __init__(self):
        self.effects: Counter[str] = Counter()
        self.refuse = 0
        self.lose_before = 0
        self.lose_after = 0
        self.gate = gevent.event.Event()
        self.gate.set()

    def call(self, call: PlainCall, *, timeout_s: float) -> PlainAnswer:
        self.gate.wait()
        if self.refuse > 0:
            self.refuse -= 1
            raise TargetRefusedError("refused")
        if self.lose_before > 0:
            self.lose_before -= 1
            raise TargetConnectionLostError("lost before the effect")
        self.effects[call.path] += 1
        if self.lose_after > 0:
            self.lose_after -= 1
            raise TargetConnectionLostError("lost after the effect")
        body = str(self.effects[call.path]).encode()
        return PlainAnswer(200, (("Content-Type", "text/plain"),), body)


class FakeClients:
    """Returns the same target for every address."""

    def __init__(self, target: FakePlainTarget):
        self._target = target

    def plain(self, address: str) -> FakePlainTarget:
        """Return the target."""
        return self._target


class FakeDispatcher:
    """Assigns the same target to each request, without waiting."""

    def acquire(self, ticket, requirements) -> Assignment:
        """Return an assignment."""
        target = Target("t", "s", "z", "a", ("t",), "", 0, False, 0, "i")
        return Assignment(target, ticket.request, False, 0.0)

    def post(self, message) -> None:
        """Ignore a message."""
