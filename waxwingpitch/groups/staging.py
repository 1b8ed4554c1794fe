"""Choice of the weights that are loaded onto hosts before a group needs them."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping, Set

from ..configuration.routes import EngineSpec, ModelSpec
from ..targets.records import MemberState, TargetRecord
from .balance import GroupRebalancer
from .domain_loads import DomainLoads, IdleHost, LoadChoice
from .fleet import REJOIN_S, FleetView, ObservedGroup, count_models
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
        groups: Mapping[tuple[str, int], ObservedGroup],
        initialized_domains: Set[str],
        now: float,
    ) -> Iterator[TargetOrder]:
        """Load onto each host the model that its target would need next.

        Loads that idle targets need come first. A target with the weights of two
        models on its host can change between them without the weight store.
        """
        serving = {
            key for key, group in groups.items() if group.state is MemberState.OPEN
        }
        idle = {
            record.id: record
            for record in view.targets.values()
            if self._is_idle(view, record, serving)
        }
        choices = sorted(
            self._choose_for_idle(view, groups, idle, initialized_domains, now),
            key=lambda choice: choice.rank,
        )
        for choice in choices:
            if not self._may_begin(view, choice.model, choice.record, now, True):
                return
            yield from self._order(choice.record, choice.model, now)
        for record in view.targets.values():
            if record.domain not in initialized_domains or not self._may_order(
                view, record
            ):
                continue
            model = self._choose_second(view, record)
            if model is None:
                continue
            if not self._may_begin(view, model, record, now, False):
                return
            yield from self._order(record, model, now)

    def _is_idle(
        self, view: FleetView, record: TargetRecord, serving: Set[tuple[str, int]]
    ) -> bool:
        place = record.membership
        return (
            not record.leaving
            and record.id not in view.unreachable
            and not self._ledger.is_forming(record.id)
            and (
                place is None
                or place.state in (MemberState.READY, MemberState.BROKEN)
                and (place.group, place.epoch) not in serving
            )
        )

    def _may_order(self, view: FleetView, record: TargetRecord) -> bool:
        return (
            not record.leaving
            and record.id not in view.unreachable
            and self._ledger.find_order(record.id) is None
            and self._ledger.find_load(record.id) is None
        )

    def _may_begin(
        self,
        view: FleetView,
        model: ModelSpec,
        record: TargetRecord,
        now: float,
        is_urgent: bool,
    ) -> bool:
        return not view.has_traffic or self._may_load(
            view.spec, model, record.id, now, is_urgent
        )

    def _order(
        self, record: TargetRecord, model: ModelSpec, now: float
    ) -> Iterator[TargetOrder]:
        effect_timeout_s = model.load_s * 2 + EFFECT_TIMEOUT_S
        yield from self._ledger.issue(record, Stage(model.name), effect_timeout_s, now)

    def _choose_for_idle(
        self,
        view: FleetView,
        groups: Mapping[tuple[str, int], ObservedGroup],
        idle: Mapping[str, TargetRecord],
        initialized_domains: Set[str],
        now: float,
    ) -> Iterator[LoadChoice]:
        """Yield the loads that the idle targets of each domain need."""
        by_domain: dict[str, list[IdleHost]] = defaultdict(list)
        for record in idle.values():
            load = self._ledger.find_load(record.id)
            by_domain[record.domain].append(
                IdleHost(
                    record,
                    "" if load is None else load.model,
                    self._may_order(view, record),
                )
            )
        serving: dict[str, Counter[str]] = defaultdict(Counter)
        for group in groups.values():
            if group.state is MemberState.OPEN:
                serving[group.head.domain][group.head.model] += 1
        for domain in sorted(by_domain.keys() & initialized_domains):
            hosts = by_domain[domain]
            models = [
                model
                for model in view.spec.models
                if self._rebalancer.may_form(model, hosts[0].record, now)
            ]
            loads = DomainLoads(
                models,
                serving[domain],
                lambda model, extra: self._rebalancer.find_pressure(
                    view, model, extra=extra
                ),
            )
            yield from loads.choose(hosts)

    def _choose_second(self, view: FleetView, record: TargetRecord) -> ModelSpec | None:
        """Return the model to load beside the one in memory, or None."""
        if not record.model or count_models(record) > 1:
            return None
        others = [model for model in view.spec.models if model.name != record.model]
        return max(
            others,
            key=lambda model: self._rebalancer.find_pressure(view, model)
            / max(model.load_s, REJOIN_S),
            default=None,
        )
