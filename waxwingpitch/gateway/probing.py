"""Fetches reports from targets and sends them orders, for one zone's planner."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping

import gevent
from gevent.lock import BoundedSemaphore

from ..forwarding import (
    AnswerHead,
    ConnectionPool,
    TargetBrokenError,
    TargetTimeoutError,
    UnreachableError,
)
from ..forwarding.exchange import call_target
from ..groups.absent_heads import choose_release_order
from ..groups.fleet import MissingHead, find_missing_heads
from ..groups.formation import RELIST_GRACE_S
from ..groups.naming import GroupHead, parse_head
from ..groups.orders_to_targets import Leave, Open, Order
from ..platform import (
    ORDER_PATH,
    REPORT_PATH,
    HeaderNames,
    decode_report,
    encode_order,
)
from ..targets.records import Membership, MembershipReport, MemberState, TargetRecord
from .beliefs import GatewayView

ORDER_TIMEOUT_S = 0.6
REPORT_TIMEOUT_S = 0.25
# Time for which a head's answer on whether it still accepts requests is reused for the
# other members of its group.
RELEASE_CACHE_TTL_S = 0.5
# Minimum time between two probes of the same target.
PROBE_INTERVAL_S = 1.0
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
        The report cannot be decoded.
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
        return _fetch()


class TargetProbes:
    """A planner's direct contact with targets: probes and orders.

    Parameters
    ----------
    may_be_reachable
        Asks the peers whether a target, given its id and address, may answer any of
        them.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        view: GatewayView,
        may_be_reachable: Callable[[str, str], bool],
    ):
        self._pool = pool
        self._view = view
        self._may_be_reachable = may_be_reachable
        self._unreachable: set[str] = set()
        self._inactive_heads: set[str] = set()
        self._order_counts: dict[str, int] = {}
        self._probed_at: dict[str, float] = {}
        self._release_cache: dict[tuple[str, int, bool], tuple[float, bool]] = {}
        self._missing_since: dict[str, float] = {}
        self._opening_groups: set[tuple[str, int]] = set()
        self._verified_targets: set[str] = set()
        self._fence = 0
        self._contacts = BoundedSemaphore(MAX_CONCURRENT_CONTACTS)

    @property
    def unreachable(self) -> frozenset[str]:
        """Listed targets that did not answer the last probe."""
        return frozenset(self._unreachable)

    @property
    def inactive_heads(self) -> frozenset[str]:
        """Heads missing from the list that are known to accept no more requests."""
        return frozenset(self._inactive_heads)

    def reset(self, fence: int) -> None:
        """Discard cached states of targets, as another planner has sent them orders.

        Parameters
        ----------
        fence
            Version of the planner's key. Entries with a higher version were written
            after the previous planner's last order, and show the target's group after
            it, except for orders that were delivered late.
        """
        self._fence = fence
        self._order_counts.clear()
        self._opening_groups.clear()
        self._verified_targets.clear()

    def forget_opened_groups(self, targets: Mapping[str, TargetRecord]) -> None:
        """Forget pending orders to open groups that the list shows as opened."""
        for record in targets.values():
            place = record.membership
            if place is not None and place.state in (
                MemberState.OPEN,
                MemberState.CLOSING,
            ):
                self._opening_groups.discard((place.group, place.epoch))

    def is_released(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target may join another group.

        The list may be stale for targets that can't reach the store. An entry is relied
        on if it was written since this planner acquired its key; otherwise the target
        and its head are probed.
        """
        if not self._is_membership_confirmed(record):
            return False
        place = record.membership
        head = None if place is None else parse_head(place.group)
        if (
            head is None
            or head.id in self._inactive_heads
            or self._is_release_listed(record)
        ):
            return True
        key = (place.group, place.epoch, place.rank == 0)
        known = self._release_cache.get(key)
        if known is None or now - known[0] > RELEASE_CACHE_TTL_S:
            known = (now, self._probe_release(head, *key))
            self._release_cache = {
                other: item
                for other, item in self._release_cache.items()
                if now - item[0] <= RELEASE_CACHE_TTL_S
            }
            self._release_cache[key] = known
        return known[1]

    def _is_membership_confirmed(self, record: TargetRecord) -> bool:
        """Return whether a target's group in its record is current.

        That is so if the entry is newer than the planner's key, or if the target's own
        report confirms it.
        """
        known = self._view.targets.get(record.id)
        if known is None:
            return False
        if known.version > self._fence or record.id in self._verified_targets:
            return True
        report = self.probe(record.id, record.address)
        if report is None:
            return False
        self._verified_targets.add(record.id)
        self._view.apply_report(record.id, known.version, report)
        return _get_group_key(report.membership) == _get_group_key(record.membership)

    def _is_release_listed(self, record: TargetRecord) -> bool:
        """Return whether the list shows that the head of a target's group is not open.

        An entry older than the planner's key is no evidence, nor is any entry while an
        order to open the group is pending.
        """
        key = _get_group_key(record.membership)
        known = self._view.targets.get(parse_head(record.membership.group).id)
        if known is None or known.version <= self._fence or key in self._opening_groups:
            return False
        place = known.record.membership
        if _get_group_key(place) != key:
            return True
        return record.membership.rank == 0 and place.state is MemberState.READY

    def _probe_release(
        self, head: GroupHead, group: str, epoch: int, is_head: bool
    ) -> bool:
        """Probe a head, and return whether it, or its members, may join another group.

        A head that is ready may still execute a delayed order to open. That order fails
        once the head has begun another one, so only its members have to wait.
        """
        report = self.probe(head.id, head.address)
        if report is None:
            return head.id in self._inactive_heads
        place = report.membership
        if place is None or (place.group, place.epoch) != (group, epoch):
            return True
        if is_head:
            return place.state not in (MemberState.OPEN, MemberState.CLOSING)
        return place.state is MemberState.BROKEN

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
        self._inactive_heads &= missing.keys()
        self._missing_since = {
            target: self._missing_since.get(target, now) for target in missing
        }
        for target, head in missing.items():
            if (
                target not in self._inactive_heads
                and now - self._probed_at.get(target, 0.0) >= PROBE_INTERVAL_S
            ):
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
        host can reach counts as inactive only if a surviving member answers: otherwise
        the whole zone may be partitioned from this process.
        """
        survivor = head.survivors[0]
        if self.probe(survivor.id, survivor.address) is None:
            return
        report = self.probe(head.id, head.address)
        if report is None:
            if not self._may_be_reachable(head.id, head.address):
                self._inactive_heads.add(head.id)
                logger.info("head is gone", extra={"target": head.id})
            return
        place = report.membership
        if (
            place is None
            or place.group not in head.groups
            or place.state is MemberState.BROKEN
        ):
            self._inactive_heads.add(head.id)
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
            logger.info(
                "target does not answer",
                extra={"target": target, "reason": str(exc)},
            )
            return None
        except ValueError as exc:
            logger.warning(
                "target report cannot be decoded",
                extra={"target": target, "reason": str(exc)},
            )
            return None
        self._order_counts[target] = report.orders
        self._unreachable.discard(target)
        return report

    def send_order(
        self, target: str, address: str, order: Order, fence: int
    ) -> tuple[int, str]:
        """Send an order; return the status, 0 if there was no answer, and the details.

        Parameters
        ----------
        fence
            Fencing token of the planner that sends it.
        """
        if (
            self._order_counts.get(target) is None
            and self.probe(target, address) is None
        ):
            return 0, "target does not answer"
        expected = self._order_counts.pop(target, None)
        if expected is None:
            return 0, "another order is on its way"
        if isinstance(order, Open):
            self._opening_groups.add((order.group, order.epoch))
        body = encode_order(order, fence=fence, expected_orders=expected)
        try:
            with self._contacts:
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
            gevent.spawn(self.probe, target, address)
            return 0, str(exc)
        status = answer.head.status
        if status == 202 or (status == 200 and isinstance(order, Leave)):
            self._order_counts[target] = expected + 1
        elif status == 200:
            self._order_counts[target] = expected
        return status, f"expected {expected} orders"


def _names_request(head: AnswerHead) -> bool:
    """Return whether an answer is to a caller's request; reports have no id."""
    return bool(head.find(HeaderNames.REQUEST_ID))


def _get_group_key(membership: Membership | None) -> tuple[str, int] | None:
    return None if membership is None else (membership.group, membership.epoch)
