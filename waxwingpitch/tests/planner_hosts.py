"""Entry hosts without a network or a store, which plan the groups of one zone."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

from ..configuration.routes import ModelSpec, RoutedConfiguration, ServiceSpec
from ..gateway.beliefs import GatewayView
from ..gateway.expired_probes import ExpiredProbes
from ..gateway.planning import ZonePlanner
from ..gateway.zone_key import EPOCHS_PER_REVISION
from ..groups.load_limit import LoadLimit
from ..ports import StoredChange
from ..routing.routes import RouteTable
from ..targets.progress import ProgressBook
from .fleet_fake import SPEC
from .virtual_time import VirtualTime

ZONE, SERVICE = "z", "pool"
QUAD = ModelSpec("quad", size=4, share=0.5, pace=1.0, load_s=16.0, staged_s=0.2)
PAIR = ModelSpec("pair", size=2, share=0.5, pace=0.6, load_s=12.0, staged_s=0.2)


@dataclass
class Host:
    """An entry host and its planner, for which it is the zone's key.

    Attributes
    ----------
    unreached
        Addresses of targets that it doesn't reach.
    missed
        Changes of the store that it hasn't seen while it is cut off; None if it isn't.
    """

    name: str
    fence: int
    view: GatewayView
    unreached: set[str] = field(default_factory=set)
    missed: list[StoredChange] | None = None
    is_held: bool = True
    epochs: int = 0
    planner: ZonePlanner | None = None
    probes: ExpiredProbes | None = None
    zone: str = ZONE

    def next_epoch(self) -> int:
        self.epochs += 1
        return self.fence * EPOCHS_PER_REVISION + self.epochs

    def apply(self, change: StoredChange) -> None:
        if self.missed is not None:
            self.missed.append(change)
        else:
            self.view.apply(change)

    def plan(self, now: float) -> None:
        """Do what the host does every few milliseconds."""
        self.view.expire_removed()
        self.probes.tick(now)
        if self.is_held:
            self.planner._plan()


def build_host(
    fence: int,
    time: VirtualTime,
    measure_demand: Callable[[str], float],
    is_reached: Callable[[str, str], bool],
) -> Host:
    """Return a host that holds the zone's key.

    Parameters
    ----------
    measure_demand
        Returns the demand for a model.
    is_reached
        Returns whether any host may reach a target, given its id and address.
    """
    view = GatewayView(time.monotonic, lambda: None)
    spec = replace(SPEC, models=(QUAD, PAIR))
    services = {SERVICE: ServiceSpec(SERVICE, 99, engine=spec)}
    view.route_table = RouteTable(RoutedConfiguration(1, (), services))
    view.expired.may_stay = lambda record: record.membership is not None
    host = Host(f"h{fence}", fence, view)
    pool = SimpleNamespace(host=host, drop=lambda address: None)
    host.planner = ZonePlanner(
        host,
        view=view,
        pool=pool,
        progress=ProgressBook(),
        plans=SimpleNamespace(
            zones=(ZONE,),
            add_planner=lambda *planner: LoadLimit(1, lambda: 0),
            count_other_groups=lambda *zone: {},
        ),
        slots=SimpleNamespace(
            has_seen_requests=True,
            count_withheld=lambda *model: 0,
            measure_demand=lambda service, model: measure_demand(model),
        ),
        peers_may_reach=is_reached,
        is_store_unavailable=lambda: False,
        announce=lambda *report: None,
        metrics=SimpleNamespace(count_order=lambda *order: None),
    )
    host.planner._reset(fence)
    host.probes = ExpiredProbes(pool, view)
    return host
