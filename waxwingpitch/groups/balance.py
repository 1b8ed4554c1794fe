"""Rebalances targets between models by closing groups of one for another."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterator, Mapping, Sequence

from ..configuration.routes import ModelSpec
from ..targets.records import MemberState, TargetRecord
from .fleet import FleetView, ObservedGroup, find_join_s
from .ledger import OrderLedger, TargetOrder
from .orders_to_targets import Close

# Pressure (demand per slot) at which a model counts as overloaded, so that groups of
# other models are closed for it.
OVERLOAD_PRESSURE = 0.7
# Highest pressure of the donor afterwards, relative to that of the overloaded model.
DONOR_PRESSURE_RATIO = 0.75
# Highest pressure of the donor afterwards. If all models lack slots, moving targets
# between them gains nothing and costs the time of the change.
MAX_DONOR_PRESSURE = 0.8
REBALANCE_INTERVAL_S = 2.0
# Least reduction of the highest pressure for which a change is made.
MIN_PRESSURE_GAIN = 0.02

logger = logging.getLogger(__name__)


class GroupRebalancer:
    """Closes groups of one model for another, and reserves their targets for it."""

    def __init__(self, ledger: OrderLedger):
        self._ledger = ledger
        self._rebalanced_at = 0.0
        self._reassigned: set[tuple[str, int]] = set()
        self._reserved: dict[str, tuple[str, float]] = {}

    def is_reassigned(self, key: tuple[str, int]) -> bool:
        """Return whether a group was closed to free its members for another model."""
        return key in self._reassigned

    def forget_groups(self, observed: Mapping[tuple[str, int], ObservedGroup]) -> None:
        """Drop the state of groups that no target's record names any more."""
        self._reassigned &= observed.keys()

    def end_reservation(self, domain: str) -> None:
        """End the reservation of a domain's free targets."""
        self._reserved.pop(domain, None)

    def may_form(self, model: ModelSpec, record: TargetRecord, now: float) -> bool:
        """Return whether no other model has reserved the free targets of a domain."""
        reserved_for, until = self._reserved.get(record.domain, ("", 0.0))
        return now >= until or reserved_for == model.name

    def find_pressure(
        self, view: FleetView, model: ModelSpec, *, extra: int = 0
    ) -> float:
        """Return a model's pressure: its demand divided by its slots.

        Parameters
        ----------
        extra
            Groups to count besides the open and forming ones, here and in other zones;
            negative for fewer.
        """
        forming_groups = sum(
            forming.model.name == model.name
            for forming in self._ledger.forming.values()
        )
        groups = forming_groups + view.planned.get(model.name, 0) + extra
        slots = view.slots.get(model.name, 0) + groups * view.spec.capacity
        demand = view.demand.get(model.name, 0.0)
        if slots <= 0:
            return 1.0 + demand + model.share
        return demand / slots

    def list_reserved(self, now: float) -> list[str]:
        """Return the models for which groups are closed, one for each group to form."""
        return [model for model, until in self._reserved.values() if now < until]

    def complete(
        self,
        view: FleetView,
        free: Sequence[TargetRecord],
        observed: Mapping[tuple[str, int], ObservedGroup],
        now: float,
    ) -> Iterator[TargetOrder]:
        """Close small groups to complete a large one that lost members.

        The free targets could form small groups instead; the choice is the one that
        results in the lower pressure for the model under the highest pressure.
        """
        if not free or self._reserved.get(free[0].domain, ("", 0.0))[1] > now:
            return
        for model in view.spec.models:
            ready = sum(find_join_s(model, record) is not None for record in free)
            if not model.size / 2 < ready < model.size:
                continue
            for donor in view.spec.models:
                heads = self._find_heads_to_complete(
                    observed, model, donor, model.size - ready
                )
                if donor.size >= model.size or not heads:
                    continue
                small_groups = len(free) // donor.size
                pressure_if_split = max(
                    self.find_pressure(view, model),
                    self.find_pressure(view, donor, extra=small_groups),
                )
                pressure_if_completed = max(
                    self.find_pressure(view, model, extra=1),
                    self.find_pressure(view, donor, extra=-len(heads)),
                )
                if pressure_if_completed < pressure_if_split - MIN_PRESSURE_GAIN:
                    yield from self._close_for(view, heads, model, now)
                    return

    def rebalance(
        self,
        view: FleetView,
        by_domain: Mapping[str, Sequence[TargetRecord]],
        observed: Mapping[tuple[str, int], ObservedGroup],
        is_free: Callable[[TargetRecord], bool],
        now: float,
    ) -> Iterator[TargetOrder]:
        """Close groups of a model with free slots for an overloaded one.

        Does nothing while a group is being formed or an order other than Stage is
        pending, since that may already relieve the overloaded model.
        """
        if not view.may_rebalance or self._ledger.is_busy:
            return
        if now - self._rebalanced_at < REBALANCE_INTERVAL_S:
            return
        models = sorted(
            view.spec.models, key=lambda model: self.find_pressure(view, model)
        )
        overloaded = models[-1]
        if self.find_pressure(view, overloaded) < OVERLOAD_PRESSURE:
            return
        for donor in models[:-1]:
            count = math.ceil(overloaded.size / donor.size)
            donor_pressure = self.find_pressure(view, donor, extra=-count)
            slots = view.slots.get(donor.name, 0)
            limit = min(
                MAX_DONOR_PRESSURE,
                self.find_pressure(view, overloaded) * DONOR_PRESSURE_RATIO,
            )
            if view.slots.get(overloaded.name, 0) == 0:
                limit = math.inf
            if donor_pressure > limit or slots <= count * view.spec.capacity:
                continue
            heads = self._find_heads_to_rebalance(
                by_domain, observed, overloaded, donor, is_free
            )
            if heads:
                self._rebalanced_at = now
                logger.info(
                    "groups given up for an overloaded model",
                    extra={
                        "domain": heads[0].domain,
                        "model": overloaded.name,
                        "pressure": self.find_pressure(view, overloaded),
                        "donor": donor.name,
                        "donor_pressure": donor_pressure,
                        "groups": len(heads),
                    },
                )
                yield from self._close_for(view, heads, overloaded, now)
                return

    def _find_heads_to_complete(
        self,
        observed: Mapping[tuple[str, int], ObservedGroup],
        model: ModelSpec,
        donor: ModelSpec,
        missing: int,
    ) -> list[TargetRecord]:
        """Return the heads of a donor's groups whose members complete another group."""
        heads = []
        for group in observed.values():
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

    def _find_heads_to_rebalance(
        self,
        by_domain: Mapping[str, Sequence[TargetRecord]],
        observed: Mapping[tuple[str, int], ObservedGroup],
        overloaded: ModelSpec,
        donor: ModelSpec,
        is_free: Callable[[TargetRecord], bool],
    ) -> list[TargetRecord]:
        """Return the heads of a donor's groups to close for a new group.

        Chooses the domain that needs the fewest of them.
        """
        best: list[TargetRecord] = []
        for domain, members in by_domain.items():
            ready = sum(
                find_join_s(overloaded, record) is not None
                for record in members
                if is_free(record)
            )
            heads = []
            for group in observed.values():
                head = group.head
                if (
                    ready >= overloaded.size
                    or head is None
                    or head.domain != domain
                    or head.model != donor.name
                    or group.state is not MemberState.OPEN
                    or isinstance(self._ledger.find_order(head.id), Close)
                ):
                    continue
                added = sum(
                    find_join_s(overloaded, record) is not None
                    for record in group.members.values()
                )
                if added:
                    ready += added
                    heads.append(head)
            if (
                ready >= overloaded.size
                and heads
                and (not best or len(heads) < len(best))
            ):
                best = heads
        return best

    def _close_for(
        self,
        view: FleetView,
        heads: Sequence[TargetRecord],
        model: ModelSpec,
        now: float,
    ) -> Iterator[TargetOrder]:
        """Close groups gracefully, and reserve the free targets of their domain."""
        timeout_s = view.close_timeout_s
        self._reserved[heads[0].domain] = (model.name, now + timeout_s)
        for head in heads:
            place = head.membership
            self._reassigned.add((place.group, place.epoch))
            order = Close(place.group, place.epoch, preempt=False)
            yield from self._ledger.issue(head, order, timeout_s, now)
