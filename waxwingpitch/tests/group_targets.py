"""Model targets that take orders as the platform's protocol says, without a network."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from ..forwarding import AnswerHead, TargetTimeoutError
from ..forwarding.answers import Answer
from ..platform import ORDER_PATH, REPORT_PATH

SERVING = ("open", "closing")


class TwoGroupsError(AssertionError):
    """A target joined a group while the head of one that it had not left serves."""


@dataclass
class GroupTarget:
    """A target, and what it has begun since its start.

    Attributes
    ----------
    group, epoch, rank, state
        Its group; an empty name for none.
    """

    id: str
    orders: int = 0
    group: str = ""
    epoch: int = 0
    rank: int = 0
    state: str = ""
    members: tuple[str, ...] = ()
    highest_epoch: int = 0

    def report(self) -> dict:
        found = {"seq": self.orders, "models": [], "staged": []}
        if self.group:
            found["group"] = {
                "name": self.group,
                "epoch": self.epoch,
                "rank": self.rank,
                "state": self.state,
            }
        return found


@dataclass
class GroupTargets:
    """Targets by address, whose orders may get no answer and be carried out later.

    Attributes
    ----------
    lost
        Kinds of orders that get no answer; :meth:`deliver` carries them out.
    silent
        Addresses at which nothing answers.
    begun
        Orders that were carried out, as target and kind.
    """

    targets: dict[str, GroupTarget]
    lost: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    begun: list[tuple[str, str]] = field(default_factory=list)
    _late: list[tuple[str, dict]] = field(default_factory=list)

    def call(self, pool, address, method, path, *, body=b"", **options) -> Answer:
        """Answer a call, in place of ``call_target``."""
        if address in self.silent:
            raise TargetTimeoutError(f"{address}: silent")
        target = self.targets[address]
        if path == REPORT_PATH.encode():
            return Answer(AnswerHead(200, ()), json.dumps(target.report()).encode())
        assert path == ORDER_PATH.encode()
        order = json.loads(body)
        if order["operation"] in self.lost:
            self._late.append((address, order))
            raise TargetTimeoutError(f"{address}: silent")
        return Answer(AnswerHead(self._carry_out(target, order), ()), b"")

    def deliver(self) -> None:
        """Carry out the orders that got no answer."""
        late, self._late = self._late, []
        for address, order in late:
            self._carry_out(self.targets[address], order)

    def _carry_out(self, target: GroupTarget, order: dict) -> int:
        if order["expected"] != target.orders:
            return 409
        if order["operation"] == "join":
            if order["epoch"] < target.highest_epoch:
                return 412
            self._check_two_groups(target, order)
            members = tuple(order["members"])
            target.group, target.epoch = order["group"], order["epoch"]
            target.rank, target.members = members.index(target.id), members
            target.highest_epoch, target.state = target.epoch, "ready"
        elif (order["group"], order["epoch"]) != (target.group, target.epoch):
            return 200 if order["operation"] == "leave" else 409
        elif order["operation"] == "leave":
            target.group, target.state = "", ""
        elif order["operation"] == "open":
            target.state = "open"
        else:
            target.state = "ready"
        target.orders += 1
        self.begun.append((target.id, order["operation"]))
        return 200 if order["operation"] == "leave" else 202

    def _check_two_groups(self, target: GroupTarget, order: dict) -> None:
        if not target.group or target.group == order["group"]:
            return
        by_id = {other.id: other for other in self.targets.values()}
        head = by_id[target.members[0]]
        if head.group == target.group and head.state in SERVING:
            raise TwoGroupsError(
                f"{target.id} joined {order['group']}, not having left {target.group}"
            )
