"""Clients of targets, one per address."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import TypeVar

from ..ports import HttpModelTarget, HttpPlainTarget, TargetReport
from ..ports.target_http import HttpTarget

MAX_CLIENTS = 1024

C = TypeVar("C", bound=HttpTarget)


class TargetClients:
    """Cache of the most recently used clients.

    Parameters
    ----------
    on_report
        Called with each report that an answer of a target contains.
    """

    def __init__(self, on_report: Callable[[TargetReport], None]):
        self._on_report = on_report
        self._clients: OrderedDict[tuple[type, str], HttpTarget] = OrderedDict()

    def model(self, address: str) -> HttpModelTarget:
        """Return the client of a model engine."""
        return self._get(HttpModelTarget, address)

    def plain(self, address: str) -> HttpPlainTarget:
        """Return the client of a plain service."""
        return self._get(HttpPlainTarget, address)

    def _get(self, cls: type[C], address: str) -> C:
        key = (cls, address)
        client = self._clients.get(key)
        if client is None:
            client = self._clients[key] = cls(address, self._on_report)
        self._clients.move_to_end(key)
        if len(self._clients) > MAX_CLIENTS:
            self._clients.popitem(last=False)[1].close()
        return client
