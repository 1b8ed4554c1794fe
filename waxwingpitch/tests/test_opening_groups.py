"""Requests that arrive just before the first group of their model opens."""

from __future__ import annotations

import itertools
import json
import time
from types import SimpleNamespace

import pytest

from ..configuration.routes import ServiceSpec
from ..gateway.beliefs import GatewayView
from ..gateway.slot_owners import SlotOwners
from ..gateway.slot_wire import encode_request
from ..mesh.fleet_messages import SlotGrant, SlotRefusal, SlotRequestMessage
from ..ports import StoredChange, StoredEntry
from ..slots import Granted, KeySummary, Refused, SlotKey, SlotOwner, SlotRequest
from ..slots.opening import OPENING_MARGIN_S
from ..targets.progress import ProgressBook
from .fleet_fake import PAIR, SPEC
from .gateway_client import BOUNDS
from .test_slot_owner import build_offers, build_owner, build_request

KEY = SlotKey("a", "pool", PAIR.name)
GROUP = ("g", 1)


class Gateway:
    """Owner of the key in a gateway that knows what is written to the store.

    Attributes
    ----------
    sent
        Messages to clients and other owners.
    """

    def __init__(self):
        self.sent: list = []
        self.view = GatewayView(time.monotonic, self._on_change)
        pool = ServiceSpec("pool", max_connections=64, engine=SPEC)
        cfg = SimpleNamespace(services={"pool": pool})
        self.view.route_table = SimpleNamespace(cfg=cfg)
        roster = SimpleNamespace(
            local=SimpleNamespace(name="a-owner", zone="a"),
            find_owner=lambda key: f"{key.zone}-owner",
            measure_heard_share=lambda: 1.0,
        )
        self._version = 0
        self.owners = SlotOwners(
            roster,
            self.view,
            ProgressBook(),
            BOUNDS,
            ("a", "b"),
            itertools.count(1),
            SimpleNamespace(has_pending=lambda number: False),
            self._deliver,
            is_first_start=True,
        )

    def write(self, *states: str, epoch: int = 1, leaving: str = "") -> None:
        """Write the entries of the group's members, by rank."""
        for rank, state in enumerate(states):
            self._version += 1
            value = {
                "service": "pool",
                "address": f"127.0.0.1:{rank + 1}",
                "zone": "a",
                "capacity": 9,
                "state": "ready" if leaving != f"t{rank}" else "leaving",
                "born": 1000,
                "seq": self._version,
                "models": [{"name": PAIR.name}],
                "staged": [],
                "group": {"name": "g", "epoch": epoch, "rank": rank, "state": state},
            }
            key = f"servers/t{rank}"
            entry = StoredEntry(key, self._version, json.dumps(value).encode())
            self.view.apply(StoredChange(self._version, (entry,)))

    def ask(self, number: int = 1) -> list:
        """Let host h1 ask for a slot; return what is sent because of it."""
        self.sent.clear()
        now = time.monotonic()
        req = SlotRequest("r", "pool", PAIR.name, "w", 1, 1.0, now + 4.0)
        self.owners.handle_request("h1", encode_request(number, KEY, req, now), now)
        return list(self.sent)

    def _on_change(self) -> None:
        self.owners.handle_view_change()

    def _deliver(self, name: str, message) -> bool:
        self.sent.append(message)
        return True


@pytest.fixture
def gateway():
    return Gateway()


# Guards against the refusal of a request whose host knows a group that has just opened,
# while the owner of its slots learns of it some milliseconds later.
def test_request_waits_for_a_group_that_is_about_to_open(gateway):
    gateway.write("ready", "ready")
    assert gateway.ask() == []
    gateway.write("open", "ready")
    (granted,) = gateway.sent
    assert isinstance(granted, SlotGrant) and granted.target == "t0"


@pytest.mark.parametrize(
    "states, leaving",
    [
        ((), ""),
        (("ready",), ""),
        (("joining", "ready"), ""),
        (("ready", "joining"), ""),
        (("ready", "broken"), ""),
        (("closing", "ready"), ""),
        (("ready", "ready"), "t1"),
    ],
)
def test_request_for_which_no_group_is_about_to_open_is_refused(
    gateway, states, leaving
):
    gateway.write(*states, leaving=leaving)
    (refused,) = gateway.ask()
    assert isinstance(refused, SlotRefusal) and not refused.declined


def test_group_that_was_closed_is_not_expected_to_open(gateway):
    gateway.write("open", "ready")
    (granted,) = gateway.ask()
    assert isinstance(granted, SlotGrant)
    gateway.write("closing", "ready")
    gateway.write("ready", "ready")
    (refused,) = gateway.ask(2)
    assert isinstance(refused, SlotRefusal)
    gateway.write("ready", "ready", epoch=2)
    assert gateway.ask(3) == []


def test_request_does_not_wait_here_while_another_zone_serves_it(gateway):
    gateway.write("ready", "ready")
    owner = gateway.owners.find(KEY)
    owner.update_zone("b", KeySummary(8, 0, 8, 0.1, 0, 0.0), time.monotonic())
    (passed_on,) = gateway.ask()
    assert isinstance(passed_on, SlotRequestMessage) and passed_on.for_other_zone


def build_opening_owner(capacity: int = 9) -> SlotOwner:
    owner = build_owner()
    owner.set_offers((), 1)
    owner.opening.update([GROUP], 0.0, open_s=0.3, capacity=capacity)
    return owner


def test_request_waits_no_longer_than_its_deadline_allows():
    owner = build_opening_owner()
    assert owner.request("h1", 1, build_request(), 0.0) == []
    assert owner.assign(2.0) == []
    (refused,) = owner.assign(2.2)
    assert refused.reason == "waited too long"


def test_group_that_does_not_open_in_time_is_not_waited_for():
    owner = build_opening_owner()
    late = 0.3 + OPENING_MARGIN_S
    assert owner.request("h1", 1, build_request(late - 0.1), late - 0.1) == []
    owner.opening.update([GROUP], late, open_s=0.3, capacity=9)
    (refused,) = owner.request("h1", 2, build_request(late), late)
    assert refused.reason == "no slot in time"


def test_requests_that_waited_get_the_slots_of_the_group_that_opens():
    owner = build_opening_owner()
    for number in range(5):
        assert owner.request("h1", number, build_request(), 0.0) == []
    owner.set_offers(build_offers(), 1)
    owner.opening.update([], 0.3, open_s=0.3, capacity=9)
    granted = owner.assign(0.3)
    assert len(granted) == 4 and all(isinstance(item, Granted) for item in granted)


def test_no_more_requests_wait_than_the_group_serves_in_time():
    owner = build_opening_owner(capacity=1)
    decisions = [owner.request("h1", n, build_request(), 0.0) for n in range(9)]
    assert decisions[:2] == [[], []]
    assert all(isinstance(item, Refused) for items in decisions[2:] for item in items)
    assert [len(items) for items in decisions[2:]] == [1] * 7
