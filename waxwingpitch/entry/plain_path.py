"""Data path of calls to plain services; non-repeatable ones run at most once."""

from __future__ import annotations

import logging
import time
import uuid
from collections.abc import Callable

from gevent.event import Event

from ..admission import RetryBudget, Ticket
from ..errors import (
    Ran,
    RequestError,
    ResultCode,
    StoreError,
    TargetError,
    TargetRefusedError,
)
from ..ports import PlainAnswer
from ..requests import Claim, ClaimState, KeyAge
from ..requests.claim_writer import ClaimWriter
from ..requests.claims import (
    AbandonClaim,
    FinishClaim,
    StoredAnswer,
    TryClaim,
    locate_document,
)
from .bound_runs import BoundKeyRuns
from .clients import TargetClients
from .dispatch import Assignment, Dispatcher, Release, TargetRequirements
from .kept_answers import build_stored_plain_answer, rebuild_answer
from .service_call import ServiceCall
from .view import EntryView

CLAIM_TIMEOUT_S = 0.6
# Time for which writing the outcome of a claim is retried.
OUTCOME_WRITE_TIMEOUT_S = 600.0
MAX_ATTEMPTS = 4

logger = logging.getLogger(__name__)


class PlainPath:
    """Runs calls to plain services.

    Repeatable calls are retried within the retry budget. Others need an idempotency
    key, which is either claimed in the key-value service or bound to the process that
    issued it.
    """

    def __init__(
        self,
        view: EntryView,
        clients: TargetClients,
        claims: ClaimWriter,
        bound_key_runs: BoundKeyRuns,
        budget: RetryBudget,
        find_dispatcher: Callable[[str], Dispatcher],
    ):
        self._view = view
        self._clients = clients
        self._claims = claims
        self._bound_key_runs = bound_key_runs
        self._budget = budget
        self._find_dispatcher = find_dispatcher
        self._running: dict[str, Event] = {}

    def run(self, call: ServiceCall) -> PlainAnswer:
        """Run a call and return its complete answer.

        Raises
        ------
        RequestError
            Its ``covers_all_attempts`` says whether ``ran`` holds for all attempts
            under the call's key, or for this attempt only.
        """
        if call.is_repeatable:
            return self._run_repeatable(call)
        if call.key is None:
            raise RequestError(
                ResultCode.IDEMPOTENCY_KEY_MISSING,
                f"{call.call.method} on {call.service.name!r} is not repeatable",
            )
        if call.key.is_bound:
            return self._bound_key_runs.run(call, self._run_once)
        return self._run_claimed(call)

    def _run_repeatable(self, call: ServiceCall) -> PlainAnswer:
        self._budget.earn()
        avoid: frozenset[str] = frozenset()
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._budget.spend():
                break
            assignment = self._acquire(call, avoid)
            try:
                return self._send(call, assignment)
            except TargetError as exc:
                avoid |= {assignment.target.id}
                last_error = exc
        raise RequestError(
            ResultCode.TARGET_REJECTED,
            last_error.message,
            ran=Ran.UNKNOWN,
            retry_after_s=1.0,
        )

    def _run_claimed(self, call: ServiceCall) -> PlainAnswer:
        document = locate_document(call.key, call.scoped_key)
        own = self._build_claim(call)
        current = self._claim(call, document, own)
        try:
            return self._run_or_replay(call, document, own, current)
        except RequestError as exc:
            exc.covers_all_attempts = True
            raise

    def _run_or_replay(
        self, call: ServiceCall, document: str, own: Claim, current: Claim
    ) -> PlainAnswer:
        if current.id != own.id:
            return self._replay(call, document, current)
        if current.state is ClaimState.REFUSED:
            raise _build_expired_error(document)
        if call.key.age(time.time()) is not KeyAge.ACCEPTED:
            self._record_outcome(document, current, ClaimState.NOT_RUN)
            raise _build_expired_error(document)
        return self._run_as_owner(call, document, current)

    def _build_claim(self, call: ServiceCall) -> Claim:
        match call.key.age(time.time()):
            case KeyAge.FUTURE:
                raise RequestError(
                    ResultCode.IDEMPOTENCY_KEY_OUTSIDE_WINDOW,
                    "the key's time of issue is in the future",
                )
            case KeyAge.PAST_RETENTION:
                raise RequestError(
                    ResultCode.IDEMPOTENCY_KEY_OUTSIDE_WINDOW,
                    "the key is older than the retention period",
                    ran=Ran.UNKNOWN,
                )
            case KeyAge.REPLAY_ONLY:
                state = ClaimState.REFUSED
            case KeyAge.ACCEPTED:
                state = ClaimState.CLAIMED
        return Claim(
            key=call.scoped_key,
            id=uuid.uuid4().hex,
            owner=self._view.me.id,
            incarnation=self._view.me.incarnation,
            fingerprint=call.fingerprint,
            state=state,
        )

    def _claim(self, call: ServiceCall, document: str, own: Claim) -> Claim:
        """Try to claim the call; return the claim then stored for its key."""
        until = min(call.deadline, time.monotonic() + CLAIM_TIMEOUT_S)
        try:
            return self._claims.submit(document, TryClaim(own), until)
        except StoreError as exc:
            deadline = time.monotonic() + OUTCOME_WRITE_TIMEOUT_S
            self._claims.enqueue(document, AbandonClaim(own), deadline)
            raise RequestError(
                ResultCode.CLAIM_UNAVAILABLE,
                exc.message,
                retry_after_s=1.0,
            ) from exc

    def _run_as_owner(
        self, call: ServiceCall, document: str, claim: Claim
    ) -> PlainAnswer:
        done = self._running[call.scoped_key] = Event()
        try:
            answer = self._run_once(call)
        except RequestError as exc:
            self._record_outcome(document, claim, _claim_state_after(exc))
            raise
        except BaseException:
            self._record_outcome(document, claim, ClaimState.UNKNOWN)
            raise
        finally:
            del self._running[call.scoped_key]
            done.set()
        self._record_outcome(
            document, claim, ClaimState.RAN, build_stored_plain_answer(answer)
        )
        return answer

    def _replay(self, call: ServiceCall, document: str, current: Claim) -> PlainAnswer:
        """Answer a repeated call from the claim that is stored for its key."""
        if current.fingerprint != call.fingerprint:
            raise RequestError(
                ResultCode.IDEMPOTENCY_KEY_REUSED, "the key belongs to another request"
            )
        match current.state:
            case ClaimState.RAN:
                return rebuild_answer(current.answer)
            case ClaimState.REFUSED:
                raise _build_expired_error(document)
            case ClaimState.CLAIMED if call.scoped_key in self._running:
                self._running[call.scoped_key].wait(call.deadline - time.monotonic())
                return self._run_claimed(call)
            case ClaimState.CLAIMED:
                raise RequestError(
                    ResultCode.IN_PROGRESS_ELSEWHERE,
                    f"claimed by entry host {current.owner!r}",
                    retry_after_s=1.0,
                )
            case _:
                raise RequestError(
                    ResultCode.OUTCOME_UNKNOWN, "the first run's outcome is unknown"
                )

    def _run_once(self, call: ServiceCall) -> PlainAnswer:
        """Send the call to targets in turn until one may have run it."""
        avoid: frozenset[str] = frozenset()
        for _ in range(MAX_ATTEMPTS):
            assignment = self._acquire(call, avoid)
            try:
                return self._send(call, assignment)
            except TargetRefusedError as exc:
                avoid |= {assignment.target.id}
                last_error = exc
            except TargetError as exc:
                raise RequestError(ResultCode.OUTCOME_UNKNOWN, exc.message) from exc
        raise RequestError(
            ResultCode.TARGET_REJECTED, last_error.message, retry_after_s=1.0
        )

    def _acquire(self, call: ServiceCall, avoid: frozenset[str]) -> Assignment:
        ticket = Ticket(
            request=call.call.request,
            workspace=call.workspace.name,
            priority=call.workspace.priority,
            share=call.workspace.share,
            cost=1.0,
            deadline=call.deadline,
        )
        requirements = TargetRequirements(avoid=avoid, arrived_at=time.monotonic())
        return self._find_dispatcher(call.service.name).acquire(ticket, requirements)

    def _send(self, call: ServiceCall, assignment: Assignment) -> PlainAnswer:
        left_s = call.deadline - time.monotonic()
        dispatcher = self._find_dispatcher(call.service.name)
        if left_s <= 0:
            dispatcher.post(Release(assignment, completed=False))
            raise RequestError(ResultCode.DEADLINE_UNREACHABLE, "deadline passed")
        completed = False
        try:
            client = self._clients.plain(assignment.target.address)
            answer = client.call(call.call, timeout_s=left_s)
            completed = True
            return answer
        finally:
            dispatcher.post(Release(assignment, completed))

    def _record_outcome(
        self,
        document: str,
        claim: Claim,
        state: ClaimState,
        answer: StoredAnswer | None = None,
    ) -> None:
        operation = FinishClaim(claim.key, claim.id, state, answer)
        deadline = time.monotonic() + OUTCOME_WRITE_TIMEOUT_S
        self._claims.enqueue(document, operation, deadline)


def _claim_state_after(exc: RequestError) -> ClaimState:
    return ClaimState.NOT_RUN if exc.ran is Ran.NO else ClaimState.UNKNOWN


def _build_expired_error(document: str) -> RequestError:
    return RequestError(
        ResultCode.IDEMPOTENCY_KEY_OUTSIDE_WINDOW,
        f"the key is older than the accepted window ({document})",
    )
