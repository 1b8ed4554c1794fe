"""Data path of model requests, from admission to the last token."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import gevent

from ..admission import RetryBudget, Ticket
from ..configuration import Service, Workspace
from ..errors import (
    Ran,
    RequestError,
    ResultCode,
    TargetConnectionLostError,
    TargetError,
    TargetRefusedError,
)
from ..ports import GenerateRequest, HttpModelTarget, Piece
from ..requests import AnswerAssembly, Verdict, fingerprint_request
from ..requests.retry import (
    AttemptState,
    Decision,
    Elsewhere,
    GiveUp,
    Resume,
    decide,
)
from ..routing import PrefixIndex, RoutingRequest, iter_prefix_blocks
from ..targets import Health
from ..telemetry import EntryMetrics
from .clients import TargetClients
from .coordination import Coordination
from .dispatch import Assignment, Dispatcher, Release, TargetRequirements
from .events import CrashObserved, HealthObserved
from .trials import TrialLock, TrialLocks
from .view import EntryView

PROGRESS_TIMEOUT_S = 2.0
# Queue cost of a request that sets no token limit.
DEFAULT_COST_TOKENS = 64
# Pause before a suspect waits for a target again after finding the lock held.
TRIAL_RETRY_INTERVAL_S = 0.1

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ModelCall:
    """A validated model request.

    Attributes
    ----------
    deadline
        Monotonic deadline for the whole answer.
    """

    request: str
    service: Service
    workspace: Workspace
    prompt: str
    max_tokens: int
    deadline: float
    arrived_at: float

    @property
    def fingerprint(self) -> str:
        """Fingerprint by which repeats of the request are recognised after a crash."""
        return fingerprint_request(self.service.name, self.prompt.encode())


class ModelPath:
    """Runs model requests; each call of :meth:`stream` runs one."""

    def __init__(
        self,
        view: EntryView,
        clients: TargetClients,
        coordination: Coordination,
        prefixes: PrefixIndex,
        budget: RetryBudget,
        metrics: EntryMetrics,
        find_dispatcher: Callable[[str], Dispatcher],
        trial_locks: TrialLocks,
    ):
        self._trial_locks = trial_locks
        self._view = view
        self._clients = clients
        self._coordination = coordination
        self._prefixes = prefixes
        self._budget = budget
        self._metrics = metrics
        self._find_dispatcher = find_dispatcher

    def stream(
        self, call: ModelCall, assembly: AnswerAssembly
    ) -> Iterator[tuple[str, ...]]:
        """Yield the answer's tokens in order, each once.

        Parameters
        ----------
        assembly
            Filled as the answer arrives; its ``finish`` is set at the end.

        Raises
        ------
        RequestError
            The answer can't be completed; its code is ``ANSWER_INCOMPLETE`` if
            tokens were yielded.
        """
        run = _RequestRun(self, call, assembly)
        self._budget.earn()
        yield from run.iter_tokens()
        self._view.suspects.clear(call.fingerprint)


class _RequestRun:
    """The attempts of one request.

    Attributes
    ----------
    avoid
        Ids of the targets that failed the request.
    resumes
        Number of resumptions at the current target.
    lost
        Whether any connection to the current target broke.
    maybe_ran
        Whether any target may have run the request.
    waits_for_trial
        Whether the last target was released because its trial lock was held.
    """

    def __init__(self, path: ModelPath, call: ModelCall, assembly: AnswerAssembly):
        self.path = path
        self.call = call
        self.assembly = assembly
        self.avoid: frozenset[str] = frozenset()
        self.resumes = 0
        self.lost = False
        self.maybe_ran = False
        self.waits_for_trial = False
        self.prefix_blocks = tuple(iter_prefix_blocks(call.prompt))

    def iter_tokens(self) -> Iterator[tuple[str, ...]]:
        while not self.assembly.finish:
            self._spend_retry_budget()
            assignment = self._acquire()
            if not assignment.suspect:
                yield from self._run_attempt(assignment)
                continue
            lock = self._acquire_trial_lock(assignment)
            if lock is not None:
                try:
                    yield from self._run_attempt(assignment)
                finally:
                    gevent.spawn(self.path._trial_locks.release, lock)

    def _acquire_trial_lock(self, assignment: Assignment) -> TrialLock | None:
        """Acquire the target's trial lock, or release the target if it is held."""
        lock = self.path._trial_locks.acquire(assignment.target, self.call.request)
        if lock is None:
            dispatcher = self.path._find_dispatcher(self.call.service.name)
            dispatcher.post(Release(assignment, completed=False))
            self._check_deadline()
            self.waits_for_trial = True
            gevent.sleep(TRIAL_RETRY_INTERVAL_S)
        return lock

    def _spend_retry_budget(self) -> None:
        """Spend retry budget, unless the request only waited for a trial lock."""
        if self.waits_for_trial or not self.assembly.attempt:
            return
        if not self.path._budget.spend():
            raise self._build_error(
                ResultCode.RETRY_BUDGET_EXHAUSTED, "too many retries"
            )

    def _acquire(self) -> Assignment:
        path, call = self.path, self.call
        verdict = path._view.suspects.judge(call.fingerprint, time.monotonic())
        if verdict is Verdict.BLOCKED:
            raise self._build_error(
                ResultCode.SUSPECT_BLOCKED, "like requests crashed targets"
            )
        dispatcher = path._find_dispatcher(call.service.name)
        ticket = Ticket(
            request=call.request,
            workspace=call.workspace.name,
            priority=call.workspace.priority,
            share=call.workspace.share,
            cost=call.max_tokens or DEFAULT_COST_TOKENS,
            deadline=call.deadline,
        )
        requirements = TargetRequirements(
            RoutingRequest(self.prefix_blocks),
            self.avoid,
            verdict is Verdict.SUSPECT,
            time.monotonic(),
        )
        try:
            return dispatcher.acquire(ticket, requirements)
        except RequestError as exc:
            raise self._build_error(exc.code, exc.message, exc.retry_after_s) from exc

    def _run_attempt(self, assignment: Assignment) -> Iterator[tuple[str, ...]]:
        self.resumes, self.lost, self.waits_for_trial = 0, False, False
        self.assembly.start_attempt(assignment.target.id)
        if self.assembly.attempt > 1:
            self.path._metrics.retries.add(1, {"service": self.call.service.name})
        completed = False
        try:
            yield from self._iter_target_tokens(assignment)
            completed = bool(self.assembly.finish)
        finally:
            dispatcher = self.path._find_dispatcher(self.call.service.name)
            dispatcher.post(Release(assignment, completed))
            if self.maybe_ran and not completed:
                self._cancel(assignment)

    def _iter_target_tokens(self, assignment: Assignment) -> Iterator[tuple[str, ...]]:
        """Yield tokens from one target until the answer or the attempt ends."""
        client = self.path._clients.model(assignment.target.address)
        resume = False
        while True:
            try:
                yield from self._iter_stream_tokens(client, assignment, resume)
                return
            except TargetError as exc:
                decision = self._record_failure(assignment, exc)
            match decision:
                case Resume():
                    self.resumes += 1
                    resume = True
                case Elsewhere():
                    return
                case GiveUp(code=code):
                    raise self._build_error(code, "too many attempts")

    def _record_failure(self, assignment: Assignment, exc: TargetError) -> Decision:
        """Record what a failure shows about the target and decide how to continue."""
        refused = isinstance(exc, TargetRefusedError)
        self.lost = self.lost or isinstance(exc, TargetConnectionLostError)
        self.maybe_ran = self.maybe_ran or not refused
        decision = decide(exc, self._build_state(assignment))
        self._log_failure(assignment, exc, decision)
        if isinstance(decision, Elsewhere):
            self.avoid |= {assignment.target.id}
            if refused and not exc.incarnation:
                self._report_unreachable(assignment)
            if decision.suspect:
                self._record_crash(assignment)
        return decision

    def _iter_stream_tokens(
        self, client: HttpModelTarget, assignment: Assignment, resume: bool
    ) -> Iterator[tuple[str, ...]]:
        self._check_deadline()
        for piece in self._open_stream(client, assignment, resume):
            self.maybe_ran = True
            tokens = self.assembly.accept(piece)
            if tokens:
                yield tokens
            if self.assembly.finish:
                return
            self._check_deadline()
        raise TargetConnectionLostError("pieces are missing at the end of the stream")

    def _open_stream(
        self, client: HttpModelTarget, assignment: Assignment, resume: bool
    ) -> Iterator[Piece]:
        assembly, call, target = self.assembly, self.call, assignment.target
        if resume:
            return client.resume(
                call.request,
                assembly.attempt,
                assembly.next_offset,
                progress_timeout_s=PROGRESS_TIMEOUT_S,
            )
        self.path._prefixes.record_sent(target.id, self.prefix_blocks)
        req = GenerateRequest(
            request=call.request,
            attempt=assembly.attempt,
            group=target.group,
            epoch=target.epoch,
            model=call.service.model,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            priority=call.workspace.priority,
            offset=assembly.next_offset,
            delivered=tuple(assembly.tokens),
        )
        return client.generate(req, progress_timeout_s=PROGRESS_TIMEOUT_S)

    def _build_state(self, assignment: Assignment) -> AttemptState:
        return AttemptState(
            self.assembly.attempt,
            self.resumes,
            self.lost,
            assignment.target.incarnation,
        )

    def _check_deadline(self) -> None:
        if time.monotonic() >= self.call.deadline:
            raise self._build_error(ResultCode.DEADLINE_UNREACHABLE, "deadline passed")

    def _build_error(
        self, code: ResultCode, text: str, retry_after_s: float | None = 1.0
    ) -> RequestError:
        if self.assembly.tokens:
            done = len(self.assembly.tokens)
            text = f"{code.name}: {text}; {done} tokens were sent"
            return RequestError(ResultCode.ANSWER_INCOMPLETE, text)
        ran = Ran.UNKNOWN if self.maybe_ran else None
        return RequestError(code, text, ran=ran, retry_after_s=retry_after_s)

    def _report_unreachable(self, assignment: Assignment) -> None:
        """Report a refused connection, so that avoiding the target needs no probe."""
        leader = assignment.target.hosts[0]
        event = HealthObserved(leader, Health.REFUSED, time.monotonic())
        self.path._coordination.post(event)

    def _record_crash(self, assignment: Assignment) -> None:
        event = CrashObserved(self.call.fingerprint, assignment.target.incarnation)
        self.path._view.suspects.record_crash(
            event.fingerprint, event.incarnation, time.monotonic()
        )
        self.path._coordination.post(event)

    def _cancel(self, assignment: Assignment) -> None:
        client = self.path._clients.model(assignment.target.address)
        gevent.spawn(client.cancel, self.call.request)

    def _log_failure(self, assignment: Assignment, exc, decision) -> None:
        refused = isinstance(exc, TargetRefusedError)
        logger.log(
            logging.INFO if refused else logging.WARNING,
            "attempt failed",
            extra={
                "request": self.call.request,
                "workspace": self.call.workspace.name,
                "target": assignment.target.id,
                "why": exc.message,
                "decision": type(decision).__name__,
            },
        )
