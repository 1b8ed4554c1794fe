"""Store changes that gateways pass on, and which entry hosts lead, own and read."""

from __future__ import annotations

import itertools
import json

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ..agreed.mirror import StoreMirror
from ..gateway.beliefs import GatewayView
from ..gateway.following import apply_store_update, build_store_update
from ..gateway.peer_statuses import PeerStatuses
from ..gateway.roster import CONNECT_GRACE_S, SILENCE_S, Roster, order_zones
from ..gateway.store_tasks import StoreHealth
from ..mesh import decode_message, encode_message
from ..mesh.fleet_messages import FleetStatus
from ..ports import StoredChange, StoredDeletion, StoredEntry
from ..slots import EntryHost, SlotKey, rank_hosts

PREFIX = "waxwingpitch/"
KEYS = [PREFIX + name for name in ("a", "b", "c")]


class RelayMachine(RuleBasedStateMachine):
    """A store, a chain of two gateways, updates that are lost, late or doubled."""

    @initialize()
    def start(self):
        self.version = 1
        self.items: dict[str, tuple[int, bytes]] = {}
        self.log: list[tuple[int, str, bytes | None]] = []
        self.reader, self.follower = build_view(), build_view()
        self.position = 0
        self.sent = []

    @rule(key=st.sampled_from(KEYS))
    def write(self, key):
        self.version += 1
        self.items[key] = (self.version, b"%d" % self.version)
        self.log.append((self.version, key, self.items[key][1]))

    @rule(key=st.sampled_from(KEYS))
    def delete(self, key):
        if self.items.pop(key, None):
            self.version += 1
            self.log.append((self.version, key, None))

    @rule()
    def read(self):
        if not self.position:
            self.list_again()
            return
        latest = {
            key: (version, value)
            for version, key, value in self.log
            if version > self.position
        }
        self.reader.apply(
            StoredChange(
                self.version,
                tuple(
                    StoredEntry(key, version, value)
                    for key, (version, value) in latest.items()
                    if value is not None
                ),
                tuple(
                    StoredDeletion(key, version)
                    for key, (version, value) in latest.items()
                    if value is None
                ),
            )
        )
        self.mark_read()

    @rule()
    def list_again(self):
        entries = tuple(StoredEntry(k, v, x) for k, (v, x) in self.items.items())
        self.reader.apply_list(PREFIX, StoredChange(self.version, entries))
        self.mark_read()

    def mark_read(self):
        self.reader.mirror.mark_synced(PREFIX, self.version)
        self.position = self.version

    @rule()
    def restart_reader(self):
        self.reader, self.position = build_view(), 0

    @rule(lost=st.booleans(), late=st.booleans())
    def push(self, lost, late):
        """Send what the reader believes that the follower lacks."""
        after = getattr(self, "pushed", 0)
        update = build_store_update(self.reader.mirror, PREFIX, after)
        if update is None:
            return
        self.pushed = update.version
        if late:
            self.sent.append(update)
        elif not lost:
            apply_store_update(self.follower, update)

    @precondition(lambda self: self.sent)
    @rule(is_repeated=st.booleans())
    def deliver_late(self, is_repeated):
        update = self.sent[0] if is_repeated else self.sent.pop(0)
        apply_store_update(self.follower, update)

    @rule()
    def subscribe(self):
        """Tell the sender what the follower really knows, and take its answer."""
        self.pushed = self.follower.mirror.get_synced(PREFIX)
        update = build_store_update(self.reader.mirror, PREFIX, self.pushed)
        if update is not None:
            self.pushed = update.version
            apply_store_update(self.follower, update)

    @invariant()
    def follower_that_is_synced_knows_what_the_store_had(self):
        for view in (self.reader, self.follower):
            synced = view.mirror.get_synced(PREFIX)
            at_version: dict[str, bytes] = {}
            for version, key, value in self.log:
                if version <= synced:
                    at_version[key] = value
            later = {key for version, key, _ in self.log if version > synced}
            for key in set(KEYS) - later:
                entry = view.mirror.get(key)
                known = None if entry is None else entry.value
                assert known == at_version.get(key), (key, synced)

    def teardown(self):
        if hasattr(self, "items"):
            self.read()
            self.subscribe()
            known = {
                item.key: item.value for item in self.follower.mirror.iter_prefix("")
            }
            assert known == {key: value for key, (_, value) in self.items.items()}


RelayMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=20, deadline=None
)
TestRelays = RelayMachine.TestCase


def build_view() -> GatewayView:
    view = GatewayView(lambda: 0.0, lambda: None)
    view.mirror.mark_synced(PREFIX, 0)
    return view


def test_update_after_a_lost_one_does_not_hide_what_that_one_held():
    mirror, view = StoreMirror(), build_view()
    for version in (5, 6):
        mirror.apply(
            StoredChange(version, (StoredEntry(f"{PREFIX}{version}", version, b""),))
        )
        mirror.mark_synced(PREFIX, version)
    apply_store_update(view, build_store_update(mirror, PREFIX, 5))
    assert view.mirror.get_synced(PREFIX) == 0
    apply_store_update(view, build_store_update(mirror, PREFIX, 0))
    assert view.mirror.get_synced(PREFIX) == 6
    assert len(list(view.mirror.iter_prefix(PREFIX))) == 2


def test_large_value_is_sent_compressed_so_that_it_reaches_a_zone_in_time():
    """A configuration of half a megabyte goes to 38 hosts over a link of 10 Mbit/s."""
    routes = [{"name": f"route-{n}", "path_prefix": f"/{n}/"} for n in range(9000)]
    value = json.dumps(routes).encode()
    mirror, view = StoreMirror(), build_view()
    mirror.apply(StoredChange(5, (StoredEntry(f"{PREFIX}big", 5, value),)))
    mirror.mark_synced(PREFIX, 5)
    update = build_store_update(mirror, PREFIX, 0)
    assert len(encode_message(update)) * 8 * 38 < 10e6 * 2.0
    apply_store_update(view, decode_message(encode_message(update)))
    assert view.mirror.get(f"{PREFIX}big").value == value


# Ranking and liveness.

ZONES = ("a", "b", "c")


def build_hosts(per_zone: int) -> dict[str, EntryHost]:
    names = itertools.product(ZONES, range(per_zone))
    return {
        f"{zone}-{number}": EntryHost(f"{zone}-{number}", "", zone, 1.0 + number % 3)
        for zone, number in names
    }


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def build_roster(name: str, hosts, clock) -> Roster:
    roster = Roster(hosts[name], lambda: hosts, clock)
    roster.is_ready = True
    return roster


def hear(roster: Roster, names, clock) -> None:
    for name in names:
        roster.record_heard(name)
        roster.record_state(name, is_ready=True, is_stopping=False)


def test_ranking_moves_only_the_keys_of_a_lost_host():
    hosts = list(build_hosts(10).values())
    before = {f"k{n}": rank_hosts(f"k{n}", "a", hosts)[0] for n in range(100)}
    lost = before["k0"]
    left = [host for host in hosts if host != lost]
    for key, first in before.items():
        if first != lost:
            assert rank_hosts(key, "a", left)[0] == first


def test_heavier_hosts_are_first_more_often():
    hosts = [EntryHost(f"h{n}", "", "z", 4.0 if n < 5 else 1.0) for n in range(10)]
    firsts = [rank_hosts(f"k{n}", "z", hosts)[0] for n in range(1000)]
    heavy = sum(host.weight == 4.0 for host in firsts)
    assert heavy > 960


def test_starting_host_leads_nothing_while_others_may_be_live():
    """All hosts start at once; one that leads at once would read the store."""
    hosts, clock = build_hosts(4), Clock()
    first = rank_hosts("head a", "a", hosts.values())[0].name
    other = next(name for name in hosts if name.startswith("a") and name != first)
    roster = build_roster(other, hosts, clock)
    roster.list_wanted([("head a", "a", 2)])
    assert roster.find_head("a") is None
    hear(roster, [first], clock)
    assert roster.find_head("a") == first


def test_host_leads_once_those_before_it_do_not_answer():
    hosts, clock = build_hosts(3), Clock()
    last = rank_hosts("head a", "a", hosts.values())[2].name
    roster = build_roster(last, hosts, clock)
    roster.list_wanted([("head a", "a", 3)])
    clock.now += CONNECT_GRACE_S + 0.01
    assert roster.find_head("a") == last


@pytest.mark.parametrize("how", ["silent", "link lost", "stopping"])
def test_next_host_takes_over(how):
    hosts, clock = build_hosts(4), Clock()
    key = SlotKey("a", "s", "m")
    ranked = [host.name for host in rank_hosts(f"slots {key}", "a", hosts.values())]
    roster = build_roster(ranked[3], hosts, clock)
    hear(roster, ranked[:3], clock)
    assert roster.find_owner(key) == ranked[0]
    if how == "silent":
        clock.now += SILENCE_S + 0.01
        hear(roster, ranked[1:3], clock)
    elif how == "link lost":
        roster.record_lost(ranked[0])
    else:
        roster.record_state(ranked[0], is_ready=True, is_stopping=True)
    assert roster.find_owner(key) == ranked[1]


def test_host_that_does_not_know_the_targets_owns_no_slots():
    hosts, clock = build_hosts(4), Clock()
    key = SlotKey("a", "s", "m")
    ranked = [host.name for host in rank_hosts(f"slots {key}", "a", hosts.values())]
    roster = build_roster(ranked[3], hosts, clock)
    hear(roster, ranked[:3], clock)
    roster.record_state(ranked[0], is_ready=False, is_stopping=False)
    assert roster.find_owner(key) == ranked[1]


def test_hosts_whose_head_fails_wait_for_the_next_head_and_do_not_read_the_store():
    hosts, clock = build_hosts(4), Clock()
    ranked = [item.name for item in rank_hosts("head a", "a", hosts.values())]
    for name in ranked[2:4]:
        roster = build_roster(name, hosts, clock)
        hear(roster, ranked[:2], clock)
        statuses = PeerStatuses(roster, StoreHealth(lambda: None))
        for head in ranked[:2]:
            statuses.record(head, build_status(age_ms=3000))
        failed = frozenset(ranked[:1])
        assert statuses.find_source(ZONES, ranked[0], failed=failed) == ranked[0]
        statuses.record(ranked[1], build_status(age_ms=100))
        assert statuses.find_source(ZONES, ranked[0], failed=failed) == ranked[1]


def test_next_head_that_reads_in_vain_follows_the_head_of_another_zone():
    hosts, clock = build_hosts(4), Clock()
    head, name = [item.name for item in rank_hosts("head a", "a", hosts.values())][:2]
    other = rank_hosts("head b", "b", hosts.values())[0].name
    roster = build_roster(name, hosts, clock)
    hear(roster, [head, other], clock)
    statuses = PeerStatuses(roster, StoreHealth(lambda: None))
    statuses.record(head, build_status(age_ms=3000))
    statuses.record(other, build_status(age_ms=100))
    zones = ("a", "b", "c")
    assert statuses.find_source(zones, head, failed=frozenset([head])) is None
    failed = frozenset([head, None])
    assert statuses.find_source(zones, None, failed=failed) == other


def build_status(*, age_ms: int) -> FleetStatus:
    return FleetStatus(-1, age_ms, 0, {}, (), (), ())


def test_lost_zone_is_served_by_one_zone():
    hosts, clock = build_hosts(3), Clock()
    served = {}
    for zone in ("a", "b"):
        head = rank_hosts(f"head {zone}", zone, hosts.values())[0].name
        roster = build_roster(head, hosts, clock)
        for other in ZONES:
            roster.list_wanted([(f"head {other}", other, 3)])
        served[zone] = roster
    clock.now += CONNECT_GRACE_S + 0.01
    for zone, roster in served.items():
        hear(roster, [name for name in hosts if name[0] in "ab"], clock)
    zones = [roster.list_served_zones(ZONES) for roster in served.values()]
    assert sorted(itertools.chain(*zones)) == ["a", "b", "c"]


@given(st.permutations(ZONES), st.text(max_size=3))
def test_order_of_zones_does_not_depend_on_how_they_are_listed(zones, key):
    assert order_zones(zones, key=key) == order_zones(ZONES, key=key)
