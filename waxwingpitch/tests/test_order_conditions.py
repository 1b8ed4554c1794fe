"""Orders are refused by targets in another state than the one they were decided on."""

from __future__ import annotations

from types import SimpleNamespace

import gevent
import pytest

from ..gateway import probing
from ..gateway.probing import TargetProbes
from ..groups.naming import GroupHead, name_group
from ..groups.orders_to_targets import Join
from .group_targets import GroupTarget, GroupTargets

HEAD, MEMBER = "10.0.0.1:1", "10.0.0.1:2"
SERVING_GROUP = name_group(5, GroupHead("head", HEAD))
OTHER_GROUP = name_group(6, GroupHead("member", MEMBER))
JOIN = Join(OTHER_GROUP, 6, "model", ("member", "spare"))
FENCE = 1


@pytest.fixture
def targets(monkeypatch):
    """A head that serves, and the other member of its group."""
    members = ("head", "member")
    found = GroupTargets(
        {
            HEAD: GroupTarget("head", 2, SERVING_GROUP, 5, 0, "open", members, 5),
            MEMBER: GroupTarget("member", 1, SERVING_GROUP, 5, 1, "ready", members, 5),
        }
    )
    monkeypatch.setattr(probing, "call_target", found.call)
    return found


@pytest.fixture
def probes():
    pool = SimpleNamespace(drop=lambda address: None)
    return TargetProbes(pool, SimpleNamespace(targets={}), lambda *target: False)


def test_member_of_a_group_that_serves_leaves_it_before_it_joins_another(
    probes, targets
):
    assert probes.send_order("member", MEMBER, JOIN, FENCE)[0] == 202
    assert targets.begun == [("member", "leave"), ("member", "join")]
    assert targets.targets[MEMBER].group == OTHER_GROUP


def test_late_join_fails_at_a_target_that_is_in_a_group_that_serves(probes, targets):
    targets.lost = {"leave", "join"}
    assert probes.send_order("member", MEMBER, JOIN, FENCE)[0] == 0
    targets.lost = {"join"}
    gevent.sleep(0)
    assert probes.send_order("member", MEMBER, JOIN, FENCE)[0] == 0
    targets.lost = set()
    gevent.sleep(0)
    again = Join(SERVING_GROUP, 7, "model", ("head", "member"))
    assert probes.send_order("member", MEMBER, again, FENCE)[0] == 202
    targets.deliver()
    assert targets.targets[MEMBER].epoch == 7


def test_target_whose_group_has_changed_since_is_not_ordered_to_leave(probes, targets):
    """Another planner has moved it on, after this one read its report."""
    probes.probe("member", MEMBER)
    target = targets.targets[MEMBER]
    target.orders, target.group, target.epoch = 2, OTHER_GROUP, 6
    later = Join(name_group(8, GroupHead("member", MEMBER)), 8, "m", ("member",))
    assert probes.send_order("member", MEMBER, later, FENCE)[0] == 409
    assert targets.begun == []
