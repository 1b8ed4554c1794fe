"""Judgement of targets whose entries expire, without a network.

Guards against taking targets for gone that a gateway reaches, and against keeping
targets that have ended or left, or whose address is in use again.
"""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from ..gateway.beliefs import RELIST_GRACE_S, GatewayView
from ..gateway.expired_targets import REMOVED_RETENTION_S
from ..ports import StoredChange, StoredDeletion, StoredEntry
from ..targets.liveness import (
    FIRST_PROBE_S,
    OWN,
    REACHED_TTL_S,
    SETTLE_S,
    STORE,
    UNPROBED_TTL_S,
    Evidence,
    EvidenceKind,
    LivenessState,
    are_cut_off,
    judge,
)
from ..targets.progress import ProgressBook
from ..targets.records import Membership, MembershipReport, MemberState

ALIVE, LEAVING = LivenessState.ALIVE, LivenessState.LEAVING
UNKNOWN, GONE = LivenessState.UNKNOWN, LivenessState.GONE
PLAIN_REPORT = MembershipReport(0, 1.0, membership=None)
# Interval of probes and judgements in these tests.
TICK_S = 0.5
NAMES = ("t0", "t1", "t2", "t3")


class World:
    """One gateway's view of four targets, of which each may be reached or not.

    Attributes
    ----------
    reached
        Targets that this gateway reaches.
    reached_by_peer
        Targets that a linked peer reaches, and tells this gateway.
    """

    def __init__(self):
        self.now = 100.0
        self.version = 0
        self.lost: list[tuple[str, int | None]] = []
        self.reached: set[str] = set(NAMES)
        self.reached_by_peer: set[str] = set(NAMES)
        self.is_cut = False
        self.progress = ProgressBook()
        self.view = GatewayView(lambda: self.now, lambda: None)
        self.view.on_target_lost = lambda *found: self.lost.append(found)
        self.view.expired.find_responses = self.progress.list_responses
        self.view.expired.is_cut = lambda: self.is_cut
        for name in NAMES:
            self.list(name)
        self.run(10.0)

    def list(self, name: str, **changes) -> None:
        """Write a target's entry."""
        entry = {
            "service": "plain",
            "address": f"127.0.0.1:{1000 + int(name[1:])}",
            "zone": "z",
            "capacity": 9,
            "state": "ready",
            "born": 1000,
            "seq": self.version,
        } | changes
        self.version += 1
        item = StoredEntry(f"servers/{name}", self.version, json.dumps(entry).encode())
        self.view.apply(StoredChange(self.version, (item,)))

    def expire(self, *names: str) -> None:
        """Delete entries."""
        for name in names:
            self.version += 1
            item = StoredDeletion(f"servers/{name}", self.version)
            self.view.apply(StoredChange(self.version, (), (item,)))

    def cut_links(self) -> None:
        self.reached = set()
        self.is_cut = True

    def cut_peers(self) -> None:
        self.reached_by_peer = set()

    def run(self, seconds: float) -> None:
        """Let time pass, with probes and news of the peer as gateways send them."""
        expired = self.view.expired
        for _ in range(round(seconds / TICK_S)):
            for known in expired.list_probed():
                target = known.record.id
                if target in self.reached:
                    self.view.record_answer(target, PLAIN_REPORT)
                elif target in self.reached_by_peer:
                    expired.record_reached("gw-2", {target: 0.1}, self.now)
                else:
                    expired.record_failure(target, EvidenceKind.UNREACHED, self.now)
            self.view.judge_expired()
            self.now += TICK_S
            self.view.expire_removed()
            self.view.judge_expired()

    def list_in_use(self) -> set[str]:
        return {known.record.id for known in self.view.iter_targets()}


@pytest.fixture
def world():
    return World()


def test_targets_whose_entries_expire_stay_in_use_while_they_answer(world):
    world.expire(*NAMES)
    for _ in range(60):
        assert world.list_in_use() == set(NAMES)
        world.run(TICK_S)
    assert world.lost == []


def test_targets_that_are_listed_again_are_in_use_once(world):
    world.expire(*NAMES)
    world.run(8.0)
    for name in NAMES:
        world.list(name)
    assert [known.record.id for known in world.view.iter_targets()] == list(NAMES)
    assert not world.view.removed
    assert world.lost == []


def test_lost_links_alone_take_no_target_from_the_list(world):
    world.cut_links()
    world.run(8.0)
    assert world.list_in_use() == set(NAMES)


@pytest.mark.parametrize("order", ["links first", "entries first", "at once"])
def test_targets_that_only_a_peer_reaches_stay_in_use(world, order):
    if order == "entries first":
        world.expire(*NAMES)
        world.run(3.0)
    world.cut_links()
    if order != "entries first":
        world.run(3.0 if order == "links first" else 0.0)
        world.expire(*NAMES)
    for _ in range(20):
        world.run(TICK_S)
        assert world.list_in_use() == set(NAMES)
    assert world.lost == []


def test_entries_that_are_back_before_the_links(world):
    world.cut_links()
    world.expire(*NAMES)
    world.run(4.0)
    for name in NAMES:
        world.list(name)
    world.run(4.0)
    assert world.list_in_use() == set(NAMES)


def test_links_that_are_back_before_the_entries(world):
    world.cut_links()
    world.expire(*NAMES)
    world.run(4.0)
    world.is_cut, world.reached = False, set(NAMES)
    world.cut_peers()
    world.run(8.0)
    assert world.list_in_use() == set(NAMES)


@pytest.mark.parametrize("is_cut", [False, True])
def test_target_that_ended_before_its_entry_expired_is_not_kept(world, is_cut):
    if is_cut:
        world.cut_links()
    world.reached -= {"t1"}
    world.reached_by_peer -= {"t1"}
    world.run(3.0)
    world.expire(*NAMES)
    world.now += FIRST_PROBE_S
    world.run(TICK_S)
    assert world.list_in_use() == set(NAMES) - {"t1"}
    world.run(UNPROBED_TTL_S)
    assert world.lost == [("t1", None)]


def test_target_that_ends_while_its_entry_is_missing_is_dropped(world):
    world.expire(*NAMES)
    world.run(4.0)
    world.reached -= {"t2"}
    world.reached_by_peer -= {"t2"}
    world.run(TICK_S)
    assert world.list_in_use() == set(NAMES) - {"t2"}
    assert world.lost == [("t2", None)]


def test_target_that_ended_while_only_a_peer_reached_it_is_dropped(world):
    world.cut_links()
    world.expire(*NAMES)
    world.run(4.0)
    world.reached_by_peer -= {"t2"}
    world.run(REACHED_TTL_S + TICK_S)
    assert world.list_in_use() == set(NAMES) - {"t2"}


def test_targets_of_which_all_have_ended_are_dropped(world):
    world.cut_peers()
    world.reached = set()
    world.expire(*NAMES)
    world.run(TICK_S)
    assert world.list_in_use() == set()
    world.run(REMOVED_RETENTION_S + TICK_S)
    assert {target for target, _ in world.lost} == set(NAMES)


def test_gateway_cut_off_from_all_peers_uses_what_it_reaches(world):
    world.cut_peers()
    world.reached -= {"t3"}
    world.expire(*NAMES)
    world.run(8.0)
    assert world.list_in_use() == set(NAMES) - {"t3"}


def test_gateway_cut_off_from_peers_and_targets_says_of_none_that_it_is_gone(world):
    world.cut_peers()
    world.cut_links()
    world.expire(*NAMES)
    world.run(8.0)
    assert world.list_in_use() == set()
    assert world.lost == []
    states = {item["state"] for item in world.view.expired.describe(world.now)}
    assert states == {UNKNOWN.value}


def test_response_of_a_request_shows_that_a_target_lives(world):
    world.cut_links()
    world.cut_peers()
    world.expire(*NAMES)
    world.run(4.0)
    world.progress.record_peer_progress("t0", world.now)
    world.view.judge_expired()
    assert world.list_in_use() == {"t0"}
    world.run(REACHED_TTL_S + TICK_S)
    assert world.list_in_use() == set()


def test_target_that_leaves_without_saying_so_gets_no_request_though_it_answers(world):
    world.expire("t0")
    world.run(1.0)
    assert world.list_in_use() == set(NAMES) - {"t0"}
    assert world.lost == []
    world.reached -= {"t0"}
    world.reached_by_peer -= {"t0"}
    world.run(1.0)
    assert world.lost == [("t0", None)]


def test_targets_that_are_replaced_in_turn_are_not_kept(world):
    for number, name in enumerate(NAMES):
        world.list(f"t{4 + number}")
        world.run(1.0)
        world.expire(name)
        world.run(1.0)
    assert world.list_in_use() == {"t4", "t5", "t6", "t7"}


def test_targets_that_announced_that_they_leave_are_not_kept(world):
    for name in NAMES:
        world.list(name, state="draining")
    world.expire(*NAMES)
    world.run(1.0)
    assert world.list_in_use() == set()
    assert world.lost == []


def test_target_that_says_that_it_leaves_while_its_entry_is_missing_is_dropped(world):
    world.expire(*NAMES)
    world.run(1.0)
    world.view.mark_leaving("t1")
    world.run(1.0)
    assert world.list_in_use() == set(NAMES) - {"t1"}


def test_target_whose_address_another_one_has_is_dropped(world):
    world.expire(*NAMES)
    world.run(1.0)
    world.list("t9", address="127.0.0.1:1001")
    assert world.list_in_use() == {"t0", "t2", "t3", "t9"}
    world.run(8.0)
    assert world.list_in_use() == {"t0", "t2", "t3", "t9"}


def test_target_at_whose_address_another_one_answers_is_dropped(world):
    world.expire(*NAMES)
    world.run(1.0)
    world.view.expired.record_failure("t1", EvidenceKind.REPLACED, world.now)
    world.view.judge_expired()
    assert world.list_in_use() == set(NAMES) - {"t1"}
    world.run(8.0)
    assert world.list_in_use() == set(NAMES) - {"t1"}, "a peer reaches the other one"


def test_later_start_of_a_target_replaces_it(world):
    world.expire(*NAMES)
    world.run(1.0)
    world.list("t1", born=2000)
    known = {item.record.id: item.record for item in world.view.iter_targets()}
    assert len(list(world.view.iter_targets())) == len(NAMES)
    assert known["t1"].started_ms == 2000
    assert world.lost == [("t1", 2000)]


def test_group_of_a_target_without_entry_is_that_of_its_report(world):
    place = Membership("g", 7, 0, MemberState.OPEN)
    world.expire(*NAMES)
    world.view.record_answer("t0", replace(PLAIN_REPORT, membership=place))
    known = {item.record.id: item.record for item in world.view.iter_targets()}
    assert known["t0"].membership == place


def test_peer_is_asked_to_relay_to_targets_without_entry_until_they_are_gone(world):
    address = "127.0.0.1:1001"
    world.expire(*NAMES)
    world.run(1.0)
    assert world.view.may_relay_to(address)
    world.reached -= {"t1"}
    world.reached_by_peer -= {"t1"}
    world.run(1.0)
    assert not world.view.may_relay_to(address)


@pytest.mark.parametrize(
    "listed, expired, added, expected",
    [
        (0, 4, 0, True),
        (7, 3, 0, True),
        (8, 2, 0, False),
        (1, 1, 0, False),
        (0, 1, 0, False),
        (4, 4, 4, False),
        (10, 6, 4, False),
    ],
)
def test_share_of_missing_entries_that_is_taken_for_a_cut(
    listed, expired, added, expected
):
    assert are_cut_off(listed, expired, added) == expected


EXPIRED = Evidence(EvidenceKind.ENTRY_EXPIRED, STORE, 10.0)


@pytest.mark.parametrize(
    "items, has_links, expected",
    [
        ([], True, UNKNOWN),
        ([(EvidenceKind.ANSWERED, OWN, 11.0)], True, ALIVE),
        ([(EvidenceKind.ANSWERED, OWN, 9.0)], True, UNKNOWN),
        ([(EvidenceKind.UNREACHED, OWN, 11.0)], True, GONE),
        ([(EvidenceKind.UNREACHED, OWN, 11.0)], False, UNKNOWN),
        (
            [
                (EvidenceKind.ANSWERED, OWN, 11.0),
                (EvidenceKind.UNREACHED, OWN, 11.5),
            ],
            True,
            GONE,
        ),
        (
            [(EvidenceKind.ANSWERED, OWN, 11.0), (EvidenceKind.SILENT, OWN, 11.5)],
            True,
            ALIVE,
        ),
        (
            [
                (EvidenceKind.ANSWERED, "gw-2", 11.0),
                (EvidenceKind.UNREACHED, OWN, 11.5),
            ],
            True,
            ALIVE,
        ),
        (
            [
                (EvidenceKind.RESPONSE, "gw-2", 11.5),
                (EvidenceKind.REPLACED, OWN, 11.0),
            ],
            True,
            GONE,
        ),
    ],
)
def test_verdict_by_the_newest_evidence_of_each_source(items, has_links, expected):
    verdict = judge(
        EXPIRED,
        [Evidence(*item) for item in items],
        is_store_cut=True,
        has_links=has_links,
        now=12.0,
    )
    assert verdict.state is expected


# Guards against requests that each gateway sends to each target that ends: only those
# that own slots, or plan the zone, need to know more than that the entry is missing.
def test_target_that_is_not_probed_is_gone_unless_many_entries_are_missing(world):
    probed: list[tuple[str, bool]] = []
    world.view.expired.is_probed = lambda record, is_store_cut: (
        probed.append((record.id, is_store_cut)) or is_store_cut
    )
    world.expire("t0")
    world.run(SETTLE_S - TICK_S)
    assert world.lost == []
    world.run(2 * TICK_S)
    assert world.lost == [("t0", None)]
    world.expire("t1", "t2")
    world.run(1.0)
    assert world.list_in_use() == set(NAMES)
    assert ("t0", False) in probed and ("t2", True) in probed


def test_entries_that_expire_one_after_the_other_are_no_loss_of_their_targets(world):
    world.view.expired.is_probed = lambda record, is_store_cut: is_store_cut
    for name in NAMES:
        world.expire(name)
        world.run(SETTLE_S / 2)
    assert world.lost == []
    assert world.list_in_use() == set(NAMES)


def test_probe_that_ends_after_its_target_is_listed_again_is_no_evidence(world):
    world.expire(*NAMES)
    world.list("t0")
    world.view.expired.record_failure("t0", EvidenceKind.REPLACED, world.now)
    world.run(1.0)
    world.expire("t0")
    world.run(1.0)
    assert world.list_in_use() == set(NAMES)


def test_member_without_entry_reports_its_group_until_it_does_not_answer(world):
    place = Membership("g", 7, 1, MemberState.READY)
    report = replace(PLAIN_REPORT, membership=place)
    address = "127.0.0.1:1000"
    world.expire("t0")
    assert (
        world.view.expired.find_report("t0", address, world.now) is None
    ), "not probed yet"
    world.view.record_answer("t0", report)
    world.view.judge_expired()
    assert world.view.expired.find_report("t0", address, world.now) == report
    assert world.view.expired.find_report("t0", "127.0.0.1:9", world.now) is None
    world.reached -= {"t0"}
    world.reached_by_peer -= {"t0"}
    world.now += TICK_S
    world.run(TICK_S)
    assert world.view.expired.find_report("t0", address, world.now) is None


# Guards against a group that is taken for broken, so that its streams are cut, while a
# member whose entry is gone, and that says in its answers that it leaves, serves on.
def test_member_that_says_that_it_leaves_reports_its_group_while_it_answers(world):
    place = Membership("g", 7, 1, MemberState.READY)
    report = replace(PLAIN_REPORT, membership=place)
    address = "127.0.0.1:1000"
    world.expire("t0")
    world.view.record_answer("t0", report)
    world.view.mark_leaving("t0")
    world.view.judge_expired()
    assert world.list_in_use() == set(NAMES) - {"t0"}
    assert world.view.expired.find_report("t0", address, world.now) == report
    probed = [known.record.id for known in world.view.expired.list_probed()]
    assert probed == ["t0"]


# Guards against requests to targets that are to be taken for gone, as their entries
# expired while the store was away, and are not back in time after its return.
def test_target_that_is_not_listed_again_after_an_outage_of_the_store_is_gone(world):
    world.view.start_relist_grace_period()
    world.expire(*NAMES)
    world.run(1.0)
    world.list("t0")
    assert world.list_in_use() == set(NAMES)
    world.run(RELIST_GRACE_S)
    assert world.list_in_use() == {"t0"}
    assert sorted(world.lost) == [(name, None) for name in NAMES[1:]]
