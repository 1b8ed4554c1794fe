"""Groups that are being formed and orders whose effect has not shown yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ..configuration.routes import ModelSpec
from ..targets.records import MemberState, TargetRecord
from .fleet import FleetView, is_member
from .orders_to_targets import Close, Join, Leave, Open, Order, Stage

# Time for an order's effect to show in the target's record, in seconds.
EFFECT_S = 1.5
# Time after a refusal before the order is given again, in seconds.
REFUSED_S = 0.3


@dataclass(frozen=True, slots=True)
class GiveOrder:
    """An order to be given."""

    target: str
    order: Order


@dataclass(frozen=True, slots=True)
class Forming:
    """A group that is being formed, the head first, until a monotonic deadline."""

    group: str
    epoch: int
    model: ModelSpec
    members: tuple[str, ...]
    deadline: float


@dataclass(frozen=True, slots=True)
class PendingOrder:
    """An order whose effect should show by a monotonic deadline."""

    order: Order
    deadline: float


class OrderLedger:
    """What a planner has begun.

    Attributes
    ----------
    forming
        Groups that are being formed, by name.
    """

    def __init__(self):
        self.forming: dict[str, Forming] = {}
        self._pending: dict[str, PendingOrder] = {}

    @property
    def is_busy(self) -> bool:
        """Whether something is under way whose effect should be seen soon."""
        return bool(self.list_busy_targets())

    def count_forming(self) -> Mapping[str, int]:
        """Return the groups that are being formed, by model."""
        return Counter(forming.model.name for forming in self.forming.values())

    def list_busy_targets(self) -> set[str]:
        """Return the targets whose state decides what comes next."""
        found = {
            target
            for target, pending in self._pending.items()
            if not isinstance(pending.order, Stage)
        }
        for forming in self.forming.values():
            found.update(forming.members)
        return found

    def is_forming(self, target: str) -> bool:
        """Return whether a target is to be a member of a group being formed."""
        return any(target in forming.members for forming in self.forming.values())

    def find_order(self, target: str) -> Order | None:
        """Return the order whose effect a target has not shown yet."""
        pending = self._pending.get(target)
        return None if pending is None else pending.order

    def give(
        self, record: TargetRecord, order: Order, effect_s: float, now: float
    ) -> Iterator[GiveOrder]:
        """Yield an order, unless another waits for its effect.

        Loads onto a host go on beside all other orders.
        """
        pending = self.find_order(record.id)
        if pending is None or isinstance(pending, Stage):
            self._pending[record.id] = PendingOrder(order, now + effect_s)
            yield GiveOrder(record.id, order)

    def note_refused(self, target: str, order: Order, now: float) -> None:
        """Note that a target refused an order, or did not answer."""
        pending = self._pending.get(target)
        if pending is not None and pending.order == order:
            deadline = min(pending.deadline, now + REFUSED_S)
            self._pending[target] = PendingOrder(order, deadline)

    def drop_finished(self, view: FleetView, now: float) -> None:
        """Forget orders whose effect shows, or should have shown by now."""
        for target, pending in list(self._pending.items()):
            record = view.targets.get(target)
            if (
                record is None
                or now >= pending.deadline
                or _shows_effect(record, pending.order)
            ):
                del self._pending[target]


def _shows_effect(record: TargetRecord, order: Order) -> bool:
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
