"""Probes of targets without an entry, without a network."""

from __future__ import annotations

import json
from types import SimpleNamespace

import gevent
import pytest

from ..forwarding import AnswerHead, UnreachableError
from ..forwarding.answers import Answer
from ..gateway import expired_probes, probing
from ..gateway.expired_probes import ExpiredProbes
from ..platform import HeaderNames
from .test_liveness import NAMES, TICK_S, World


@pytest.fixture
def world():
    return World()


class _Pool:
    """Targets by address: whether each answers its probe, and says that it leaves."""

    def __init__(self):
        self.leaving: set[str] = set()
        self.silent: set[str] = set()
        self.probed: list[str] = []

    def call(self, pool, address, *args, headers, **kwargs) -> Answer:
        self.probed.append(address)
        if address in self.silent:
            raise UnreachableError(f"{address}: refused")
        name = HeaderNames.LEAVING.value
        found = ((name, b"1"),) if address in self.leaving else ()
        body = json.dumps({"seq": 1, "born": 1000}).encode()
        return Answer(AnswerHead(200, found), body)


@pytest.fixture
def targets(monkeypatch):
    found = _Pool()
    monkeypatch.setattr(probing, "call_target", found.call)
    return found


def run_probes(world, probes: ExpiredProbes, seconds: float) -> None:
    for _ in range(round(seconds / TICK_S)):
        probes.tick(world.now)
        gevent.sleep(0)
        world.now += TICK_S


# Guards against requests to a target that leaves, whose entry is missing like those of
# targets that are cut off from the store.
def test_target_that_says_that_it_leaves_in_its_answer_to_a_probe_is_dropped(
    world, targets, monkeypatch
):
    monkeypatch.setattr(expired_probes.time, "monotonic", lambda: world.now)
    targets.leaving.add("127.0.0.1:1001")
    world.expire(*NAMES)
    probes = ExpiredProbes(SimpleNamespace(drop=lambda address: None), world.view)
    run_probes(world, probes, 1.0)
    assert world.list_in_use() == set(NAMES) - {"t1"}
    assert world.view.leaving.includes("t1", 1000)


# Guards against probes without end of all targets of a zone without power.
def test_target_that_does_not_answer_is_probed_less_and_less_often(
    world, targets, monkeypatch
):
    monkeypatch.setattr(expired_probes.time, "monotonic", lambda: world.now)
    targets.silent.update(f"127.0.0.1:{1000 + number}" for number in range(4))
    world.expire(*NAMES)
    probes = ExpiredProbes(SimpleNamespace(drop=lambda address: None), world.view)
    run_probes(world, probes, 16.0)
    assert 5 <= targets.probed.count("127.0.0.1:1000") <= 7
