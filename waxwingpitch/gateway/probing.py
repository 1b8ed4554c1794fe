"""Asks targets for reports and gives them orders, one zone's planner at a time."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping

import gevent

from ..forwarding import (
    ConnectionPool,
    TargetBrokenError,
    TargetTimeoutError,
    UnreachableError,
)
from ..forwarding.exchange import call_target
from ..groups.fleet import MissingHead, find_missing_heads
from ..groups.formation import RETURN_S
from ..groups.naming import HeadPlace, parse_head
from ..groups.orders_to_targets import Close, Leave, Open, Order
from ..platform import (
    ORDER_PATH,
    REPORT_PATH,
    HeaderNames,
    decode_report,
    encode_order,
)
from ..targets.records import Membership, MemberState, TargetRecord, TargetReport
from .beliefs import GatewayView

ORDER_TIMEOUT_S = 0.6
REPORT_TIMEOUT_S = 0.25
# Age of a head's word that it takes no requests, for all members of its group.
RELEASE_VALID_S = 0.5
# Time between two questions to the same target.
ASK_AGAIN_S = 1.0

logger = logging.getLogger(__name__)


def fetch_report(pool: ConnectionPool, target: str, address: str) -> TargetReport:
    """Ask a target for its report, over a new connection if a kept one is silent.

    Raises
    ------
    UnreachableError, TargetTimeoutError, TargetBrokenError
        It does not answer.
    ValueError
        The report is unreadable.
    """

    def _call() -> TargetReport:
        answer = call_target(
            pool,
            address,
            b"GET",
            REPORT_PATH.encode(),
            headers=((HeaderNames.EXPECTED_TARGET.value, target.encode()),),
            timeout_s=REPORT_TIMEOUT_S,
        )
        return decode_report(answer.body)

    try:
        return _call()
    except (TargetTimeoutError, TargetBrokenError):
        pool.drop(address)
        return _call()


class TargetProbes:
    """What a planner learns from targets themselves.

    Parameters
    ----------
    may_be_alive
        Asks the peers whether a target may answer any of them.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        view: GatewayView,
        may_be_alive: Callable[[str, str], bool],
    ):
        self._pool = pool
        self._view = view
        self._may_be_alive = may_be_alive
        self._unreachable: set[str] = set()
        self._gone: set[str] = set()
        self._orders: dict[str, int] = {}
        self._asked_at: dict[str, float] = {}
        self._released: dict[tuple[str, int, bool], tuple[float, bool]] = {}
        self._missing_since: dict[str, float] = {}
        self._opening: set[tuple[str, int]] = set()
        self._verified: set[str] = set()
        self._fence = 0

    @property
    def unreachable(self) -> frozenset[str]:
        """Targets that do not answer although the list still has them."""
        return frozenset(self._unreachable)

    @property
    def gone(self) -> frozenset[str]:
        """Heads outside the list that certainly take no more requests."""
        return frozenset(self._gone)

    def begin(self, fence: int) -> None:
        """Forget what was known of targets: another planner gave them orders.

        Parameters
        ----------
        fence
            Version of the planner's key. Entries with a higher one show what targets
            were in after the last order of the planner before, but for late ones.
        """
        self._fence = fence
        self._orders.clear()
        self._opening.clear()
        self._verified.clear()

    def note_states(self, targets: Mapping[str, TargetRecord]) -> None:
        """Note which heads have shown in the list that they were opened."""
        for record in targets.values():
            place = record.membership
            if place is not None and place.state in (
                MemberState.OPEN,
                MemberState.CLOSING,
            ):
                self._opening.discard((place.group, place.epoch))

    def is_released(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target may join another group.

        The list may show an earlier state of targets that can't reach the store. What
        it shows counts if it was written during this planner's time; otherwise the
        target and its head are asked.
        """
        if not self._has_shown_place(record):
            return False
        place = record.membership
        head = None if place is None else parse_head(place.group)
        if head is None or head.id in self._gone or self._has_shown_release(record):
            return True
        key = (place.group, place.epoch, place.rank == 0)
        known = self._released.get(key)
        if known is None or now - known[0] > RELEASE_VALID_S:
            known = (now, self._ask_released(head, *key))
            self._released = {
                other: item
                for other, item in self._released.items()
                if now - item[0] <= RELEASE_VALID_S
            }
            self._released[key] = known
        return known[1]

    def _has_shown_place(self, record: TargetRecord) -> bool:
        """Return whether a target is where its record says, by its own word."""
        known = self._view.targets.get(record.id)
        if known is None:
            return False
        if known.version > self._fence or record.id in self._verified:
            return True
        report = self.ask(record.id, record.address)
        if report is None:
            return False
        self._verified.add(record.id)
        self._view.note_report(record.id, known.version, report)
        return _find_key(report.membership) == _find_key(record.membership)

    def _has_shown_release(self, record: TargetRecord) -> bool:
        """Return whether a target's head has shown in the list that it is not open."""
        key = _find_key(record.membership)
        known = self._view.targets.get(parse_head(record.membership.group).id)
        if known is None or known.version <= self._fence or key in self._opening:
            return False
        place = known.record.membership
        if _find_key(place) != key:
            return True
        return record.membership.rank == 0 and place.state is MemberState.READY

    def _ask_released(
        self, head: HeadPlace, group: str, epoch: int, is_head: bool
    ) -> bool:
        """Return whether a head, or its members, may join another group.

        A head that is ready may still carry out an order to open. That one fails once
        the head has begun another, so that only its members have to wait.
        """
        report = self.ask(head.id, head.address)
        if report is None:
            return head.id in self._gone
        place = report.membership
        if place is None or (place.group, place.epoch) != (group, epoch):
            return True
        if is_head:
            return place.state not in (MemberState.OPEN, MemberState.CLOSING)
        return place.state is MemberState.BROKEN

    def ask_unreachable(self, now: float) -> None:
        """Ask targets that did not answer again, until the list drops them."""
        for target in list(self._unreachable):
            known = self._view.targets.get(target)
            if known is None:
                self._unreachable.discard(target)
            elif now - self._asked_at.get(target, 0.0) >= ASK_AGAIN_S:
                self._asked_at[target] = now
                gevent.spawn(self.ask, target, known.record.address)

    def ask_missing_heads(
        self, targets: Mapping[str, TargetRecord], fence: int, now: float
    ) -> None:
        """Ask heads that the list has dropped whether they still answer.

        Parameters
        ----------
        fence
            Fencing number with which they are told to leave their groups; 0 if they
            are not.
        """
        missing = find_missing_heads(targets)
        self._gone &= missing.keys()
        self._missing_since = {
            target: self._missing_since.get(target, now) for target in missing
        }
        for target, head in missing.items():
            if (
                target not in self._gone
                and now - self._asked_at.get(target, 0.0) >= ASK_AGAIN_S
            ):
                self._asked_at[target] = now
                returns = now - self._missing_since[target] < RETURN_S
                gevent.spawn(self._ask_missing, head, 0 if returns else fence)

    def ask_suspects(
        self,
        targets: Mapping[str, TargetRecord],
        suspects: Iterable[tuple[str, int]],
        now: float,
    ) -> None:
        """Ask each member of a suspected group whether it answers."""
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
                    and now - self._asked_at.get(other.id, 0.0) >= ASK_AGAIN_S
                ):
                    self._asked_at[other.id] = now
                    gevent.spawn(self.ask, other.id, other.address)

    def _ask_missing(self, head: MissingHead, fence: int) -> None:
        """Find out whether a head that left the list still holds its group.

        One that answers is told to give it up. One that answers no entry host is gone,
        if a survivor beside it does: otherwise its whole zone may be cut off.
        """
        survivor = head.survivors[0]
        if self.ask(survivor.id, survivor.address) is None:
            return
        report = self.ask(head.id, head.address)
        if report is None:
            if not self._may_be_alive(head.id, head.address):
                self._gone.add(head.id)
                logger.info("head is gone", extra={"target": head.id})
            return
        place = report.membership
        if place is None or place.group not in head.groups:
            self._gone.add(head.id)
            return
        match place.state:
            case MemberState.BROKEN:
                self._gone.add(head.id)
                return
            case MemberState.OPEN | MemberState.CLOSING:
                order = Close(place.group, place.epoch, preempt=True)
            case _:
                order = Leave(place.group, place.epoch)
        if fence:
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

    def ask(self, target: str, address: str) -> TargetReport | None:
        """Ask a target for its report; return None if it does not answer."""
        try:
            report = fetch_report(self._pool, target, address)
        except (UnreachableError, TargetTimeoutError, TargetBrokenError) as exc:
            self._unreachable.add(target)
            logger.info(
                "target does not answer",
                extra={"target": target, "reason": str(exc)},
            )
            return None
        except ValueError as exc:
            logger.warning(
                "report is unreadable", extra={"target": target, "reason": str(exc)}
            )
            return None
        self._orders[target] = report.orders
        self._unreachable.discard(target)
        return report

    def send_order(
        self, target: str, address: str, order: Order, fence: int
    ) -> tuple[int, str]:
        """Send an order; return the status, 0 if there was no answer, and why.

        Parameters
        ----------
        fence
            Fencing number of the planner that gives it.
        """
        if self._orders.get(target) is None and self.ask(target, address) is None:
            return 0, "target does not answer"
        expected = self._orders.pop(target, None)
        if expected is None:
            return 0, "another order is on its way"
        if isinstance(order, Open):
            self._opening.add((order.group, order.epoch))
        body = encode_order(order, fence=fence, expected_orders=expected)
        try:
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
            )
        except (UnreachableError, TargetTimeoutError, TargetBrokenError) as exc:
            gevent.spawn(self.ask, target, address)
            return 0, str(exc)
        status = answer.head.status
        if status == 202 or (status == 200 and isinstance(order, Leave)):
            self._orders[target] = expected + 1
        elif status == 200:
            self._orders[target] = expected
        return status, f"expected {expected} orders"


def _find_key(place: Membership | None) -> tuple[str, int] | None:
    return None if place is None else (place.group, place.epoch)
