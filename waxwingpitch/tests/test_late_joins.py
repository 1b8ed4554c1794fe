"""Orders to join that are carried out seconds after the planner gave them up."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ..groups.formation import FormationPlanner
from ..groups.ledger import TargetOrder
from ..groups.orders_to_targets import Join, Order
from .fleet_fake import PAIR, QUAD, FleetFake

TICK_S = 0.05


@dataclass(frozen=True)
class LateOrder:
    """An order on its way, and the orders that its target had begun before."""

    target: str
    order: Order
    begun: int


class LateOrders:
    """A planner and a fleet, between which some orders get no answer."""

    def __init__(self):
        self.fleet = FleetFake(domains=1, size=10)
        self.planner = self._build_planner()
        self.fleet.run(self.planner, 6.0)
        self.fleet.has_traffic = True
        self.fleet.demand = {QUAD.name: 5.0, PAIR.name: 10.0}
        self.late: list[LateOrder] = []

    def _build_planner(self) -> FormationPlanner:
        epochs = itertools.count(1000)
        return FormationPlanner(lambda: next(epochs), lambda *load: True)

    def list_pairs(self) -> list[tuple[str, ...]]:
        """Return the members of the open groups of two."""
        return [
            item.members
            for item in self.fleet.targets.values()
            if item.record.membership.rank == 0 and item.record.model == PAIR.name
        ]

    def lose(self, target: str) -> None:
        self.fleet.kill(target)
        self.fleet.unreachable.add(target)

    def run(self, seconds: float, is_late: Callable[[str, Order], bool]) -> None:
        """Let the planner plan, and keep back the orders that are late."""
        for _ in range(round(seconds / TICK_S)):
            for target_order in self.planner.plan(self.fleet.view(), self.fleet.now):
                self._send(target_order, is_late)
            self.fleet.advance(TICK_S)

    def deliver(self, target: str) -> None:
        """Carry out the late orders to a target that it still accepts."""
        for item in [item for item in self.late if item.target == target]:
            self.late.remove(item)
            if self._count_begun(target) == item.begun:
                self.fleet.carry_out(target, item.order)

    def _send(
        self, target_order: TargetOrder, is_late: Callable[[str, Order], bool]
    ) -> None:
        target, order = target_order.target, target_order.order
        if is_late(target, order):
            self.late.append(LateOrder(target, order, self._count_begun(target)))
            self.planner.record_refusal(
                target, order, self.fleet.now, is_answered=False
            )
        elif not self.fleet.carry_out(target, order):
            self.planner.record_refusal(target, order, self.fleet.now)

    def _count_begun(self, target: str) -> int:
        return sum(name == target for name, _ in self.fleet.orders)


def is_join_of(*targets: str) -> Callable[[str, Order], bool]:
    return lambda target, order: isinstance(order, Join) and target in targets


def test_group_does_not_serve_while_a_member_may_yet_join_another():
    """A head joins late, after its member has been ordered to join another group."""
    play = LateOrders()
    first, second, third = play.list_pairs()[:3]
    head, member = first[0], second[0]
    play.lose(first[1])
    play.lose(second[1])
    play.run(0.3, is_join_of(head))
    assert play.fleet.targets[member].members == (head, member)
    play.fleet.unreachable.add(head)
    play.lose(third[1])
    play.run(1.2, is_join_of(head, member))
    assert any(item.target == member for item in play.late)
    play.fleet.unreachable.discard(head)
    play.deliver(head)
    play.run(1.5, is_join_of(head, member))
    play.deliver(member)
    play.run(8.0, lambda target, order: False)
    assert play.fleet.count_open() == {QUAD.name: 1, PAIR.name: 1}
