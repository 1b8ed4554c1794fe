"""Orders are refused by targets in another state than the one they were decided on."""

from __future__ import annotations

from types import SimpleNamespace

import gevent
import pytest

from ..forwarding import AnswerHead
from ..forwarding.answers import Answer
from ..gateway import probing
from ..gateway.planning import ZonePlanner
from ..gateway.probing import TargetProbes
from ..gateway.releases import Releases
from ..groups.naming import GroupHead, name_group
from ..groups.orders_to_targets import Join
from ..targets.records import Membership, MembershipReport, MemberState
from .group_targets import GroupTarget, GroupTargets
from .test_absent_heads import MEMBER as RECORD

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
    yield found
    # Probes that follow orders without an answer end before the next test.
    gevent.sleep(0)


@pytest.fixture
def probes():
    pool = SimpleNamespace(drop=lambda address: None)
    return TargetProbes(pool, SimpleNamespace(targets={}), lambda *target: False)


def order(probes, join: Join, leaves=(SERVING_GROUP, 5)) -> int:
    """Order the member to join a group; return the status."""
    return probes.send_order("member", MEMBER, join, FENCE, leaves=leaves)[0]


def test_member_of_a_group_that_serves_leaves_it_before_it_joins_another(
    probes, targets
):
    assert order(probes, JOIN) == 202
    assert targets.begun == [("member", "leave"), ("member", "join")]
    assert targets.targets[MEMBER].group == OTHER_GROUP


def test_late_join_fails_at_a_target_that_is_in_a_group_that_serves(probes, targets):
    targets.lost = {"leave", "join"}
    assert order(probes, JOIN) == 0
    targets.lost = {"join"}
    gevent.sleep(0)
    assert order(probes, JOIN) == 0
    targets.lost = set()
    gevent.sleep(0)
    again = Join(SERVING_GROUP, 7, "model", ("head", "member"))
    assert order(probes, again) == 202
    targets.deliver()
    assert targets.targets[MEMBER].epoch == 7


def test_target_whose_group_has_changed_since_is_not_ordered_to_leave(probes, targets):
    """Another planner has moved it on, after this one read its report."""
    probes.probe("member", MEMBER)
    target = targets.targets[MEMBER]
    target.orders, target.group, target.epoch = 2, OTHER_GROUP, 6
    later = Join(name_group(8, GroupHead("member", MEMBER)), 8, "m", ("member",))
    assert order(probes, later) == 409
    assert targets.begun == []


@pytest.mark.parametrize("lost", [{"join"}, {"leave"}, {"leave", "join"}])
def test_late_orders_keep_the_rule_once_the_former_group_serves(probes, targets, lost):
    targets.targets[HEAD].state = "ready"
    targets.lost = lost
    assert order(probes, JOIN) == 0
    targets.targets[HEAD].state = "open"
    targets.deliver()


def test_target_leaves_a_group_that_it_was_just_ordered_to_join(probes, targets):
    third = name_group(7, GroupHead("member", MEMBER))
    assert order(probes, JOIN) == 202
    later = Join(third, 7, "model", ("member", "spare"))
    assert order(probes, later, leaves=(OTHER_GROUP, 6)) == 202
    assert [kind for _, kind in targets.begun] == ["leave", "join", "leave", "join"]


def test_target_is_not_ordered_out_of_a_group_that_it_may_not_leave(probes, targets):
    assert order(probes, JOIN, leaves=None) == 0
    assert targets.begun == []


def test_target_that_answers_202_to_leave_is_ordered_to_join(
    probes, targets, monkeypatch
):
    def _call(*args, **options):
        answer = targets.call(*args, **options)
        is_leave = targets.begun[-1:] == [("member", "leave")]
        return Answer(AnswerHead(202, ()), answer.body) if is_leave else answer

    monkeypatch.setattr(probing, "call_target", _call)
    assert order(probes, JOIN) == 202
    assert targets.targets[MEMBER].group == OTHER_GROUP


def test_target_whose_own_report_contradicts_its_record_is_not_released_later():
    """Its record changes to another old entry while it is probed."""
    other = Membership(OTHER_GROUP, 6, 1, MemberState.READY)
    reports = {
        "member": MembershipReport(orders=3, pace=1.0, membership=other),
        "head": MembershipReport(orders=3, pace=1.0, membership=None),
    }
    known = SimpleNamespace(version=3, record=RECORD)
    view = SimpleNamespace(targets={"member": known}, apply_report=lambda *args: False)
    releases = Releases(view, lambda target, address: reports[target], set)
    releases.reset(5)
    assert not releases.judge(RECORD, 1.0).is_granted
    assert not releases.judge(RECORD, 2.0).is_granted


def test_no_order_is_sent_once_the_key_is_lost_while_it_waits(probes, targets):
    is_held = [True]
    probes._may_send = lambda: is_held[0]
    probes.probe("member", MEMBER)
    is_held[0] = False
    assert order(probes, JOIN) == 0
    assert targets.begun == []


def test_each_model_service_of_a_zone_has_evidence_of_its_own():
    """The targets of one service are no evidence about heads of another."""
    limit = SimpleNamespace(try_begin=None, cancel=None)
    plans = SimpleNamespace(add_planner=lambda *args: limit)
    key = SimpleNamespace(zone="z", next_epoch=None)
    parts = ("view", "pool", "progress", "slots", "peers_may_reach")
    others = ("is_store_unavailable", "announce", "metrics")
    zone = ZonePlanner(key, plans=plans, **dict.fromkeys((*parts, *others)))
    first, second = zone._build_planner(), zone._build_planner()
    assert first.probes is not second.probes
