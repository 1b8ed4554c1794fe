"""Concurrency limit of the weight store, also over HTTP."""

from __future__ import annotations

import time

import gevent
import pytest

from ..errors import StoreUnavailableError
from ..ports import EngineOrder, HttpModelTarget, HttpWeightStore, OrderKind
from ..standins import EngineFleet, EnginePerformance, WeightStoreStandIn
from .cluster import wait_until

LOAD_S = 0.1


@pytest.fixture
def weights():
    store = WeightStoreStandIn(LOAD_S, max_concurrent_loads=2)
    store.start()
    yield store
    store.stop()


def test_loads_above_the_limit_wait(weights):
    client = HttpWeightStore(weights.server.url)
    started = time.monotonic()
    jobs = [gevent.spawn(client.load, "somo", "1") for _ in range(6)]
    gevent.joinall(jobs, raise_error=True)
    assert time.monotonic() - started >= 3 * LOAD_S
    assert weights.completed_loads == 6


def test_engine_loads_over_http(weights):
    fleet = EngineFleet(EnginePerformance(), HttpWeightStore(weights.server.url))
    engine = fleet.add_host("h0")
    order = EngineOrder(OrderKind.JOIN, "g", 1, (engine.address,), "somo", "1")
    client = HttpModelTarget(engine.address)
    assert not client.order(order, timeout_s=1.0).ready
    wait_until(lambda: client.probe(timeout_s=1.0).loaded == "somo@1", 3.0)
    fleet.stop()


def test_unreachable_store_raises_store_unavailable():
    with pytest.raises(StoreUnavailableError):
        HttpWeightStore("http://127.0.0.1:1").load("somo", "1")
