"""Selection of a route by host name and longest path prefix."""

from __future__ import annotations

from collections import defaultdict

import xxhash

from ..configuration.routes import Route, RoutedConfiguration


class RouteTable:
    """Routes of one version of the configuration."""

    def __init__(self, cfg: RoutedConfiguration):
        self.cfg = cfg
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in cfg.routes:
            by_host[route.host.lower()].append(route)
        self._by_host = {
            host: sorted(routes, key=lambda route: -len(route.prefix))
            for host, routes in by_host.items()
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(name.partition(":")[0])
        return next(
            (route for route in routes or () if path.startswith(route.prefix)), None
        )


def choose_service(route: Route, request: str) -> str:
    """Return the service of a request, chosen by weight from a hash of its id.

    Repeated calls for the same request return the same service.
    """
    total = sum(share.weight for share in route.shares)
    if len(route.shares) == 1 or total <= 0:
        return route.shares[0].service
    point = xxhash.xxh64_intdigest(request.encode()) / 2**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
