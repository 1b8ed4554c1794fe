"""Calls under bound keys, which only the process that issued the key may run.

The runs are kept in memory, so that no claim in the key-value service is needed.
"""

from __future__ import annotations

import secrets
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import AsyncResult

from ..errors import Ran, RequestError, ResultCode
from ..ports import PlainAnswer
from ..requests import KeyAge, issue_bound_key
from ..requests.keys import KEY_RETENTION_S, is_genuine
from .kept_answers import build_stored_plain_answer, rebuild_answer
from .service_call import ServiceCall
from .view import EntryView

MAX_RUNS = 20000
SECRET_BYTES = 32


@dataclass(frozen=True, slots=True)
class _BoundRun:
    """A run and the future of its StoredAnswer."""

    fingerprint: str
    expires_at: float
    fut: AsyncResult


class BoundKeyRuns:
    """Keeps each run for as long as its key may be repeated.

    Parameters
    ----------
    view
        State of the cluster as known to this process.
    """

    def __init__(self, view: EntryView):
        self._view = view
        self._secret = secrets.token_bytes(SECRET_BYTES)
        self._runs: OrderedDict[str, _BoundRun] = OrderedDict()

    def issue_key(self) -> str:
        """Issue a key whose call only this process may run."""
        me = self._view.me
        return issue_bound_key(me.id, me.incarnation, self._secret)

    def run(
        self, call: ServiceCall, run_once: Callable[[ServiceCall], PlainAnswer]
    ) -> PlainAnswer:
        """Run a call at most once; a repeated call gets the answer of the first.

        Raises
        ------
        RequestError
            See :class:`~waxwingpitch.errors.ResultCode`.
        """
        try:
            return self._run_checked(call, run_once)
        except RequestError as exc:
            exc.covers_all_attempts = True
            raise

    def _run_checked(
        self, call: ServiceCall, run_once: Callable[[ServiceCall], PlainAnswer]
    ) -> PlainAnswer:
        self._check_key(call)
        self._evict_expired()
        existing = self._runs.get(call.scoped_key)
        if existing is not None:
            return self._await_answer(call, existing)
        if len(self._runs) >= MAX_RUNS:
            raise RequestError(ResultCode.QUEUE_FULL, "too many bound keys in use")
        return self._start_run(call, run_once)

    def _start_run(
        self, call: ServiceCall, run_once: Callable[[ServiceCall], PlainAnswer]
    ) -> PlainAnswer:
        fut = AsyncResult()
        expires_at = time.monotonic() + KEY_RETENTION_S
        self._runs[call.scoped_key] = _BoundRun(call.fingerprint, expires_at, fut)
        try:
            answer = run_once(call)
        except RequestError as exc:
            if exc.ran is Ran.NO:
                del self._runs[call.scoped_key]
            fut.set_exception(exc)
            raise
        except BaseException:
            fut.set_exception(
                RequestError(ResultCode.OUTCOME_UNKNOWN, "the first run was cut off")
            )
            raise
        fut.set(build_stored_plain_answer(answer))
        return answer

    def _await_answer(self, call: ServiceCall, existing: _BoundRun) -> PlainAnswer:
        if existing.fingerprint != call.fingerprint:
            raise RequestError(
                ResultCode.IDEMPOTENCY_KEY_REUSED, "the key belongs to another request"
            )
        left_s = call.deadline - time.monotonic()
        if not existing.fut.wait(max(0.0, left_s)) and not existing.fut.ready():
            raise RequestError(
                ResultCode.IN_PROGRESS_ELSEWHERE, "still running", retry_after_s=1.0
            )
        return rebuild_answer(existing.fut.get())

    def _check_key(self, call: ServiceCall) -> None:
        key, me = call.key, self._view.me
        if (key.owner, key.incarnation) != (me.id, me.incarnation):
            raise RequestError(
                ResultCode.OUTCOME_UNKNOWN,
                f"only the process of entry host {key.owner!r} that issued the key "
                "can run its call",
            )
        if not is_genuine(key, self._secret):
            raise RequestError(
                ResultCode.IDEMPOTENCY_KEY_MALFORMED, "no entry host issued this key"
            )
        age = key.age(time.time())
        if age is not KeyAge.ACCEPTED and call.scoped_key not in self._runs:
            ran = Ran.UNKNOWN if age is KeyAge.PAST_RETENTION else Ran.NO
            raise RequestError(
                ResultCode.IDEMPOTENCY_KEY_OUTSIDE_WINDOW, "the key is too old", ran=ran
            )

    def _evict_expired(self) -> None:
        now = time.monotonic()
        while self._runs:
            key, run = next(iter(self._runs.items()))
            if run.expires_at > now:
                return
            del self._runs[key]
