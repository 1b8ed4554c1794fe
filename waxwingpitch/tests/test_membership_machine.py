"""State machine: member lists, stale copies and the shares of a cold target."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import hypothesis.strategies as st
from hypothesis import given, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ..membership import (
    Member,
    MemberList,
    decode_members,
    encode_members,
    is_within_share,
    rank_by_rendezvous,
    select_neighbours,
    split_cap,
)

ZONE = "dar-a"
TARGET = "lesson.fab-a.1"
IDS = ("e0", "e1", "e2")


@dataclass
class Process:
    """An entry daemon with its possibly stale copy of the list."""

    member: Member
    copy: MemberList
    confirmed: int = 0
    outstanding: int = 0
    finished: list[int] = field(default_factory=list)


class SharesMachine(RuleBasedStateMachine):
    """Members join, leave, are cut off and restart while they send requests."""

    @initialize(cap=st.integers(1, 5))
    def set_up(self, cap):
        self.cap = cap
        self.stored = MemberList(ZONE)
        self.history = [self.stored]
        self.processes: dict[str, Process] = {}
        self.confirmed_versions: dict[tuple[str, str], int] = {}
        self.unlisted: set[str] = set()
        self.numbers = itertools.count()
        for entry in IDS[:2]:
            self.start(entry)
        self.work_normally()
        for process in self.processes.values():
            self._fill(process)

    def _store(self, changed: MemberList) -> None:
        if changed != self.stored:
            self.stored = decode_members(encode_members(changed))
            self.history.append(self.stored)

    @rule(entry=st.sampled_from(IDS))
    def start(self, entry):
        """Start or restart a daemon; the old process of the host has ended."""
        member = Member(entry, f"i{next(self.numbers)}", ZONE, "", "")
        self.unlisted.discard(entry)
        self.processes[entry] = Process(member, MemberList(ZONE))
        self._store(self.stored.join(member))
        self.processes[entry].copy = self.stored

    @precondition(lambda self: self.processes)
    @rule(data=st.data(), back=st.integers(0, 3))
    def deliver(self, data, back):
        """Deliver a version of the list to a process, perhaps a late one."""
        process = self._pick(data)
        version = self.history[max(0, len(self.history) - 1 - back)]
        if self.history.index(version) > self._index(process.copy):
            process.copy = version

    def _index(self, copy: MemberList) -> int:
        return self.history.index(copy) if copy in self.history else -1

    @precondition(lambda self: self.processes)
    @rule(data=st.data())
    def send(self, data):
        """Use the whole share of a process."""
        self._fill(self._pick(data))

    def _fill(self, process: Process) -> None:
        share = split_cap(process.copy, process.member, TARGET, self.cap)
        process.outstanding = max(process.outstanding, share)

    @precondition(lambda self: self.processes)
    @rule(data=st.data())
    def finish(self, data):
        self._pick(data).outstanding = 0

    @precondition(lambda self: self.processes)
    @rule(data=st.data())
    def confirm(self, data):
        self._confirm(self._pick(data))

    def _confirm(self, process: Process) -> None:
        if is_within_share(
            process.copy, process.member, TARGET, self.cap, process.outstanding
        ):
            process.confirmed = max(process.confirmed, process.copy.version)
        key = (process.member.id, process.member.incarnation)
        self.confirmed_versions[key] = process.confirmed

    @rule()
    def work_normally(self):
        """Deliver the newest list to every process and record its confirmation."""
        for process in self.processes.values():
            process.copy = self.stored
            self._confirm(process)
        self.prune()
        for process in self.processes.values():
            process.copy = self.stored

    @rule()
    def prune(self):
        self._store(
            self.stored.prune_prior_lists(self.confirmed_versions, self.unlisted)
        )

    @rule(entry=st.sampled_from(IDS))
    def remove_unreachable(self, entry):
        """Remove a member that may only be cut off and still send requests."""
        self._store(self.stored.remove({entry}))

    @precondition(lambda self: self.processes)
    @rule(data=st.data())
    def leave(self, data):
        process = self._pick(data)
        if process.outstanding == 0:
            self._store(self.stored.leave(process.member))
            del self.processes[process.member.id]

    @precondition(lambda self: self.processes)
    @rule(data=st.data(), reported=st.booleans())
    def lose_host(self, data, reported):
        """Lose a host for good; the platform may stop listing it."""
        process = self._pick(data)
        del self.processes[process.member.id]
        if reported:
            self.unlisted.add(process.member.id)

    def _pick(self, data) -> Process:
        return self.processes[data.draw(st.sampled_from(sorted(self.processes)))]

    @invariant()
    def cap_is_never_exceeded(self):
        total = sum(process.outstanding for process in self.processes.values())
        assert total <= self.cap


TestShares = SharesMachine.TestCase
TestShares.settings = settings(max_examples=400, stateful_step_count=30)


def build_list(zone: str, count: int) -> MemberList:
    members = MemberList(zone)
    for number in range(count):
        member = Member(f"{zone}-{number}", "i", zone, "", f"{zone}:{number}")
        members = members.join(member)
    return MemberList(zone, members.version, members.members)


@given(cap=st.integers(1, 64), count=st.integers(1, 50))
def test_shares_without_prior_lists_use_the_whole_cap(cap, count):
    members = build_list(ZONE, count)
    shares = [split_cap(members, item, TARGET, cap) for item in members.members]
    assert sum(shares) == cap
    assert max(shares) - min(shares) <= 1


@given(counts=st.lists(st.integers(1, 12), min_size=1, max_size=5))
def test_neighbours_are_symmetric_and_connect_all(counts):
    lists = {f"z{i}": build_list(f"z{i}", n) for i, n in enumerate(counts)}
    links = {
        member.id: {item.id for item in select_neighbours(member, lists)}
        for members in lists.values()
        for member in members.members
    }
    for left, right_ids in links.items():
        assert left not in right_ids
        assert all(left in links[right] for right in right_ids)
    reached, todo = set(), [next(iter(links))]
    while todo:
        item = todo.pop()
        if item not in reached:
            reached.add(item)
            todo.extend(links[item])
    assert reached == set(links)


def test_rank_changes_little_when_a_member_leaves():
    names = [f"e{i}" for i in range(10)]
    kept = 0
    for number in range(200):
        first = rank_by_rendezvous(str(number), names)[0]
        after = rank_by_rendezvous(str(number), [n for n in names if n != "e3"])[0]
        kept += first == after or first == "e3"
    assert kept == 200
