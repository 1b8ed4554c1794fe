"""Model targets that take orders as the platform's protocol says, without a network."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ..forwarding import AnswerHead, TargetTimeoutError, UnreachableError
from ..forwarding.answers import Answer
from ..platform import ORDER_PATH, REPORT_PATH

SERVING = ("open", "closing")


class TwoGroupsError(AssertionError):
    """A target joined a group while the head of one that it had not left serves."""


class PartialGroupError(AssertionError):
    """A group was opened of which a member has never been ready."""


@dataclass(frozen=True)
class Timing:
    """Times that orders take, and the age of reports, in seconds."""

    join_s: float = 0.0
    open_s: float = 0.0
    close_s: float = 0.0
    preempt_s: float = 0.0
    stall_s: float = math.inf
    report_lag_s: float = 0.0


@dataclass
class GroupTarget:
    """A target, and what it has begun since its start.

    Attributes
    ----------
    group, epoch, rank, state
        Its group; an empty name for none.
    due
        When it reaches a state, and which; None while it stays in the one that it has.
    breaks_at
        When it is broken, as the head of a group that stands still.
    born
        Unix time of its start, in milliseconds.
    past
        Its reports with their times, the last ones first needed.
    """

    id: str
    orders: int = 0
    group: str = ""
    epoch: int = 0
    rank: int = 0
    state: str = ""
    members: tuple[str, ...] = ()
    highest_epoch: int = 0
    model: str = ""
    staged: tuple[str, ...] = ()
    due: tuple[float, str] | None = None
    breaks_at: float = math.inf
    born: int = 0
    is_up: bool = True
    past: list[tuple[float, dict]] = field(default_factory=list)

    @property
    def place(self) -> tuple[str, int, tuple[str, ...]]:
        """Its group, with epoch and members."""
        return self.group, self.epoch, self.members

    def report(self) -> dict:
        models = [{"name": self.model}] if self.group and self.model else []
        found = {"seq": self.orders, "models": models, "staged": list(self.staged)}
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
    clock
        Returns the time; :meth:`advance` completes what is due by then.
    on_change
        Called with the address of a target that has changed.
    """

    targets: dict[str, GroupTarget]
    lost: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    begun: list[tuple[str, str]] = field(default_factory=list)
    timing: Timing = Timing()
    clock: Callable[[], float] = lambda: 0.0
    on_change: Callable[[str], None] = lambda address: None
    _late: list[tuple[str, dict]] = field(default_factory=list)
    _was_ready: set[tuple] = field(default_factory=set)

    def call(self, pool, address, method, path, *, body=b"", **options) -> Answer:
        """Answer a call, in place of ``call_target``."""
        if address in self.silent:
            raise TargetTimeoutError(f"{address}: silent")
        target = self.targets[address]
        if not target.is_up:
            raise UnreachableError(f"{address}: refused")
        if path == REPORT_PATH.encode():
            report = self._find_report(target)
            return Answer(AnswerHead(200, ()), json.dumps(report).encode())
        assert path == ORDER_PATH.encode()
        order = json.loads(body)
        if order["operation"] in self.lost:
            self._late.append((address, order))
            raise TargetTimeoutError(f"{address}: silent")
        return Answer(AnswerHead(self.carry_out(address, order), ()), b"")

    def deliver(self) -> None:
        """Carry out the orders that got no answer."""
        late, self._late = self._late, []
        for address, order in late:
            self.carry_out(address, order)

    def carry_out(self, address: str, order: dict) -> int:
        """Carry out an order unless it is refused; return the status."""
        target = self.targets[address]
        status = self._carry_out(target, order)
        self._note(address)
        return status

    def crash(self, address: str) -> None:
        target = self.targets[address]
        self.targets[address] = GroupTarget(
            target.id, staged=target.staged, is_up=False
        )

    def start(self, address: str, born: int) -> None:
        """Start a target that crashed: it knows nothing of before."""
        self.targets[address].is_up, self.targets[address].born = True, born
        self._note(address)

    def advance(self) -> None:
        """Complete what is due, and break the heads of groups that stand still."""
        now = self.clock()
        for address, target in self.targets.items():
            before = target.state
            lost = self._find_lost(target)
            if not lost:
                target.breaks_at = math.inf
            elif target.state != "broken":
                target.breaks_at = min(target.breaks_at, now + self.timing.stall_s)
            if now >= target.breaks_at:
                target.state, target.due = "broken", None
            stalls = lost and target.state == "closing"
            if target.due is not None and now >= target.due[0] and not stalls:
                target.state, target.due = target.due[1], None
                self._check_complete(target, before)
            if target.state == "ready":
                self._was_ready.add((target.id, target.place))
            if target.state != before:
                self._note(address)

    def _find_lost(self, head: GroupTarget) -> str:
        """Return a member that was ready and that the head of its group has lost."""
        if not head.group or head.rank:
            return ""
        by_id = {other.id: other for other in self.targets.values()}
        return next(
            (
                member
                for member in head.members
                if (member, head.place) in self._was_ready
                and by_id[member].place != head.place
            ),
            "",
        )

    def _find_report(self, target: GroupTarget) -> dict:
        """Return a target's report, of a moment ago."""
        if not self.timing.report_lag_s:
            return target.report()
        until = self.clock() - self.timing.report_lag_s
        while len(target.past) > 1 and target.past[1][0] <= until:
            del target.past[0]
        return target.past[0][1]

    def _note(self, address: str) -> None:
        target = self.targets[address]
        target.past.append((self.clock(), target.report()))
        self.on_change(address)

    def _carry_out(self, target: GroupTarget, order: dict) -> int:
        if order["expected"] != target.orders:
            return 409
        now, operation = self.clock(), order["operation"]
        if operation == "join":
            if order["epoch"] < target.highest_epoch:
                return 412
            self._check_two_groups(target, order)
            members = tuple(order["members"])
            target.group, target.epoch = order["group"], order["epoch"]
            target.rank, target.members = members.index(target.id), members
            target.highest_epoch, target.model = target.epoch, order["model"]
            self._turn(target, "joining", "ready", now + self.timing.join_s)
        elif (order["group"], order["epoch"]) != (target.group, target.epoch):
            return 200 if operation == "leave" else 409
        elif operation == "leave":
            target.group, target.epoch, target.members = "", 0, ()
            target.state, target.due = "", None
        elif operation == "open":
            if target.state != "ready":
                return 200 if target.state == "open" else 409
            self._turn(target, "ready", "open", now + self.timing.open_s)
        elif target.state in SERVING or target.due is not None:
            if target.state == "joining":
                return 409
            is_preempted = order["mode"] == "preempt"
            close_s = self.timing.preempt_s if is_preempted else self.timing.close_s
            self._turn(target, "closing", "ready", now + close_s)
        else:
            return 200
        target.orders += 1
        self.begun.append((target.id, operation))
        return 200 if operation == "leave" else 202

    def _turn(self, target: GroupTarget, state: str, after: str, at: float) -> None:
        """Change a target's state, and later to another."""
        before, target.state, target.due = target.state, state, (at, after)
        if at <= self.clock():
            target.state, target.due = after, None
            if after == "ready":
                self._was_ready.add((target.id, target.place))
            self._check_complete(target, before)

    def _check_two_groups(self, target: GroupTarget, order: dict) -> None:
        if not target.group or target.group == order["group"]:
            return
        by_id = {other.id: other for other in self.targets.values()}
        head = by_id[target.members[0]]
        if head.place != target.place or head.state == "broken":
            return
        lost = self._find_lost(head)
        if head.state in SERVING or lost:
            raise TwoGroupsError(
                f"{target.id} joined {order['group']}, not having left {target.group},"
                f" whose head is {head.state}" + (f" and lost {lost}" if lost else "")
            )

    def _check_complete(self, head: GroupTarget, before: str) -> None:
        if head.state != "open" or before == "open":
            return
        for member in head.members:
            if (member, head.place) not in self._was_ready:
                raise PartialGroupError(f"{head.group} opened, {member} was not ready")
