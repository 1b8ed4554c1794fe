"""Owners of slots: limits over all hosts, queue, takeovers, other zones."""

from __future__ import annotations

import math
from dataclasses import replace

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ..gateway.slot_wire import decode_request, encode_request
from ..mesh import decode_message, encode_message
from ..slots import (
    Declined,
    Forwarded,
    Granted,
    KeySummary,
    Refused,
    SlotKey,
    SlotOffer,
    SlotOwner,
    SlotRequest,
)
from ..slots.budget import SharedRetryBudget
from ..slots.ledger import REPORT_DELAY_S

KEY = SlotKey("a", "pool", "m")
CLIENTS = ("h1", "h2", "h3")
TARGETS = ("t1", "t2")
CAPACITY = 2
COLD_PER_S = 3


def build_owner(
    now: float = 0.0, *, ratio: float = 0.2, slack: float = 100.0, accepts=None
) -> SlotOwner:
    budget = SharedRetryBudget(ratio=ratio, slack=slack, window_s=10.0, owners=1)
    owner = SlotOwner(KEY, budget, accepts or (lambda target, epoch, now: True))
    owner.set_offers(build_offers(), COLD_PER_S)
    return owner


def build_offers(cold_until: float = 0.0) -> tuple[SlotOffer, ...]:
    return tuple(
        SlotOffer(target, "", "a", "pool", "m", CAPACITY, 1, cold_until)
        for target in TARGETS
    )


def build_request(now: float = 0.0, **changes) -> SlotRequest:
    req = SlotRequest(
        "r", "pool", "m", "w", 1, 10.0, deadline=now + 6.0, due_at=now + 0.3
    )
    return replace(req, **changes)


def fill(owner: SlotOwner, now: float = 0.0) -> None:
    """Take all slots."""
    for number in range(len(TARGETS) * CAPACITY):
        (decision,) = owner.request("h1", number, build_request(now), now)
        assert isinstance(decision, Granted)


def test_no_request_is_refused_while_a_slot_is_free_and_none_gets_a_taken_one():
    owner = build_owner()
    counts = {target: 0 for target in TARGETS}
    for number in range(4):
        (granted,) = owner.request(CLIENTS[number % 3], number, build_request(), 0.0)
        counts[granted.offer.id] += 1
    assert counts == {target: CAPACITY for target in TARGETS}
    assert owner.request("h1", 9, build_request(), 0.0) == []
    assert owner.summarize(0.0).free == 0


def test_slot_goes_to_the_most_urgent_request_of_all_hosts():
    owner = build_owner()
    fill(owner)
    owner.request("h1", 10, build_request(priority=5), 0.0)
    owner.request("h2", 11, build_request(priority=1), 0.0)
    owner.request("h3", 12, build_request(priority=1, due_at=-1.0), 0.0)
    order = [owner.release("h1", n, 0.1)[0].number for n in range(3)]
    assert order == [11, 12, 10]


def test_request_that_ran_in_part_comes_first():
    owner = build_owner()
    fill(owner)
    owner.request("h1", 10, build_request(priority=0), 0.0)
    owner.request("h2", 11, build_request(priority=9, resume_deadline=2.0), 0.0)
    assert owner.release("h1", 0, 0.1)[0].number == 11


def build_measured_owner() -> SlotOwner:
    """An owner of 4 taken slots that knows a service time of 1 s without spread."""
    owner = build_owner()
    fill(owner)
    for number in range(len(TARGETS) * CAPACITY):
        owner.record_times(1.0, 0.1, client="h1", number=number)
    for _ in range(20):
        owner.record_times(1.0, 0.1)
    return owner


def test_retry_after_of_a_refusal_is_the_time_until_the_queue_is_served():
    """Counted over all hosts: 4 slots, of which newcomers take 0.4 a second.

    All that the deadline leaves after the service time is used, and no more. The 4
    grants of the last 10 s are what more newcomers are expected to take.
    """
    owner = build_measured_owner()
    waiting = 0
    refused = None
    while refused is None:
        decisions = owner.request("h2", 100 + waiting, build_request(), 0.0)
        if decisions:
            (refused,) = decisions
        else:
            waiting += 1
    assert isinstance(refused, Refused)
    expected_s = (waiting + 1) * 1.0 / (4 - 0.4)
    assert refused.number == 100 + waiting
    assert refused.retry_after_s == min(expected_s, 6.0 / 3)
    assert 6.0 - 1.0 <= expected_s <= 6.0 - 1.0 + 1 / (4 - 0.4)


def test_retry_after_is_the_forecast_where_it_is_below_the_limit():
    """A caller with 2.5 s left and 3 requests of higher priority before it."""
    owner = build_measured_owner()
    for number in range(6):
        owner.request("h2", 100 + number, build_request(priority=0), 0.0)
    req = build_request(deadline=2.4, priority=1)
    (refused,) = owner.request("h2", 200, req, 0.0)
    assert refused.retry_after_s == 0.8
    assert owner.count_waiting() == 6


def test_request_that_waited_too_long_is_told_so():
    """It may wait for as long as its deadline leaves after the service time of 1 s."""
    owner = build_measured_owner()
    owner.request("h1", 10, build_request(), 0.0)
    assert owner.assign(4.95) == []
    (refused,) = owner.assign(5.05)
    assert (refused.client, refused.number) == ("h1", 10)
    assert refused.reason == "waited too long"
    assert 0.1 <= refused.retry_after_s <= 0.95 / 3


def test_time_that_a_request_may_wait_follows_the_spread_of_service_times():
    """Half take 0.5 s and half 1.5 s: 2 s are left for a request, not the mean."""
    owner = build_owner()
    fill(owner)
    for _ in range(100):
        owner.record_times(0.5, 0.1)
        owner.record_times(1.5, 0.1)
    owner.request("h1", 10, build_request(), 0.0)
    assert owner.assign(3.9) == []
    (refused,) = owner.assign(4.1)
    assert refused.reason == "waited too long"


def test_accepted_request_is_refused_as_soon_as_more_urgent_ones_take_its_place():
    """Before, it was told so when its time was over, about 5 s later."""
    owner = build_measured_owner()
    assert owner.request("h1", 10, build_request(priority=5), 0.0) == []
    decisions = []
    for number in range(20, 42):
        now = 0.1 + number * 0.001
        urgent = build_request(now, priority=1, deadline=now + 8.0)
        decisions += owner.request("h2", number, urgent, now)
    decisions += owner.assign(0.2)
    (refused,) = decisions
    assert isinstance(refused, Refused) and refused.number == 10
    assert 0.1 <= refused.retry_after_s <= 5.9 / 3
    assert owner.count_waiting() == 22


def test_accepted_requests_are_kept_while_a_lost_replica_is_replaced():
    """One of two is silent for 1 s: all 15 can be served once it is back."""
    silent: set[str] = set()
    owner = build_owner(accepts=lambda target, epoch, now: target not in silent)
    fill(owner)
    for _ in range(20):
        owner.record_times(1.0, 0.1)
    for number in range(15):
        assert owner.request("h2", 100 + number, build_request(), 0.0) == []
    owner.assign(0.05)
    silent.add("t1")
    assert all(owner.assign(0.1 * tick) == [] for tick in range(1, 10))
    assert owner.count_waiting() == 15


def test_next_owner_accepts_no_more_than_the_mean_that_it_adopted_allows():
    """It knows the mean of 1 s, not the spread, and leaves twice the mean."""
    owner = build_owner()
    owner.adopt_service_s(1.0)
    fill(owner)
    owner.request("h1", 10, build_request(), 0.0)
    assert owner.assign(3.95) == []
    (refused,) = owner.assign(4.05)
    assert refused.reason == "waited too long"


def test_two_owners_together_stay_within_a_cold_targets_limit():
    """Each grants half of cold_per_s x 1.5 + 5, here of 26 a second."""
    limit = 26 * 1.5 + 5
    owners = [build_owner(), build_owner()]
    for owner in owners:
        owner.set_offers(
            tuple(replace(item, capacity=99) for item in build_offers(9.0)),
            int(limit / 2),
        )
    granted = {target: [] for target in TARGETS}
    for step in range(400):
        now = step * 0.01
        for index, owner in enumerate(owners):
            for decision in owner.request(
                "h", step * 2 + index, build_request(now), now
            ):
                if isinstance(decision, Granted):
                    granted[decision.offer.id].append(now)
    for times in granted.values():
        for start in times:
            assert sum(start <= at < start + 1.0 for at in times) <= limit


def test_retry_budget_counts_all_hosts():
    owner = build_owner(ratio=0.0, slack=2.0)
    owner.set_offers(tuple(replace(i, capacity=99) for i in build_offers()), 9)
    taken = [
        isinstance(d, Granted)
        for n in range(6)
        for d in owner.request(CLIENTS[n % 3], n, build_request(is_retry=True), 0.0)
    ]
    assert taken == [True, True, False, False, False, False]


def test_request_of_another_zone_gets_a_free_slot_or_an_answer_at_once():
    owner = build_owner()
    (granted,) = owner.request_for_zone("b-owner", 1, build_request(), 0.0)
    assert isinstance(granted, Granted)
    fill_rest = [owner.request("h1", n, build_request(), 0.0) for n in range(3)]
    assert all(fill_rest)
    assert owner.request_for_zone("b-owner", 2, build_request(), 0.0) == [
        Declined("b-owner", 2)
    ]


def test_requests_go_to_a_zone_that_is_clearly_less_loaded():
    owner = build_owner()
    fill(owner)
    summary = KeySummary(100, 10, 90, 0.2, 0, 0.0)
    assert owner.update_zone("b", summary, 0.0) == []
    (passed_on,) = owner.request("h2", 10, build_request(), 0.0)
    assert isinstance(passed_on, Forwarded) and passed_on.zone == "b"
    owner.take_back("h2", 10, build_request(), "b", 0.1)
    assert owner.count_waiting() == 1
    (later,) = owner.update_zone("b", summary, 0.3)
    assert isinstance(later, Forwarded) and later.number == 10


def test_request_waits_in_the_zone_whose_queue_is_served_sooner():
    owner = build_owner()
    fill(owner)
    owner.update_zone("b", KeySummary(40, 40, 0, 1.1, 4, 0.0), 0.0)
    decisions = [owner.request("h2", 20 + n, build_request(), 0.0) for n in range(8)]
    passed_on = [item for items in decisions for item in items]
    assert {item.zone for item in passed_on} == {"b"}
    assert all(item.may_wait for item in passed_on)
    assert 1 <= owner.count_waiting() <= 3


def test_zones_that_are_short_at_the_same_time_share_a_shorter_queue():
    """Zone c, whose queue is longer, is taken to send to b as many as this zone.

    The queue of b, with 4 requests and 40 slots, may then get 3 of each, as the last of
    them waits 0.28 s there and its callers have an objective of 0.3 s.
    """
    owner = build_owner()
    fill(owner)
    owner.update_zone("b", KeySummary(40, 40, 0, 1.1, 4, 0.0), 0.0)
    owner.update_zone("c", KeySummary(4, 4, 0, 1.1, 9, 0.0), 0.0)
    decisions = [owner.request("h2", 20 + n, build_request(), 0.0) for n in range(8)]
    passed_on = [item for items in decisions for item in items]
    assert [item.zone for item in passed_on] == ["b", "b", "b"]
    assert all(item.may_wait for item in passed_on)
    assert owner.count_waiting() == 5


# Guards against requests that queue for cold replicas, which take few, as the forecast
# counts all of their slots.
def test_request_leaves_a_zone_whose_replicas_are_cold():
    owner = build_owner()
    owner.set_offers(
        tuple(replace(offer, capacity=90) for offer in build_offers(9.0)), 1
    )
    owner.update_zone("b", KeySummary(100, 10, 90, 0.2, 0, 0.0), 0.0)
    first = [owner.request("h1", n, build_request(), 0.0)[0] for n in range(2)]
    assert all(isinstance(item, Granted) for item in first)
    (passed_on,) = owner.request("h1", 2, build_request(), 0.0)
    assert isinstance(passed_on, Forwarded) and not passed_on.may_wait


def test_zone_without_replicas_waits_elsewhere_instead_of_refusing():
    owner = build_owner()
    owner.set_offers((), 1)
    owner.update_zone("b", KeySummary(40, 40, 0, 1.1, 20, 0.0), 0.0)
    (decision,) = owner.request("h2", 1, build_request(), 0.0)
    assert isinstance(decision, Forwarded) and decision.may_wait


def test_request_passed_on_to_wait_gets_the_next_slot():
    owner = build_owner()
    fill(owner)
    assert owner.request_passed_on("b-owner", 7, build_request(), 0.0) == []
    (granted,) = owner.release("h1", 0, 0.1)
    assert (granted.client, granted.number) == ("b-owner", 7)


# Guards against requests that are sent on from zone to zone, or back.
def test_request_that_waits_for_another_zone_stays_until_no_replica_is_left():
    owner = build_owner()
    fill(owner)
    for number in range(5):
        assert owner.request_passed_on("b-owner", number, build_request(), 0.0) == []
    free = KeySummary(100, 10, 90, 0.2, 0, 0.0)
    assert owner.update_zone("c", free, 0.1) == []
    owner.set_offers((), 1)
    decisions = owner.update_zone("c", free, 0.2)
    assert [item.number for item in decisions] == [0, 1, 2, 3, 4]
    assert all(isinstance(item, Forwarded) for item in decisions)


def test_no_more_are_passed_on_than_another_zone_has_free_slots():
    owner = build_owner()
    fill(owner)
    owner.update_zone("b", KeySummary(10, 8, 2, 0.9, 0, 0.0), 0.0)
    owner.set_offers((), 1)
    decisions = [owner.request("h2", 20 + n, build_request(), 0.0) for n in range(5)]
    passed_on = [d for ds in decisions for d in ds if isinstance(d, Forwarded)]
    assert [item.may_wait for item in passed_on] == [False, False, True, True, True]


def test_next_owner_knows_what_is_held_from_reports():
    first, second = build_owner(), build_owner()
    held: dict[str, dict[int, str]] = {client: {} for client in CLIENTS}
    for number in range(3):
        client = CLIENTS[number]
        (granted,) = first.request(client, number, build_request(), 0.0)
        held[client][number] = granted.offer.id
    for client, slots in held.items():
        second.ledger.reconcile(client, slots, 0.1)
    assert isinstance(second.request("h1", 9, build_request(), 0.2)[0], Granted)
    assert second.request("h1", 10, build_request(), 0.2) == []


def test_slots_of_a_client_that_is_gone_are_free_again():
    owner = build_owner()
    fill(owner)
    owner.request("h2", 10, build_request(), 0.0)
    (granted,) = owner.drop_client("h1", 0.1)
    assert (granted.client, granted.number) == ("h2", 10)
    assert owner.summarize(0.1).in_flight == 1


def test_request_survives_its_encoding():
    req = build_request(
        avoid=frozenset({"t1"}),
        excluded=frozenset({"t2"}),
        excluded_until=2.0,
        resume_deadline=1.0,
        tokens=1234,
        objective_s=0.3,
    )
    message = encode_request(7, KEY, req, 0.0, for_other_zone=True)
    decoded = decode_message(encode_message(message))
    assert decoded == message
    assert decode_request(decoded, 0.0) == req
    endless = replace(req, due_at=math.inf, resume_deadline=None)
    message = encode_request(7, KEY, endless, 0.0)
    assert decode_request(message, 0.0) == endless


class OwnerMachine(RuleBasedStateMachine):
    """Two processes that may both own a key, and hosts whose messages come late.

    Hosts ask the one that they believe in. No slot is held that the owner does not
    count once reports have arrived, none is granted twice, and nobody waits for ever.
    """

    @initialize()
    def start(self):
        self.now = 0.0
        self.owners = [build_owner(), build_owner()]
        self.believes = {client: 0 for client in CLIENTS}
        self.held: dict[tuple[str, int], tuple[int, str]] = {}
        self.waiting: dict[tuple[str, int], int] = {}
        self.number = 0

    def take(self, index: int, decisions) -> None:
        for decision in decisions:
            name = (decision.client, decision.number)
            match decision:
                case Granted():
                    if self.waiting.pop(name, None) is None:
                        assert name not in self.held, "granted twice"
                        self.take(index, self.owners[index].release(*name, self.now))
                    else:
                        self.held[name] = (index, decision.offer.id)
                case Refused():
                    assert name not in self.held
                    if self.waiting.get(name) == index:
                        del self.waiting[name]

    @rule(client=st.sampled_from(CLIENTS), priority=st.integers(0, 2))
    def ask(self, client, priority):
        self.number += 1
        index = self.believes[client]
        self.waiting[client, self.number] = index
        req = build_request(self.now, priority=priority)
        owner = self.owners[index]
        self.take(index, owner.request(client, self.number, req, self.now))

    @rule(data=st.data())
    def release(self, data):
        if self.held:
            name = data.draw(st.sampled_from(sorted(self.held)))
            index, _ = self.held.pop(name)
            self.take(index, self.owners[index].release(*name, self.now))

    @rule(data=st.data())
    def cancel(self, data):
        if self.waiting:
            name = data.draw(st.sampled_from(sorted(self.waiting)))
            index = self.waiting.pop(name)
            self.take(index, self.owners[index].cancel(*name, self.now))

    @rule(client=st.sampled_from(CLIENTS))
    def believe_in_the_other(self, client):
        """The host hears its owner no more: it asks the next one again."""
        self.believes[client] = 1 - self.believes[client]
        for name, index in list(self.waiting.items()):
            if name[0] == client:
                other = self.believes[client]
                self.waiting[name] = other
                req = build_request(self.now)
                self.take(other, self.owners[other].request(*name, req, self.now))

    @rule(client=st.sampled_from(CLIENTS), index=st.integers(0, 1))
    def report(self, client, index):
        held = {
            number: target
            for (name, number), (_, target) in self.held.items()
            if name == client
        }
        owner = self.owners[index]
        owner.ledger.reconcile(client, held, self.now)
        self.take(index, owner.assign(self.now))

    @rule(index=st.integers(0, 1))
    def lose_owner(self, index):
        """Its process restarts and knows nothing."""
        self.owners[index] = build_owner(self.now)
        for name in [name for name, at in self.waiting.items() if at == index]:
            req = build_request(self.now)
            self.take(index, self.owners[index].request(*name, req, self.now))

    @rule(client=st.sampled_from(CLIENTS))
    def lose_client(self, client):
        for names in (self.held, self.waiting):
            for name in [name for name in names if name[0] == client]:
                del names[name]
        for index, owner in enumerate(self.owners):
            self.take(index, owner.drop_client(client, self.now))

    @rule(passed_s=st.floats(0.05, 1.5))
    def pass_time(self, passed_s):
        self.now += passed_s
        for index, owner in enumerate(self.owners):
            self.take(index, owner.assign(self.now))

    @invariant()
    def nobody_waits_beyond_the_limit(self):
        if hasattr(self, "owners"):
            waiting = sum(owner.count_waiting() for owner in self.owners)
            assert len(self.waiting) <= waiting

    @invariant()
    def an_owner_alone_grants_no_slot_twice(self):
        if not hasattr(self, "owners"):
            return
        for index, owner in enumerate(self.owners):
            for target in TARGETS:
                granted = sum(
                    at == index and item == target for at, item in self.held.values()
                )
                if granted <= CAPACITY:
                    continue
                # Only an owner that restarted may not have counted some yet.
                assert owner.ledger.count(target) <= CAPACITY

    def teardown(self):
        if not hasattr(self, "owners"):
            return
        self.now += REPORT_DELAY_S + 0.1
        for index, owner in enumerate(self.owners):
            for client in CLIENTS:
                self.report(client, index)
            for target in TARGETS:
                held = sum(item == target for _, item in self.held.values())
                assert owner.ledger.count(target) >= held


OwnerMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
TestOwners = OwnerMachine.TestCase


# Guards against a request that can't use the free slots and keeps all others waiting.
def test_request_whose_host_pauses_all_replicas_is_passed_over():
    owner = build_owner()
    fill(owner)
    paused = build_request(priority=0, excluded=frozenset(TARGETS), excluded_until=2.0)
    owner.request("h2", 10, paused, 0.0)
    owner.request("h1", 11, build_request(), 0.0)
    (granted,) = owner.release("h1", 0, 0.1)
    assert isinstance(granted, Granted) and granted.number == 11
    assert owner.release("h1", 1, 0.1) == []
    (granted,) = owner.request("h3", 12, build_request(0.2), 0.2)
    assert isinstance(granted, Granted) and granted.number == 12
    assert owner.count_waiting() == 1


# Guards against a refusal of what was accepted and another zone declined meanwhile.
def test_request_that_another_zone_declined_is_not_refused_for_newcomers():
    owner = build_measured_owner()
    waiting = 0
    while not owner.request("h2", 100 + waiting, build_request(), 0.0):
        waiting += 1
    decisions = owner.take_back("h3", 999, build_request(), "b", 0.0)
    refused = {item.number for item in decisions if isinstance(item, Refused)}
    assert len(refused) <= 1


def test_zone_without_a_replica_declines_what_is_passed_on_to_it():
    owner = build_owner(accepts=lambda target, epoch, now: False)
    (declined,) = owner.request_passed_on("b-owner", 1, build_request(), 0.0)
    assert isinstance(declined, Declined)


# Guards against a refusal of a request that the next free slot would serve.
def test_late_request_is_not_refused_where_no_other_waits():
    owner = build_measured_owner()
    for number in range(60):
        now = 0.1 * number
        owner.release("h1", number, now)
        owner.request("h1", number + 4, build_request(now), now)
    assert owner.request("h2", 999, build_request(6.0, due_at=5.0), 6.0) == []
