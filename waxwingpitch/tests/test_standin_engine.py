"""Properties of model engines that their stand-in must have."""

from __future__ import annotations

import gevent
import pytest

from ..errors import TargetConnectionLostError, TargetRefusedError
from ..ports import EngineOrder, GenerateRequest, HttpModelTarget, OrderKind
from ..standins import EngineFleet, EnginePerformance, WeightStoreStandIn
from .cluster import wait_until

PROMPT = "neno " * 2000


def start_engine(**kwargs):
    performance = EnginePerformance(**{"step_s": 0.01, "cold_s": 0.0, **kwargs})
    fleet = EngineFleet(performance, WeightStoreStandIn(0.01))
    engine = fleet.add_host("h0")
    client = HttpModelTarget(engine.address)
    client.order(make_order(engine, 5), timeout_s=1.0)
    wait_until(lambda: client.probe(timeout_s=1.0).ready, 3.0)
    return fleet, engine, client


def make_order(engine, epoch: int, group: str = "g") -> EngineOrder:
    return EngineOrder(OrderKind.JOIN, group, epoch, (engine.address,), "somo", "1")


def generate(client, request: str, tokens: int, **kwargs):
    prompt = kwargs.pop("prompt", "habari")
    req = GenerateRequest(request, 1, "g", 5, "somo", prompt, tokens, **kwargs)
    return client.generate(req, progress_timeout_s=5.0)


@pytest.mark.parametrize("fencing", [True, False])
def test_stale_epoch_is_refused_only_with_fencing(fencing):
    fleet, engine, client = start_engine(checks_fencing=fencing)
    if fencing:
        with pytest.raises(TargetRefusedError):
            client.order(make_order(engine, 4, "old"), timeout_s=1.0)
    else:
        client.order(make_order(engine, 4, "old"), timeout_s=1.0)
    assert engine.group == ("g" if fencing else "old")
    fleet.stop()


def test_cold_engine_crashes_above_its_cap():
    fleet, engine, client = start_engine(cold_s=5.0, cold_cap=1)
    first = gevent.spawn(lambda: list(generate(client, "a", 100)))
    wait_until(lambda: engine.streams, 2.0)
    with pytest.raises((TargetConnectionLostError, TargetRefusedError)):
        list(generate(client, "b", 100))
    with pytest.raises(TargetConnectionLostError):
        first.get()
    assert engine.crashes == 1
    fleet.stop()


def test_more_urgent_request_runs_first_in_a_full_batch():
    fleet, engine, client = start_engine(batch=1)
    low = gevent.spawn(lambda: list(generate(client, "low", 60, priority=5)))
    wait_until(lambda: engine.streams, 2.0)
    high = gevent.spawn(lambda: list(generate(client, "high", 10, priority=0)))
    high.join()
    assert not low.ready()
    low.get()
    fleet.stop()


def test_repeated_prefix_is_cached_and_reported():
    fleet, engine, client = start_engine()
    first = list(generate(client, "a", 2, prompt=PROMPT))[-1]
    second = list(generate(client, "b", 2, prompt=PROMPT))[-1]
    assert first.cached_tokens == 0 < second.cached_tokens
    assert client.cache_events(0, timeout_s=1.0)
    fleet.stop()


def test_stream_is_resumed_from_an_offset_and_cancelled():
    fleet, engine, client = start_engine()
    pieces = generate(client, "a", 50)
    received = [next(pieces) for _ in range(3)]
    pieces.close()
    offset = sum(len(piece.tokens) for piece in received)
    rest = list(client.resume("a", 2, offset, progress_timeout_s=5.0))
    assert rest[0].offset == offset
    assert offset + sum(len(piece.tokens) for piece in rest) == 50
    pieces = generate(client, "b", 5000)
    next(pieces)
    client.cancel("b")
    assert not engine.streams
    fleet.stop()


def test_reported_load_lags():
    fleet, engine, client = start_engine(report_lag_s=2.0)
    client.probe(timeout_s=1.0)
    generation = gevent.spawn(lambda: list(generate(client, "a", 1000)))
    wait_until(lambda: engine.streams, 2.0)
    assert client.probe(timeout_s=1.0).load == 0
    wait_until(lambda: client.probe(timeout_s=1.0).load == 1, 6.0)
    generation.kill()
    fleet.stop()
