"""Groups being formed, and pending orders whose effect is not visible yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

from ..configuration.routes import ModelSpec
from ..targets.records import MemberState, TargetRecord
from .fleet import FleetView, is_member
from .orders_to_targets import Close, Join, Leave, Open, Order, Stage

# Time for an order's effect to appear in the target's record.
EFFECT_TIMEOUT_S = 1.5
# Time after a refusal before the order may be issued again.
REFUSAL_BACKOFF_S = 0.3
# The same for loads: a target whose host loads weights already refuses another load.
LOAD_REFUSAL_BACKOFF_S = 2.0


@dataclass(frozen=True, slots=True)
class TargetOrder:
    """An order and the target that it is sent to."""

    target: str
    order: Order


@dataclass(frozen=True, slots=True)
class FormingGroup:
    """A group being formed until a monotonic deadline; its head is the first member.

    Attributes
    ----------
    is_initial
        Whether the members load the weights only as they join.
    """

    group: str
    epoch: int
    model: ModelSpec
    members: tuple[str, ...]
    deadline: float
    is_initial: bool = False


@dataclass(frozen=True, slots=True)
class PendingOrder:
    """An order whose effect should be visible by a monotonic deadline.

    Attributes
    ----------
    started_ms
        Start of the target's process that got the order.
    """

    order: Order
    deadline: float
    started_ms: int = 0


class OrderLedger:
    """Orders and groups of a planner that are not completed yet.

    Attributes
    ----------
    forming
        Groups being formed, by name.
    """

    def __init__(self):
        self.forming: dict[str, FormingGroup] = {}
        self._pending: dict[str, PendingOrder] = {}
        self._loads: dict[str, PendingOrder] = {}
        self._assigned: dict[str, tuple[str, int]] = {}

    @property
    def is_busy(self) -> bool:
        """Whether a group is being formed or an order other than Stage is pending."""
        return bool(self.list_busy_targets())

    def count_forming(self) -> Mapping[str, int]:
        """Return the number of groups being formed, by model."""
        return Counter(forming.model.name for forming in self.forming.values())

    def list_busy_targets(self) -> set[str]:
        """Return the targets of forming groups and pending orders other than Stage."""
        found = set(self._pending)
        for forming in self.forming.values():
            found.update(forming.members)
        return found

    def is_forming(self, target: str) -> bool:
        """Return whether a target is a member of a group being formed."""
        return any(target in forming.members for forming in self.forming.values())

    def find_order(self, target: str) -> Order | None:
        """Return the pending order of a target other than Stage, or None."""
        pending = self._pending.get(target)
        return None if pending is None else pending.order

    def find_load(self, target: str) -> Stage | None:
        """Return the order to load weights that a target carries out, or None."""
        pending = self._loads.get(target)
        return None if pending is None else pending.order

    def may_change_group(self, target: str, key: tuple[str, int]) -> bool:
        """Return whether a member of a group was ordered to join another since.

        It may yet do so, whatever became of the order: one that gets no answer may be
        carried out seconds later.
        """
        return self._assigned.get(target, key) != key

    def issue(
        self, record: TargetRecord, order: Order, effect_timeout_s: float, now: float
    ) -> Iterator[TargetOrder]:
        """Yield an order, unless the target has another one pending.

        A host loads weights while its target carries out orders of other kinds.
        """
        pending = self._find_pending(order)
        if record.id not in pending:
            if isinstance(order, Join):
                self._assigned[record.id] = (order.group, order.epoch)
            pending[record.id] = PendingOrder(
                order, now + effect_timeout_s, record.started_ms
            )
            yield TargetOrder(record.id, order)

    def record_refusal(self, target: str, order: Order, now: float) -> None:
        """Record that a target refused an order, or did not answer."""
        pending = self._find_pending(order)
        item = pending.get(target)
        if item is not None and item.order == order:
            is_load = isinstance(order, Stage)
            backoff_s = LOAD_REFUSAL_BACKOFF_S if is_load else REFUSAL_BACKOFF_S
            deadline = min(item.deadline, now + backoff_s)
            pending[target] = replace(item, deadline=deadline)

    def drop_finished(self, view: FleetView, now: float) -> None:
        """Drop orders that took effect, are overdue or whose targets are not listed.

        A target that restarted no longer carries out an order to load weights.
        """
        for pending in (self._pending, self._loads):
            for target, item in list(pending.items()):
                record = view.targets.get(target)
                if (
                    record is None
                    or now >= item.deadline
                    or _has_taken_effect(record, item.order)
                    or (
                        isinstance(item.order, Stage)
                        and record.started_ms != item.started_ms
                    )
                ):
                    del pending[target]
        for target in self._assigned.keys() - view.targets.keys():
            if target not in view.removed_at:
                del self._assigned[target]

    def _find_pending(self, order: Order) -> dict[str, PendingOrder]:
        return self._loads if isinstance(order, Stage) else self._pending


def _has_taken_effect(record: TargetRecord, order: Order) -> bool:
    place = record.membership
    match order:
        case Join():
            return is_member(record, (order.group, order.epoch))
        case Open():
            return place is not None and place.state is MemberState.OPEN
        case Close():
            return place is None or place.state in (
                MemberState.READY,
                MemberState.BROKEN,
            )
        case Leave():
            return not is_member(record, (order.group, order.epoch))
        case Stage():
            return order.model in record.staged
