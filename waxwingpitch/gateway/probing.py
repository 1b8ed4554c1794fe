"""Fetches reports from targets and sends them orders, for one zone's planner."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Iterable, Mapping

import gevent
from gevent.lock import BoundedSemaphore

from ..forwarding import (
    AnswerHead,
    ConnectionPool,
    TargetBrokenError,
    TargetMalformedError,
    TargetTimeoutError,
    UnreachableError,
)
from ..forwarding.exchange import call_target
from ..groups.absent_heads import choose_release_order
from ..groups.fleet import MissingHead, find_missing_heads
from ..groups.formation import RELIST_GRACE_S
from ..groups.orders_to_targets import Join, Leave, Open, Order
from ..platform import (
    ORDER_PATH,
    REPORT_PATH,
    HeaderNames,
    decode_report,
    encode_order,
)
from ..targets.records import MembershipReport, MemberState, TargetRecord
from .beliefs import GatewayView
from .releases import Releases, get_group_epoch
from .replicas import GroupEpoch
from .target_states import TargetState, UnansweredOrder, find_state_after

ORDER_TIMEOUT_S = 0.6
REPORT_TIMEOUT_S = 0.25
# Minimum time between two probes of the same target.
PROBE_INTERVAL_S = 1.0
# The same for heads that are known to accept no more requests, and may be wrongly so.
RECHECK_INTERVAL_S = 4.0
# Silence after which a head that no entry host reaches counts as gone. A sound target
# may be silent for over a second.
HEAD_SILENCE_S = 2.0
# Targets that are contacted at the same time. More of them would take so much processor
# time that sound ones seem not to answer within the timeouts.
MAX_CONCURRENT_CONTACTS = 8

logger = logging.getLogger(__name__)


class AnotherTargetError(ValueError):
    """Another target than the expected one answers at an address."""


def fetch_report(
    pool: ConnectionPool,
    target: str,
    address: str,
    *,
    on_leaving: Callable[[], None] = lambda: None,
) -> MembershipReport:
    """Fetch a target's report, with one retry on a new connection.

    Parameters
    ----------
    on_leaving
        Called if the target says in its answer that it leaves.

    Raises
    ------
    UnreachableError, TargetTimeoutError, TargetBrokenError
        The target does not answer.
    AnotherTargetError
        Another target has its address.
    ValueError
        The target answers, but not with a report that can be decoded.
    """

    def _fetch() -> MembershipReport:
        answer = call_target(
            pool,
            address,
            b"GET",
            REPORT_PATH.encode(),
            headers=((HeaderNames.EXPECTED_TARGET.value, target.encode()),),
            timeout_s=REPORT_TIMEOUT_S,
            is_foreign=_names_request,
        )
        if answer.head.status == 421:
            raise AnotherTargetError(f"{address}: not {target}")
        if answer.head.find(HeaderNames.LEAVING) is not None:
            on_leaving()
        return decode_report(answer.body)

    try:
        return _fetch()
    except (TargetTimeoutError, TargetBrokenError):
        pool.drop(address)
    try:
        return _fetch()
    except TargetMalformedError as exc:
        raise ValueError(str(exc)) from exc


class TargetProbes:
    """A planner's direct contact with targets: probes and orders.

    Parameters
    ----------
    may_be_reachable
        Asks the peers whether a target, given its id and address, may answer any of
        them.
    may_send
        Returns whether orders may be sent now.

    Attributes
    ----------
    releases
        Judges whether targets may join another group.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        view: GatewayView,
        may_be_reachable: Callable[[str, str], bool],
        clock: Callable[[], float] = time.monotonic,
        *,
        may_send: Callable[[], bool] = lambda: True,
    ):
        self._may_send = may_send
        self._clock = clock
        self._pool = pool
        self._view = view
        self._may_be_reachable = may_be_reachable
        self._unreachable: set[str] = set()
        self._silent_since: dict[str, float] = {}
        self._headless_groups: set[str] = set()
        self._states: dict[str, TargetState] = {}
        self._probed_at: dict[str, float] = {}
        self._missing_since: dict[str, float] = {}
        self._unanswered: dict[str, UnansweredOrder] = {}
        self._contacts = BoundedSemaphore(MAX_CONCURRENT_CONTACTS)
        self.releases = Releases(view, self.probe, lambda: self._headless_groups)

    @property
    def unreachable(self) -> frozenset[str]:
        """Listed targets that did not answer the last probe."""
        return frozenset(self._unreachable)

    @property
    def headless_groups(self) -> frozenset[str]:
        """Groups whose heads are not listed and accept no more requests for them."""
        return frozenset(self._headless_groups)

    def reset(self, fence: int) -> None:
        """Discard cached states of targets, as another planner has sent them orders.

        Parameters
        ----------
        fence
            Version of the planner's key.
        """
        self._states.clear()
        self._unanswered.clear()
        self._silent_since.clear()
        self._headless_groups.clear()
        self._missing_since.clear()
        self.releases.reset(fence)

    def list_unanswered(self, targets: Iterable[str]) -> list[tuple[str, Order]]:
        """Return orders to targets without an answer, which may yet be carried out."""
        return [
            (target, self._unanswered[target].order)
            for target in targets
            if target in self._unanswered
        ]

    def probe_unreachable(self, now: float) -> None:
        """Repeat the probes of targets that did not answer while they are listed."""
        for target in list(self._unreachable):
            known = self._view.targets.get(target)
            if known is None:
                self._unreachable.discard(target)
            elif now - self._probed_at.get(target, 0.0) >= PROBE_INTERVAL_S:
                self._probed_at[target] = now
                gevent.spawn(self.probe, target, known.record.address)

    def probe_missing_heads(
        self,
        targets: Mapping[str, TargetRecord],
        fence: int,
        close_timeout_s: float,
        now: float,
    ) -> None:
        """Probe heads that are missing from the list.

        Parameters
        ----------
        fence
            Fencing token of the orders to close or leave their groups; 0 to send none.
        close_timeout_s
            Time that requests in flight at a head have since it left the list.
        """
        missing = find_missing_heads(targets)
        self._headless_groups &= {
            group for head in missing.values() for group in head.groups
        }
        for known in (
            self._silent_since,
            self._states,
            self._probed_at,
            self._unanswered,
        ):
            for target in known.keys() - targets.keys() - missing.keys():
                del known[target]
        self._missing_since = {
            target: self._missing_since.get(target, now) for target in missing
        }
        for target, head in missing.items():
            is_resolved = head.groups <= self._headless_groups
            interval_s = RECHECK_INTERVAL_S if is_resolved else PROBE_INTERVAL_S
            if now - self._probed_at.get(target, 0.0) >= interval_s:
                self._probed_at[target] = now
                missing_since = self._missing_since[target]
                may_be_relisted = now - missing_since < RELIST_GRACE_S
                gevent.spawn(
                    self._resolve_missing_head,
                    head,
                    0 if may_be_relisted else fence,
                    missing_since + close_timeout_s,
                    now,
                )

    def probe_suspects(
        self,
        targets: Mapping[str, TargetRecord],
        suspects: Iterable[tuple[str, int]],
        now: float,
    ) -> None:
        """Probe each member of a suspected group."""
        for head, epoch in suspects:
            record = targets.get(head)
            if record is None or record.membership is None:
                continue
            if record.membership.epoch != epoch:
                continue
            for other in targets.values():
                if (
                    other.membership is not None
                    and other.membership.epoch == epoch
                    and now - self._probed_at.get(other.id, 0.0) >= PROBE_INTERVAL_S
                ):
                    self._probed_at[other.id] = now
                    gevent.spawn(self.probe, other.id, other.address)

    def _resolve_missing_head(
        self, head: MissingHead, fence: int, close_deadline: float, now: float
    ) -> None:
        """Find out whether a head missing from the list still serves its group.

        A head that answers is ordered to close or leave the group. One that no entry
        host can reach for a while counts as inactive only if a surviving member
        answers: otherwise the whole zone may be partitioned from this process.
        """
        survivor = head.survivors[0]
        if self.probe(survivor.id, survivor.address) is None:
            return
        report = self.probe(head.id, head.address)
        if report is None:
            silent_s = self._measure_silence(head.id)
            if silent_s >= HEAD_SILENCE_S and not self._may_be_reachable(
                head.id, head.address
            ):
                self._headless_groups |= head.groups
                logger.info(
                    "head is gone", extra={"target": head.id, "silent_s": silent_s}
                )
            return
        place = report.membership
        if place is None or place.state is MemberState.BROKEN:
            self._headless_groups |= head.groups
            return
        self._headless_groups |= head.groups
        self._headless_groups.discard(place.group)
        if place.group not in head.groups:
            return
        order = choose_release_order(place, close_deadline, now)
        if fence and order is not None:
            status, outcome = self.send_order(head.id, head.address, order, fence)
            logger.info(
                "order given",
                extra={
                    "target": head.id,
                    "order": repr(order),
                    "status": status,
                    "outcome": outcome,
                },
            )

    def probe(self, target: str, address: str) -> MembershipReport | None:
        """Return a target's report, or None, and record whether it answers."""
        try:
            with self._contacts:
                report = fetch_report(self._pool, target, address)
        except (UnreachableError, TargetTimeoutError, TargetBrokenError) as exc:
            self._unreachable.add(target)
            self._silent_since.setdefault(target, self._clock())
            logger.info(
                "target does not answer",
                extra={"target": target, "reason": str(exc)},
            )
            return None
        except AnotherTargetError as exc:
            self._silent_since[target] = -math.inf
            logger.info(
                "address of a target is in use by another",
                extra={"target": target, "reason": str(exc)},
            )
            return None
        except ValueError as exc:
            logger.warning(
                "target report cannot be decoded",
                extra={"target": target, "reason": str(exc)},
            )
            return None
        self._states[target] = TargetState(
            report.orders, get_group_epoch(report.membership)
        )
        self._forget_unanswered(target, report.orders)
        self._unreachable.discard(target)
        self._silent_since.pop(target, None)
        return report

    def _measure_silence(self, target: str) -> float:
        """Return the time since a target first left a probe unanswered."""
        now = self._clock()
        return now - self._silent_since.get(target, now)

    def send_order(
        self,
        target: str,
        address: str,
        order: Order,
        fence: int,
        *,
        leaves: GroupEpoch | None = None,
    ) -> tuple[int, str]:
        """Send an order; return the status, 0 if there was no answer, and the details.

        A target leaves its group before it joins another one. The order to join is
        conditioned on the number of orders that it had begun then, so that it is not
        carried out while the target is in a group, however late it arrives.

        Parameters
        ----------
        fence
            Fencing token of the planner that sends it.
        leaves
            Group that the target may leave to join another one.
        """
        if target not in self._states and self.probe(target, address) is None:
            return 0, "target does not answer"
        state = self._states.get(target)
        match order:
            case Join() if state is not None and state.group not in (
                None,
                (order.group, order.epoch),
            ):
                if state.group != leaves:
                    # The report is older than the record, or the other way round.
                    del self._states[target]
                    return 0, f"it reports another group: {state.group}"
                leave = Leave(*state.group)
                status, outcome = self._send(target, address, leave, fence)
                if status not in (200, 202):
                    return status, f"its group is not left: {outcome}"
        return self._send(target, address, order, fence)

    def _send(
        self, target: str, address: str, order: Order, fence: int
    ) -> tuple[int, str]:
        """Send an order that is refused if the target has begun another one since."""
        state = self._states.pop(target, None)
        if state is None:
            return 0, "another order is on its way"
        body = encode_order(order, fence=fence, expected_orders=state.orders)
        try:
            with self._contacts:
                # The permission may have run out while this order waited.
                if not self._may_send():
                    return 0, "the zone is planned elsewhere"
                if isinstance(order, Open):
                    self.releases.expect_open(order)
                answer = call_target(
                    self._pool,
                    address,
                    b"POST",
                    ORDER_PATH.encode(),
                    headers=(
                        (HeaderNames.EXPECTED_TARGET.value, target.encode()),
                        (b"Content-Type", b"application/json"),
                    ),
                    body=body,
                    timeout_s=ORDER_TIMEOUT_S,
                    is_foreign=_names_request,
                )
        except (UnreachableError, TargetTimeoutError, TargetBrokenError) as exc:
            self._unanswered[target] = UnansweredOrder(order, state.orders)
            gevent.spawn(self.probe, target, address)
            return 0, str(exc)
        status = answer.head.status
        after = find_state_after(state, order, status)
        if after is not None:
            self._states[target] = after
            self._forget_unanswered(target, after.orders)
        return status, f"expected {state.orders} orders"

    def _forget_unanswered(self, target: str, orders: int) -> None:
        """Forget an order that can't be carried out, as the target began another."""
        known = self._unanswered.get(target)
        if known is not None and known.expected_orders < orders:
            del self._unanswered[target]


def _names_request(head: AnswerHead) -> bool:
    """Return whether an answer is to a caller's request; reports have no id."""
    return bool(head.find(HeaderNames.REQUEST_ID))
