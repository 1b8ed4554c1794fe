"""States of targets on which orders to them are conditioned."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..groups.orders_to_targets import Join, Leave, Order
from .replicas import GroupEpoch


@dataclass(frozen=True, slots=True)
class TargetState:
    """State of a target at one moment, on which orders to it are conditioned.

    Attributes
    ----------
    orders
        Number of orders that it has begun.
    group
        Group that it is a member of, and its epoch.
    """

    orders: int
    group: GroupEpoch | None


@dataclass(frozen=True, slots=True)
class UnansweredOrder:
    """An order without an answer.

    Attributes
    ----------
    expected_orders
        Number of orders that the target must have begun for it to be carried out.
    """

    order: Order
    expected_orders: int


def find_state_after(
    state: TargetState, order: Order, status: int
) -> TargetState | None:
    """Return the state of a target after an order; None if that is not known."""
    match order, status:
        case Leave(), 200 | 202:
            return TargetState(state.orders + 1, None)
        case Join(), 202:
            return TargetState(state.orders + 1, (order.group, order.epoch))
        case _, 202:
            return replace(state, orders=state.orders + 1)
        case _, 200:
            return state
        case _:
            return None
