from __future__ import annotations

import random
from collections import Counter

import hypothesis.strategies as st
import pytest
from hypothesis import given

from ..admission import FairQueue, OnTimeFirstQueue, RetryBudget, Ticket
from ..admission.service_times import ServiceTimes
from ..admission.taken import TakenCapacity
from ..errors import (
    ResultCode,
    TargetConnectionLostError,
    TargetProgressTimeoutError,
    TargetRefusedError,
)
from ..ports import Piece
from ..requests import AnswerAssembly, SuspectBook, Verdict
from ..requests.retry import (
    MAX_ATTEMPTS,
    AttemptState,
    Elsewhere,
    GiveUp,
    Resume,
    decide,
)
from ..routing import (
    Candidate,
    LeastOutstanding,
    PrefixAffinity,
    PrefixIndex,
    RandomChoice,
    RoundRobin,
    Router,
    RoutingRequest,
    TwoChoices,
    iter_prefix_blocks,
)
from ..targets import ConcurrencyWindow, Target


def ticket(workspace: str, priority: int = 0, share: float = 1.0, cost: float = 1.0):
    return Ticket("r", workspace, priority, share, cost, deadline=100.0)


def test_higher_priority_goes_first():
    queue = FairQueue()
    queue.push(ticket("low", 5))
    queue.push(ticket("high", 0))
    assert [queue.pop().workspace for _ in range(2)] == ["high", "low"]


@given(
    shares=st.lists(st.floats(0.5, 8.0), min_size=2, max_size=5),
    cost=st.floats(0.1, 50.0),
)
def test_served_in_proportion_to_shares(shares, cost):
    queue = FairQueue(bound=100000)
    turns = 400
    for index, share in enumerate(shares):
        for _ in range(turns):
            queue.push(ticket(f"w{index}", share=share, cost=cost))
    served = Counter(queue.pop().workspace for _ in range(turns))
    for index, share in enumerate(shares):
        expected = turns * share / sum(shares)
        assert abs(served[f"w{index}"] - expected) <= len(shares) + 1


def test_idle_workspace_accumulates_no_credit():
    queue = FairQueue()
    for _ in range(50):
        queue.push(ticket("busy"))
    for _ in range(40):
        queue.pop()
    for _ in range(10):
        queue.push(ticket("late"))
    served = Counter(queue.pop().workspace for _ in range(10))
    assert served["late"] <= 6


def test_queue_is_bounded_by_priority():
    queue = FairQueue(bound=2)
    assert queue.push(ticket("a")) and queue.push(ticket("a"))
    assert not queue.push(ticket("a"))
    assert queue.push(ticket("a", priority=1))


def test_late_ticket_of_higher_priority_goes_before_on_time_ones():
    queue = OnTimeFirstQueue()
    queue.push(Ticket("late", "w", 0, 1.0, 1.0, 9.0, latest_start_at=1.0))
    queue.push(Ticket("fresh", "w", 1, 1.0, 1.0, 9.0, latest_start_at=3.0))
    queue.push(Ticket("older", "w", 1, 1.0, 1.0, 9.0, latest_start_at=1.5))
    assert len(queue) == 3
    assert queue.count_ahead(0) == 1
    order = [queue.pop(2.0).request for _ in range(3)]
    assert order == ["late", "fresh", "older"]
    assert queue.peek(2.0) is None


def test_dropped_ticket_is_never_served():
    queue = OnTimeFirstQueue()
    for number in range(4):
        queue.push(Ticket(f"r{number}", "w", 0, 1.0, 1.0, 9.0, latest_start_at=number))
    queue.drop("r0")
    assert queue.peek(1.5).request == "r2"
    queue.drop("r1")
    assert [queue.pop(1.5).request for _ in range(2)] == ["r2", "r3"]


def simulate_overload(
    queue, *, excess: float, objective_s: float, seconds: float
) -> float:
    """Return the share of requests served in time, with one slot every 10 ms."""
    now, next_arrival, on_time, served = 0.0, 0.0, 0, 0
    while now < seconds:
        while next_arrival <= now:
            ticket = Ticket(
                f"{next_arrival:.4f}",
                f"w{served % 3}",
                0,
                1.0,
                1.0,
                next_arrival + 2.0,
                latest_start_at=next_arrival + objective_s,
            )
            if len(queue) < 200:
                queue.push(ticket)
            next_arrival += 0.01 / excess
        ticket = queue.pop(now) if isinstance(queue, OnTimeFirstQueue) else queue.pop()
        if ticket is not None:
            served += 1
            on_time += now <= ticket.latest_start_at
        now += 0.01
    return on_time / served


@pytest.mark.parametrize("excess", [1.1, 1.3, 2.0])
def test_most_answers_are_on_time_under_overload(excess):
    on_time = simulate_overload(
        OnTimeFirstQueue(), excess=excess, objective_s=0.15, seconds=20.0
    )
    fair = simulate_overload(FairQueue(), excess=excess, objective_s=0.15, seconds=20.0)
    assert on_time > 0.95
    assert fair < 0.3


def test_expired_tickets_are_dropped():
    queue = FairQueue()
    queue.push(ticket("a"))
    assert list(queue.drop_expired(50.0, 10.0, lambda item: 20.0)) == []
    assert len(list(queue.drop_expired(50.0, 30.0, lambda item: 20.0))) == 1
    queue.push(ticket("a"))
    assert len(list(queue.drop_expired(100.0, 0.0, lambda item: 20.0))) == 1
    assert len(queue) == 0


@given(st.lists(st.booleans(), max_size=500))
def test_retries_stay_a_tenth_of_first_attempts(attempts):
    budget = RetryBudget(balance=0.0)
    first_attempts = retries = 0
    for is_first in attempts:
        if is_first:
            budget.earn()
            first_attempts += 1
        else:
            retries += budget.spend()
    assert retries <= first_attempts * 0.1


@given(
    total=st.integers(1, 30),
    cuts=st.lists(st.integers(0, 30), max_size=6),
    seed=st.integers(0, 1000),
)
def test_answer_is_complete_for_any_order_of_pieces(total, cuts, seed):
    tokens = [f"t{i}" for i in range(total)]
    edges = sorted({0, total, *(cut for cut in cuts if cut < total)})
    pieces = [
        Piece("r", 1, a, tuple(tokens[a:b]), "stop" if b == total else "")
        for a, b in zip(edges, edges[1:])
    ]
    foreign_pieces = [Piece("other", 1, 0, ("x",)), Piece("r", 0, 0, ("y",), "stop")]
    arriving = pieces + pieces + foreign_pieces
    random.Random(seed).shuffle(arriving)
    assembly = AnswerAssembly("r")
    assembly.start_attempt()
    received = []
    for piece in arriving:
        received += assembly.accept(piece)
    assert received == tokens
    assert assembly.finish == "stop"


@given(st.integers(1, 20), st.integers(0, 19))
def test_answer_with_missing_piece_never_finishes(total, missing):
    assembly = AnswerAssembly("r")
    assembly.start_attempt()
    for index in range(total):
        if index != missing % total:
            finish = "stop" if index == total - 1 else ""
            assembly.accept(Piece("r", 1, index, (f"t{index}",), finish))
    assert not assembly.finish


def state(**kwargs) -> AttemptState:
    return AttemptState(
        **{"attempts": 1, "resumes": 0, "lost": False, "incarnation": "i", **kwargs}
    )


@pytest.mark.parametrize(
    ("failure", "before", "expected"),
    [
        (TargetRefusedError("x"), state(), Elsewhere(False)),
        (TargetConnectionLostError("x"), state(lost=True), Resume()),
        (TargetProgressTimeoutError("x"), state(), Resume()),
        (TargetProgressTimeoutError("x"), state(resumes=2), Elsewhere(False)),
        (TargetRefusedError("x"), state(lost=True), Elsewhere(True)),
        (
            TargetRefusedError("x", incarnation="i"),
            state(lost=True),
            Elsewhere(False),
        ),
        (
            TargetRefusedError("x", incarnation="j"),
            state(lost=True),
            Elsewhere(True),
        ),
        (
            TargetConnectionLostError("x"),
            state(attempts=MAX_ATTEMPTS),
            GiveUp(ResultCode.ANSWER_INCOMPLETE),
        ),
    ],
)
def test_retry_decision(failure, before, expected):
    assert decide(failure, before) == expected


def test_suspect_is_blocked_after_two_crashes_and_cleared_by_completing():
    book = SuspectBook()
    book.record_crash("f", "i1", 0.0)
    book.record_crash("f", "i1", 0.0)
    assert book.judge("f", 1.0) is Verdict.SUSPECT
    book.clear("f")
    assert book.judge("f", 1.0) is Verdict.CLEAR
    book.record_crash("f", "i1", 0.0)
    book.record_crash("f", "i2", 0.0)
    book.clear("f")
    assert book.judge("f", 1.0) is Verdict.BLOCKED
    assert book.judge("f", 10000.0) is Verdict.CLEAR


def candidates(outstanding: list[int]) -> list[Candidate]:
    return [
        Candidate(
            Target(f"t{i}", "s", "z", "a", (f"t{i}",), "", 0, False, 0, "i"), n, n / 10
        )
        for i, n in enumerate(outstanding)
    ]


def test_policies_choose_by_their_criteria():
    router = Router(PrefixIndex(), random.Random(1))
    options = candidates([3, 0, 7])
    req = RoutingRequest()
    assert router.choose(LeastOutstanding(), req, options).target.id == "t1"
    turns = [router.choose(RoundRobin(), req, options).target.id for _ in range(6)]
    assert Counter(turns) == {"t0": 2, "t1": 2, "t2": 2}
    picks = Counter(
        router.choose(RandomChoice(), req, options).target.id for _ in range(300)
    )
    assert min(picks.values()) > 50
    pairs = Counter(
        router.choose(TwoChoices(), req, options).target.id for _ in range(300)
    )
    assert pairs["t2"] == 0 < pairs["t0"] < pairs["t1"]


def test_overloaded_target_loses_prefix_affinity():
    prefixes = PrefixIndex()
    router = Router(prefixes, random.Random(1))
    req = RoutingRequest(tuple(iter_prefix_blocks("x" * 640)))
    prefixes.record_sent("t0", req.blocks)
    balanced = candidates([1, 0, 0])
    overloaded = candidates([9, 0, 0])
    assert router.choose(PrefixAffinity(), req, balanced).target.id == "t0"
    assert router.choose(PrefixAffinity(), req, overloaded).target.id != "t0"


def test_entry_hosts_choose_the_same_target_for_a_new_prefix():
    req = RoutingRequest(tuple(iter_prefix_blocks("y" * 640)))
    chosen = {
        Router(PrefixIndex(), random.Random(seed))
        .choose(PrefixAffinity(), req, candidates([0, 0, 0, 0]))
        .target.id
        for seed in range(10)
    }
    assert len(chosen) == 1


def test_window_follows_the_reported_load():
    window = ConcurrencyWindow(limit=32, start=8)
    for step in range(1000):
        window.adapt_to_load(20, float(step))
    assert window.size == 32
    for step in range(1000, 1020):
        window.adapt_to_load(40, float(step))
    assert window.size == 1


def test_late_ticket_that_has_to_start_now_goes_before_those_on_time():
    """It was accepted; without this, newcomers on time would push it out for ever."""
    queue = OnTimeFirstQueue()
    late = Ticket("late", "w", 0, 1.0, 1.0, deadline=2.0, latest_start_at=0.5)
    assert queue.push(late, is_late=True)
    queue.push(Ticket("fresh", "w", 0, 1.0, 1.0, deadline=9.0, latest_start_at=5.0))
    assert queue.peek(1.0, per_s=2.0).request == "fresh"
    assert queue.peek(1.6, per_s=2.0).request == "late"
    assert queue.peek(2.1, per_s=2.0).request == "fresh"


def test_hopeless_are_those_that_higher_priorities_and_deadlines_leave_no_time():
    queue = OnTimeFirstQueue()
    for number in range(4):
        queue.push(Ticket(f"high{number}", "w", 0, 1.0, 1.0, deadline=9.0))
        queue.push(Ticket(f"low{number}", "w", 1, 1.0, 1.0, deadline=2.5))
    names = [item.request for item in queue.list_hopeless(0.0, per_s=2.0)]
    assert names == ["low2", "low3"]


def test_ticket_that_becomes_late_is_kept_beyond_the_bound():
    """Before, it was lost without a decision, and its caller waited to its deadline."""
    queue = OnTimeFirstQueue()
    for number in range(512):
        ticket = Ticket(f"l{number}", "w", 0, 1.0, 1.0, 9.0, latest_start_at=0.0)
        assert queue.push(ticket, is_late=True)
    assert not queue.push(ticket, is_late=True)
    assert queue.push(Ticket("fresh", "w", 0, 1.0, 1.0, 9.0, latest_start_at=1.0))
    assert queue.peek(0.5).request == "fresh"
    queue.peek(2.0)
    assert len(queue) == 513


def test_workspace_does_not_pay_for_what_is_dropped():
    queue = FairQueue()
    for number in range(20):
        queue.push(Ticket(f"a{number}", "a", 0, 1.0, 1.0, 9.0))
    queue.push(Ticket("b0", "b", 0, 1.0, 1.0, 9.0))
    for number in range(1, 20):
        queue.drop(f"a{number}")
    queue.push(Ticket("a20", "a", 0, 1.0, 1.0, 9.0))
    queue.push(Ticket("b1", "b", 0, 1.0, 1.0, 9.0))
    queue.push(Ticket("b2", "b", 0, 1.0, 1.0, 9.0))
    assert [queue.pop().request for _ in range(5)] == ["a0", "b0", "a20", "b1", "b2"]


def test_service_times_of_a_size_do_not_follow_those_of_another():
    times = ServiceTimes()
    for _ in range(20):
        times.record(10.0, 0.1)
        times.record(160.0, 2.0)
    assert times.find_long_s(10.0) == pytest.approx(0.1)
    assert times.find_long_s(160.0) == pytest.approx(2.0)
    assert times.find_long_s(1000.0) > 2.0


def test_burst_of_three_seconds_does_not_hide_what_is_left_over_after_it():
    """13 a second on time for 3 s count as 3.9 a second, after 10 s as none."""
    taken = TakenCapacity()
    for number in range(39):
        taken.record(1, is_left_over=False, now=number / 13)
        taken.record(1, is_left_over=True, now=number / 13)
    assert taken.find_per_s(1, 3.0) == pytest.approx(3.9)
    assert taken.find_per_s(2, 3.0) == pytest.approx(7.8)
    assert taken.find_per_s(0, 3.0) == taken.find_per_s(1, 13.1) == 0.0
