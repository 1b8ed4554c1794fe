"""Planner of replica groups: what targets say in, orders out.

Works on the targets' own records: a group is whatever its members say they are
in. A group that lost a member is closed at its head, and its survivors join a new
group with a spare. Members are taken from a group only once its head has left it, is
broken or is gone: a head that is only closed may still carry out an order to open. Each
order names the count of orders that its target has begun, and epochs only grow, so
that an order that is carried out late fails.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence

from ..configuration.routes import ModelSpec
from ..targets.records import MemberState, TargetRecord
from .balance import CLOSING_S, GroupBalance
from .fleet import FleetView, SeenGroup, find_groups, find_join_s, is_member
from .ledger import EFFECT_S, Forming, GiveOrder, OrderLedger
from .naming import GroupHead, name_group, parse_head
from .orders_to_targets import Close, Join, Leave, Open, Stage
from .staging import HostStaging, MayLoad

# Time within which a target that the list dropped by mistake is in it again.
RELIST_GRACE_S = 2.5
# Time for which a head must be missing from the list, beside a member that is in it,
# before proof that it answers nobody counts: targets that could not reach the list are
# in it again within two heartbeats.
PROVED_ABSENCE_S = 4.0
# The same without any proof. A cut between targets and the list lasts seconds.
HEAD_ABSENCE_S = 15.0
# Time without a new target after which a new domain counts as complete.
ARRIVALS_S = 1.5


class FormationPlanner:
    """Plans the replica groups of one service in one availability zone.

    Parameters
    ----------
    next_epoch
        Returns a number higher than all before, at any planner.
    may_load
        Returns whether a model may be loaded onto a target's host at a time; the last
        argument says whether the target is of no use without it.
    """

    def __init__(self, next_epoch: Callable[[], int], may_load: MayLoad):
        self._next_epoch = next_epoch
        self.ledger = OrderLedger()
        self._balance = GroupBalance(self.ledger)
        self._staging = HostStaging(self.ledger, self._balance, may_load)
        self._closing_since: dict[tuple[str, int], float] = {}
        self._laid_out: set[str] = set()
        self._lacking_since: dict[tuple[str, int], float] = {}
        self._arrivals: dict[str, tuple[int, float]] = {}

    def plan(self, view: FleetView, now: float) -> list[GiveOrder]:
        """Return the orders to give now."""
        self.ledger.drop_finished(view, now)
        orders = list(self._advance_forming(view, now))
        by_domain: dict[str, list[TargetRecord]] = defaultdict(list)
        for record in view.targets.values():
            by_domain[record.domain].append(record)
        seen = find_groups(view.targets.values())
        self._forget_groups(seen)
        for domain in sorted(by_domain):
            members = sorted(by_domain[domain], key=lambda record: record.id)
            if self._is_laid_out(domain, members):
                orders += self._plan_domain(view, members, seen, now)
            elif self._is_settled(domain, len(members), now):
                self._laid_out.add(domain)
                orders += self._lay_out(view, members, now)
        serving = {
            key for key, group in seen.items() if group.state is MemberState.OPEN
        }
        orders += self._staging.plan(view, serving, self._laid_out, now)
        orders += self._balance.rebalance(
            view,
            by_domain,
            seen,
            lambda record: self._is_free(view, record, seen, now),
            now,
        )
        return orders

    def _is_laid_out(self, domain: str, members: Sequence[TargetRecord]) -> bool:
        if any(record.membership or record.staged for record in members):
            self._laid_out.add(domain)
        return domain in self._laid_out

    def _is_settled(self, domain: str, count: int, now: float) -> bool:
        """Return whether no more targets of a new domain seem to come."""
        known, since = self._arrivals.get(domain, (0, now))
        if count != known:
            known, since = count, now
        self._arrivals[domain] = (known, since)
        return now - since >= ARRIVALS_S

    def _forget_groups(self, seen: Mapping[tuple[str, int], SeenGroup]) -> None:
        """Forget groups that no record shows any more."""
        self._balance.forget_groups(seen)
        for since in (self._closing_since, self._lacking_since):
            for key in since.keys() - seen.keys():
                del since[key]

    def _is_headless(self, view: FleetView, record: TargetRecord, now: float) -> bool:
        """Return whether the head of a target's group is certainly gone.

        A head that only can't reach the list may still take requests. It is gone if
        that was proved, and if this member stayed in the list without it. One that is
        listed has left the group.
        """
        place = record.membership
        placed_since = view.placed_since.get(record.id, now)
        head = parse_head(place.group)
        if head is not None and head.id in view.targets:
            return True
        if head is None:
            return now - placed_since >= HEAD_ABSENCE_S
        vanished_at = view.vanished_at.get(head.id, placed_since)
        absent_since = max(placed_since, vanished_at)
        if head.id not in view.gone:
            return now - absent_since >= HEAD_ABSENCE_S
        if placed_since < vanished_at - EFFECT_S:
            return True
        return now - absent_since >= PROVED_ABSENCE_S

    def _advance_forming(self, view: FleetView, now: float) -> Iterator[GiveOrder]:
        for forming in list(self.ledger.forming.values()):
            records = [view.targets.get(member) for member in forming.members]
            if now >= forming.deadline or any(
                record is None or record.leaving or record.id in view.unreachable
                for record in records
            ):
                del self.ledger.forming[forming.group]
                continue
            key = (forming.group, forming.epoch)
            states = [
                record.membership.state if is_member(record, key) else None
                for record in records
            ]
            if states[0] in (MemberState.OPEN, MemberState.CLOSING):
                del self.ledger.forming[forming.group]
            elif all(state is MemberState.READY for state in states):
                order = Open(forming.group, forming.epoch)
                yield from self.ledger.give(records[0], order, EFFECT_S, now)
            else:
                yield from self._join_missing(forming, records, states, now)

    def _join_missing(
        self, forming: Forming, records, states, now: float
    ) -> Iterator[GiveOrder]:
        order = Join(forming.group, forming.epoch, forming.model.name, forming.members)
        for record, state in zip(records, states, strict=True):
            if state is None:
                yield from self.ledger.give(record, order, EFFECT_S, now)

    def _plan_domain(
        self,
        view: FleetView,
        members: Sequence[TargetRecord],
        seen: Mapping[tuple[str, int], SeenGroup],
        now: float,
    ) -> Iterator[GiveOrder]:
        in_domain = {
            key: group
            for key, group in seen.items()
            if any(
                record.domain == members[0].domain for record in group.members.values()
            )
        }
        for key, group in in_domain.items():
            if group.group not in self.ledger.forming:
                yield from self._tend(view, key, group, now)
        free = [
            record for record in members if self._is_free(view, record, in_domain, now)
        ]
        yield from self._balance.complete(view, free, in_domain, now)
        yield from self._form(view, free, now)

    def _tend(
        self, view: FleetView, key, group: SeenGroup, now: float
    ) -> Iterator[GiveOrder]:
        head = group.head
        if head is None or head.id in view.unreachable:
            return
        model = view.spec.find_model(head.model)
        size = model.size if model is not None else len(group.members)
        silent = any(record.id in view.unreachable for record in group.members.values())
        lost = silent or self._lacks_members(key, group, size, now)
        leaving = any(record.leaving for record in group.members.values())
        match group.state:
            case MemberState.OPEN if lost:
                order = Close(group.group, group.epoch, preempt=True)
                yield from self.ledger.give(head, order, EFFECT_S, now)
            case MemberState.OPEN if leaving:
                self._closing_since.setdefault(key, now)
                order = Close(group.group, group.epoch, preempt=False)
                yield from self.ledger.give(head, order, EFFECT_S, now)
            case MemberState.CLOSING:
                since = self._closing_since.setdefault(key, now)
                if lost or now - since > CLOSING_S:
                    order = Close(group.group, group.epoch, preempt=True)
                    yield from self.ledger.give(head, order, EFFECT_S, now)
            case MemberState.READY if (
                self.ledger.find_order(head.id) is None
                and not self._balance.is_given_up(key)
                and not lost
                and len(group.members) == size
                and not leaving
                and model is not None
                and all(
                    record.membership.state is MemberState.READY
                    for record in group.members.values()
                )
            ):
                self.ledger.forming[group.group] = Forming(
                    group.group,
                    group.epoch,
                    model,
                    tuple(group.members[rank].id for rank in range(size)),
                    now + EFFECT_S + view.spec.open_s,
                )
                order = Open(group.group, group.epoch)
                yield from self.ledger.give(head, order, EFFECT_S, now)
            case MemberState.READY | MemberState.JOINING if len(
                group.members
            ) > 1 and not self._will_be_ready(group, size):
                order = Leave(group.group, group.epoch)
                yield from self.ledger.give(head, order, EFFECT_S, now)

    def _will_be_ready(self, group: SeenGroup, size: int) -> bool:
        """Return whether a whole group is still loading its model."""
        return (
            group.state is MemberState.JOINING
            and len(group.members) == size
            and not any(record.leaving for record in group.members.values())
        )

    def _lacks_members(self, key, group: SeenGroup, size: int, now: float) -> bool:
        """Return whether members are missing from the list, and not for a moment.

        Targets that the list dropped while it was out of order come back to it.
        """
        if len(group.members) >= size:
            self._lacking_since.pop(key, None)
            return False
        return now - self._lacking_since.setdefault(key, now) >= RELIST_GRACE_S

    def _is_free(
        self,
        view: FleetView,
        record: TargetRecord,
        seen: Mapping[tuple[str, int], SeenGroup],
        now: float,
    ) -> bool:
        if record.leaving or record.id in view.unreachable:
            return False
        order = self.ledger.find_order(record.id)
        if order is not None and not isinstance(order, Stage):
            return False
        if self.ledger.is_forming(record.id):
            return False
        if record.membership is None:
            return True
        group = seen[(record.membership.group, record.membership.epoch)]
        if group.head is None:
            return self._is_headless(view, record, now)
        if group.state is MemberState.BROKEN:
            return True
        is_alone = len(group.members) == 1
        return is_alone and group.state in (MemberState.READY, MemberState.JOINING)

    def _lay_out(
        self, view: FleetView, members: Sequence[TargetRecord], now: float
    ) -> Iterator[GiveOrder]:
        """Form the first groups, when every target still has to load a model."""
        free = [record for record in members if not record.leaving]
        models = view.spec.models
        total = sum(model.share for model in models) or 1.0
        wanted = {model.name: model.share / total * len(free) for model in models}
        while True:
            fitting = [model for model in models if model.size <= len(free)]
            if not fitting:
                return
            model = max(fitting, key=lambda item: (wanted[item.name], item.size))
            chosen, free = free[: model.size], free[model.size :]
            wanted[model.name] -= model.size
            yield from self._start(view, model, chosen, now, model.load_s)

    def _form(
        self, view: FleetView, free: list[TargetRecord], now: float
    ) -> Iterator[GiveOrder]:
        """Form groups of free targets, for the most pressed model first."""
        while True:
            options = []
            for model in view.spec.models:
                ready = [
                    record for record in free if find_join_s(model, record) is not None
                ]
                if len(ready) >= model.size and self._balance.may_form(
                    model, free[0], now
                ):
                    ready.sort(key=lambda record: find_join_s(model, record))
                    options.append(
                        (self._balance.find_pressure(view, model), model, ready)
                    )
            if not options:
                return
            _, model, ready = max(options, key=lambda item: (item[0], item[1].size))
            chosen = ready[: model.size]
            for record in chosen:
                free.remove(record)
            join_s = max(find_join_s(model, record) for record in chosen)
            yield from self._start(view, model, chosen, now, join_s)

    def _start(
        self,
        view: FleetView,
        model: ModelSpec,
        chosen: Sequence[TargetRecord],
        now: float,
        join_s: float,
    ) -> Iterator[GiveOrder]:
        epoch = self._next_epoch()
        head = chosen[0]
        group = name_group(epoch, GroupHead(head.id, head.address))
        members = tuple(record.id for record in chosen)
        deadline = now + join_s + view.spec.open_s + 2 * EFFECT_S
        self.ledger.forming[group] = Forming(group, epoch, model, members, deadline)
        self._balance.end_reservation(head.domain)
        order = Join(group, epoch, model.name, members)
        for record in chosen:
            yield from self.ledger.give(record, order, EFFECT_S, now)
