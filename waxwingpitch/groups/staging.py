"""Which weights are loaded onto which host, so that its target is of use soon."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Set

from ..configuration.routes import EngineSpec, ModelSpec
from ..targets.records import MemberState, TargetRecord
from .balance import GroupBalance
from .fleet import REJOIN_S, FleetView, count_models, find_join_s
from .ledger import EFFECT_S, GiveOrder, OrderLedger
from .orders_to_targets import Stage

MayLoad = Callable[[EngineSpec, ModelSpec, str, float, bool], bool]


class HostStaging:
    """Chooses loads onto hosts, within what the weight store bears.

    Parameters
    ----------
    may_load
        Returns whether a model may be loaded onto a target's host at a time; the last
        argument says whether the target is of no use without it.
    """

    def __init__(
        self,
        ledger: OrderLedger,
        balance: GroupBalance,
        may_load: MayLoad,
    ):
        self._ledger = ledger
        self._balance = balance
        self._may_load = may_load

    def plan(
        self,
        view: FleetView,
        serving: Set[tuple[str, int]],
        laid_out: Set[str],
        now: float,
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
            key=lambda record: (count_models(record), record.id not in idle),
        )
        for record in ranked:
            if (
                record.leaving
                or record.id in view.unreachable
                or record.domain not in laid_out
                or self._ledger.find_order(record.id) is not None
            ):
                continue
            model = self._choose_to_stage(view, record, idle)
            if model is None:
                continue
            is_urgent = record.id in idle
            if view.has_traffic and not self._may_load(
                view.spec, model, record.id, now, is_urgent
            ):
                return
            effect_s = model.load_s * 2 + EFFECT_S
            yield from self._ledger.give(record, Stage(model.name), effect_s, now)

    def _choose_to_stage(
        self, view: FleetView, record: TargetRecord, idle: Set[str]
    ) -> ModelSpec | None:
        """Return the model that would make a target useful soonest, or None."""
        if count_models(record) > 1:
            return None
        if self._ledger.is_forming(record.id) and not record.model:
            return None
        lacking = [
            model
            for model in view.spec.models
            if model.name != record.model and model.name not in record.staged
        ]

        def _rate(model: ModelSpec) -> float:
            missing = self._count_missing(view, record.domain, model, idle)
            cost_s = max(model.load_s, REJOIN_S) * missing
            return self._balance.find_pressure(view, model) / cost_s

        return max(lacking, key=_rate, default=None)

    def _count_missing(
        self, view: FleetView, domain: str, model: ModelSpec, idle: Set[str]
    ) -> int:
        """Return the idle targets of a domain that a group of a model still lacks."""
        held = 0
        for target in idle:
            record = view.targets[target]
            order = self._ledger.find_order(target)
            held += record.domain == domain and (
                find_join_s(model, record) is not None
                or (isinstance(order, Stage) and order.model == model.name)
            )
        return model.size - held % model.size
