"""Planner of replica groups: what targets say in, orders out.

Works on the targets' own records: a group is whatever its members say they are
in. A group that lost a member is closed at its head, and its survivors join a new
group with a spare. Members are taken from a group only once its head has stopped
taking requests, or is gone. Epochs only grow, so that an order that is carried out
late fails.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence, Set
from dataclasses import dataclass, field

from ..configuration.routes import EngineSpec, ModelSpec
from ..targets.records import MemberState, TargetRecord
from .naming import HeadPlace, name_group, parse_head
from .orders_to_targets import Close, Join, Leave, Open, Order, Stage

# Time for an order's effect to show in the target's record, in seconds.
EFFECT_S = 1.5
# Joining again for the model of the last group takes 0.2 s.
REJOIN_S = 0.2
# Share of slots taken above which another model's groups are given up for this one,
# and the part of that share which they may have themselves afterwards.
CROWDED = 0.7
REBALANCE_PART = 0.75
# Share of its slots that the giving model may have taken afterwards. Where all models
# are short, a change only costs the time that it takes.
ROOM = 0.8
REBALANCE_INTERVAL_S = 2.0
# Share of slots by which a change must relieve the most pressed model.
WORTH_A_CHANGE = 0.02
# Longest time for requests in progress when a group is closed for a planned change.
CLOSING_S = 6.0
# Time within which a target that the list dropped by mistake is in it again.
RETURN_S = 2.5
# Time for which a head must be missing from the list, beside a member that is in it,
# before proof that it answers nobody counts: targets that could not reach the list are
# in it again within two heartbeats.
PROVED_ABSENCE_S = 4.0
# The same without any proof. A cut between targets and the list lasts seconds.
HEAD_ABSENCE_S = 15.0
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
    listed_since
        Monotonic time since which each target has been in the list.
    vanished_at
        Monotonic time at which targets left the list, where that was seen.
    gone
        Heads outside the list that certainly take no more requests.
    demand
        Requests in progress and waiting, by model, over all zones.
    slots
        Requests that all open groups run at once, by model, over all zones.
    has_traffic
        Whether requests have come; before that, loads cost nothing.
    """

    spec: EngineSpec
    targets: Mapping[str, TargetRecord]
    unreachable: frozenset[str] = frozenset()
    listed_since: Mapping[str, float] = field(default_factory=dict)
    vanished_at: Mapping[str, float] = field(default_factory=dict)
    gone: frozenset[str] = frozenset()
    demand: Mapping[str, float] = field(default_factory=dict)
    slots: Mapping[str, int] = field(default_factory=dict)
    has_traffic: bool = True


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
        Returns whether one more load from the weight store may begin at a time; the
        second argument says whether the target is of no use without it.
    """

    def __init__(
        self, next_epoch: Callable[[], int], may_load: Callable[[float, bool], bool]
    ):
        self._next_epoch = next_epoch
        self._may_load = may_load
        self._forming: dict[str, _Forming] = {}
        self._pending: dict[str, _Pending] = {}
        self._closing_since: dict[tuple[str, int], float] = {}
        self._laid_out: set[str] = set()
        self._lacking_since: dict[tuple[str, int], float] = {}
        self._headless_since: dict[tuple[str, int], float] = {}
        self._rebalanced_at = 0.0
        self._given_up: set[tuple[str, int]] = set()
        self._reserved: dict[str, tuple[str, float]] = {}
        self._arrivals: dict[str, tuple[int, float]] = {}

    @property
    def is_busy(self) -> bool:
        """Whether something is under way whose effect should be seen soon."""
        return bool(self._forming) or any(
            not isinstance(item.order, Stage) for item in self._pending.values()
        )

    def count_forming(self) -> Mapping[str, int]:
        """Return the groups that are being formed, by model."""
        return Counter(forming.model.name for forming in self._forming.values())

    def list_unsettled(self) -> set[str]:
        """Return the targets whose state decides what comes next."""
        found = {
            target
            for target, pending in self._pending.items()
            if not isinstance(pending.order, Stage)
        }
        for forming in self._forming.values():
            found.update(forming.members)
        return found

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
        self._note_headless(seen, now)
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
        orders += self._stage_hosts(view, serving, now)
        orders += self._rebalance(view, by_domain, seen, now)
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

    def _note_headless(
        self, seen: Mapping[tuple[str, int], _SeenGroup], now: float
    ) -> None:
        """Note since when each group has had members in the list, but no head."""
        headless = {key for key, group in seen.items() if group.head is None}
        for key in headless:
            self._headless_since.setdefault(key, now)
        for key in self._headless_since.keys() - headless:
            del self._headless_since[key]

    def _is_headless(self, view: FleetView, record: TargetRecord, now: float) -> bool:
        """Return whether the head of a target's group is certainly gone.

        A head that only can't reach the list may still take requests. It is gone if
        that was proved, and if this member stayed in the list without it.
        """
        place = record.membership
        key = (place.group, place.epoch)
        listed_since = view.listed_since.get(record.id, now)
        absent_since = max(listed_since, self._headless_since.get(key, now))
        head = parse_head(place.group)
        if head is None or head.id not in view.gone:
            return now - absent_since >= HEAD_ABSENCE_S
        vanished_at = view.vanished_at.get(head.id)
        if vanished_at is not None and listed_since < vanished_at - EFFECT_S:
            return True
        return now - absent_since >= PROVED_ABSENCE_S

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
        free = [
            record for record in members if self._is_free(view, record, in_domain, now)
        ]
        yield from self._complete(view, free, in_domain, now)
        yield from self._form(view, free, now)

    def _tend(
        self, view: FleetView, key, group: _SeenGroup, now: float
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
                key not in self._given_up
                and not lost
                and len(group.members) == size
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

    def _lacks_members(self, key, group: _SeenGroup, size: int, now: float) -> bool:
        """Return whether members are missing from the list, and not for a moment.

        Targets that the list dropped while it was out of order come back to it.
        """
        if len(group.members) >= size:
            self._lacking_since.pop(key, None)
            return False
        return now - self._lacking_since.setdefault(key, now) >= RETURN_S

    def _is_free(
        self,
        view: FleetView,
        record: TargetRecord,
        seen: Mapping[tuple[str, int], _SeenGroup],
        now: float,
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
            return self._is_headless(view, record, now)
        return group.state not in (MemberState.OPEN, MemberState.CLOSING)

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
                    record for record in free if _find_join_s(model, record) is not None
                ]
                if len(ready) >= model.size and self._may_form(model, free[0], now):
                    ready.sort(key=lambda record: _find_join_s(model, record))
                    options.append((self._find_pressure(view, model), model, ready))
            if not options:
                return
            _, model, ready = max(options, key=lambda item: (item[0], item[1].size))
            chosen = ready[: model.size]
            for record in chosen:
                free.remove(record)
            join_s = max(_find_join_s(model, record) for record in chosen)
            yield from self._start(view, model, chosen, now, join_s)

    def _may_form(self, model: ModelSpec, record: TargetRecord, now: float) -> bool:
        """Return whether a domain's free targets are not kept for another model."""
        kept_for, until = self._reserved.get(record.domain, ("", 0.0))
        return now >= until or kept_for == model.name

    def _complete(
        self,
        view: FleetView,
        free: Sequence[TargetRecord],
        seen: Mapping[tuple[str, int], _SeenGroup],
        now: float,
    ) -> Iterator[GiveOrder]:
        """Give up a small group to complete a large one that lost a member.

        Its survivors could form small groups instead; what leaves the most pressed
        model better off is done.
        """
        if not free or self._reserved.get(free[0].domain, ("", 0.0))[1] > now:
            return
        for model in view.spec.models:
            ready = sum(_find_join_s(model, record) is not None for record in free)
            if not model.size / 2 < ready < model.size:
                continue
            for donor in view.spec.models:
                heads = self._find_completing(seen, model, donor, model.size - ready)
                if donor.size >= model.size or not heads:
                    continue
                instead = len(free) // donor.size
                left_as_is = max(
                    self._find_pressure(view, model),
                    self._find_pressure(view, donor, extra=instead),
                )
                completed = max(
                    self._find_pressure(view, model, extra=1),
                    self._find_pressure(view, donor, extra=-len(heads)),
                )
                if completed < left_as_is - WORTH_A_CHANGE:
                    yield from self._give_up(heads, model, now)
                    return

    def _find_completing(
        self,
        seen: Mapping[tuple[str, int], _SeenGroup],
        model: ModelSpec,
        donor: ModelSpec,
        missing: int,
    ) -> list[TargetRecord]:
        """Return heads of groups whose members fill up another group."""
        heads = []
        for group in seen.values():
            head = group.head
            if (
                missing > 0
                and head is not None
                and head.model == donor.name
                and group.state is MemberState.OPEN
                and not isinstance(self._find_pending(head.id), Close)
            ):
                added = sum(
                    _find_join_s(model, record) is not None
                    for record in group.members.values()
                )
                if added:
                    missing -= added
                    heads.append(head)
        return heads if missing <= 0 else []

    def _give_up(
        self, heads: Sequence[TargetRecord], model: ModelSpec, now: float
    ) -> Iterator[GiveOrder]:
        """Close groups without cutting requests off, and keep their domain."""
        self._reserved[heads[0].domain] = (model.name, now + CLOSING_S)
        for head in heads:
            place = head.membership
            self._given_up.add((place.group, place.epoch))
            order = Close(place.group, place.epoch, preempt=False)
            yield from self._give(head, order, CLOSING_S, now)

    def _find_pressure(
        self, view: FleetView, model: ModelSpec, *, extra: int = 0
    ) -> float:
        """Return the share of a model's slots that is taken.

        Parameters
        ----------
        extra
            Groups that are thought to be there too; negative for fewer.
        """
        coming = sum(
            forming.model.name == model.name for forming in self._forming.values()
        )
        groups = coming + extra
        slots = view.slots.get(model.name, 0) + groups * view.spec.capacity
        demand = view.demand.get(model.name, 0.0)
        if slots <= 0:
            return 1.0 + demand + model.share
        return demand / slots

    def _stage_hosts(
        self, view: FleetView, serving: Set[tuple[str, int]], now: float
    ) -> Iterator[GiveOrder]:
        """Load onto each host the model that its target would need next.

        Targets that can join nothing come first. Then those in a group, so that they
        can change to another model in the time of a join from the host.
        """
        idle = {
            record.id
            for record in view.targets.values()
            if record.membership is None
            or record.membership.state in (MemberState.READY, MemberState.BROKEN)
            and (record.membership.group, record.membership.epoch) not in serving
        }
        ranked = sorted(
            view.targets.values(),
            key=lambda record: (_count_models(record), record.id not in idle),
        )
        for record in ranked:
            if (
                record.leaving
                or record.id in view.unreachable
                or record.domain not in self._laid_out
                or record.id in self._pending
            ):
                continue
            model = self._choose_to_stage(view, record, idle)
            if model is None:
                continue
            if view.has_traffic and not self._may_load(now, record.id in idle):
                return
            effect_s = model.load_s * 2 + EFFECT_S
            yield from self._give(record, Stage(model.name), effect_s, now)

    def _choose_to_stage(
        self, view: FleetView, record: TargetRecord, idle: Set[str]
    ) -> ModelSpec | None:
        """Return the model that would make a target useful soonest, or None."""
        if _count_models(record) > 1:
            return None
        forming = any(
            record.id in forming.members for forming in self._forming.values()
        )
        if forming and not record.model:
            return None
        lacking = [
            model
            for model in view.spec.models
            if model.name != record.model and model.name not in record.staged
        ]

        def _rate(model: ModelSpec) -> float:
            missing = self._count_missing(view, record.domain, model, idle)
            cost_s = max(model.load_s, REJOIN_S) * missing
            return self._find_pressure(view, model) / cost_s

        return max(lacking, key=_rate, default=None)

    def _count_missing(
        self, view: FleetView, domain: str, model: ModelSpec, idle: Set[str]
    ) -> int:
        """Return the idle targets of a domain that a group of a model still lacks."""
        held = 0
        for target in idle:
            record = view.targets[target]
            order = self._find_pending(target)
            held += record.domain == domain and (
                _find_join_s(model, record) is not None
                or (isinstance(order, Stage) and order.model == model.name)
            )
        return model.size - held % model.size

    def _rebalance(
        self,
        view: FleetView,
        by_domain: Mapping[str, Sequence[TargetRecord]],
        seen: Mapping[tuple[str, int], _SeenGroup],
        now: float,
    ) -> Iterator[GiveOrder]:
        """Give up groups of a model with room for one whose slots are taken."""
        if self._forming or now - self._rebalanced_at < REBALANCE_INTERVAL_S:
            return
        models = sorted(
            view.spec.models, key=lambda model: self._find_pressure(view, model)
        )
        crowded = models[-1]
        if self._find_pressure(view, crowded) < CROWDED:
            return
        for donor in models[:-1]:
            count = math.ceil(crowded.size / donor.size)
            after = self._find_pressure(view, donor, extra=-count)
            slots = view.slots.get(donor.name, 0)
            limit = min(ROOM, self._find_pressure(view, crowded) * REBALANCE_PART)
            if view.slots.get(crowded.name, 0) == 0:
                limit = math.inf
            if after > limit or slots <= count * view.spec.capacity:
                continue
            heads = self._find_donors(view, by_domain, seen, crowded, donor, now)
            if heads:
                self._rebalanced_at = now
                yield from self._give_up(heads, crowded, now)
                return

    def _find_donors(
        self,
        view: FleetView,
        by_domain: Mapping[str, Sequence[TargetRecord]],
        seen: Mapping[tuple[str, int], _SeenGroup],
        crowded: ModelSpec,
        donor: ModelSpec,
        now: float,
    ) -> list[TargetRecord]:
        """Return the heads of the fewest groups whose members make up a new one."""
        best: list[TargetRecord] = []
        for domain, members in by_domain.items():
            ready = sum(
                _find_join_s(crowded, record) is not None
                for record in members
                if self._is_free(view, record, seen, now)
            )
            heads = []
            for group in seen.values():
                head = group.head
                if (
                    ready >= crowded.size
                    or head is None
                    or head.domain != domain
                    or head.model != donor.name
                    or group.state is not MemberState.OPEN
                    or isinstance(self._find_pending(head.id), Close)
                ):
                    continue
                added = sum(
                    _find_join_s(crowded, record) is not None
                    for record in group.members.values()
                )
                if added:
                    ready += added
                    heads.append(head)
            if ready >= crowded.size and heads and (not best or len(heads) < len(best)):
                best = heads
        return best

    def _find_pending(self, target: str) -> Order | None:
        pending = self._pending.get(target)
        return None if pending is None else pending.order

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
        group = name_group(epoch, HeadPlace(head.id, head.address))
        members = tuple(record.id for record in chosen)
        deadline = now + join_s + view.spec.open_s + 2 * EFFECT_S
        self._forming[group] = _Forming(group, epoch, model, members, deadline)
        self._reserved.pop(chosen[0].domain, None)
        order = Join(group, epoch, model.name, members)
        for record in chosen:
            yield from self._give(record, order, EFFECT_S, now)

    def _give(
        self, record: TargetRecord, order: Order, effect_s: float, now: float
    ) -> Iterator[GiveOrder]:
        pending = self._pending.get(record.id)
        if pending is not None and not isinstance(pending.order, Stage):
            return
        self._pending[record.id] = _Pending(order, now + effect_s)
        yield GiveOrder(record.id, order)


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """Counts of a service's targets in one zone, for logs and the dump.

    Attributes
    ----------
    open_groups
        Groups that take requests, by model.
    idle
        Targets in no group, by the model that lies on their hosts.
    """

    targets: int
    open_groups: Mapping[str, int]
    forming: Mapping[str, int]
    idle: Mapping[str, int]
    unreachable: int


def summarize(view: FleetView, planner: FormationPlanner) -> FleetSummary:
    """Count what a planner sees."""
    groups = _find_groups(view.targets.values())
    serving = {key for key, group in groups.items() if group.state is MemberState.OPEN}
    open_groups = Counter(groups[key].head.model for key in serving)
    idle = Counter(
        record.model or (record.staged[0] if record.staged else "")
        for record in view.targets.values()
        if record.membership is None
        or (record.membership.group, record.membership.epoch) not in serving
    )
    return FleetSummary(
        len(view.targets),
        dict(open_groups),
        dict(planner.count_forming()),
        dict(idle),
        len(view.unreachable),
    )


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


def find_missing_heads(targets: Mapping[str, TargetRecord]) -> dict[str, str]:
    """Return the heads that members name and the list lacks, with their addresses."""
    found = {}
    for record in targets.values():
        place = record.membership
        head = None if place is None else parse_head(place.group)
        if head is not None and head.id not in targets:
            found[head.id] = head.address
    return found


def _count_models(record: TargetRecord) -> int:
    """Return the models for which a target can join without the weight store."""
    return len({*record.staged, record.model} - {""})


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
