"""Serves a request: routing, admission, placement, attempts and the answer."""

from __future__ import annotations

import logging
import time

import gevent

from ..admission.first_configuration import find_wait_s
from ..errors import RESULTS, RequestError, ResultCode
from ..forwarding import Answer, AnswerHead, CallerRequest, Responder
from ..forwarding.answers import Headers
from ..forwarding.memory import AnswerHold, AnswerMemory
from ..forwarding.responder import CallerDisconnectedError
from ..platform import HeaderNames
from ..requests.culprits import Culprit
from ..slots import BUDGET_SPENT, Refused
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
from .beliefs import GatewayView
from .exchange import TargetExchange
from .routed import (
    RequestContext,
    read_last_event,
    read_request_id,
    read_time_left_s,
    route_request,
)
from .slot_client import Slot, SlotClient
from .slot_use import build_slot_request, classify_outcome
from .stop_times import StopTimes, StopTimeUpError, limit_to_stop
from .suspect_task import SuspectTracker

# Requests with less time than this left until their deadline are not retried.
MIN_RETRY_TIME_LEFT_S = 0.02
# Interval at which a begun stream asks whether a retry is left again.
BUDGET_RECHECK_INTERVAL_S = 0.1
# Retry-After of requests that are blocked because identical ones crashed targets.
BLOCKED_RETRY_AFTER_S = 2.0

logger = logging.getLogger(__name__)


class RequestServer:
    """Answers callers' requests.

    Parameters
    ----------
    slots
        Gives requests slots of replicas.
    memory
        Memory that the answers of all targets share.

    Attributes
    ----------
    stop_times
        Times of the planned stop that is under way; None if there is none.
    """

    def __init__(
        self,
        view: GatewayView,
        slots: SlotClient,
        exchange: TargetExchange,
        metrics: GatewayMetrics,
        suspects: SuspectTracker,
        memory: AnswerMemory,
    ):
        self._view = view
        self._slots = slots
        self._exchange = exchange
        self._metrics = metrics
        self._suspects = suspects
        self._memory = memory
        self._started_at = time.monotonic()
        self.in_progress = 0
        self.stop_times: StopTimes | None = None

    def begin_stop(self, times: StopTimes) -> None:
        """Limit requests to the times of a planned stop."""
        self.stop_times = self._exchange.stop_times = times

    def handle(self, req: CallerRequest, resp: Responder) -> None:
        """Answer one request."""
        self.in_progress += 1
        request = read_request_id(req)
        try:
            self._await_configuration(req, resp)
            ctx = route_request(req, resp.arrived_at, self._view)
            if self.stop_times is not None:
                ctx = limit_to_stop(ctx, self.stop_times)
            self._serve(ctx, resp)
        except RequestError as exc:
            if resp.started:
                raise
            self._send_error(request, resp, exc.code, exc.message, exc.retry_after_s)
        except CallerDisconnectedError:
            logger.info(
                "caller left", extra={"request": request, "answering": resp.started}
            )
            raise
        except Exception:
            logger.exception("unexpected error", extra={"request": request})
            if resp.started:
                raise
            self._send_error(request, resp, ResultCode.INTERNAL, "unexpected error")
        finally:
            self.in_progress -= 1

    def _await_configuration(self, req: CallerRequest, resp: Responder) -> None:
        """Wait for the first configuration for a short time after the start."""
        if self._view.route_table is not None:
            return
        wait_s = find_wait_s(
            resp.arrived_at,
            started_at=self._started_at,
            time_left_s=read_time_left_s(req, default_s=0.0),
        )
        is_known = self._view.configured.wait(wait_s)
        waited_s = time.monotonic() - resp.arrived_at
        self._metrics.record_configuration_wait(waited_s)
        logger.info(
            "request waited for the first configuration",
            extra={
                "request": read_request_id(req),
                "waited_ms": round(1000 * waited_s),
                "is_known": bool(is_known),
            },
        )

    def _serve(self, ctx: RequestContext, resp: Responder) -> None:
        keys = ctx.crash_keys
        with self._memory.open() as hold:
            self._serve_within(ctx, resp, keys, hold)

    def _serve_within(
        self,
        ctx: RequestContext,
        resp: Responder,
        keys: tuple[str, ...],
        hold: AnswerHold,
    ) -> None:
        """Serve a request, whose answers hold memory until the caller has one."""
        attempts = Attempts(
            hold=hold,
            last_event=read_last_event(ctx.req),
            last_forwarded_at=ctx.arrived_at,
            on_survived=lambda sent_at: self._suspects.record_served(keys, sent_at),
            is_blocked=lambda: self._suspects.find_blocked(keys) is not None,
        )
        try:
            self._make_attempts(ctx, resp, attempts, keys)
        except StopTimeUpError as exc:
            attempts.may_have_run |= attempts.is_in_flight
            self._finish_unplaced(
                ctx, resp, attempts, exc.message, exc.retry_after_s, code=exc.code
            )
        finally:
            unused = attempts.take_next_slot()
            if unused is not None:
                self._slots.release(unused, None, service_s=0.0, first_s=0.0)

    def _make_attempts(
        self,
        ctx: RequestContext,
        resp: Responder,
        attempts: Attempts,
        keys: tuple[str, ...],
    ) -> None:
        while True:
            if self._finish_if_blocked(ctx, resp, attempts, keys):
                return
            acquire_started_at = time.monotonic()
            placement = attempts.take_next_slot()
            if placement is None:
                req = build_slot_request(ctx, attempts)
                attempts.has_asked = True
                placement = self._slots.acquire(req)
            waited_s = time.monotonic() - acquire_started_at
            self._metrics.record_slot_wait(ctx.service, waited_s)
            self._log_placement(ctx, attempts, placement, waited_s)
            if isinstance(placement, Refused):
                if self._may_ask_again(ctx, resp, attempts, placement):
                    gevent.sleep(BUDGET_RECHECK_INTERVAL_S)
                    continue
                reason, retry_after_s = placement.reason, placement.retry_after_s
                self._finish_unplaced(ctx, resp, attempts, reason, retry_after_s)
                return
            if self._find_blocking(attempts, keys) is not None:
                self._slots.release(placement, None, service_s=0.0, first_s=0.0)
                continue
            attempts.is_on_trial = self._suspects.begin_trials(ctx.id, keys)
            outcome = self._attempt(ctx, resp, attempts, placement, keys)
            if isinstance(outcome, Done):
                return
            self._log_attempt(ctx, attempts, placement, outcome)
            if isinstance(outcome, Failed):
                attempts.failure_answer = outcome.answer
            if not self._should_retry(ctx, attempts, outcome):
                self._finish_attempts(ctx, resp, attempts, outcome)
                return

    def _may_ask_again(
        self, ctx: RequestContext, resp: Responder, attempts: Attempts, refused: Refused
    ) -> bool:
        """Return whether a begun stream waits until a retry is left again."""
        if not resp.started or refused.reason != BUDGET_SPENT:
            return False
        until = min(ctx.deadline, ctx.find_idle_deadline(attempts.last_forwarded_at))
        return time.monotonic() + BUDGET_RECHECK_INTERVAL_S < until

    def _attempt(
        self,
        ctx: RequestContext,
        resp: Responder,
        attempts: Attempts,
        slot: Slot,
        keys: tuple[str, ...],
    ) -> Outcome:
        replica = slot.offer
        started_at = time.monotonic()
        attempts.begin(replica.id, started_at)
        outcome: Outcome | None = None
        try:
            outcome = self._exchange.run(ctx, resp, attempts, slot)
            attempts.is_in_flight = False
        finally:
            self._release(slot, outcome, attempts, keys)
        now = time.monotonic()
        kind = type(outcome).__name__.lower()
        self._metrics.count_attempt(replica.id, kind)
        match outcome:
            case Done():
                attempts.record_survival()
                self._metrics.count_request(
                    ctx.route.name, "served", now - ctx.arrived_at
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
            case Broken():
                if not attempts.ran_on_current:
                    attempts.record_run(replica.id, replica.address)
            case Stalled():
                # A silent target may read the request later and run it.
                if not attempts.ran_on_current:
                    attempts.record_run(replica.id, replica.address)
        return outcome

    def _should_retry(
        self,
        ctx: RequestContext,
        attempts: Attempts,
        outcome: Outcome,
    ) -> bool:
        if ctx.deadline - time.monotonic() < MIN_RETRY_TIME_LEFT_S:
            return False
        return self._exchange.may_retry(ctx, attempts, outcome)

    def _release(
        self,
        slot: Slot,
        outcome: Outcome | None,
        attempts: Attempts,
        keys: tuple[str, ...],
    ) -> None:
        """Give a slot back, and report how the target took the request."""
        now = time.monotonic()
        first_output_at = max(attempts.sent_at, attempts.first_event_at or now)
        is_suspect = isinstance(outcome, Broken) and not attempts.has_survived
        self._slots.release(
            slot,
            classify_outcome(outcome, has_epoch=slot.offer.epoch > 0),
            service_s=now - attempts.sent_at,
            first_s=first_output_at - attempts.sent_at,
            keys=keys if is_suspect else (),
            had_output=attempts.has_output,
        )

    def _finish_if_blocked(self, ctx, resp, attempts, keys) -> bool:
        """Answer a request if it shares a blocked key with requests that crashed."""
        culprit = self._find_blocking(attempts, keys)
        if culprit is None:
            return False
        reason = f"like requests crashed targets ({culprit.key})"
        code = ResultCode.SUSPECT_ON_TRIAL
        self._finish_unplaced(
            ctx, resp, attempts, reason, BLOCKED_RETRY_AFTER_S, code=code
        )
        return True

    def _find_blocking(
        self, attempts: Attempts, keys: tuple[str, ...]
    ) -> Culprit | None:
        """Return the blocked key for which a request is not sent, if any.

        A request that may have run is no trial: it may have crashed a target.
        """
        culprit = self._suspects.find_blocked(keys)
        if culprit is None or attempts.may_have_run:
            return culprit
        is_trial = attempts.is_on_trial or self._suspects.may_try(keys)
        return None if is_trial else culprit

    def _finish_unplaced(
        self,
        ctx,
        resp: Responder,
        attempts,
        reason: str,
        retry_after_s: float | None,
        *,
        code: ResultCode = ResultCode.NO_TARGET,
    ) -> None:
        """Answer a request that gets no more attempts; the code is for one not run."""
        route = ctx.route.name
        if resp.started:
            self._abort_stream(ctx, resp, attempts, reason)
        elif attempts.failure_answer is not None:
            self._relay_failure(ctx, resp, attempts.failure_answer)
        elif attempts.may_have_run:
            unknown = ResultCode.OUTCOME_UNKNOWN
            self._send_error(ctx.id, resp, unknown, reason, route=route)
        else:
            self._send_error(ctx.id, resp, code, reason, retry_after_s, route=route)

    def _finish_attempts(self, ctx, resp: Responder, attempts, outcome) -> None:
        if resp.started:
            self._abort_stream(ctx, resp, attempts, repr(outcome))
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

    def _abort_stream(
        self, ctx, resp: Responder, attempts: Attempts, reason: str
    ) -> None:
        now = time.monotonic()
        times = self.stop_times
        self._metrics.count_request(ctx.route.name, "broken off", now - ctx.arrived_at)
        logger.warning(
            "stream broken off",
            extra={
                "request": ctx.id,
                "reason": reason,
                "sends": attempts.sends,
                "sent_ms_ago": round(1000 * (now - attempts.sent_at)),
                "is_running": attempts.ran_on_current,
                "silent_ms": round(1000 * (now - attempts.last_forwarded_at)),
                "took_ms": round(1000 * (now - ctx.arrived_at)),
                "caller_left_ms": round(1000 * (ctx.caller_deadline - now)),
                "stop_ms": times and round(1000 * (now - times.signalled_at)),
            },
        )
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
                        "slots": round(placement.pressure.slots, 1),
                        "waiting": placement.pressure.waiting,
                        "service_ms": round(1000 * placement.pressure.service_s),
                    },
                )
            case Slot(offer=replica):
                logger.info(
                    "request placed",
                    extra={
                        **fields,
                        "target": replica.id,
                        "epoch": replica.epoch,
                        "zone": replica.zone,
                        "outstanding": placement.in_flight,
                        "capacity": replica.capacity,
                        "owner": placement.owner,
                    },
                )

    def _log_attempt(self, ctx, attempts, slot: Slot, outcome) -> None:
        replica = slot.offer
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
