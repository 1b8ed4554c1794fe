"""Which groups are given up for a model whose slots are taken."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence

from ..configuration.routes import ModelSpec
from ..targets.records import MemberState, TargetRecord
from .fleet import FleetView, SeenGroup, find_join_s
from .ledger import GiveOrder, OrderLedger
from .orders_to_targets import Close

# Share of slots taken above which another model's groups are given up for this one,
# and the part of that share which they may have themselves afterwards.
OVERLOAD_PRESSURE = 0.7
REBALANCE_PART = 0.75
# Share of its slots that the giving model may have taken afterwards. Where all models
# are short, a change only costs the time that it takes.
ROOM = 0.8
REBALANCE_INTERVAL_S = 2.0
# Share of slots by which a change must relieve the most pressed model.
MIN_PRESSURE_GAIN = 0.02
# Longest time for requests in progress when a group is closed for a planned change.
CLOSING_S = 6.0


class GroupBalance:
    """Gives up groups of one model for another, and keeps their targets for it."""

    def __init__(self, ledger: OrderLedger):
        self._ledger = ledger
        self._rebalanced_at = 0.0
        self._given_up: set[tuple[str, int]] = set()
        self._reserved: dict[str, tuple[str, float]] = {}

    def is_given_up(self, key: tuple[str, int]) -> bool:
        """Return whether a group was closed for another model."""
        return key in self._given_up

    def forget_groups(self, seen: Mapping[tuple[str, int], SeenGroup]) -> None:
        """Forget groups that no record shows any more."""
        self._given_up &= seen.keys()

    def end_reservation(self, domain: str) -> None:
        """Note that a domain's targets were used."""
        self._reserved.pop(domain, None)

    def may_form(self, model: ModelSpec, record: TargetRecord, now: float) -> bool:
        """Return whether a domain's free targets are not kept for another model."""
        kept_for, until = self._reserved.get(record.domain, ("", 0.0))
        return now >= until or kept_for == model.name

    def find_pressure(
        self, view: FleetView, model: ModelSpec, *, extra: int = 0
    ) -> float:
        """Return the share of a model's slots that is taken.

        Parameters
        ----------
        extra
            Groups that are thought to be there too; negative for fewer.
        """
        coming = sum(
            forming.model.name == model.name
            for forming in self._ledger.forming.values()
        )
        groups = coming + extra
        slots = view.slots.get(model.name, 0) + groups * view.spec.capacity
        demand = view.demand.get(model.name, 0.0)
        if slots <= 0:
            return 1.0 + demand + model.share
        return demand / slots

    def complete(
        self,
        view: FleetView,
        free: Sequence[TargetRecord],
        seen: Mapping[tuple[str, int], SeenGroup],
        now: float,
    ) -> Iterator[GiveOrder]:
        """Give up a small group to complete a large one that lost a member.

        Its survivors could form small groups instead; what leaves the most pressed
        model better off is done.
        """
        if not free or self._reserved.get(free[0].domain, ("", 0.0))[1] > now:
            return
        for model in view.spec.models:
            ready = sum(find_join_s(model, record) is not None for record in free)
            if not model.size / 2 < ready < model.size:
                continue
            for donor in view.spec.models:
                heads = self._find_completing(seen, model, donor, model.size - ready)
                if donor.size >= model.size or not heads:
                    continue
                instead = len(free) // donor.size
                left_as_is = max(
                    self.find_pressure(view, model),
                    self.find_pressure(view, donor, extra=instead),
                )
                completed = max(
                    self.find_pressure(view, model, extra=1),
                    self.find_pressure(view, donor, extra=-len(heads)),
                )
                if completed < left_as_is - MIN_PRESSURE_GAIN:
                    yield from self._give_up(heads, model, now)
                    return

    def rebalance(
        self,
        view: FleetView,
        by_domain: Mapping[str, Sequence[TargetRecord]],
        seen: Mapping[tuple[str, int], SeenGroup],
        is_free: Callable[[TargetRecord], bool],
        now: float,
    ) -> Iterator[GiveOrder]:
        """Give up groups of a model with room for one whose slots are taken.

        Waits until nothing is under way, whose targets may be enough.
        """
        if self._ledger.is_busy or now - self._rebalanced_at < REBALANCE_INTERVAL_S:
            return
        models = sorted(
            view.spec.models, key=lambda model: self.find_pressure(view, model)
        )
        crowded = models[-1]
        if self.find_pressure(view, crowded) < OVERLOAD_PRESSURE:
            return
        for donor in models[:-1]:
            count = math.ceil(crowded.size / donor.size)
            after = self.find_pressure(view, donor, extra=-count)
            slots = view.slots.get(donor.name, 0)
            limit = min(ROOM, self.find_pressure(view, crowded) * REBALANCE_PART)
            if view.slots.get(crowded.name, 0) == 0:
                limit = math.inf
            if after > limit or slots <= count * view.spec.capacity:
                continue
            heads = self._find_donors(by_domain, seen, crowded, donor, is_free)
            if heads:
                self._rebalanced_at = now
                yield from self._give_up(heads, crowded, now)
                return

    def _find_completing(
        self,
        seen: Mapping[tuple[str, int], SeenGroup],
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
                and not isinstance(self._ledger.find_order(head.id), Close)
            ):
                added = sum(
                    find_join_s(model, record) is not None
                    for record in group.members.values()
                )
                if added:
                    missing -= added
                    heads.append(head)
        return heads if missing <= 0 else []

    def _find_donors(
        self,
        by_domain: Mapping[str, Sequence[TargetRecord]],
        seen: Mapping[tuple[str, int], SeenGroup],
        crowded: ModelSpec,
        donor: ModelSpec,
        is_free: Callable[[TargetRecord], bool],
    ) -> list[TargetRecord]:
        """Return the heads of the fewest groups whose members make up a new one."""
        best: list[TargetRecord] = []
        for domain, members in by_domain.items():
            ready = sum(
                find_join_s(crowded, record) is not None
                for record in members
                if is_free(record)
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
                    or isinstance(self._ledger.find_order(head.id), Close)
                ):
                    continue
                added = sum(
                    find_join_s(crowded, record) is not None
                    for record in group.members.values()
                )
                if added:
                    ready += added
                    heads.append(head)
            if ready >= crowded.size and heads and (not best or len(heads) < len(best)):
                best = heads
        return best

    def _give_up(
        self, heads: Sequence[TargetRecord], model: ModelSpec, now: float
    ) -> Iterator[GiveOrder]:
        """Close groups without cutting requests off, and keep their domain."""
        self._reserved[heads[0].domain] = (model.name, now + CLOSING_S)
        for head in heads:
            place = head.membership
            self._given_up.add((place.group, place.epoch))
            order = Close(place.group, place.epoch, preempt=False)
            yield from self._ledger.give(head, order, CLOSING_S, now)
