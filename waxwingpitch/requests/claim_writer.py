"""Writer of claim documents that batches operations into one write at a time.

One greenlet owns each document in use. Operations that arrive during a write are
queued for the next one, so that the rate of writes per document is bounded at any rate
of requests.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from ..errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from ..ports import KeyValueStore
from .claims import (
    Claim,
    ClaimDocument,
    Operation,
    apply_operations,
    collect_results,
    decode_claims,
    encode_claims,
)
from .keys import KEY_RETENTION_S

# Time without operations after which the task of a document ends.
IDLE_TIMEOUT_S = 15.0
# Bounds of the backoff after a failed write.
BACKOFF_MIN_S = 0.02
BACKOFF_MAX_S = 0.5
# Time for which a task waits for more operations to batch with the first one.
BATCH_WAIT_S = 0.002
FLUSH_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class _Pending:
    operation: Operation
    deadline: float
    fut: AsyncResult


class _DocumentTask:
    """Owner of one document, with its cached content and its pending operations."""

    def __init__(self, key: str, store: KeyValueStore):
        self.key = key
        self.inbox: Queue[_Pending] = Queue()
        self._store = store
        self._doc: ClaimDocument | None = None
        self._version = 0
        self.closed = False
        self._writing = False

    @property
    def is_busy(self) -> bool:
        """Whether an operation is queued or being written."""
        return self._writing or not self.inbox.empty()

    def run(self) -> None:
        try:
            while True:
                self._write_batch(self._take_batch())
                self._writing = False
        except Empty:
            self.closed = True

    def _take_batch(self) -> list[_Pending]:
        batch = [self.inbox.get(timeout=IDLE_TIMEOUT_S)]
        self._writing = True
        gevent.sleep(BATCH_WAIT_S)
        return batch

    def _write_batch(self, batch: list[_Pending]) -> None:
        """Write a batch, adding the operations that are queued before each attempt."""
        backoff_s = BACKOFF_MIN_S
        while batch := self._fail_expired([*batch, *self._drain_inbox()]):
            try:
                self._write_once([item.operation for item in batch])
            except StoreConflictError:
                self._doc = None
                continue
            except (StoreUnavailableError, StoreAnswerLostError):
                self._doc = None
                gevent.sleep(backoff_s)
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
                continue
            self._resolve(batch)
            return

    def _drain_inbox(self) -> Iterator[_Pending]:
        while not self.inbox.empty():
            yield self.inbox.get()

    def _fail_expired(self, batch: list[_Pending]) -> list[_Pending]:
        now = time.monotonic()
        for item in batch:
            if item.deadline <= now and not item.fut.ready():
                item.fut.set_exception(StoreUnavailableError("claim deadline passed"))
        return [item for item in batch if item.deadline > now]

    def _write_once(self, operations: list[Operation]) -> None:
        was_cached = self._doc is not None
        if not was_cached:
            self._read()
        changed = apply_operations(self._doc, operations)
        if changed is self._doc and was_cached:
            self._read()
            changed = apply_operations(self._doc, operations)
        if changed is self._doc:
            return
        if not changed.lease:
            lease = self._store.grant_lease(KEY_RETENTION_S)
            changed = ClaimDocument(lease, changed.claims)
        self._version = self._store.put(
            self.key, encode_claims(changed), expect=self._version, lease=changed.lease
        )
        self._doc = changed

    def _read(self) -> None:
        entry = self._store.get(self.key)
        self._version = entry.version if entry else 0
        self._doc = decode_claims(entry.value) if entry else ClaimDocument()

    def _resolve(self, batch: list[_Pending]) -> None:
        results = collect_results(self._doc, [item.operation for item in batch])
        for item, result in zip(batch, results):
            item.fut.set(result)


class ClaimWriter:
    """Passes operations to the tasks that own their documents.

    Parameters
    ----------
    store
        The key-value service.
    """

    def __init__(self, store: KeyValueStore):
        self._store = store
        self._tasks: dict[str, _DocumentTask] = {}

    def submit(self, document: str, operation: Operation, deadline: float) -> Claim:
        """Apply an operation and return the claim that the document then contains.

        Raises
        ------
        StoreError
            The service did not answer before the deadline, or the document contains
            no claim for the key. The operation may have taken effect or may still do
            so.
        """
        fut = self.enqueue(document, operation, deadline)
        try:
            claim = fut.get(timeout=max(0.0, deadline - time.monotonic()))
        except gevent.Timeout as exc:
            raise StoreUnavailableError("claim deadline passed") from exc
        if claim is None:
            raise StoreError(f"{document}: document contains no claim for the key")
        return claim

    def enqueue(
        self, document: str, operation: Operation, deadline: float
    ) -> AsyncResult:
        """Queue an operation and return its future."""
        fut = AsyncResult()
        self._task(document).inbox.put(_Pending(operation, deadline, fut))
        return fut

    def flush(self, deadline: float) -> None:
        """Wait until all queued operations are written, at most until a deadline."""
        while time.monotonic() < deadline:
            if not any(task.is_busy for task in self._tasks.values()):
                return
            gevent.sleep(FLUSH_POLL_S)

    @property
    def open_documents(self) -> int:
        """Number of documents that have a running task."""
        return len(self._tasks)

    def _task(self, document: str) -> _DocumentTask:
        task = self._tasks.get(document)
        if task is None or task.closed:
            task = _DocumentTask(document, self._store)
            self._tasks[document] = task
            gevent.spawn(task.run).link(lambda _: self._forget(task))
        return task

    def _forget(self, task: _DocumentTask) -> None:
        if self._tasks.get(task.key) is task:
            del self._tasks[task.key]
