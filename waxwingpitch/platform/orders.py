"""Encodes orders to targets and decodes their reports."""

from __future__ import annotations

import msgspec

from ..groups.orders_to_targets import Close, Join, Leave, Open, Order, Stage
from ..targets.records import Membership, MemberState, TargetReport

ORDER_PATH = "/waxwingpitch/order"
REPORT_PATH = "/waxwingpitch/report"


def encode_order(order: Order, *, fence: int, expected_orders: int) -> bytes:
    """Encode an order.

    Parameters
    ----------
    fence
        Fencing number of the planner that gives the order.
    expected_orders
        Orders that the target must have begun; it refuses if there were others.
    """
    match order:
        case Join():
            body = {
                "operation": "join",
                "group": order.group,
                "epoch": order.epoch,
                "model": order.model,
                "members": list(order.members),
            }
        case Open():
            body = {"operation": "open", "group": order.group, "epoch": order.epoch}
        case Close():
            mode = "preempt" if order.preempt else "queue"
            body = {
                "operation": "close",
                "group": order.group,
                "epoch": order.epoch,
                "mode": mode,
            }
        case Leave():
            body = {"operation": "leave", "group": order.group, "epoch": order.epoch}
        case Stage():
            body = {"operation": "stage", "model": order.model}
    body["fence_token"] = fence
    body["expected"] = expected_orders
    return msgspec.json.encode(body)


class _Group(msgspec.Struct):
    name: str = ""
    epoch: int = 0
    rank: int = 0
    state: MemberState | None = None


class _Model(msgspec.Struct):
    name: str


class _Report(msgspec.Struct):
    seq: int = 0
    pace: float = 1.0
    group: _Group | None = None
    models: list[_Model] = []
    staged: list[str] = []


def decode_report(data: bytes) -> TargetReport:
    """Decode a target's report; ValueError if it is unreadable."""
    found = msgspec.json.decode(data, type=_Report)
    group = found.group
    place = None
    if group is not None and group.name and group.state is not None:
        place = Membership(group.name, group.epoch, group.rank, group.state)
    return TargetReport(
        orders=found.seq,
        pace=found.pace,
        membership=place,
        model=found.models[0].name if found.models else "",
        staged=tuple(found.staged),
    )
