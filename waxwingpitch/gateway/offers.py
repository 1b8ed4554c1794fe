"""Replicas that the gateway's view has for an owner of slots."""

from __future__ import annotations

import time

from ..settings.gateway import OperatingBounds
from ..slots import SlotOffer, SlotOwner
from .beliefs import GatewayView

# Share of a cold target's limit that one owner uses, as two may own its key.
COLD_SHARE = 0.5


class OfferSource:
    """Gives owners the replicas and the delays that are in force.

    Attributes
    ----------
    served_zones
        Zones whose targets this zone's owners are responsible for.
    """

    def __init__(self, view: GatewayView, bounds: OperatingBounds, zone: str):
        self._view = view
        self._bounds = bounds
        self._zone = zone
        self.served_zones = (zone,)

    def update(self, owner: SlotOwner) -> None:
        """Give an owner the replicas as they are now known."""
        key = owner.key
        service = self._view.find_service(key.service)
        cold_per_s = 0.0 if service is None else service.cold_per_s
        engine = None if service is None else service.engine
        kv_capacity = None if engine is None else engine.kv_capacity
        limit = cold_per_s * self._bounds.cold_factor + self._bounds.cold_slack
        offers = tuple(
            SlotOffer(
                item.id,
                item.address,
                item.zone,
                item.service,
                item.model,
                item.capacity,
                item.epoch,
                item.cold_until if cold_per_s else 0.0,
                kv_capacity=kv_capacity,
            )
            for item in self._view.find_replicas(key.service, key.model)
            if item.zone in self.served_zones
        )
        owner.set_offers(offers, max(1, int(limit * COLD_SHARE)))
        if engine is not None:
            opening = self._view.find_opening(key.service, key.model, self.served_zones)
            owner.opening.update(
                opening,
                time.monotonic(),
                open_s=engine.open_s,
                capacity=engine.capacity,
            )
            owner.zones.delays_s = engine.find_delays_s(self._zone)
            owner.zones.batch_slowdown = engine.batch_slowdown
