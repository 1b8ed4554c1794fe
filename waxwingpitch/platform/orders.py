"""Encodes orders to targets and decodes their reports."""

from __future__ import annotations

import msgspec

from ..decoding import Count, Number, decode_json
from ..groups.orders_to_targets import Close, Join, Leave, Open, Order, Stage
from ..targets.records import Membership, MembershipReport, MemberState

ORDER_PATH = "/waxwingpitch/order"
REPORT_PATH = "/waxwingpitch/report"


def encode_order(order: Order, *, fence: int, expected_orders: int) -> bytes:
    """Encode an order to a target.

    Parameters
    ----------
    fence
        Fencing token of the planner that issues the order.
    expected_orders
        Number of orders that the target must have begun before; it refuses the order
        if it has begun a different number.
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


class _GroupMembership(msgspec.Struct):
    name: str = ""
    epoch: Number = 0
    rank: Count = 0
    state: MemberState | None = None


class _Model(msgspec.Struct):
    name: str


class _Report(msgspec.Struct):
    seq: Number = 0
    pace: float = 1.0
    group: _GroupMembership | None = None
    models: list[_Model] = []
    staged: list[str] = []


def decode_report(data: bytes) -> MembershipReport:
    """Decode a target's report; ValueError if it is malformed."""
    report = decode_json(data, _Report)
    group = report.group
    member = None
    if group is not None and group.name and group.state is not None:
        member = Membership(group.name, group.epoch, group.rank, group.state)
    return MembershipReport(
        orders=report.seq,
        pace=report.pace,
        membership=member,
        model=report.models[0].name if report.models else "",
        staged=tuple(report.staged),
    )
