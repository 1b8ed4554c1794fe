"""The way of one request: routed, admitted, placed, sent, resumed, answered."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ..admission import RetryBudget
from ..configuration.routes import Route, RouteKind
from ..errors import RESULTS, ResultCode
from ..forwarding import (
    Answer,
    AnswerHead,
    CallerRequest,
    ConnectionPool,
    EventSplitter,
    Responder,
    TargetBrokenError,
    TargetConnection,
    TargetTimeoutError,
    UnreachableError,
)
from ..forwarding.answers import Headers, strip_hop_headers
from ..forwarding.exchange import format_request, send_request
from ..forwarding.listener import CallerGoneError
from ..platform import HeaderNames
from ..platform.headers import KEY_SCHEME
from ..requests.suspects import fingerprint_request
from ..routing.routes import choose_service
from ..targets.progress import ProgressBook
from ..telemetry import GatewayMetrics
from .beliefs import Beliefs, Replica
from .dispatch import Demand, Dispatcher, Refused
from .suspect_task import SuspectTask

# Time before the caller's own deadline at which the final answer is sent.
ANSWER_MARGIN_S = 0.03
# Shortest time for which it makes sense to send a request to a target.
MIN_SEND_S = 0.02
# Time without a sign of life after which a stream goes on elsewhere: a pass of a busy
# engine takes up to 0.1 s.
MIN_STALL_S = 0.2
STALL_SHARE_OF_AIM = 0.8
# Factor on the above while other streams of the same target move.
STALL_FACTOR_ALIVE = 6.0
# Part of the time left after which an idempotent call is tried elsewhere.
CALL_PATIENCE_SHARE = 0.4
MAX_SENDS = 4
RETRY_AFTER_START_S = 0.5
BLOCKED_RETRY_S = 2.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RequestContext:
    """A routed request.

    Attributes
    ----------
    deadline
        Monotonic time of the final answer.
    caller_deadline
        Monotonic time until which the caller waits.
    """

    id: str
    req: CallerRequest
    route: Route
    service: str
    model: str
    workspace: str | None
    priority: int
    cost: float
    prompt_tokens: int
    arrived_at: float
    deadline: float
    caller_deadline: float


@dataclass(slots=True)
class _Attempts:
    """What has become of a request so far."""

    sends: int = 0
    runs: int = 0
    began: bool = False
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    last_event: int | None = None
    failure: Answer | None = None


@dataclass(frozen=True, slots=True)
class _Done:
    """The answer has been written."""


@dataclass(frozen=True, slots=True)
class _NotRun:
    """The request certainly did not run."""

    reason: str


@dataclass(frozen=True, slots=True)
class _Broken:
    """The request may have run, and its answer is lost."""

    reason: str


@dataclass(frozen=True, slots=True)
class _Stalled:
    """Nothing arrives from the target."""

    reason: str


@dataclass(frozen=True, slots=True)
class _Failed:
    """The target answered with a failure of its own."""

    answer: Answer


_Outcome = _Done | _NotRun | _Broken | _Stalled | _Failed


class RequestServer:
    """Answers callers' requests."""

    def __init__(
        self,
        beliefs: Beliefs,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        progress: ProgressBook,
        budget: Callable[[str], RetryBudget],
        on_suspect: Callable[[str, int], None],
        metrics: GatewayMetrics,
        suspects: SuspectTask,
    ):
        self._beliefs = beliefs
        self._dispatcher = dispatcher
        self._pool = pool
        self._progress = progress
        self._budget = budget
        self._on_suspect = on_suspect
        self._metrics = metrics
        self._suspects = suspects
        self.in_progress = 0

    def handle(self, req: CallerRequest, resp: Responder) -> None:
        """Answer one request."""
        self.in_progress += 1
        try:
            ctx = self._route(req, resp)
            if ctx is not None:
                self._serve(ctx, resp)
        except CallerGoneError:
            request = (req.find(HeaderNames.REQUEST_ID) or b"").decode("latin-1")
            logger.info(
                "caller left", extra={"request": request, "answering": resp.started}
            )
            raise
        finally:
            self.in_progress -= 1

    def _route(self, req: CallerRequest, resp: Responder) -> RequestContext | None:
        request = (req.find(HeaderNames.REQUEST_ID) or b"").decode("latin-1")
        table = self._beliefs.table
        if table is None:
            self._fail(
                request, resp, ResultCode.NO_CONFIGURATION, "", RETRY_AFTER_START_S
            )
            return None
        host = (req.find(b"host") or b"").decode("latin-1")
        route = table.find(host, req.path.decode("latin-1"))
        if route is None:
            self._fail(request, resp, ResultCode.NOT_FOUND, "no such route")
            return None
        workspace, priority = None, route.priority
        keys = table.cfg.keys
        if keys is not None:
            holder = keys.get(_read_key(req))
            if holder is None and not route.public:
                self._fail(request, resp, ResultCode.UNAUTHENTICATED, "unknown key")
                return None
            if holder is not None:
                workspace = holder.workspace
                if holder.priority is not None:
                    priority = holder.priority
        arrived_at = resp.arrived_at
        caller_s = _read_number(req, HeaderNames.DEADLINE_MS, 1000 * route.timeout_s)
        caller_deadline = arrived_at + caller_s / 1000
        prompt, answer = _read_tokens(req)
        service = choose_service(route, request)
        model = (req.find(HeaderNames.MODEL) or b"").decode("latin-1")
        spec = self._beliefs.find_service(service)
        if spec is None or spec.engine is None:
            model = ""
        return RequestContext(
            id=request,
            req=req,
            route=route,
            service=service,
            model=model,
            workspace=workspace,
            priority=priority,
            cost=prompt + 10 * answer if model else 1.0,
            prompt_tokens=prompt,
            arrived_at=arrived_at,
            deadline=min(
                arrived_at + route.timeout_s, caller_deadline - ANSWER_MARGIN_S
            ),
            caller_deadline=caller_deadline,
        )

    def _serve(self, ctx: RequestContext, resp: Responder) -> None:
        attempts = _Attempts()
        attempts.last_event = _read_last_event(ctx.req)
        fingerprint = _fingerprint(ctx)
        if self._suspects.is_blocked(fingerprint):
            code = ResultCode.SUSPECT_BLOCKED
            reason = "like requests crashed targets"
            self._fail(
                ctx.id, resp, code, reason, BLOCKED_RETRY_S, route=ctx.route.name
            )
            return
        budget = self._budget(ctx.service)
        budget.earn()
        while True:
            demand = Demand(
                ctx.id,
                ctx.service,
                ctx.model,
                ctx.workspace or "",
                ctx.priority,
                ctx.cost,
                ctx.deadline,
                frozenset(attempts.tried),
            )
            asked_at = time.monotonic()
            granted = self._dispatcher.acquire(demand)
            waited_s = time.monotonic() - asked_at
            self._metrics.note_slot_wait(ctx.service, waited_s)
            self._log_placement(ctx, attempts, granted, waited_s)
            if isinstance(granted, Refused):
                self._give_up(ctx, resp, attempts, granted)
                return
            outcome = self._send_to(ctx, resp, attempts, granted)
            if isinstance(outcome, _Done):
                self._suspects.clear(fingerprint)
                return
            if isinstance(outcome, _Broken):
                self._suspects.note_broken(fingerprint, granted.id)
            self._log_attempt(ctx, attempts, granted, outcome)
            if not self._may_go_on(ctx, attempts, outcome, budget):
                self._finish_failed(ctx, resp, attempts, outcome)
                return

    def _send_to(
        self, ctx: RequestContext, resp: Responder, attempts, replica: Replica
    ) -> _Outcome:
        started_at = time.monotonic()
        attempts.sends += 1
        attempts.began = False
        attempts.tried.add(replica.id)
        try:
            outcome = self._exchange(ctx, resp, attempts, replica)
        finally:
            self._dispatcher.release(replica)
        now = time.monotonic()
        kind = type(outcome).__name__.lstrip("_").lower()
        self._metrics.count_attempt(replica.id, kind)
        match outcome:
            case _Done():
                self._metrics.count_request(
                    ctx.route.name, "served", now - ctx.arrived_at
                )
                self._dispatcher.note_served(replica, now - started_at)
                logger.info(
                    "request answered",
                    extra={
                        "request": ctx.id,
                        "target": replica.id,
                        "sends": attempts.sends,
                        "took_ms": round(1000 * (now - ctx.arrived_at)),
                    },
                )
            case _Broken():
                attempts.may_have_run = True
                attempts.runs += not attempts.began
            case _Stalled():
                attempts.may_have_run = True
                if replica.epoch and now < ctx.deadline:
                    self._on_suspect(replica.id, replica.epoch)
        return outcome

    def _exchange(
        self, ctx: RequestContext, resp: Responder, attempts, replica: Replica
    ) -> _Outcome:
        data = self._format(ctx, attempts, replica)
        try:
            conn = send_request(
                self._pool,
                replica.address,
                data,
                timeout_s=ctx.deadline - time.monotonic(),
            )
        except UnreachableError as exc:
            if replica.epoch:
                self._on_suspect(replica.id, replica.epoch)
            return _NotRun(str(exc))
        except TargetBrokenError as exc:
            return _Broken(str(exc))
        keep = False
        try:
            if ctx.route.kind is RouteKind.STREAM:
                outcome = self._pass_stream(ctx, resp, attempts, replica, conn)
            else:
                outcome = self._pass_call(ctx, resp, attempts, replica, conn)
            keep = conn.is_complete
        except TargetBrokenError as exc:
            outcome = _Broken(str(exc))
        except TargetTimeoutError as exc:
            outcome = _Stalled(str(exc))
        finally:
            if keep:
                self._pool.put_back(conn, conn.read_head(0.0), time.monotonic())
            else:
                conn.close()
        return outcome

    def _format(self, ctx: RequestContext, attempts, replica: Replica) -> bytes:
        own = {
            HeaderNames.DEADLINE_MS.value,
            HeaderNames.WORKSPACE.value,
            HeaderNames.EXPECTED_TARGET.value,
            HeaderNames.AUTHORIZATION.value,
            HeaderNames.LAST_EVENT.value,
        }
        headers = [
            (name, value)
            for name, value in strip_hop_headers(ctx.req.headers)
            if name.lower() not in own
        ]
        left_ms = max(1, int(1000 * (ctx.deadline - time.monotonic())))
        headers.append((HeaderNames.DEADLINE_MS.value, b"%d" % left_ms))
        headers.append((HeaderNames.EXPECTED_TARGET.value, replica.id.encode()))
        if ctx.workspace is not None:
            headers.append((HeaderNames.WORKSPACE.value, ctx.workspace.encode()))
        if attempts.last_event is not None:
            headers.append((HeaderNames.LAST_EVENT.value, b"%d" % attempts.last_event))
        return format_request(
            ctx.req.method, ctx.req.target, replica.address, headers, ctx.req.body
        )

    def _read_own_head(
        self, ctx: RequestContext, conn: TargetConnection, until: float
    ) -> AnswerHead:
        """Read the head of this request's answer, past answers to others."""
        while True:
            head = conn.read_head(until)
            echoed = head.find(HeaderNames.REQUEST_ID)
            if echoed is None or echoed.decode("latin-1") == ctx.id:
                return head
            logger.warning(
                "answer to another request dropped",
                extra={"request": ctx.id, "answered": echoed.decode("latin-1")},
            )
            conn.skip_answer(until)

    def _pass_call(
        self, ctx: RequestContext, resp: Responder, attempts, replica, conn
    ) -> _Outcome:
        until = ctx.deadline
        if ctx.route.is_repeatable and attempts.sends < ctx.route.max_attempts:
            left_s = ctx.deadline - time.monotonic()
            until = time.monotonic() + left_s * CALL_PATIENCE_SHARE
        attempts.may_have_run = True
        head = self._read_own_head(ctx, conn, until)
        body = b"".join(iter(lambda: conn.read_body(until), b""))
        answer = Answer(head, body)
        outcome = self._judge(answer)
        if isinstance(outcome, _NotRun):
            attempts.may_have_run = attempts.runs > 0
            return outcome
        attempts.runs += 1
        attempts.began = True
        if outcome is None:
            self._progress.note_progress(replica.id, replica.epoch, time.monotonic())
            resp.send_answer(answer)
            return _Done()
        return outcome

    def _judge(self, answer: Answer) -> _Outcome | None:
        """Return what is wrong with an answer, or None."""
        head = answer.head
        if head.find(HeaderNames.NOT_RUN) is not None or head.status == 421:
            return _NotRun(f"target refused with {head.status}")
        if head.find(b"content-encoding") is not None:
            return _Broken("the answer is encoded")
        sealed = head.find(HeaderNames.SEAL) is not None
        if 200 <= head.status < 300:
            return None if sealed else _Broken("the answer has no seal")
        return _Failed(answer) if sealed else _Broken(f"status {head.status}")

    def _pass_stream(
        self, ctx: RequestContext, resp: Responder, attempts, replica, conn
    ) -> _Outcome:
        sent_at = time.monotonic()
        stall_s = self._find_stall_s(ctx)
        first_s = max(stall_s, ctx.route.aim_s * STALL_SHARE_OF_AIM)
        head = self._wait_for(
            lambda until: self._read_own_head(ctx, conn, until),
            ctx,
            replica,
            sent_at,
            first_s,
        )
        if not 200 <= head.status < 300 or head.find(HeaderNames.SEAL) is None:
            until = min(ctx.deadline, time.monotonic() + 0.5)
            body = b"".join(iter(lambda: conn.read_body(until), b""))
            return self._judge(Answer(head, body)) or _Broken("no seal")
        splitter = EventSplitter()
        moved_at = time.monotonic()
        ran = False
        while True:
            data = self._wait_for(
                conn.read_body, ctx, replica, moved_at, stall_s if ran else first_s
            )
            if not data:
                break
            moved_at = time.monotonic()
            self._progress.note_progress(replica.id, replica.epoch, moved_at)
            events = list(self._select_events(attempts, splitter.feed(data)))
            if not ran and events:
                ran = attempts.began = True
                if not resp.started:
                    self._metrics.note_first_event(
                        ctx.route.name, moved_at - ctx.arrived_at
                    )
                attempts.runs += 1
                attempts.may_have_run = True
            if events:
                self._forward(resp, head, events)
                attempts.last_event = events[-1].id or attempts.last_event
        if splitter.has_rest:
            return _Broken("the stream ended within an event")
        if not resp.started:
            resp.start_stream(head, strip_hop_headers(head.headers))
        resp.end_stream()
        return _Done()

    def _forward(self, resp: Responder, head: AnswerHead, events) -> None:
        if not resp.started:
            resp.start_stream(head, strip_hop_headers(head.headers))
        resp.send_part(b"".join(event.data for event in events))

    @staticmethod
    def _select_events(attempts, events):
        """Drop events that the caller already has; a gap breaks the stream."""
        last = attempts.last_event
        for event in events:
            if event.id is not None and last is not None:
                if event.id <= last:
                    continue
                if event.id != last + 1:
                    raise TargetBrokenError(f"event {event.id} follows {last}")
            if event.id is not None:
                last = event.id
            yield event

    def _find_stall_s(self, ctx: RequestContext) -> float:
        return max(MIN_STALL_S, ctx.route.gap_aim_s * STALL_SHARE_OF_AIM)

    def _wait_for(self, read, ctx, replica: Replica, moved_at: float, stall_s: float):
        """Read until something arrives, the target seems stuck, or time is up."""
        while True:
            now = time.monotonic()
            if now >= ctx.deadline:
                raise TargetTimeoutError("deadline passed")
            alive_at = max(moved_at, self._progress.find_progress(replica.id))
            stuck_at = alive_at + stall_s
            late_at = moved_at + stall_s * STALL_FACTOR_ALIVE
            until = min(stuck_at, late_at)
            if not ctx.route.is_repeatable:
                until = ctx.deadline
            if now >= until:
                raise TargetTimeoutError(f"nothing for {now - moved_at:.2f} s")
            try:
                return read(min(until, ctx.deadline))
            except TargetTimeoutError:
                continue

    def _may_go_on(
        self, ctx: RequestContext, attempts, outcome, budget: RetryBudget
    ) -> bool:
        now = time.monotonic()
        if attempts.sends >= MAX_SENDS or ctx.deadline - now < MIN_SEND_S:
            return False
        match outcome:
            case _NotRun():
                pass
            case _Failed(answer=answer):
                attempts.failure = answer
                if not ctx.route.is_repeatable or answer.head.status < 500:
                    return False
                if attempts.runs >= ctx.route.max_attempts:
                    return False
            case _Stalled() | _Broken():
                if not ctx.route.is_repeatable:
                    return False
                if attempts.runs >= ctx.route.max_attempts:
                    return False
        if budget.spend():
            return True
        logger.info("retry budget is spent", extra={"request": ctx.id})
        return False

    def _give_up(self, ctx, resp: Responder, attempts, refused: Refused) -> None:
        if resp.started:
            self._break_off(ctx, resp, refused.reason)
        elif attempts.failure is not None:
            self._pass_failure(ctx, resp, attempts.failure)
        elif attempts.may_have_run:
            self._fail(
                ctx.id,
                resp,
                ResultCode.OUTCOME_UNKNOWN,
                refused.reason,
                route=ctx.route.name,
            )
        else:
            self._fail(
                ctx.id,
                resp,
                ResultCode.NO_TARGET,
                refused.reason,
                refused.retry_after_s,
                route=ctx.route.name,
            )

    def _finish_failed(self, ctx, resp: Responder, attempts, outcome) -> None:
        if resp.started:
            self._break_off(ctx, resp, repr(outcome))
            return
        match outcome:
            case _Failed(answer=answer):
                self._pass_failure(ctx, resp, answer)
            case _NotRun(reason=reason) if not attempts.may_have_run:
                left_s = ctx.caller_deadline - time.monotonic()
                after_s = max(0.05, min(0.5, left_s / 3))
                code = ResultCode.NO_TARGET
                self._fail(ctx.id, resp, code, reason, after_s, route=ctx.route.name)
            case _Stalled(reason=reason):
                code = ResultCode.OUTCOME_UNKNOWN
                self._fail(ctx.id, resp, code, reason, route=ctx.route.name)
            case _NotRun(reason=reason) | _Broken(reason=reason):
                code = ResultCode.ANSWER_INCOMPLETE
                self._fail(ctx.id, resp, code, reason, route=ctx.route.name)

    def _pass_failure(self, ctx, resp: Responder, answer: Answer) -> None:
        self._metrics.count_request(
            ctx.route.name, "failed", time.monotonic() - ctx.arrived_at
        )
        logger.info(
            "target's failure passed on",
            extra={"request": ctx.id, "status": answer.head.status},
        )
        resp.send_answer(answer)

    def _break_off(self, ctx, resp: Responder, reason: str) -> None:
        self._metrics.count_request(
            ctx.route.name, "broken off", time.monotonic() - ctx.arrived_at
        )
        logger.warning("stream broken off", extra={"request": ctx.id, "reason": reason})
        resp.close = True

    def _fail(
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

    def _log_placement(self, ctx, attempts, granted, waited_s: float) -> None:
        inputs = {
            "request": ctx.id,
            "route": ctx.route.name,
            "configuration": self._beliefs.cfg.version,
            "model": ctx.model,
            "workspace": ctx.workspace,
            "priority": ctx.priority,
            "left_ms": round(1000 * (ctx.deadline - time.monotonic())),
            "waited_ms": round(1000 * waited_s),
            "send": attempts.sends + 1,
        }
        match granted:
            case Refused():
                logger.info(
                    "request not placed",
                    extra={
                        **inputs,
                        "reason": granted.reason,
                        "slots": granted.pressure.slots,
                        "waiting": granted.pressure.waiting,
                        "service_ms": round(1000 * granted.pressure.service_s),
                    },
                )
            case Replica():
                logger.info(
                    "request placed",
                    extra={
                        **inputs,
                        "target": granted.id,
                        "epoch": granted.epoch,
                        "zone": granted.zone,
                        "outstanding": self._dispatcher.count_at(granted),
                        "capacity": granted.capacity,
                    },
                )

    def _log_attempt(self, ctx, attempts, replica: Replica, outcome) -> None:
        reason = (
            f"status {outcome.answer.head.status}"
            if isinstance(outcome, _Failed)
            else outcome.reason
        )
        logger.info(
            "attempt failed",
            extra={
                "request": ctx.id,
                "target": replica.id,
                "epoch": replica.epoch,
                "send": attempts.sends,
                "outcome": type(outcome).__name__.lstrip("_"),
                "reason": reason,
                "last_event": attempts.last_event,
            },
        )


def _fingerprint(ctx: RequestContext) -> str:
    """Return what a caller's repeats of a request have in common."""
    parts = (ctx.req.target, (ctx.workspace or "").encode(), ctx.req.body)
    return fingerprint_request(ctx.service, b"\0".join(parts))


def _read_key(req: CallerRequest) -> str:
    value = req.find(HeaderNames.AUTHORIZATION) or b""
    if not value.startswith(KEY_SCHEME):
        return ""
    return value.removeprefix(KEY_SCHEME).strip().decode("latin-1")


def _read_number(req: CallerRequest, name: bytes, default: float) -> float:
    value = req.find(name)
    try:
        return float(value) if value is not None else default
    except ValueError:
        return default


def _read_tokens(req: CallerRequest) -> tuple[int, int]:
    value = req.find(HeaderNames.TOKEN_COUNTS) or b""
    prompt, _, answer = value.partition(b",")
    try:
        return int(prompt), int(answer)
    except ValueError:
        return 0, 0


def _read_last_event(req: CallerRequest) -> int | None:
    value = req.find(HeaderNames.LAST_EVENT)
    return int(value) if value is not None and value.isdigit() else None
