"""Sends a request to one target and relays its answer as it arrives."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import gevent

from ..configuration.routes import RouteKind
from ..forwarding import (
    Answer,
    AnswerHead,
    ConnectionPool,
    EventSplitter,
    Responder,
    TargetBrokenError,
    TargetConnection,
    TargetOversizedError,
    TargetTimeoutError,
    UnreachableError,
)
from ..forwarding.answers import strip_hop_headers
from ..forwarding.exchange import format_request_head, send_request
from ..platform import HeaderNames
from ..slots import SlotOffer
from ..targets.progress import ProgressBook
from ..telemetry import GatewayMetrics
from .attempts import (
    Attempts,
    Broken,
    Done,
    Failed,
    NotRun,
    Outcome,
    Stalled,
    is_retry_allowed,
)
from .notices import TargetNotices
from .routed import RequestContext
from .slot_client import Slot, SlotClient
from .stall_watch import StallWatch
from .stop_times import StopTimes

# Shortest time without progress after which a stream is resumed on another target; it
# must exceed a pass of a busy engine, which takes up to 0.1 s.
MIN_STALL_TIMEOUT_S = 0.2
# Stall timeout as a share of the route's objective for the gap between events or, for
# the first event, of the objective for that event if it is longer.
STALL_TIMEOUT_OBJECTIVE_SHARE = 0.8
# Share of the time left after which an idempotent call is retried on another target.
CALL_TIMEOUT_SHARE = 0.4
# Timeout for the body of a refusal, which targets send at once.
REFUSAL_BODY_TIMEOUT_S = 0.5
# Body of a call's answer, which is kept until it is complete.
MAX_CALL_BODY_BYTES = 8 * 1024 * 1024
# Statuses that tell callers that a request did not run. A target that does not say so
# itself may have run it.
PROMISE_STATUSES = frozenset({408, 429, 503})
# Successes that carry no events, so that they can't be part of a stream.
CONTENTLESS_STATUSES = frozenset({204, 205})
# Events of a stream that the caller has already, which are dropped.
MAX_DROPPED_BYTES = 1024 * 1024
# Answers to earlier requests that are skipped before that to the current one.
MAX_FOREIGN_ANSWERS = 4

logger = logging.getLogger(__name__)


class TargetExchange:
    """Sends requests to replicas and relays their answers.

    Parameters
    ----------
    slots
        Asked whether a silent stream may be resumed.
    has_ended
        Probes a target, given its id and address; returns whether it has ended.

    Attributes
    ----------
    stop_times
        Times of the planned stop that is under way; None if there is none.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        progress: ProgressBook,
        metrics: GatewayMetrics,
        slots: SlotClient,
        has_ended: Callable[[str, str], bool],
        notices: TargetNotices,
    ):
        self._notices = notices
        self._has_ended = has_ended
        self._pool = pool
        self._progress = progress
        self._metrics = metrics
        self._slots = slots
        self.stop_times: StopTimes | None = None

    def run(
        self,
        ctx: RequestContext,
        resp: Responder,
        attempts: Attempts,
        slot: Slot,
    ) -> Outcome:
        """Make one attempt on a replica and return its outcome."""
        replica = slot.offer
        head = self._build_request_head(ctx, attempts, replica)
        try:
            conn = send_request(
                self._pool,
                replica.address,
                head,
                body=ctx.req.body,
                request=ctx.id,
                timeout_s=ctx.deadline - time.monotonic(),
            )
        except UnreachableError as exc:
            is_cut = self._pool.links.is_cut
            return NotRun(
                str(exc), is_unreachable=not is_cut, is_refused=exc.is_refused
            )
        except TargetBrokenError as exc:
            return Broken(str(exc))
        is_reusable = False
        try:
            if ctx.route.kind is RouteKind.STREAM:
                outcome = self._relay_stream(ctx, resp, attempts, slot, conn)
            else:
                outcome = self._relay_call(ctx, resp, attempts, slot, conn)
            if isinstance(outcome, NotRun):
                conn.record_refusal(ctx.id)
            is_reusable = conn.is_complete
        except TargetOversizedError as exc:
            self._metrics.count_oversized_answer()
            logger.warning(
                "answer is over a limit",
                extra={"request": ctx.id, "target": replica.id, "reason": str(exc)},
            )
            outcome = Broken(str(exc))
        except TargetBrokenError as exc:
            outcome = Broken(str(exc))
        except TargetTimeoutError as exc:
            outcome = Stalled(str(exc), is_link_lost=self._is_link_lost(conn))
        finally:
            if is_reusable:
                self._pool.release(conn, conn.read_head(0.0), time.monotonic())
            else:
                conn.close()
        return outcome

    def may_retry(
        self, ctx: RequestContext, attempts: Attempts, outcome: Outcome
    ) -> bool:
        """Return whether a request may be sent to another target.

        Runs on targets that have ended do not count towards the route's limit. The
        targets are probed for this only if part of the answer has been forwarded.
        """
        if is_retry_allowed(ctx.route, attempts, outcome):
            return True
        if not attempts.has_forwarded_events or not ctx.route.is_repeatable:
            return False
        attempts.discard_ended_runs(self._has_ended)
        return is_retry_allowed(ctx.route, attempts, outcome)

    def _may_move(self, attempts: Attempts, now: float) -> bool:
        """Return whether a stream may go on elsewhere once it left a silent target.

        A blocked one may not, and near the end of a stop there is no time for it.
        """
        if attempts.is_blocked():
            return False
        return self.stop_times is None or now < self.stop_times.moves_until

    def _build_request_head(
        self, ctx: RequestContext, attempts, replica: SlotOffer
    ) -> bytes:
        overridden = {
            HeaderNames.DEADLINE_MS.value,
            HeaderNames.WORKSPACE.value,
            HeaderNames.EXPECTED_TARGET.value,
            HeaderNames.AUTHORIZATION.value,
            HeaderNames.LAST_EVENT.value,
        }
        headers = [
            (name, value)
            for name, value in strip_hop_headers(ctx.req.headers)
            if name.lower() not in overridden
        ]
        left_ms = max(1, int(1000 * (ctx.deadline - time.monotonic())))
        headers.append((HeaderNames.DEADLINE_MS.value, b"%d" % left_ms))
        headers.append((HeaderNames.EXPECTED_TARGET.value, replica.id.encode()))
        if ctx.workspace is not None:
            headers.append((HeaderNames.WORKSPACE.value, ctx.workspace.encode()))
        if attempts.last_event is not None:
            headers.append((HeaderNames.LAST_EVENT.value, b"%d" % attempts.last_event))
        return format_request_head(
            ctx.req.method, ctx.req.target, replica.address, headers, len(ctx.req.body)
        )

    def _read_matching_head(
        self,
        ctx: RequestContext,
        conn: TargetConnection,
        slot: Slot,
        until: float,
    ) -> AnswerHead:
        """Read the head of this request's answer, skipping answers to others."""
        replica = slot.offer
        for _ in range(MAX_FOREIGN_ANSWERS):
            head = conn.read_head(until)
            echoed = head.find(HeaderNames.REQUEST_ID)
            answered = None if echoed is None else echoed.decode("latin-1")
            if answered is None and conn.is_reused and head.status < 300:
                raise TargetBrokenError(f"{replica.id}: answer names no request")
            if answered == ctx.id or (answered is None and not conn.is_reused):
                self._notices.read(slot, head, time.monotonic())
                return head
            logger.warning(
                "answer to another request dropped",
                extra={
                    "request": ctx.id,
                    "answered": answered,
                    "target": replica.id,
                    "status": head.status,
                },
            )
            conn.skip_answer(until)
        raise TargetBrokenError(f"{replica.id}: only answers to other requests")

    def _relay_call(
        self, ctx: RequestContext, resp: Responder, attempts, slot: Slot, conn
    ) -> Outcome:
        replica = slot.offer
        until = ctx.deadline
        if ctx.route.is_repeatable and attempts.sends < ctx.route.max_attempts:
            left_s = ctx.deadline - time.monotonic()
            until = time.monotonic() + left_s * CALL_TIMEOUT_SHARE
        attempts.may_have_run = True
        head = self._read_matching_head(ctx, conn, slot, until)
        body = conn.read_whole_body(
            until, max_bytes=MAX_CALL_BODY_BYTES, hold=attempts.hold
        )
        answer = Answer(head, body)
        outcome = self._check_answer(ctx, answer)
        if isinstance(outcome, NotRun):
            attempts.may_have_run = attempts.runs > 0
            return outcome
        attempts.record_run(replica.id, replica.address)
        attempts.ran_on_current = True
        if outcome is None:
            self._progress.record_progress(replica.id, replica.epoch, time.monotonic())
            resp.send_answer(answer)
            return Done()
        return outcome

    def _check_answer(self, ctx: RequestContext, answer: Answer) -> Outcome | None:
        """Return the outcome of an answer that is no success; None for a success."""
        head = answer.head
        is_refusal = head.status >= 400 and head.find(HeaderNames.NOT_RUN) is not None
        if is_refusal or head.status == 421:
            reason = f"target refused with {head.status}"
            return NotRun(reason, is_misdirected=head.status == 421)
        if head.find(b"content-encoding") is not None:
            return Broken("the answer is encoded")
        sealed = head.find(HeaderNames.SEAL) is not None
        if 200 <= head.status < 300:
            return None if sealed else Broken("the answer has no seal")
        is_promise = head.status in PROMISE_STATUSES and not ctx.route.is_repeatable
        if is_promise or not sealed:
            return Broken(f"status {head.status}")
        return Failed(answer)

    def _relay_stream(
        self, ctx: RequestContext, resp: Responder, attempts, slot: Slot, conn
    ) -> Outcome:
        replica = slot.offer
        sent_at = time.monotonic()
        stall_timeout_s = self._find_stall_timeout_s(ctx)
        first_event_timeout_s = max(
            stall_timeout_s,
            ctx.route.latency_objective_s * STALL_TIMEOUT_OBJECTIVE_SHARE,
        )
        head = self._read_unless_stalled(
            lambda until: self._read_matching_head(ctx, conn, slot, until),
            ctx,
            attempts,
            slot,
            conn,
            sent_at,
            sent_at,
            first_event_timeout_s,
        )
        if (
            not 200 <= head.status < 300
            or head.find(HeaderNames.SEAL) is None
            or head.find(b"content-encoding") is not None
            or head.status in CONTENTLESS_STATUSES
        ):
            until = min(ctx.deadline, time.monotonic() + REFUSAL_BODY_TIMEOUT_S)
            body = conn.read_whole_body(
                until, max_bytes=MAX_CALL_BODY_BYTES, hold=attempts.hold
            )
            answer = Answer(head, body)
            outcome = self._check_answer(ctx, answer)
            if outcome is None and not resp.started:
                resp.send_answer(answer)
                return Done()
            return outcome or Broken(f"status {head.status} within a stream")
        splitter = EventSplitter()
        last_event_at = last_data_at = time.monotonic()
        has_events = False
        dropped_bytes = 0
        while True:
            data = self._read_unless_stalled(
                conn.read_body,
                ctx,
                attempts,
                slot,
                conn,
                last_data_at,
                last_event_at,
                stall_timeout_s if has_events else first_event_timeout_s,
            )
            if not data:
                break
            last_data_at = time.monotonic()
            complete = list(self._split_events(splitter, data))
            if not attempts.hold.grow(splitter.buffered_bytes):
                raise TargetOversizedError(
                    f"{replica.id}: no memory left for answers after "
                    f"{splitter.buffered_bytes} bytes of an event"
                )
            if complete:
                last_event_at = last_data_at
                self._progress.record_progress(replica.id, replica.epoch, last_event_at)
            events = list(self._drop_duplicates(attempts, complete))
            dropped_bytes += sum(len(event.data) for event in complete)
            dropped_bytes -= sum(len(event.data) for event in events)
            if dropped_bytes > MAX_DROPPED_BYTES:
                raise TargetOversizedError(
                    f"{replica.id}: {dropped_bytes} bytes that the caller has already"
                )
            if not has_events and events:
                has_events = attempts.ran_on_current = True
                if not resp.started:
                    self._metrics.record_first_event(
                        ctx.route.name, last_data_at - ctx.arrived_at
                    )
                attempts.record_run(replica.id, replica.address)
            if events:
                self._forward(resp, head, events)
                attempts.record_forwarded(events[-1].id, last_data_at)
        if splitter.has_partial_event:
            return Broken("the stream ended within an event")
        if not has_events and not conn.is_framed:
            return Broken("the connection ended before any event")
        if not resp.started:
            resp.start_stream(head, strip_hop_headers(head.headers))
        if blank_lines := splitter.take_blank_lines():
            resp.send_chunk(blank_lines)
        resp.end_stream()
        return Done()

    def _forward(self, resp: Responder, head: AnswerHead, events) -> None:
        if not resp.started:
            resp.start_stream(head, strip_hop_headers(head.headers))
        resp.send_chunk(b"".join(event.data for event in events))

    @staticmethod
    def _split_events(splitter: EventSplitter, data: bytes):
        """Yield the events that the data complete, also those that the caller has."""
        try:
            yield from splitter.feed(data)
        except ValueError as exc:
            raise TargetOversizedError(str(exc)) from exc

    @staticmethod
    def _drop_duplicates(attempts, events):
        """Yield the events that the caller lacks; a gap in their ids is an error."""
        last_id = attempts.last_event
        for event in events:
            if event.id is not None and last_id is not None:
                if event.id <= last_id:
                    continue
                if event.id != last_id + 1:
                    raise TargetBrokenError(f"event {event.id} follows {last_id}")
            if event.id is not None:
                last_id = event.id
            yield event

    def _find_stall_timeout_s(self, ctx: RequestContext) -> float:
        return max(
            MIN_STALL_TIMEOUT_S,
            ctx.route.gap_objective_s * STALL_TIMEOUT_OBJECTIVE_SHARE,
        )

    def _is_link_lost(self, conn: TargetConnection) -> bool:
        """Return whether a silent target is known to be reached by peers only.

        What is not known is found out meanwhile, as it takes a tenth of a second.
        """
        links = self._pool.links
        if conn.is_relayed or links.prefers_relay(conn.address):
            return not conn.is_relayed
        if links.may_check(conn.address, time.monotonic()):
            gevent.spawn(self._pool.check_link, conn.address)
        return False

    def _read_unless_stalled(
        self,
        read,
        ctx,
        attempts,
        slot: Slot,
        conn: TargetConnection,
        last_data_at: float,
        last_event_at: float,
        stall_timeout_s: float,
    ):
        """Read data, up to the deadline or until a stream moves to another target."""
        watch = StallWatch(
            ctx,
            attempts,
            slot,
            self._slots,
            self._progress,
            may_retry=lambda: self.may_retry(ctx, attempts, Stalled("nothing arrives")),
            may_move=lambda now: self._may_move(attempts, now),
            is_link_lost=lambda: self._is_link_lost(conn),
            last_data_at=last_data_at,
            last_event_at=last_event_at,
            stall_timeout_s=stall_timeout_s,
        )
        try:
            while True:
                until = watch.find_read_deadline(time.monotonic())
                try:
                    return read(until)
                except TargetTimeoutError:
                    continue
        finally:
            watch.end()
