"""Choice of the weights that are loaded onto hosts before a group needs them."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Set

from ..configuration.routes import EngineSpec, ModelSpec
from ..targets.records import MemberState, TargetRecord
from .balance import GroupRebalancer
from .fleet import REJOIN_S, FleetView, count_models, find_join_s
from .ledger import EFFECT_TIMEOUT_S, OrderLedger, TargetOrder
from .orders_to_targets import Stage

MayLoad = Callable[[EngineSpec, ModelSpec, str, float, bool], bool]


class HostStaging:
    """Chooses loads onto hosts, within the limits of the weight store.

    Parameters
    ----------
    may_load
        Returns whether a model may be loaded onto a target's host at a given time;
        the last argument says whether the target is idle without it.
    """

    def __init__(
        self,
        ledger: OrderLedger,
        rebalancer: GroupRebalancer,
        may_load: MayLoad,
    ):
        self._ledger = ledger
        self._rebalancer = rebalancer
        self._may_load = may_load

    def plan(
        self,
        view: FleetView,
        serving: Set[tuple[str, int]],
        initialized_domains: Set[str],
        now: float,
    ) -> Iterator[TargetOrder]:
        """Load onto each host the model that its target would need next.

        Targets without any weights come first, and idle ones before those in a group.
        A target with the weights of two models on its host can change between them
        without loading from the weight store.
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
                or record.domain not in initialized_domains
                or self._ledger.find_order(record.id) is not None
                or self._ledger.find_load(record.id) is not None
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
            effect_timeout_s = model.load_s * 2 + EFFECT_TIMEOUT_S
            yield from self._ledger.issue(
                record, Stage(model.name), effect_timeout_s, now
            )

    def _choose_to_stage(
        self, view: FleetView, record: TargetRecord, idle: Set[str]
    ) -> ModelSpec | None:
        """Return the model with the most pressure per load time needed, or None."""
        if count_models(record) > 1:
            return None
        if self._ledger.is_forming(record.id) and not record.model:
            return None
        not_loaded = [
            model
            for model in view.spec.models
            if model.name != record.model and model.name not in record.staged
        ]

        def _score(model: ModelSpec) -> float:
            missing = self._count_missing(view, record.domain, model, idle)
            cost_s = max(model.load_s, REJOIN_S) * missing
            return self._rebalancer.find_pressure(view, model) / cost_s

        return max(not_loaded, key=_score, default=None)

    def _count_missing(
        self, view: FleetView, domain: str, model: ModelSpec, idle: Set[str]
    ) -> int:
        """Return how many idle targets a domain lacks for another group of a model."""
        available = 0
        for target in idle:
            record = view.targets[target]
            load = self._ledger.find_load(target)
            available += record.domain == domain and (
                find_join_s(model, record) is not None
                or (load is not None and load.model == model.name)
            )
        return model.size - available % model.size
