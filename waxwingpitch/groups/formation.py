"""Planner of replica groups: derives orders from the records of targets.

A group consists of the targets whose records name it. A group that lost a member is
closed at its head, and its survivors join a new group with a spare. Members are moved
to another group only once their head has left the group, is broken or is known to have
stopped serving: a head that is merely closed may still execute a delayed order to open.
Each order contains the number of orders that its target has begun, and epochs only
increase, so that an outdated order fails.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence

from ..configuration.routes import ModelSpec
from ..targets.records import MemberState, TargetRecord
from .balance import OVERLOAD_PRESSURE, GroupRebalancer
from .fleet import FleetView, ObservedGroup, find_groups, find_join_s, is_member
from .ledger import EFFECT_TIMEOUT_S, FormingGroup, OrderLedger, TargetOrder
from .naming import GroupHead, name_group, parse_head
from .orders_to_targets import Close, Join, Leave, Open, Order, Stage
from .staging import HostStaging, MayLoad

# Time within which a target that was dropped from the list by mistake is listed again.
RELIST_GRACE_S = 2.5
# Time for which a head must be missing from the list, while a member of its group is
# listed, until it counts as lost, if it is known to accept no more requests. Targets
# that could not reach the list are listed again within two heartbeats.
INACTIVE_HEAD_ABSENCE_S = 4.0
# The same for a head that may still accept requests. A network partition between
# targets and the list lasts seconds.
UNCONFIRMED_HEAD_ABSENCE_S = 15.0
# Time without a new target after which a new domain counts as complete.
DOMAIN_STABLE_S = 1.5


class FormationPlanner:
    """Plans the replica groups of one service in one availability zone.

    Parameters
    ----------
    next_epoch
        Returns an epoch higher than all before, of any planner.
    may_load
        Returns whether a model may be loaded onto a target's host at a given time;
        the last argument says whether the target is idle without it.
    cancel_load
        Takes back that a target's host loads a model, as the target refused the order.
    """

    def __init__(
        self,
        next_epoch: Callable[[], int],
        may_load: MayLoad,
        *,
        cancel_load: Callable[[str], None] = lambda target: None,
    ):
        self._next_epoch = next_epoch
        self._cancel_load = cancel_load
        self.ledger = OrderLedger()
        self._rebalancer = GroupRebalancer(self.ledger)
        self._staging = HostStaging(self.ledger, self._rebalancer, may_load)
        self._closing_since: dict[tuple[str, int], float] = {}
        self._initialized_domains: set[str] = set()
        self._incomplete_since: dict[tuple[str, int], float] = {}
        self._domain_sizes: dict[str, tuple[int, float]] = {}

    def record_refusal(
        self, target: str, order: Order, now: float, *, is_answered: bool = True
    ) -> None:
        """Record that a target refused an order or, unless answered, said nothing."""
        self.ledger.record_refusal(target, order, now)
        if isinstance(order, Stage) and is_answered:
            self._cancel_load(target)

    def count_planned(self, now: float) -> Counter[str]:
        """Return the groups being formed, or for which others are closed, by model."""
        reserved = self._rebalancer.list_reserved(now)
        return Counter(self.ledger.count_forming()) + Counter(reserved)

    def plan(self, view: FleetView, now: float) -> list[TargetOrder]:
        """Return the orders to give now."""
        self.ledger.drop_finished(view, now)
        orders = list(self._advance_forming(view, now))
        by_domain: dict[str, list[TargetRecord]] = defaultdict(list)
        for record in view.targets.values():
            by_domain[record.domain].append(record)
        observed = find_groups(view.targets.values())
        self._forget_groups(observed)
        for domain in sorted(by_domain):
            members = sorted(by_domain[domain], key=lambda record: record.id)
            if self._is_initialized(domain, members):
                orders += self._plan_domain(view, members, observed, now)
            elif self._is_size_stable(domain, len(members), now):
                self._initialized_domains.add(domain)
                orders += self._form_initial_groups(view, members, now)
        orders += self._staging.plan(view, observed, self._initialized_domains, now)
        orders += self._rebalancer.rebalance(
            view,
            by_domain,
            observed,
            lambda record: self._is_free(view, record, observed, now),
            now,
        )
        return orders

    def _is_initialized(self, domain: str, members: Sequence[TargetRecord]) -> bool:
        if any(record.membership or record.staged for record in members):
            self._initialized_domains.add(domain)
        return domain in self._initialized_domains

    def _is_size_stable(self, domain: str, count: int, now: float) -> bool:
        """Return whether the number of targets in a new domain is stable."""
        known, since = self._domain_sizes.get(domain, (0, now))
        if count != known:
            known, since = count, now
        self._domain_sizes[domain] = (known, since)
        return now - since >= DOMAIN_STABLE_S

    def _forget_groups(self, observed: Mapping[tuple[str, int], ObservedGroup]) -> None:
        """Drop the state of groups that no target's record names any more."""
        self._rebalancer.forget_groups(observed)
        for since in (self._closing_since, self._incomplete_since):
            for key in since.keys() - observed.keys():
                del since[key]

    def _has_lost_head(self, view: FleetView, record: TargetRecord, now: float) -> bool:
        """Return whether the head of a target's group is known to have stopped serving.

        A head that merely cannot reach the list may still accept requests. One that is
        known to accept no more is lost at once if this member was listed already when
        the head was removed, and otherwise after a short absence from the list; any
        other head is lost only after a long absence. A head that is listed, but not
        among the group's members, has left the group.
        """
        place = record.membership
        membership_since = view.membership_since.get(record.id, now)
        head = parse_head(place.group)
        if head is not None and head.id in view.targets:
            return True
        if head is None:
            return now - membership_since >= UNCONFIRMED_HEAD_ABSENCE_S
        removed_at = view.removed_at.get(head.id, membership_since)
        absent_since = max(membership_since, removed_at)
        if place.group not in view.headless:
            return now - absent_since >= UNCONFIRMED_HEAD_ABSENCE_S
        if membership_since < removed_at - EFFECT_TIMEOUT_S:
            return True
        return now - absent_since >= INACTIVE_HEAD_ABSENCE_S

    def _advance_forming(self, view: FleetView, now: float) -> Iterator[TargetOrder]:
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
                yield from self.ledger.issue(records[0], order, EFFECT_TIMEOUT_S, now)
            else:
                if not forming.is_initial and any(
                    state is None and find_join_s(forming.model, record) is None
                    for record, state in zip(records, states, strict=True)
                ):
                    # A member that restarted lost the weights in memory. Joining would
                    # load them from the store, past the limit on loads.
                    del self.ledger.forming[forming.group]
                    continue
                yield from self._join_missing(forming, records, states, now)

    def _join_missing(
        self, forming: FormingGroup, records, states, now: float
    ) -> Iterator[TargetOrder]:
        order = Join(forming.group, forming.epoch, forming.model.name, forming.members)
        for record, state in zip(records, states, strict=True):
            if state is None:
                yield from self.ledger.issue(record, order, EFFECT_TIMEOUT_S, now)

    def _plan_domain(
        self,
        view: FleetView,
        members: Sequence[TargetRecord],
        observed: Mapping[tuple[str, int], ObservedGroup],
        now: float,
    ) -> Iterator[TargetOrder]:
        in_domain = {
            key: group
            for key, group in observed.items()
            if any(
                record.domain == members[0].domain for record in group.members.values()
            )
        }
        for key, group in in_domain.items():
            if group.group not in self.ledger.forming:
                yield from self._maintain_group(view, key, group, now)
        free = [
            record for record in members if self._is_free(view, record, in_domain, now)
        ]
        yield from self._rebalancer.complete(view, free, in_domain, now)
        yield from self._form_groups(view, free, now)

    def _maintain_group(
        self, view: FleetView, key, group: ObservedGroup, now: float
    ) -> Iterator[TargetOrder]:
        head = group.head
        if head is None or head.id in view.unreachable:
            return
        model = view.spec.find_model(head.model)
        size = model.size if model is not None else len(group.members)
        has_unreachable = any(
            record.id in view.unreachable for record in group.members.values()
        )
        is_incomplete = self._is_incomplete(key, group, size, now)
        serving = len(group.members) + sum(
            is_member(record, key) for record in view.absent.values()
        )
        has_lost_members = has_unreachable or (is_incomplete and serving < size)
        leaving = is_incomplete or any(
            record.leaving for record in group.members.values()
        )
        match group.state:
            case MemberState.OPEN if has_lost_members:
                order = Close(group.group, group.epoch, preempt=True)
                yield from self.ledger.issue(head, order, EFFECT_TIMEOUT_S, now)
            case MemberState.OPEN if leaving:
                self._closing_since.setdefault(key, now)
                order = Close(group.group, group.epoch, preempt=False)
                yield from self.ledger.issue(head, order, EFFECT_TIMEOUT_S, now)
            case MemberState.CLOSING:
                since = self._closing_since.setdefault(key, now)
                if has_lost_members or now - since > view.close_timeout_s:
                    order = Close(group.group, group.epoch, preempt=True)
                    yield from self.ledger.issue(head, order, EFFECT_TIMEOUT_S, now)
            case MemberState.READY if (
                self.ledger.find_order(head.id) is None
                and not self._rebalancer.is_reassigned(key)
                and not has_lost_members
                and len(group.members) == size
                and not leaving
                and model is not None
                and all(
                    record.membership.state is MemberState.READY
                    and not self.ledger.may_change_group(record.id, key)
                    for record in group.members.values()
                )
            ):
                self.ledger.forming[group.group] = FormingGroup(
                    group.group,
                    group.epoch,
                    model,
                    tuple(group.members[rank].id for rank in range(size)),
                    now + EFFECT_TIMEOUT_S + view.spec.open_s,
                )
                order = Open(group.group, group.epoch)
                yield from self.ledger.issue(head, order, EFFECT_TIMEOUT_S, now)
            case MemberState.READY | MemberState.JOINING if len(
                group.members
            ) > 1 and not self._is_loading(group, size):
                order = Leave(group.group, group.epoch)
                yield from self.ledger.issue(head, order, EFFECT_TIMEOUT_S, now)

    def _is_loading(self, group: ObservedGroup, size: int) -> bool:
        """Return whether a complete group is still loading its model."""
        return (
            group.state is MemberState.JOINING
            and len(group.members) == size
            and not any(record.leaving for record in group.members.values())
        )

    def _is_incomplete(self, key, group: ObservedGroup, size: int, now: float) -> bool:
        """Return whether members have been missing from the list beyond a grace period.

        Targets that were dropped while the list was faulty are listed again within it.
        """
        if len(group.members) >= size:
            self._incomplete_since.pop(key, None)
            return False
        return now - self._incomplete_since.setdefault(key, now) >= RELIST_GRACE_S

    def _is_free(
        self,
        view: FleetView,
        record: TargetRecord,
        observed: Mapping[tuple[str, int], ObservedGroup],
        now: float,
    ) -> bool:
        if record.leaving or record.id in view.unreachable:
            return False
        if self.ledger.find_order(record.id) is not None:
            return False
        if self.ledger.is_forming(record.id):
            return False
        if record.membership is None:
            return True
        group = observed[(record.membership.group, record.membership.epoch)]
        if group.head is None:
            return self._has_lost_head(view, record, now)
        if group.state is MemberState.BROKEN:
            return True
        is_alone = len(group.members) == 1
        return is_alone and group.state in (MemberState.READY, MemberState.JOINING)

    def _form_initial_groups(
        self, view: FleetView, members: Sequence[TargetRecord], now: float
    ) -> Iterator[TargetOrder]:
        """Form the first groups of a domain, whose targets have no model loaded yet."""
        free = [record for record in members if not record.leaving]
        models = view.spec.models
        total = sum(model.share for model in models) or 1.0
        desired = {model.name: model.share / total * len(free) for model in models}
        while True:
            fitting = [model for model in models if model.size <= len(free)]
            if not fitting:
                return
            model = max(fitting, key=lambda item: (desired[item.name], item.size))
            chosen, free = free[: model.size], free[model.size :]
            desired[model.name] -= model.size
            yield from self._start_forming(
                view, model, chosen, now, model.load_s, is_initial=True
            )

    def _form_groups(
        self, view: FleetView, free: list[TargetRecord], now: float
    ) -> Iterator[TargetOrder]:
        """Form groups of free targets, for the model under most pressure first.

        While none is overloaded the largest groups come first: they lose members most
        often, and enough targets for another are seldom free in one domain.
        """
        while True:
            options = []
            for model in view.spec.models:
                ready = [
                    record for record in free if find_join_s(model, record) is not None
                ]
                if len(ready) >= model.size and self._rebalancer.may_form(
                    model, free[0], now
                ):
                    ready.sort(key=lambda record: find_join_s(model, record))
                    pressure = self._rebalancer.find_pressure(view, model)
                    if pressure < OVERLOAD_PRESSURE:
                        pressure = 0.0
                    options.append((pressure, model, ready))
            if not options:
                return
            _, model, ready = max(options, key=lambda item: (item[0], item[1].size))
            chosen = ready[: model.size]
            for record in chosen:
                free.remove(record)
            join_s = max(find_join_s(model, record) for record in chosen)
            yield from self._start_forming(view, model, chosen, now, join_s)

    def _start_forming(
        self,
        view: FleetView,
        model: ModelSpec,
        chosen: Sequence[TargetRecord],
        now: float,
        join_s: float,
        *,
        is_initial: bool = False,
    ) -> Iterator[TargetOrder]:
        epoch = self._next_epoch()
        head = chosen[0]
        group = name_group(epoch, GroupHead(head.id, head.address))
        members = tuple(record.id for record in chosen)
        deadline = now + join_s + view.spec.open_s + 2 * EFFECT_TIMEOUT_S
        self.ledger.forming[group] = FormingGroup(
            group, epoch, model, members, deadline, is_initial
        )
        self._rebalancer.end_reservation(head.domain)
        order = Join(group, epoch, model.name, members)
        for record in chosen:
            yield from self.ledger.issue(record, order, EFFECT_TIMEOUT_S, now)
