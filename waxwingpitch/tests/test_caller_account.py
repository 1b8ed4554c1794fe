"""Decisions on what callers may hold, without a network."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from ..memory import (
    CallerAccount,
    CallerBounds,
    CallerHold,
    HoldKind,
    Rejection,
    RejectionReason,
)
from ..memory.account import LARGE_SHARE, SMALL_BYTES
from ..memory.common import CONNECTION_BYTES

MIB = 1024 * 1024
# Callers' share of the smallest hosts.
MEMORY_BYTES = 38 * MIB
BODY_BYTES = 4 * MIB
READ_BYTES = 16 * 1024
SMALL_REQUEST_BYTES = 4 * 1024
SIZES = (8, 300)


@dataclass
class Connection:
    """A connection of the simulation, which ends once it is evicted."""

    account: CallerAccount
    opened_at: float = 0.0
    rejections: list[Rejection] = field(default_factory=list)
    body_bytes: int = 0

    def __post_init__(self):
        self.hold, rejection = self.account.open(self._evict, self.opened_at)
        if rejection is not None:
            self.rejections.append(rejection)

    def _evict(self, rejection: Rejection) -> None:
        self.rejections.append(rejection)

    def send(self, size: int, now: float) -> bool:
        """Send a part of a body; return whether the connection goes on."""
        if self.rejections:
            return False
        if self.body_bytes == 0:
            self.hold.mark_progress(now)
        self.body_bytes += size
        self.hold.receive(size, now)
        self.hold.set(HoldKind.BODY, self.body_bytes)
        rejection = self.hold.admit(now)
        if rejection is not None:
            self.rejections.append(rejection)
            self.hold.release_evicted()
        return rejection is None

    def serve(self) -> None:
        """Begin to serve what has been sent."""
        self.hold.set(HoldKind.SERVED, self.body_bytes)
        self.hold.set(HoldKind.BODY, 0)
        self.hold.is_served = True


def build_account(connections: int = 1000, memory: int = MEMORY_BYTES) -> CallerAccount:
    return CallerAccount(CallerBounds(memory, connections))


# Guards against bodies that are each within the limits and together are not: they are
# evicted, and ordinary small requests beside them are all served.
@pytest.mark.parametrize("size", SIZES)
def test_bodies_left_open_do_not_keep_small_requests_from_being_served(size):
    account = build_account()
    crowd = [Connection(account) for _ in range(size)]
    now, served, sent = 0.0, 0, 0
    for step in range(BODY_BYTES // READ_BYTES - 1):
        now += 0.01
        for one in crowd:
            sent += READ_BYTES
            one.send(READ_BYTES, now)
            assert account.held_bytes <= MEMORY_BYTES
        small = Connection(account, now)
        assert small.send(SMALL_REQUEST_BYTES, now), step
        small.serve()
        served += not small.rejections
        small.hold.close()
    for step in range(100):
        now += 0.1
        small = Connection(account, now)
        assert small.send(SMALL_REQUEST_BYTES, now)
        served += 1
        small.hold.close()
    assert served == BODY_BYTES // READ_BYTES - 1 + 100
    # Without the account all of it would be held.
    assert sent > MEMORY_BYTES * LARGE_SHARE
    assert any(one.rejections for one in crowd)


# Guards against a caller that sends a large body as fast as it can, and is evicted for
# those that have stopped.
@pytest.mark.parametrize("size", SIZES)
def test_caller_that_makes_progress_is_served_beside_stuck_ones(size):
    account = build_account()
    stuck = [Connection(account) for _ in range(size)]
    for one in stuck:
        one.send(BODY_BYTES - 1, 0.0)
    steady = Connection(account, 1.0)
    now = 1.0
    for _ in range(BODY_BYTES // READ_BYTES):
        now += 0.02
        assert steady.send(READ_BYTES, now)
    assert steady.rejections == []
    evicted = [one.rejections[0] for one in stuck if one.rejections]
    assert {one.reason for one in evicted} <= {
        RejectionReason.MEMORY,
        RejectionReason.STALLED,
    }
    assert {one.status for one in evicted} <= {503, 408}


# Guards against one large request being evicted for many small ones, or the other way
# round, while neither is over the bound.
def test_nothing_is_rejected_below_the_bound():
    account = build_account()
    large = Connection(account)
    assert large.send(BODY_BYTES, 0.0)
    for _ in range(200):
        assert Connection(account).send(SMALL_BYTES, 100.0)
    assert large.rejections == []


# Guards against a request that was sent to a target and is aborted for its memory.
def test_served_requests_are_not_evicted():
    account = build_account()
    served = []
    while (one := Connection(account)).send(BODY_BYTES, 0.0):
        one.serve()
        served.append(one)
    assert len(served) == int(MEMORY_BYTES * LARGE_SHARE) // BODY_BYTES
    assert one.rejections[0].status == 503
    assert one.rejections[0].retry_after_s > 0
    one.hold.close()
    late = Connection(account, 9.0)
    assert not late.send(BODY_BYTES, 9.0)
    assert Connection(account, 9.0).send(SMALL_REQUEST_BYTES, 9.0)
    assert not any(one.rejections for one in served)


# Guards against a large request that evicts more than it needs.
def test_no_more_is_evicted_than_is_needed():
    account = build_account()
    served = [Connection(account) for _ in range(5)]
    for one in served:
        assert one.send(BODY_BYTES, 0.0)
        one.serve()
    incomplete = [Connection(account) for _ in range(8)]
    for one in incomplete:
        assert one.send(MIB, 0.0)
    assert Connection(account, 2.0).send(3 * MIB, 2.0)
    assert 1 <= sum(bool(one.rejections) for one in incomplete) <= 4


def test_stalled_requests_get_408_and_others_503():
    account = build_account()
    stalled = [Connection(account) for _ in range(7)]
    for one in stalled:
        one.send(BODY_BYTES, 0.0)
    Connection(account, 5.0).send(BODY_BYTES, 5.0)
    evicted = [one.rejections[0] for one in stalled if one.rejections]
    assert {(one.status, one.reason) for one in evicted} == {
        (408, RejectionReason.STALLED)
    }
    assert account.rejections == {RejectionReason.STALLED: len(evicted)}


@pytest.mark.parametrize("size", SIZES)
def test_idle_connections_make_room_for_new_ones(size):
    account = build_account(connections=size)
    for number in range(2 * size):
        one = Connection(account, 10.0 * number)
        assert one.hold is not None
        assert one.rejections == []
        for other in list(account._holds):
            if other.evict.__self__.rejections:
                other.close()
    assert account.connections <= size


# Guards against descriptors that run out where no connection is idle: new ones are told
# so, and above the bound there is none.
@pytest.mark.parametrize("size", SIZES)
def test_connections_are_bounded_if_all_are_used(size):
    account = build_account(connections=size)
    served = []
    for _ in range(2 * size):
        one = Connection(account)
        if one.hold is not None and not one.rejections:
            one.hold.is_served = True
            served.append(one)
    assert account.connections == size
    assert len(served) == int(0.9 * size)
    assert not any(one.rejections for one in served)
    assert account.rejections[RejectionReason.CONNECTIONS] == 2 * size - len(served)


# Guards against connections that take all the memory for requests.
def test_connections_alone_leave_memory_for_requests():
    account = build_account(connections=10**6)
    assert account.max_connections * CONNECTION_BYTES <= 0.4 * MEMORY_BYTES


# Guards against an account that is never empty again, and so rejects for ever.
@pytest.mark.parametrize("kind", list(HoldKind))
def test_closed_connections_hold_nothing(kind):
    account = build_account()
    holds: list[CallerHold] = []
    for number in range(20):
        hold, _ = account.open(lambda rejection: None, 0.0)
        hold.set(kind, number * 1000)
        hold.set(kind, number * 3000)
        holds.append(hold)
    for hold in holds:
        hold.close()
        hold.close()
    assert account.held_bytes == account.connections == 0
    assert set(account.by_kind.values()) == {0}
