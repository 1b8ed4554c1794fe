"""Planner of replica groups: what targets say in, orders out.

Works on the targets' own records: a group is whatever its members say they are
in. A group that lost a member is closed at its head, and its survivors join a new
group with a spare. Members are taken from a group only once its head has stopped
taking requests, or is gone. Epochs only grow, so that an order that is carried out
late fails.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from ..configuration.routes import EngineSpec, ModelSpec
from ..targets.records import MemberState, TargetRecord
from .orders_to_targets import Close, Join, Leave, Open, Order, Stage

# Time for an order's effect to show in the target's record, in seconds.
EFFECT_S = 1.5
# Joining again for the model of the last group takes 0.2 s.
REJOIN_S = 0.2
# Share of a domain's targets that are kept as spares.
SPARE_SHARE = 0.2
# Longest time for requests in progress when a group is closed for a planned change.
CLOSING_S = 6.0
# Time for which a suspected group whose members all answer is left alone.
SUSPECT_PATIENCE_S = 1.0
# Time without a new target after which a new domain counts as complete.
ARRIVALS_S = 1.5


@dataclass(frozen=True, slots=True)
class FleetView:
    """What is known of a service's targets in one availability zone.

    Attributes
    ----------
    targets
        Records by id.
    unreachable
        Targets that do not answer although the list still has them.
    suspects
        Head and epoch of each group in which nothing moves, with the monotonic
        time since which that is so.
    load
        Share of the open groups' slots that is taken, by model.
    """

    spec: EngineSpec
    targets: Mapping[str, TargetRecord]
    unreachable: frozenset[str] = frozenset()
    suspects: Mapping[tuple[str, int], float] = field(default_factory=dict)
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class GiveOrder:
    """An order to be given."""

    target: str
    order: Order


@dataclass(slots=True)
class _Forming:
    group: str
    epoch: int
    model: ModelSpec
    members: tuple[str, ...]
    deadline: float


@dataclass(slots=True)
class _Pending:
    order: Order
    deadline: float


@dataclass(slots=True)
class _SeenGroup:
    """A group as its members' records show it."""

    group: str
    epoch: int
    members: dict[int, TargetRecord] = field(default_factory=dict)

    @property
    def head(self) -> TargetRecord | None:
        return self.members.get(0)

    @property
    def state(self) -> MemberState | None:
        head = self.head
        return None if head is None else head.membership.state


class FormationPlanner:
    """Plans the replica groups of one service in one availability zone.

    Parameters
    ----------
    next_epoch
        Returns a number higher than all before, at any planner.
    may_load
        Returns whether one more load from the weight store may begin now.
    """

    def __init__(
        self, next_epoch: Callable[[], int], may_load: Callable[[float], bool]
    ):
        self._next_epoch = next_epoch
        self._may_load = may_load
        self._forming: dict[str, _Forming] = {}
        self._pending: dict[str, _Pending] = {}
        self._closing_since: dict[tuple[str, int], float] = {}
        self._laid_out: set[str] = set()
        self._arrivals: dict[str, tuple[int, float]] = {}

    @property
    def is_busy(self) -> bool:
        """Whether something is under way whose effect should be seen soon."""
        return bool(self._forming) or any(
            not isinstance(item.order, Stage) for item in self._pending.values()
        )

    def note_refused(self, target: str, order: Order, now: float) -> None:
        """Note that a target refused an order, or did not answer."""
        pending = self._pending.get(target)
        if pending is not None and pending.order == order:
            pending.deadline = min(pending.deadline, now + 0.3)

    def plan(self, view: FleetView, now: float) -> list[GiveOrder]:
        """Return the orders to give now."""
        self._drop_settled(view, now)
        orders = list(self._advance_forming(view, now))
        by_domain: dict[str, list[TargetRecord]] = defaultdict(list)
        for record in view.targets.values():
            by_domain[record.domain].append(record)
        seen = _find_groups(view.targets.values())
        for domain in sorted(by_domain):
            members = sorted(by_domain[domain], key=lambda record: record.id)
            if self._is_laid_out(domain, members):
                orders += self._plan_domain(view, members, seen, now)
            elif self._is_settled(domain, len(members), now):
                self._laid_out.add(domain)
                orders += self._lay_out(view, members, now)
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

    def _drop_settled(self, view: FleetView, now: float) -> None:
        for target, pending in list(self._pending.items()):
            record = view.targets.get(target)
            if (
                record is None
                or now >= pending.deadline
                or _shows_effect(record, pending.order)
            ):
                del self._pending[target]

    def _advance_forming(self, view: FleetView, now: float) -> Iterator[GiveOrder]:
        for forming in list(self._forming.values()):
            records = [view.targets.get(member) for member in forming.members]
            if now >= forming.deadline or any(
                record is None or record.leaving or record.id in view.unreachable
                for record in records
            ):
                del self._forming[forming.group]
                yield from self._abandon(forming, records, now)
                continue
            key = (forming.group, forming.epoch)
            states = [
                record.membership.state if _is_member(record, key) else None
                for record in records
            ]
            if states[0] in (MemberState.OPEN, MemberState.CLOSING):
                del self._forming[forming.group]
            elif all(state is MemberState.READY for state in states):
                order = Open(forming.group, forming.epoch)
                yield from self._give(records[0], order, EFFECT_S, now)
            else:
                yield from self._join_missing(forming, records, states, now)

    def _join_missing(
        self, forming: _Forming, records, states, now: float
    ) -> Iterator[GiveOrder]:
        order = Join(forming.group, forming.epoch, forming.model.name, forming.members)
        for record, state in zip(records, states, strict=True):
            if state is None:
                yield from self._give(record, order, EFFECT_S, now)

    def _abandon(self, forming: _Forming, records, now: float) -> Iterator[GiveOrder]:
        for record in records:
            if record is not None and _is_member(
                record, (forming.group, forming.epoch)
            ):
                order = Leave(forming.group, forming.epoch)
                yield from self._give(record, order, EFFECT_S, now)

    def _plan_domain(
        self,
        view: FleetView,
        members: Sequence[TargetRecord],
        seen: Mapping[tuple[str, int], _SeenGroup],
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
            if group.group not in self._forming:
                yield from self._tend(view, key, group, now)
        free = [record for record in members if self._is_free(view, record, in_domain)]
        yield from self._form(view, free, now)
        yield from self._stage(view, members, free, now)

    def _tend(
        self, view: FleetView, key, group: _SeenGroup, now: float
    ) -> Iterator[GiveOrder]:
        head = group.head
        if head is None or head.id in view.unreachable:
            return
        model = view.spec.find_model(head.model)
        size = model.size if model is not None else len(group.members)
        lost = [
            rank
            for rank in range(size)
            if rank not in group.members or group.members[rank].id in view.unreachable
        ]
        leaving = any(record.leaving for record in group.members.values())
        stuck_since = view.suspects.get((head.id, group.epoch))
        stuck = stuck_since is not None and now - stuck_since > SUSPECT_PATIENCE_S
        match group.state:
            case MemberState.OPEN if lost or stuck:
                order = Close(group.group, group.epoch, preempt=True)
                yield from self._give(head, order, EFFECT_S, now)
            case MemberState.OPEN if leaving:
                self._closing_since.setdefault(key, now)
                order = Close(group.group, group.epoch, preempt=False)
                yield from self._give(head, order, EFFECT_S, now)
            case MemberState.CLOSING:
                since = self._closing_since.setdefault(key, now)
                if lost or now - since > CLOSING_S:
                    order = Close(group.group, group.epoch, preempt=True)
                    yield from self._give(head, order, EFFECT_S, now)
            case MemberState.READY if (
                not lost
                and not leaving
                and model is not None
                and all(
                    record.membership.state is MemberState.READY
                    for record in group.members.values()
                )
            ):
                self._forming[group.group] = _Forming(
                    group.group,
                    group.epoch,
                    model,
                    tuple(group.members[rank].id for rank in range(size)),
                    now + EFFECT_S + view.spec.open_s,
                )
                order = Open(group.group, group.epoch)
                yield from self._give(head, order, EFFECT_S, now)

    def _is_free(
        self,
        view: FleetView,
        record: TargetRecord,
        seen: Mapping[tuple[str, int], _SeenGroup],
    ) -> bool:
        if record.leaving or record.id in view.unreachable:
            return False
        pending = self._pending.get(record.id)
        if pending is not None and not isinstance(pending.order, Stage):
            return False
        if any(record.id in forming.members for forming in self._forming.values()):
            return False
        if record.membership is None:
            return True
        group = seen[(record.membership.group, record.membership.epoch)]
        if group.head is None:
            return True
        return group.state not in (MemberState.OPEN, MemberState.CLOSING)

    def _lay_out(
        self, view: FleetView, members: Sequence[TargetRecord], now: float
    ) -> Iterator[GiveOrder]:
        """Form the first groups, when every target still has to load a model."""
        free = [record for record in members if not record.leaving]
        models = view.spec.models
        spares = math.floor(len(free) * SPARE_SHARE)
        places = len(free) - spares
        total = sum(model.share for model in models) or 1.0
        wanted = {model.name: model.share / total * places for model in models}
        while True:
            fitting = [model for model in models if model.size <= places]
            if not fitting:
                break
            model = max(fitting, key=lambda item: (wanted[item.name], item.size))
            chosen, free = free[: model.size], free[model.size :]
            places -= model.size
            wanted[model.name] -= model.size
            yield from self._start(view, model, chosen, now, model.load_s)
        largest = max(models, key=lambda item: item.size)
        for record in free:
            yield from self._give(
                record, Stage(largest.name), largest.load_s * 1.5 + EFFECT_S, now
            )

    def _form(
        self, view: FleetView, free: list[TargetRecord], now: float
    ) -> Iterator[GiveOrder]:
        while True:
            options = []
            for model in view.spec.models:
                ready = [
                    record for record in free if _find_join_s(model, record) is not None
                ]
                if len(ready) >= model.size:
                    ready.sort(key=lambda record: _find_join_s(model, record))
                    options.append((view.load.get(model.name, 0.0), model, ready))
            if not options:
                return
            _, model, ready = max(options, key=lambda item: (item[0], item[1].size))
            chosen = ready[: model.size]
            for record in chosen:
                free.remove(record)
            join_s = max(_find_join_s(model, record) for record in chosen)
            yield from self._start(view, model, chosen, now, join_s)

    def _stage(
        self,
        view: FleetView,
        members: Sequence[TargetRecord],
        free: Sequence[TargetRecord],
        now: float,
    ) -> Iterator[GiveOrder]:
        """Load weights onto the hosts of targets that have none."""
        largest = max(view.spec.models, key=lambda item: item.size)
        smallest = min(view.spec.models, key=lambda item: item.size)
        staging = [
            pending.order.model
            for record in members
            if (pending := self._pending.get(record.id)) is not None
            and isinstance(pending.order, Stage)
        ]
        has_group = any(
            record.model == largest.name and record.membership is not None
            for record in members
            if record not in free
        )
        wanted = math.ceil(len(members) * SPARE_SHARE) if has_group else largest.size
        held = staging.count(largest.name) + sum(
            _find_join_s(largest, record) is not None for record in free
        )
        for record in free:
            if record.id in self._pending or any(
                _find_join_s(model, record) is not None for model in view.spec.models
            ):
                continue
            model = largest if held < wanted else smallest
            if not self._may_load(now):
                return
            held += model is largest
            yield from self._give(
                record, Stage(model.name), model.load_s * 1.5 + EFFECT_S, now
            )

    def _start(
        self,
        view: FleetView,
        model: ModelSpec,
        chosen: Sequence[TargetRecord],
        now: float,
        join_s: float,
    ) -> Iterator[GiveOrder]:
        epoch = self._next_epoch()
        group = f"g{epoch}"
        members = tuple(record.id for record in chosen)
        deadline = now + join_s + view.spec.open_s + 2 * EFFECT_S
        self._forming[group] = _Forming(group, epoch, model, members, deadline)
        order = Join(group, epoch, model.name, members)
        for record in chosen:
            self._pending.pop(record.id, None)
            yield from self._give(record, order, EFFECT_S, now)

    def _give(
        self, record: TargetRecord, order: Order, effect_s: float, now: float
    ) -> Iterator[GiveOrder]:
        if record.id in self._pending:
            return
        self._pending[record.id] = _Pending(order, now + effect_s)
        yield GiveOrder(record.id, order)


def _find_groups(
    records: Iterable[TargetRecord],
) -> dict[tuple[str, int], _SeenGroup]:
    found: dict[tuple[str, int], _SeenGroup] = {}
    for record in records:
        place = record.membership
        if place is None:
            continue
        key = (place.group, place.epoch)
        group = found.setdefault(key, _SeenGroup(place.group, place.epoch))
        group.members[place.rank] = record
    return found


def _is_member(record: TargetRecord, key: tuple[str, int]) -> bool:
    place = record.membership
    return place is not None and (place.group, place.epoch) == key


def _find_join_s(model: ModelSpec, record: TargetRecord) -> float | None:
    """Return the time to join with what lies on the host, or None."""
    if record.model == model.name:
        return REJOIN_S
    if model.name in record.staged:
        return model.staged_s
    return None


def _shows_effect(record: TargetRecord, order: Order) -> bool:
    place = record.membership
    match order:
        case Join():
            return _is_member(record, (order.group, order.epoch))
        case Open():
            return place is not None and place.state is MemberState.OPEN
        case Close():
            return place is None or place.state in (
                MemberState.READY,
                MemberState.BROKEN,
            )
        case Leave():
            return not _is_member(record, (order.group, order.epoch))
        case Stage():
            return order.model in record.staged
