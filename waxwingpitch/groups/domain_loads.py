"""Loads of weights that the idle hosts of one fabric domain need.

Designed for domains of 10 to a few hundred targets that lose members every few seconds
while empty targets are added, where a load takes 12 to 16 s and the store serves about
20 at once. A load is worth its time if it lets idle targets of the domain form a group,
or gives a spare to a group that may lose a member. So a model is loaded only if enough
targets are left for a group of it, and a spare keeps what it holds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from ..configuration.routes import ModelSpec
from ..targets.records import TargetRecord
from .balance import OVERLOAD_PRESSURE
from .fleet import count_models, find_join_s

# Rank of a load for a spare among loads for groups, which rank by the number of loads
# that the group needs. A spare saves a whole group, if a member is lost.
SPARE_RANK = 2


@dataclass(frozen=True, slots=True)
class IdleHost:
    """Host of an idle target.

    Attributes
    ----------
    loading
        Model that is being loaded onto the host; empty for none.
    may_load
        Whether a load may be ordered now.
    """

    record: TargetRecord
    loading: str
    may_load: bool

    def will_hold(self, model: ModelSpec) -> bool:
        """Return whether the host holds a model, or will after the load in progress."""
        return self.loading == model.name or find_join_s(model, self.record) is not None

    @property
    def is_loadable(self) -> bool:
        """Whether a load would not make it lose one of two models."""
        return self.may_load and not self.loading and count_models(self.record) < 2

    @property
    def loses_model(self) -> bool:
        """Whether a load replaces the only model that the host holds."""
        return bool(self.record.staged) and not self.record.model


@dataclass(frozen=True, slots=True)
class LoadChoice:
    """A load onto a host; those with a lower rank gain more per load."""

    rank: int
    record: TargetRecord
    model: ModelSpec


class DomainLoads:
    """Chooses the loads onto a domain's idle hosts.

    Parameters
    ----------
    models
        Models that the idle targets may form groups of.
    serving
        Open groups of the domain, by model.
    find_pressure
        Returns a model's pressure with a number of groups more than there are.
    """

    def __init__(
        self,
        models: Sequence[ModelSpec],
        serving: Counter[str],
        find_pressure: Callable[[ModelSpec, int], float],
    ):
        self._models = models
        self._serving = serving
        self._find_pressure = find_pressure
        self._extra: Counter[str] = Counter()

    def choose(self, hosts: Sequence[IdleHost]) -> Iterator[LoadChoice]:
        """Yield the loads to begin."""
        left = self._remove_complete_groups(list(hosts))
        while (model := self._choose_group(left)) is not None:
            held = [host for host in left if host.will_hold(model)]
            added = self._find_candidates(left, model)[: model.size - len(held)]
            for host in added:
                yield LoadChoice(len(added), host.record, model)
            self._extra[model.name] += 1
            used = {host.record.id for host in (*held, *added)}
            left = [host for host in left if host.record.id not in used]
        yield from self._choose_spares(left)

    def _remove_complete_groups(self, left: list[IdleHost]) -> list[IdleHost]:
        """Return the hosts that are left over by groups that need no further load."""
        while True:
            options = []
            for model in self._models:
                held = [host for host in left if host.will_hold(model)]
                if len(held) >= model.size:
                    pressure = self._find_pressure(model, self._extra[model.name])
                    if pressure < OVERLOAD_PRESSURE:
                        pressure = 0.0
                    options.append((pressure, model.size, model, held))
            if not options:
                return left
            _, size, model, held = max(options, key=lambda item: item[:2])
            held.sort(key=lambda host: _rank_join(model, host))
            used = {host.record.id for host in held[:size]}
            left = [host for host in left if host.record.id not in used]
            self._extra[model.name] += 1

    def _choose_group(self, left: Sequence[IdleHost]) -> ModelSpec | None:
        """Return the model of the next group that loads make possible, or None.

        Loads in progress count as done, so that demand that moves a little does not
        make them useless.
        """
        options = []
        for model in self._models:
            missing = model.size - sum(host.will_hold(model) for host in left)
            if (
                model.size > len(left)
                or len(self._find_candidates(left, model)) < missing
            ):
                continue
            pressure = self._find_pressure(model, self._extra[model.name])
            cost_s = model.load_s * max(1, missing)
            options.append((pressure / cost_s, -cost_s, model))
        if not options:
            return None
        return max(options, key=lambda item: item[:2])[2]

    @staticmethod
    def _find_candidates(left: Sequence[IdleHost], model: ModelSpec) -> list[IdleHost]:
        """Return the hosts that may load a model, those first that lose none by it."""
        found = [
            host for host in left if host.is_loadable and not host.will_hold(model)
        ]
        return sorted(found, key=lambda host: host.loses_model)

    def _choose_spares(self, left: Sequence[IdleHost]) -> Iterator[LoadChoice]:
        """Yield the loads of hosts that are too few for a group.

        Each model that the domain serves has a spare, if there are enough; the others
        hold the smallest model, for which there will be enough of them first.
        """
        if not left or not self._models:
            return
        spares = Counter(
            {
                model.name: sum(host.will_hold(model) for host in left)
                for model in self._models
            }
        )
        smallest = min(self._models, key=lambda model: model.size)
        by_need = sorted(
            (model for model in self._models if self._serving[model.name]),
            key=lambda model: (
                -self._find_pressure(model, self._extra[model.name]),
                -model.size,
            ),
        )
        for host in left:
            if not host.is_loadable or count_models(host.record):
                continue
            model = next(
                (model for model in by_need if not spares[model.name]), smallest
            )
            spares[model.name] += 1
            yield LoadChoice(SPARE_RANK, host.record, model)
        for model in by_need:
            if spares[model.name]:
                continue
            for host in self._find_candidates(left, model):
                held = next(
                    (item for item in self._models if host.will_hold(item)), None
                )
                if held is not None and spares[held.name] > 1:
                    spares[held.name] -= 1
                    spares[model.name] += 1
                    yield LoadChoice(SPARE_RANK + 1, host.record, model)
                    break


def _rank_join(model: ModelSpec, host: IdleHost) -> float:
    join_s = find_join_s(model, host.record)
    return model.load_s if join_s is None else join_s
