"""Delays between zones in a configuration, and the slowdown of full groups."""

from __future__ import annotations

import json

import pytest

from ..configuration.zone_delays import read_zone_delays
from ..platform import decode_routed_configuration

ENGINE = {"capacity": 17, "step_ms": 7.8, "per_seq_ms": 0.2, "read_per_s": 9000.0}


def decode_engine(**fields):
    service = {"name": "pool", "engine": ENGINE | fields}
    document = {"version": 1, "routes": [], "services": [service]}
    cfg = decode_routed_configuration(json.dumps(document).encode())
    return cfg.services["pool"].engine


@pytest.mark.parametrize(
    "delays",
    [
        {"a": {"b": 1.4, "c": 2}},
        [["a", "b", 1.4], ["c", "a", 2]],
        [{"from": "b", "to": "a", "ms": 1.4}, {"from": "a", "to": "c", "ms": 2}],
    ],
)
def test_delays_hold_in_both_directions(delays):
    engine = decode_engine(delays=delays)
    assert engine.find_delays_s("a") == {"b": 0.0014, "c": 0.002}
    assert engine.find_delays_s("b") == {"a": 0.0014}


# Guards against a configuration that is refused as a whole, so that nothing is served,
# because of a field that only spillover uses.
@pytest.mark.parametrize(
    "delays",
    [7, "fast", [1], [["a", "b"]], {"a": 1}, {"a": {"b": -1}}, [["a", "b", True]]],
)
def test_delays_that_are_not_understood_are_not_used(delays, caplog):
    assert decode_engine(delays=delays).zone_delays == ()
    assert "delays between zones not used" in caplog.text


def test_delays_are_optional(caplog):
    assert decode_engine().zone_delays == read_zone_delays(None) == ()
    assert caplog.text == ""


def test_slowdown_of_a_full_group_is_that_of_its_steps():
    assert decode_engine().batch_slowdown == pytest.approx(17 * 0.2 / 7.8)
    assert decode_engine(step_ms=0.0).batch_slowdown == 0.0
