"""What a gateway believes of targets beyond what their latest entries say."""

from __future__ import annotations

import json

import pytest

from ..gateway.beliefs import GatewayView
from ..ports import StoredChange, StoredEntry
from ..targets.records import MembershipReport

KEY = "servers/t"
GROUP = {"name": "g", "epoch": 1, "rank": 0, "state": "ready"}


def write(view: GatewayView, version: int, **changes) -> None:
    """Apply an entry of the target; it has no group and no model unless given."""
    entry = {
        "service": "pool",
        "address": "127.0.0.1:1",
        "zone": "z",
        "capacity": 9,
        "state": "ready",
        "born": 1000,
        "seq": version,
        "models": [],
        "staged": ["other"],
        "group": None,
    } | changes
    value = json.dumps(entry).encode()
    view.apply(StoredChange(version, (StoredEntry(KEY, version, value),)))


@pytest.fixture
def view():
    """View of a target that serves a model in a group."""
    view = GatewayView(lambda: 0.0, lambda: None)
    write(view, 1, models=[{"name": "m"}], group=GROUP)
    assert view.targets["t"].record.model == "m"
    return view


def test_target_that_has_left_its_group_still_holds_the_model(view):
    write(view, 2)
    write(view, 3)
    record = view.targets["t"].record
    assert record.membership is None and record.model == "m"


def test_report_that_a_target_has_left_its_group_keeps_the_model_too(view):
    report = MembershipReport(1, 1.0, membership=None)
    assert view.apply_report("t", 1, report)
    assert view.targets["t"].record.model == "m"


@pytest.mark.parametrize(
    "changes",
    [{"born": 2000, "seq": 1}, {"seq": 0}, {"group": GROUP | {"state": "joining"}}],
    ids=["started again", "earlier record", "joins another group"],
)
def test_model_in_memory_is_not_believed_any_more(view, changes):
    write(view, 2)
    write(view, 3, **changes)
    assert view.targets["t"].record.model == ""
    write(view, 4)
    assert view.targets["t"].record.model == ""
