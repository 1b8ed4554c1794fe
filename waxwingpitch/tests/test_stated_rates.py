"""Owners of slots and the requests a second that targets state, on a played load."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from ..slots import Forwarded, Granted, KeySummary, Refused
from ..slots.rates import MAX_WINDOW_S, RecentSends, ReportedSends, StatedRates
from .test_slot_owner import CAPACITY, build_offers, build_owner, build_request

LIMITED, OTHER = "t1", "t2"
WINDOW_S = 4.0
# What operators allow in any ``WINDOW_S``, as a factor and an absolute number.
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5
LIMITS = st.sampled_from([0.0, 0.1, 0.3, 1.0, 1.8, 7.5, 40.0])


def count_most(times: list[float]) -> int:
    """Return the largest number of times within any ``WINDOW_S``."""
    return max(
        (sum(at - WINDOW_S < one <= at for one in times) for at in times), default=0
    )


def find_allowed(per_s: float) -> float:
    return ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_SLACK


class Load:
    """Hosts that ask the owner of a limited target for slots, and report to the next.

    Parameters
    ----------
    takeovers
        Times at which the present owner is lost and the next takes over; a new one
        without knowledge becomes the next.
    """

    def __init__(self, seed: int, per_s: float, takeovers=(), hosts: int = 5):
        self._random = random.Random(seed)
        self._per_s = per_s
        self._takeovers = sorted(takeovers)
        self._sends = {f"h{number}": RecentSends() for number in range(hosts)}
        self._owners = [self._build_owner() for _ in range(2)]
        self.sent: list[float] = []

    @staticmethod
    def _build_owner():
        owner = build_owner()
        owner.set_offers(build_offers()[:1], 1)
        return owner

    def play(self, run_s: float = 20.0, rate_per_s: float = 90.0) -> None:
        now, reported_at = 0.0, 0.0
        for number in itertools.count():
            now += self._random.expovariate(rate_per_s)
            if now > run_s:
                return
            if self._takeovers and now >= self._takeovers[0]:
                self._takeovers.pop(0)
                self._owners = [self._owners[1], self._build_owner()]
            if now - reported_at >= 0.1:
                reported_at = now
                self._report(now - self._random.uniform(0.0, 0.05))
            self._ask(self._random.choice(list(self._sends)), number, now)

    def _report(self, now: float) -> None:
        for owner in self._owners:
            for host, sends in self._sends.items():
                owner.reconcile_sends(host, sends.list_reports(now), now)

    def _ask(self, host: str, number: int, now: float) -> None:
        owner = self._owners[0]
        (decision,) = owner.request_for_zone(host, number, build_request(now), now)
        if not isinstance(decision, Granted):
            return
        self.sent.append(now)
        offer = decision.offer
        self._sends[host].record(offer.id, offer.rate_per_s, now)
        if offer.rate_per_s != self._per_s:
            owner.rates.state(offer.id, self._per_s)
        owner.release(host, number, now)


@settings(max_examples=25)
@given(st.integers(0, 10**6), LIMITS)
def test_target_gets_the_rate_that_it_states_and_not_more(seed, per_s):
    load = Load(seed, per_s)
    load.play()
    sent = [at for at in load.sent if at > 1.0]
    assert count_most(sent) <= max(1, per_s * WINDOW_S)
    if per_s >= 1.0:
        assert len(sent) >= 0.6 * per_s * 19.0
    assert len(sent) >= 1


@settings(max_examples=40)
@given(
    st.integers(0, 10**6),
    LIMITS,
    st.floats(2.0, 12.0),
    st.lists(st.floats(0.2, 2.0), min_size=1, max_size=6),
)
def test_lost_owners_of_slots_do_not_double_a_rate(seed, per_s, begin, pauses):
    load = Load(seed, per_s, itertools.accumulate(pauses, initial=begin))
    load.play()
    assert count_most([at for at in load.sent if at > 1.0]) <= find_allowed(per_s)


@given(st.integers(1, 6), st.integers(1, 6), st.floats(0.3, 40.0))
def test_parts_of_a_zone_that_do_not_hear_each_other_share_a_rate(here, there, per_s):
    sent = []
    for hosts in (here, there):
        rates = StatedRates()
        rates.state(LIMITED, per_s)
        rates.share = hosts / (here + there)
        for step in range(400):
            if rates.has_room(LIMITED, step * 0.05):
                rates.record(LIMITED, "h1", step * 0.05)
                sent.append(step * 0.05)
    assert count_most(sorted(sent)) <= find_allowed(per_s)


def test_rate_of_an_owner_outlives_a_stale_report():
    owner = build_owner()
    assert owner.rates.state(LIMITED, 2.0)
    assert owner.rates.state(LIMITED, None)
    owner.reconcile_sends("h1", [ReportedSends(LIMITED, 2.0, 1)], 0.1)
    assert owner.rates.find(LIMITED) is None
    owner.reconcile_sends("h1", [ReportedSends("gone", 2.0, 1)], 0.1)
    assert owner.rates.describe() == {}


def test_rate_of_a_replica_that_is_gone_is_forgotten():
    owner = build_owner()
    owner.rates.state(LIMITED, 2.0)
    owner.set_offers(build_offers()[1:], 3)
    owner.set_offers(build_offers(), 3)
    assert owner.rates.find(LIMITED) is None


def test_target_that_takes_no_requests_is_tried_at_times():
    rates = StatedRates()
    rates.state(LIMITED, 0.0)
    rates.record(LIMITED, "h1", 0.0)
    assert not rates.has_room(LIMITED, MAX_WINDOW_S - 0.1)
    assert rates.has_room(LIMITED, MAX_WINDOW_S + 0.1)


def test_free_slots_of_a_limited_target_are_no_free_slots():
    owner = build_owner()
    assert owner.summarize(0.0).free == 2 * CAPACITY
    owner.rates.state(LIMITED, 0.5)
    owner.request("h1", 1, build_request(avoid=frozenset([OTHER])), 0.0)
    summary = owner.summarize(0.1)
    assert (summary.free, summary.withheld) == (CAPACITY, 1)
    assert summary.lowest_utilisation == 1 / CAPACITY


def test_retry_after_follows_the_rate_that_is_left():
    owner = build_owner()
    for target in (LIMITED, OTHER):
        owner.rates.state(target, 0.2)
        owner.rates.record(target, "h1", 0.0)
    refusals = []
    for number in range(3):
        decisions = owner.request("h1", number, build_request(), 0.0)
        refusals += [item for item in decisions if isinstance(item, Refused)]
    assert refusals and all(item.retry_after_s == 2.0 for item in refusals)


def test_request_that_waits_gets_its_slot_when_the_rate_allows_it():
    owner = build_owner()
    owner.set_offers(build_offers()[:1], 1)
    owner.rates.state(LIMITED, 1.0)
    (first,) = owner.request("h1", 1, build_request(), 0.0)
    assert first.offer.rate_per_s == 1.0
    assert owner.request("h1", 2, build_request(), 0.1) == []
    assert owner.assign(0.9) == []
    (granted,) = owner.assign(1.1)
    assert granted.number == 2


def test_request_goes_to_another_zone_while_the_rate_here_is_used_up():
    owner = build_owner()
    for target in (LIMITED, OTHER):
        owner.rates.state(target, 0.1)
        owner.rates.record(target, "h1", 0.0)
    owner.update_zone("b", KeySummary(8, 0, 8, 0.125, 0, 0.0), 0.0)
    (decision,) = owner.request("h1", 1, build_request(), 0.1)
    assert isinstance(decision, Forwarded)


def test_retry_is_counted_against_the_rate():
    owner = build_owner()
    owner.set_offers(build_offers()[:1], 1)
    owner.rates.state(LIMITED, 1.0)
    retry = replace(build_request(), is_retry=True)
    resumed = build_request(resume_deadline=2.0)
    assert isinstance(owner.request("h1", 1, retry, 0.0)[0], Granted)
    assert owner.request("h1", 2, resumed, 0.1) == []


@pytest.mark.parametrize("sent, room", [(0, 2), (2, 0), (9, 0)])
def test_new_owner_counts_what_hosts_have_sent(sent, room):
    rates = StatedRates()
    rates.merge("h1", ReportedSends(LIMITED, 1.5, sent), 0.0)
    rates.merge("h1", ReportedSends(LIMITED, 1.5, sent), 0.1)
    assert rates.count_room(LIMITED, 0.1) == room
