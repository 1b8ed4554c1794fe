"""Serves a request: routing, admission, placement, attempts and the answer."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from ..admission import RetryBudget
from ..errors import RESULTS, RequestError, ResultCode
from ..forwarding import Answer, AnswerHead, CallerRequest, Responder
from ..forwarding.answers import Headers
from ..forwarding.listener import CallerDisconnectedError
from ..platform import HeaderNames
from ..telemetry import GatewayMetrics
from .attempts import (
    Attempts,
    Broken,
    Done,
    Failed,
    NotRun,
    Outcome,
    Stalled,
)
from .beliefs import GatewayView, Replica
from .dispatch import Dispatcher, Refused, SlotRequest
from .exchange import TargetExchange
from .routed import RequestContext, read_last_event, read_request_id, route_request
from .suspect_task import SuspectTracker

# Requests with less time than this left until their deadline are not retried.
MIN_RETRY_TIME_LEFT_S = 0.02
# Retry-After of requests that are blocked because identical ones crashed targets.
BLOCKED_RETRY_AFTER_S = 2.0

logger = logging.getLogger(__name__)


class RequestServer:
    """Answers callers' requests.

    Parameters
    ----------
    find_budget
        Returns the retry budget of a service.
    on_suspect
        Called with a replica's id and epoch when it stalls.
    """

    def __init__(
        self,
        view: GatewayView,
        dispatcher: Dispatcher,
        exchange: TargetExchange,
        find_budget: Callable[[str], RetryBudget],
        on_suspect: Callable[[str, int], None],
        metrics: GatewayMetrics,
        suspects: SuspectTracker,
    ):
        self._view = view
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._find_budget = find_budget
        self._on_suspect = on_suspect
        self._metrics = metrics
        self._suspects = suspects
        self.in_progress = 0

    def handle(self, req: CallerRequest, resp: Responder) -> None:
        """Answer one request."""
        self.in_progress += 1
        try:
            ctx = route_request(req, resp.arrived_at, self._view)
            self._serve(ctx, resp)
        except RequestError as exc:
            request = read_request_id(req)
            self._send_error(request, resp, exc.code, exc.message, exc.retry_after_s)
        except CallerDisconnectedError:
            logger.info(
                "caller left",
                extra={"request": read_request_id(req), "answering": resp.started},
            )
            raise
        finally:
            self.in_progress -= 1

    def _serve(self, ctx: RequestContext, resp: Responder) -> None:
        budget = self._find_budget(ctx.service)
        attempts = Attempts(
            last_event=read_last_event(ctx.req),
            last_forwarded_at=ctx.arrived_at,
            budget=budget,
        )
        fingerprint = ctx.fingerprint
        if self._suspects.is_blocked(fingerprint):
            code = ResultCode.SUSPECT_ON_TRIAL
            reason = "like requests crashed targets"
            self._send_error(
                ctx.id, resp, code, reason, BLOCKED_RETRY_AFTER_S, route=ctx.route.name
            )
            return
        budget.earn()
        while True:
            slot_request = SlotRequest(
                ctx.id,
                ctx.service,
                ctx.model,
                ctx.workspace or "",
                ctx.priority,
                ctx.cost,
                ctx.deadline,
                frozenset(attempts.tried),
                (
                    ctx.find_idle_deadline(attempts.last_forwarded_at)
                    if attempts.runs
                    else None
                ),
                ctx.arrived_at + ctx.route.latency_objective_s,
            )
            acquire_started_at = time.monotonic()
            placement = self._dispatcher.acquire(slot_request)
            waited_s = time.monotonic() - acquire_started_at
            self._metrics.record_slot_wait(ctx.service, waited_s)
            self._log_placement(ctx, attempts, placement, waited_s)
            if isinstance(placement, Refused):
                self._finish_unplaced(ctx, resp, attempts, placement)
                return
            outcome = self._attempt(ctx, resp, attempts, placement)
            if isinstance(outcome, Done):
                self._suspects.clear(fingerprint)
                return
            if isinstance(outcome, Broken):
                self._suspects.record_broken(fingerprint, placement.id)
            self._log_attempt(ctx, attempts, placement, outcome)
            if isinstance(outcome, Failed):
                attempts.failure_answer = outcome.answer
            if not self._should_retry(ctx, attempts, outcome):
                self._finish_attempts(ctx, resp, attempts, outcome)
                return

    def _attempt(
        self, ctx: RequestContext, resp: Responder, attempts, replica: Replica
    ) -> Outcome:
        started_at = time.monotonic()
        attempts.sends += 1
        attempts.ran_on_current = False
        attempts.tried.add(replica.id)
        try:
            outcome = self._exchange.run(ctx, resp, attempts, replica)
        finally:
            self._dispatcher.release(replica)
        now = time.monotonic()
        kind = type(outcome).__name__.lower()
        self._metrics.count_attempt(replica.id, kind)
        match outcome:
            case Done():
                self._metrics.count_request(
                    ctx.route.name, "served", now - ctx.arrived_at
                )
                self._dispatcher.record_service_time(replica, now - started_at)
                first_output_at = attempts.first_event_at or now
                if first_output_at > started_at:
                    self._dispatcher.record_first_event_time(
                        replica, first_output_at - started_at
                    )
                logger.info(
                    "request answered",
                    extra={
                        "request": ctx.id,
                        "target": replica.id,
                        "sends": attempts.sends,
                        "first_ms": round(
                            1000 * max(0.0, attempts.first_event_at - ctx.arrived_at)
                        ),
                        "pause_ms": round(1000 * attempts.longest_pause_s),
                        "took_ms": round(1000 * (now - ctx.arrived_at)),
                    },
                )
            case NotRun(is_misdirected=True):
                self._exchange.suspect_misdirected(replica, now)
            case Broken():
                if not attempts.ran_on_current:
                    attempts.record_run(replica.id, replica.address)
            case Stalled():
                attempts.may_have_run = True
                if not replica.epoch:
                    attempts.record_run(replica.id, replica.address)
                if replica.epoch and now < ctx.deadline:
                    self._on_suspect(replica.id, replica.epoch)
        return outcome

    def _should_retry(
        self,
        ctx: RequestContext,
        attempts: Attempts,
        outcome: Outcome,
    ) -> bool:
        if ctx.deadline - time.monotonic() < MIN_RETRY_TIME_LEFT_S:
            return False
        if not self._exchange.may_retry(ctx, attempts, outcome):
            return False
        if attempts.budget.spend():
            return True
        logger.info("retry budget is spent", extra={"request": ctx.id})
        return False

    def _finish_unplaced(
        self, ctx, resp: Responder, attempts, refused: Refused
    ) -> None:
        if resp.started:
            self._abort_stream(ctx, resp, refused.reason)
        elif attempts.failure_answer is not None:
            self._relay_failure(ctx, resp, attempts.failure_answer)
        elif attempts.may_have_run:
            self._send_error(
                ctx.id,
                resp,
                ResultCode.OUTCOME_UNKNOWN,
                refused.reason,
                route=ctx.route.name,
            )
        else:
            self._send_error(
                ctx.id,
                resp,
                ResultCode.NO_TARGET,
                refused.reason,
                refused.retry_after_s,
                route=ctx.route.name,
            )

    def _finish_attempts(self, ctx, resp: Responder, attempts, outcome) -> None:
        if resp.started:
            self._abort_stream(ctx, resp, repr(outcome))
            return
        match outcome:
            case Failed(answer=answer):
                self._relay_failure(ctx, resp, answer)
            case NotRun(reason=reason) if not attempts.may_have_run:
                left_s = ctx.caller_deadline - time.monotonic()
                retry_after_s = max(0.05, min(0.5, left_s / 3))
                code = ResultCode.NO_TARGET
                self._send_error(
                    ctx.id, resp, code, reason, retry_after_s, route=ctx.route.name
                )
            case Stalled(reason=reason):
                code = ResultCode.OUTCOME_UNKNOWN
                self._send_error(ctx.id, resp, code, reason, route=ctx.route.name)
            case NotRun(reason=reason) | Broken(reason=reason):
                code = ResultCode.ANSWER_INCOMPLETE
                self._send_error(ctx.id, resp, code, reason, route=ctx.route.name)

    def _relay_failure(self, ctx, resp: Responder, answer: Answer) -> None:
        self._metrics.count_request(
            ctx.route.name, "failed", time.monotonic() - ctx.arrived_at
        )
        logger.info(
            "target's failure passed on",
            extra={"request": ctx.id, "status": answer.head.status},
        )
        resp.send_answer(answer)

    def _abort_stream(self, ctx, resp: Responder, reason: str) -> None:
        self._metrics.count_request(
            ctx.route.name, "broken off", time.monotonic() - ctx.arrived_at
        )
        logger.warning("stream broken off", extra={"request": ctx.id, "reason": reason})
        resp.close = True

    def _send_error(
        self,
        request: str,
        resp: Responder,
        code: ResultCode,
        reason: str,
        retry_after_s: float | None = None,
        *,
        route: str = "",
    ) -> None:
        status = RESULTS[code].status
        waited_s = time.monotonic() - resp.arrived_at
        self._metrics.count_request(route, code.name.lower(), waited_s)
        headers: Headers = ((b"Content-Type", b"text/plain"),)
        if request:
            headers += ((HeaderNames.REQUEST_ID.value, request.encode("latin-1")),)
        if retry_after_s is not None:
            headers += ((b"Retry-After", b"%.2f" % retry_after_s),)
        logger.info(
            "request refused" if status != 504 else "request failed",
            extra={
                "request": request,
                "status": status,
                "code": int(code),
                "reason": reason,
                "retry_after_s": retry_after_s,
                "waited_ms": round(1000 * waited_s),
            },
        )
        body = f"{int(code)} {code.name}: {reason}\n".encode()
        resp.send_answer(Answer(AnswerHead(status, headers), body))

    def _log_placement(self, ctx, attempts, placement, waited_s: float) -> None:
        fields = {
            "request": ctx.id,
            "route": ctx.route.name,
            "configuration": self._view.cfg.version,
            "model": ctx.model,
            "workspace": ctx.workspace,
            "priority": ctx.priority,
            "left_ms": round(1000 * (ctx.deadline - time.monotonic())),
            "waited_ms": round(1000 * waited_s),
            "send": attempts.sends + 1,
        }
        match placement:
            case Refused():
                logger.info(
                    "request not placed",
                    extra={
                        **fields,
                        "reason": placement.reason,
                        "slots": placement.pressure.slots,
                        "waiting": placement.pressure.waiting,
                        "service_ms": round(1000 * placement.pressure.service_s),
                    },
                )
            case Replica():
                logger.info(
                    "request placed",
                    extra={
                        **fields,
                        "target": placement.id,
                        "epoch": placement.epoch,
                        "zone": placement.zone,
                        "outstanding": self._dispatcher.count_in_flight(placement),
                        "capacity": placement.capacity,
                    },
                )

    def _log_attempt(self, ctx, attempts, replica: Replica, outcome) -> None:
        reason = (
            f"status {outcome.answer.head.status}"
            if isinstance(outcome, Failed)
            else outcome.reason
        )
        logger.info(
            "attempt failed",
            extra={
                "request": ctx.id,
                "target": replica.id,
                "epoch": replica.epoch,
                "send": attempts.sends,
                "outcome": type(outcome).__name__,
                "reason": reason,
                "last_event": attempts.last_event,
            },
        )
