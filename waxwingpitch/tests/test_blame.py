"""Tests of which requests are blocked for crashes, on a played load."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, strategies as st

from ..requests.blame import (
    BLOCK_TTL_S,
    EVIDENCE_TTL_S,
    MAX_ITEMS,
    BlameBook,
    CrashItem,
    count_in_turn,
)

# Time that operators allow for gateways to agree.
CONTACT_S = 3.0
PROBE_S = 0.05
NEWS_S = 0.02


def build_item(incarnation, keys, sent_at, broken_at=None):
    broken_at = sent_at + 0.2 if broken_at is None else broken_at
    return CrashItem(incarnation, tuple(keys), sent_at, broken_at)


def list_blocked(book: BlameBook) -> list[str]:
    return [item.key for item in book.list_culprits()]


@dataclass
class Load:
    """Requests to targets that some requests crash, before several gateways.

    Parameters
    ----------
    bad_part
        Part whose requests crash their targets; it is followed by one of several.
    lost_at
        Time at which most targets are lost at once, whatever they run.
    """

    seed: int
    bad_part: str | None
    rate_per_s: float = 60.0
    bad_share: float = 0.12
    targets: int = 20
    gateways: int = 4
    run_s: float = 8.0
    lost_at: float | None = None
    crashes: list[float] = field(default_factory=list)
    bad_sends: list[float] = field(default_factory=list)
    refused: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)

    def __post_init__(self):
        self._random = random.Random(self.seed)
        self._books = [BlameBook() for _ in range(self.gateways)]
        self._events: list = []
        self._order = itertools.count()
        self._running = {number: {} for number in range(self.targets)}
        self._down_until = dict.fromkeys(range(self.targets), 0.0)
        self._lives = Counter()

    def play(self) -> None:
        at = 0.0
        number = 0
        while at < self.run_s:
            at += self._random.expovariate(self.rate_per_s)
            self._schedule(at, self._send, self._draw(number), 0)
            number += 1
        if self.lost_at is not None:
            for target in range(0, self.targets - 4):
                self._schedule(self.lost_at, self._lose, target)
        while self._events:
            now, _, call, args = heapq.heappop(self._events)
            call(now, *args)

    def _draw(self, number: int) -> tuple:
        shared = f"shared-{self._random.randrange(6)}"
        parts = ["first", shared, f"rare-{self._random.randrange(30)}"]
        is_bad = self.bad_part and self._random.random() < self.bad_share
        if is_bad:
            parts[self._random.choice((1, 2))] = self.bad_part
        return (*parts, f"request {number}"), is_bad

    def _schedule(self, at, call, *args) -> None:
        heapq.heappush(self._events, (at, next(self._order), call, args))

    def _send(self, now, request, sends) -> None:
        keys, is_bad = request
        gateway = self._random.randrange(self.gateways)
        if self._books[gateway].find_blocked(keys):
            self.refused[is_bad, int(now)] += 1
            return
        up = [item for item, until in self._down_until.items() if until <= now]
        free = [item for item in up if len(self._running[item]) < 9]
        if not free:
            self._schedule(now + 0.05, self._send, request, sends)
            return
        target = self._random.choice(free)
        life = self._lives[target]
        first_at = now + self._random.uniform(0.1, 0.25)
        output_at = math.inf if is_bad else first_at
        self._running[target][keys, sends] = (now, request, sends, output_at)
        if is_bad:
            self.bad_sends.append(now)
        if is_bad:
            self._schedule(first_at + 0.04, self._crash, target, life)
        else:
            args = target, life, (keys, sends), gateway
            self._schedule(first_at + 0.3, self._survive, *args)
            self._schedule(first_at + 1.5, self._end, *args)

    def _survive(self, now, target, life, name, gateway) -> None:
        if self._lives[target] != life:
            return
        sent_at, (keys, _), _, _ = self._running[target][name]
        self._running[target][name] = (None, (keys, False), 0, now)
        cleared = self._books[gateway].find_served(keys, sent_at)
        if cleared:
            for other, book in enumerate(self._books):
                delay_s = 0.0 if other == gateway else NEWS_S
                self._schedule(now + delay_s, self._clear, book, cleared)

    def _clear(self, now, book, cleared) -> None:
        book.clear(cleared, now)

    def _end(self, now, target, life, name, gateway) -> None:
        if self._lives[target] == life:
            del self._running[target][name]
            self.served[int(now)] += 1

    def _crash(self, now, target, life) -> None:
        if self._lives[target] == life:
            self.crashes.append(now)
            self._lose(now, target)

    def _lose(self, now, target) -> None:
        incarnation = f"{target}:{self._lives[target]}"
        self._lives[target] += 1
        self._down_until[target] = now + 3.0
        items = []
        for (keys, _), attempt in self._running[target].items():
            sent_at, request, sends, output_at = attempt
            if sent_at is None:
                continue
            had_output = output_at <= now
            items.append(CrashItem(incarnation, keys, sent_at, now, had_output))
            if sends < 2:
                self._schedule(now + 0.01, self._send, request, sends + 1)
        self._running[target] = {}
        for book in self._books:
            at = now + PROBE_S + self._random.uniform(0, NEWS_S)
            self._schedule(at, self._merge, book, items)

    def _merge(self, now, book, items) -> None:
        book.merge(items)

    def list_blocked(self) -> set[str]:
        return {key for book in self._books for key in list_blocked(book)}


SEEDS = st.integers(0, 10**6)


@given(SEEDS)
def test_part_that_crashes_targets_is_sent_no_more_after_the_contact_time(seed):
    load = Load(seed, "bad")
    load.play()
    fifth_at = sorted(load.crashes)[4] if len(load.crashes) > 4 else load.crashes[-1]
    assert [at for at in load.bad_sends if at > fifth_at + CONTACT_S] == []
    assert load.list_blocked() == {"bad"}


@given(SEEDS)
def test_sound_requests_beside_a_blocked_part_are_served(seed):
    load = Load(seed, "bad")
    load.play()
    late = [at for at in load.crashes if at > load.crashes[0] + 2 * CONTACT_S]
    assert late == []
    refused = sum(
        count for (bad, s), count in load.refused.items() if not bad and s > 4
    )
    assert refused == 0


@given(SEEDS)
def test_targets_lost_at_the_same_time_block_no_request(seed):
    load = Load(seed, None, lost_at=2.0)
    load.play()
    assert load.refused == {}


@given(SEEDS)
def test_crashes_without_a_common_cause_block_no_request_for_long(seed):
    load = Load(seed, None)
    for number in range(12):
        load._schedule(0.5 + number * 0.5, load._lose, number)
    load.play()
    assert load.list_blocked() == set()
    assert sum(load.refused.values()) <= 3


def test_crashes_in_turn_are_counted():
    overlapping = [
        build_item("a:1", "k", 0.0),
        build_item("b:1", "k", 0.1),
        build_item("c:1", "k", 0.15),
    ]
    assert count_in_turn(overlapping) == 1
    in_turn = [*overlapping, build_item("d:1", "k", 0.21), build_item("e:1", "k", 0.6)]
    assert count_in_turn(in_turn) == 3
    assert count_in_turn([*in_turn, build_item("e:1", "k", 0.9)]) == 3


def test_part_of_one_repeated_request_is_not_blocked():
    book = BlameBook()
    book.merge(build_item(f"{n}:1", ("p", "same"), n * 1.0) for n in range(5))
    assert list_blocked(book) == ["same"]
    book.merge([build_item("9:1", ("p", "other"), 9.0)])
    assert list_blocked(book) == ["p"]


def test_of_parts_that_explain_the_same_crashes_the_last_is_blocked():
    book = BlameBook()
    book.merge(build_item(f"{n}:1", ("a", "b", f"r{n}"), n * 1.0) for n in range(3))
    assert list_blocked(book) == ["b"]
    assert book.find_blocked(("a", "c", "r9")) is None


def test_earlier_part_is_blocked_instead_once_it_explains_more():
    book = BlameBook()
    book.merge(build_item(f"{n}:1", ("a", "b", f"r{n}"), n * 1.0) for n in range(3))
    book.merge([build_item("7:1", ("a", "c", "r7"), 7.0)])
    assert list_blocked(book) == ["a"]


def test_request_with_the_same_content_is_blocked_after_two_crashes_in_turn():
    book = BlameBook()
    book.merge([build_item("a:1", ("f",), 0.0), build_item("b:1", ("f",), 0.1)])
    assert list_blocked(book) == []
    book.merge([build_item("c:1", ("f",), 0.5)])
    assert list_blocked(book) == ["f"]


def test_request_beside_those_that_crash_targets_is_blocked_no_longer():
    """Its two crashes in turn are explained by a part that it does not have."""
    book = BlameBook()
    book.merge(build_item(f"{n}:1", ("sound",), n * 1.0) for n in range(2))
    assert list_blocked(book) == ["sound"]
    book.merge(build_item(f"{n}:1", ("bad", f"r{n}"), n * 1.0) for n in range(3))
    assert list_blocked(book) == ["bad"]


def test_request_with_output_is_no_suspect_beside_one_without():
    book = BlameBook()
    with_output = [
        replace(build_item(f"{n}:1", ("begun",), n * 1.0), had_output=True)
        for n in range(3)
    ]
    book.merge(with_output)
    assert list_blocked(book) == ["begun"]
    book.merge(build_item(f"{n}:1", (f"r{n}",), n * 1.0) for n in range(3))
    assert list_blocked(book) == []


def test_request_that_was_served_clears_its_parts():
    book = BlameBook()
    book.merge(build_item(f"{n}:1", ("p", f"r{n}"), n * 1.0) for n in range(3))
    assert book.find_served(("p", "r9"), sent_at=0.1) == ()
    assert book.find_served(("p", "r9"), sent_at=1.0) == ("p",)
    book.clear(("p",), 3.0)
    assert list_blocked(book) == []
    book.merge([build_item("9:1", ("p", "r8"), 8.0)])
    assert list_blocked(book) == []


@pytest.mark.parametrize("keys", [("same",), ("p", "same")])
def test_request_that_was_served_between_two_crashes_is_not_blocked(keys):
    book = BlameBook()
    book.merge([build_item("a:1", keys, 0.0)])
    for served in range(50):
        assert book.find_served(keys, sent_at=1.0 + served) == ()
    book.merge([build_item("b:1", keys, 60.0)])
    assert list_blocked(book) == []
    book.merge([build_item("c:1", keys, 62.0)])
    assert list_blocked(book) == ["same"]


def test_new_peer_is_told_what_blocks_a_part():
    book, peer = BlameBook(), BlameBook()
    book.merge(build_item(f"{n}:1", ("p", f"r{n}"), n * 1.0) for n in range(40))
    book.merge([build_item("x:1", ("q", "other"), 5.0)])
    told = book.list_blocking()
    assert len(told) <= 16 and all("q" not in item.keys for item in told)
    peer.merge(told)
    assert list_blocked(peer) == ["p"]


def test_many_crashes_displace_none_that_blocks_a_part():
    book = BlameBook()
    book.merge(build_item(f"{n}:1", ("p", f"r{n}"), n * 1.0) for n in range(3))
    assert list_blocked(book) == ["p"]
    for start in range(0, 4 * MAX_ITEMS, 100):
        book.merge(build_item("x:1", (f"q{start + n}",), 5.0) for n in range(100))
    assert list_blocked(book) == ["p"]
    assert book.count_crashes("q0") == 0


def test_new_peer_does_not_blame_what_was_cleared():
    """Two parts are blocked; the first part is in all of their requests."""
    book, peer = BlameBook(), BlameBook()
    for start, part in ((0.0, "p"), (50.0, "q")):
        book.merge(
            build_item(f"{part}{n}:1", ("first", part, f"{part}{n}"), start + n)
            for n in range(4)
        )
        book.clear(("first",), start + 1.5)
    assert sorted(list_blocked(book)) == ["p", "q"]
    peer.merge(book.list_blocking())
    assert sorted(list_blocked(peer)) == ["p", "q"]


def test_new_peer_is_told_of_several_crashes_though_many_requests_broke_at_the_last():
    book, peer = BlameBook(), BlameBook()
    book.merge(build_item(f"{n}:1", ("p", f"r{n}"), n * 1.0) for n in range(3))
    book.merge(build_item("9:1", ("p", f"s{n}"), 9.0) for n in range(20))
    assert list_blocked(book) == ["p"]
    peer.merge(book.list_blocking())
    assert list_blocked(peer) == ["p"]


@pytest.mark.parametrize(("items", "ttl_s"), [(2, EVIDENCE_TTL_S), (3, BLOCK_TTL_S)])
def test_crashes_are_forgotten(items, ttl_s):
    book = BlameBook()
    book.merge(build_item(f"{n}:1", ("p", f"r{n}"), n * 1.0) for n in range(items))
    is_blocked = bool(list_blocked(book))
    book.expire(ttl_s - 1.0)
    assert bool(list_blocked(book)) == is_blocked
    assert book.count_crashes("p") == items
    book.expire(ttl_s + 10.0)
    assert book.count_crashes("p") == 0
