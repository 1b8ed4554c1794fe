"""Whom gateways follow while the store answers only some of them, without a network."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, strategies as st

from ..gateway import following, freshness, peer_statuses
from ..gateway.beliefs import GatewayView
from ..gateway.following import PREFIXES, StoreFollower
from ..gateway.peer_statuses import PeerStatuses
from ..gateway.roster import Roster, order_zones
from ..gateway.store_tasks import StoreHealth
from ..mesh.fleet_messages import FleetStatus
from ..platform import OPERATOR_PREFIX
from ..slots import EntryHost, rank_hosts

# Time in which operators expect a configuration to be in force.
CONFIGURATION_S = 2.0
# Time after which all gateways have found a source, by what operators allow.
CONTACT_S = 3.0
ZONES = ("a", "b", "c")
PER_ZONE = 3
STEP_S = 0.1
STEPS_A_STATUS = 2
HOSTS = {
    f"{zone}-{number}": EntryHost(f"{zone}-{number}", "", zone, 1.0)
    for zone, number in itertools.product(ZONES, range(PER_ZONE))
}
# The hosts that lead their zones, and the next ones; these call the store always.
READERS = [
    host.name
    for zone in ZONES
    for host in rank_hosts(f"head {zone}", zone, HOSTS.values())[:2]
]


class Gateway:
    """A gateway: its follower, its peers' statuses, and a store that may answer it."""

    def __init__(self, name: str, clock):
        self.name = name
        self.roster = Roster(HOSTS[name], lambda: HOSTS, clock)
        self.roster.is_ready = True
        self.health = StoreHealth(lambda: None)
        self.statuses = PeerStatuses(self.roster, self.health)
        view = GatewayView(clock, lambda: None)
        for prefix in PREFIXES:
            view.mirror.mark_synced(prefix, 1)
        self.follower = StoreFollower(
            None, view, self.health, lambda *args: True, lambda *args: None, lambda: 0.0
        )
        self.follower._run_watchers = lambda prefixes: None
        self.follower.on_news = self.announce
        self.is_urgent = False

    def announce(self) -> None:
        self.is_urgent = True

    def read(self, now: float, is_answered: bool) -> None:
        """Call the store, as its lease's keeper and its watches do."""
        self.health.failing = not is_answered
        if is_answered:
            self.health.answered_at = now
            if self.follower.source is None:
                self.follower._freshness.confirm(OPERATOR_PREFIX, now)

    def choose(self, order) -> None:
        failed = self.follower.list_failed_sources()
        source = self.statuses.find_source(order, self.follower.source, failed=failed)
        if source != "":
            self.follower.follow(source, wants_targets=False)

    def build_status(self) -> FleetStatus:
        age_ms = int(1000 * self.follower.data_age_s)
        return FleetStatus(
            -1,
            age_ms,
            0,
            {},
            (),
            (),
            (),
            follows=self.follower.source or "",
            path=self.statuses.find_path(self.follower.source),
        )


class Fleet:
    """Gateways that exchange statuses; each message takes one step."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        for module in (following, freshness, peer_statuses):
            monkeypatch.setattr(module, "boot_time", self.read_clock)
        monkeypatch.setattr(following.time, "monotonic", self.read_clock)
        self.gateways = [Gateway(name, self.read_clock) for name in HOSTS]
        self.order = order_zones(ZONES)
        self._sent = []

    def read_clock(self) -> float:
        return self.now

    def run(self, answered: set[str], duration_s: float) -> list[dict]:
        """Play, and return the ages of what each gateway knows, by step."""
        ages = []
        for step in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            for gateway, (peer, status) in itertools.product(self.gateways, self._sent):
                if gateway.name != peer:
                    gateway.roster.record_heard(peer)
                    gateway.statuses.record(peer, status)
                    gateway.follower.handle_status(peer, status)
            self._sent = []
            for gateway in self.gateways:
                if gateway.name in READERS or gateway.follower.source is None:
                    gateway.read(self.now, gateway.name in answered)
                gateway.choose(self.order)
            for gateway in self.gateways:
                if step % STEPS_A_STATUS == 0 or gateway.is_urgent:
                    gateway.is_urgent = False
                    self._sent.append((gateway.name, gateway.build_status()))
            ages.append({item.name: item.follower.data_age_s for item in self.gateways})
        return ages


@pytest.fixture
def fleet():
    with pytest.MonkeyPatch.context() as monkeypatch:
        yield Fleet(monkeypatch)


@pytest.mark.parametrize("reader", READERS)
def test_gateways_do_not_follow_each_other_in_a_circle_while_one_reads_the_store(
    fleet, reader
):
    fleet.run(set(READERS), CONTACT_S)
    ages = fleet.run({reader}, 20.0)
    assert max(max(step.values()) for step in ages) < CONFIGURATION_S
    settled = ages[round(CONTACT_S / STEP_S) :]
    assert max(max(step.values()) for step in settled) < CONFIGURATION_S / 2


@pytest.mark.parametrize("name", HOSTS)
def test_gateway_that_the_store_answers_is_in_time_while_all_heads_are_cut_off(
    fleet, name
):
    fleet.run(set(HOSTS), CONTACT_S)
    ages = fleet.run({name}, 20.0)
    assert max(step[name] for step in ages) < CONFIGURATION_S


def test_gateways_that_start_together_leave_the_store_to_their_heads(fleet):
    for _ in range(round(CONTACT_S / STEP_S)):
        fleet.run(set(HOSTS), STEP_S)
        readers = {item.name for item in fleet.gateways if item.follower.source is None}
        assert readers <= set(READERS)
    assert max(item.follower.data_age_s for item in fleet.gateways) < CONFIGURATION_S


@given(st.lists(st.sets(st.sampled_from(READERS), min_size=1), min_size=1, max_size=4))
def test_knowledge_is_in_time_whichever_gateways_the_store_answers(turns):
    with pytest.MonkeyPatch.context() as monkeypatch:
        fleet = Fleet(monkeypatch)
        fleet.run(set(READERS), CONTACT_S)
        for answered in turns:
            ages = fleet.run(answered, 6.0)
            settled = ages[round(CONTACT_S / STEP_S) :]
            assert max(max(step.values()) for step in settled) < CONFIGURATION_S
