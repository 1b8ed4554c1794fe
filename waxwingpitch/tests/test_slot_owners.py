"""Owners of slots in a process: what is passed on to other zones is given back."""

from __future__ import annotations

import itertools
import time
from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest
from msgspec import structs

from ..gateway.passed_on import build_unused
from ..gateway.slot_owners import LOST_CLIENT_S, SlotOwners
from ..gateway.slot_wire import encode_request
from ..gateway.stall_checks import NO_PROGRESS_AGE_S, STALL_FORWARD_TIMEOUT_S
from ..mesh.fleet_messages import (
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequestMessage,
    StallCheck,
    StallReply,
    TargetRate,
)
from ..slots import KeySummary, SlotKey, SlotOffer, SlotRequest
from ..slots.rates import ReportedSends
from ..targets.progress import ProgressBook
from .gateway_client import BOUNDS

KEY = SlotKey("a", "pool", "m")
OTHER = SlotKey("b", "pool", "m")


@pytest.fixture
def sent():
    return []


@pytest.fixture
def progress():
    return ProgressBook()


@pytest.fixture
def zone_owners():
    return {"a": "a-owner", "b": "b-owner"}


@pytest.fixture
def replicas():
    return []


@pytest.fixture
def owners(sent, progress, zone_owners, replicas):
    return build_owners(sent, progress, zone_owners, replicas)


def build_owners(sent, progress, zone_owners, replicas, *, engine=None, **options):
    roster = SimpleNamespace(
        local=SimpleNamespace(name="a-owner", zone="a"),
        find_owner=lambda key: zone_owners[key.zone],
        measure_heard_share=lambda: 1.0,
    )
    view = SimpleNamespace(
        find_service=lambda name: service,
        find_replicas=lambda service, model: replicas,
        find_opening=lambda service, model, zones: frozenset(),
        refresh=lambda: 0,
        list_slot_keys=lambda zone: [SlotKey(zone, "pool", "m")],
    )
    service = SimpleNamespace(cold_per_s=0.0, engine=engine, list_models=lambda: ["m"])
    client = SimpleNamespace(has_pending=lambda number: False)

    def _deliver(name, message) -> bool:
        sent.append((name, message))
        return True

    return SlotOwners(
        roster,
        view,
        progress,
        BOUNDS,
        ("a", "b"),
        itertools.count(1),
        client,
        _deliver,
        is_first_start=True,
        **options,
    )


def pass_on(owners, sent) -> int:
    """Let a request of host h1 get a slot of zone b; return its number there."""
    now = time.monotonic()
    owners.find(KEY)
    owners.tick(("a",), now)
    owners.update_zone(OTHER, KeySummary(8, 0, 8, 0.1, 0, 0.0), now)
    req = SlotRequest("r", "pool", "m", "w", 1, 1.0, now + 5.0)
    owners.handle_request("h1", encode_request(7, KEY, req, now), now)
    name, message = sent[-1]
    assert name == "b-owner" and isinstance(message, SlotRequestMessage)
    grant = SlotGrant(message.number, "t", "x:1", "b", 8, 1, 0.0, 1)
    owners.handle_grant("b-owner", grant, now)
    assert sent[-1] == ("h1", SlotGrant(7, "t", "x:1", "b", 8, 1, 0.0, 1))
    return message.number


def list_releases(sent) -> list[tuple[str, int]]:
    return [
        (name, message.number)
        for name, message in sent
        if isinstance(message, SlotRelease)
    ]


def test_slot_of_another_zone_is_given_back_when_its_client_is_lost(owners, sent):
    number = pass_on(owners, sent)
    now = time.monotonic()
    owners.handle_lost_peer("h1", now)
    owners.tick(("a",), now + LOST_CLIENT_S / 2)
    assert list_releases(sent) == []
    owners.tick(("a",), now + LOST_CLIENT_S)
    assert list_releases(sent) == [("b-owner", number)]
    assert list(owners.iter_passed_on("b-owner")) == []


def test_slot_of_another_zone_that_its_client_no_longer_holds_is_given_back(
    owners, sent
):
    number = pass_on(owners, sent)
    now = time.monotonic()
    owners.reconcile("h1", (), now)
    assert list_releases(sent) == [], "the report may be older than the grant"
    owners.reconcile("h1", (), now + 1.0)
    assert list_releases(sent) == [("b-owner", number)]


def test_released_slot_of_another_zone_goes_back_with_its_outcome(owners, sent):
    number = pass_on(owners, sent)
    release = SlotRelease(7, "a", "pool", "m", "t", 1, 0, 1.2, 0.2)
    owners.handle_release("h1", release, time.monotonic())
    name, message = sent[-1]
    assert (name, message.number, message.zone) == ("b-owner", number, "b")
    assert (message.outcome, message.service_s) == (0, 1.2)


CHECK = StallCheck(7, "a", "pool", "m", "t", 0.3)


def ask_b(owners, sent) -> int:
    """Let host h1 ask about its stream on a target of zone b; return b's number."""
    number = pass_on(owners, sent)
    owners.handle_stall_check("h1", CHECK, time.monotonic())
    name, message = sent[-1]
    assert name == "b-owner" and isinstance(message, StallCheck)
    assert (message.number, message.zone) == (number, "b")
    return number


def test_stream_on_a_target_that_works_for_its_own_zone_is_not_resumed(owners, sent):
    """The clients of a target's zone see its progress before those of others do."""
    number = ask_b(owners, sent)
    owners.handle_stall_reply(StallReply(number, 0.1, False), time.monotonic())
    name, reply = sent[-1]
    assert (name, reply.number, reply.may_retry) == ("h1", 7, False)
    assert reply.progress_age_s == pytest.approx(0.1, abs=0.05)


def test_stream_on_a_target_that_is_silent_in_its_own_zone_too_is_resumed(owners, sent):
    number = ask_b(owners, sent)
    owners.handle_stall_reply(StallReply(number, 0.4, False), time.monotonic())
    name, reply = sent[-1]
    assert (name, reply.number, reply.may_retry) == ("h1", 7, True)
    count = len(sent)
    gevent.sleep(2 * STALL_FORWARD_TIMEOUT_S)
    assert len(sent) == count, "it is answered once"


def test_stream_is_resumed_if_the_zone_of_its_target_does_not_answer(owners, sent):
    ask_b(owners, sent)
    gevent.sleep(2 * STALL_FORWARD_TIMEOUT_S)
    name, reply = sent[-1]
    assert (name, reply.number, reply.may_retry) == ("h1", 7, True)


def test_owner_of_a_zone_tells_others_how_old_the_progress_of_its_target_is(
    owners, sent, progress
):
    now = time.monotonic()
    progress.record_peer_progress("t", now - 0.2)
    owners.handle_stall_check(
        "b-owner", structs.replace(CHECK, for_other_zone=True), now
    )
    assert sent == [("b-owner", StallReply(7, pytest.approx(0.2), False))]


def wait_at_b(owners, sent) -> SlotRequestMessage:
    """Let a request of host h1 wait in zone b, as zone a has no replica for it."""
    now = time.monotonic()
    owners.find(KEY)
    owners.update_zone(OTHER, KeySummary(8, 8, 0, 1.1, 2, 2.0), now)
    req = SlotRequest("r", "pool", "m", "w", 1, 1.0, now + 5.0)
    owners.handle_request("h1", encode_request(7, KEY, req, now), now)
    name, message = sent[-1]
    assert name == "b-owner" and message.may_wait
    return message


def test_request_that_waits_in_another_zone_is_not_refused_when_its_owner_stops(
    owners, sent, zone_owners
):
    waiting = wait_at_b(owners, sent)
    zone_owners["b"] = "b-next"
    owners.handle_lost_peer("b-owner", time.monotonic())
    name, message = sent[-1]
    assert name == "b-next" and isinstance(message, SlotRequestMessage)
    assert (message.number, message.may_wait) == (waiting.number, True)
    assert message.left_s == pytest.approx(waiting.left_s, abs=0.1)
    grant = SlotGrant(message.number, "t", "x:1", "b", 8, 1, 0.0, 1)
    owners.handle_grant("b-next", grant, time.monotonic())
    assert sent[-1] == ("h1", SlotGrant(7, "t", "x:1", "b", 8, 1, 0.0, 1))
    assert [item[0] for item in owners.iter_passed_on("b-next")] == [message.number]


def test_request_that_waits_in_a_lost_zone_is_answered_here(owners, sent, zone_owners):
    wait_at_b(owners, sent)
    zone_owners["b"] = None
    owners.handle_lost_peer("b-owner", time.monotonic())
    name, message = sent[-1]
    assert name == "h1" and isinstance(message, SlotRefusal)


@pytest.mark.parametrize("has_owned", [False, True])
def test_requests_that_waited_at_an_owner_that_stops_are_not_refused_by_the_next(
    owners, sent, replicas, has_owned
):
    """It has measured no service times, and would take them for far longer."""
    now = time.monotonic()
    replicas.append(SlotOffer("t", "x:1", "a", "pool", "m", 4, 1, 0.0))
    if has_owned:
        owners.find(KEY)
    owners.update_zone(KEY, KeySummary(4, 4, 0, 1.1, 30, 34.0, service_s=0.1), now)
    for number in range(34):
        req = SlotRequest("r", "pool", "m", "w", 1, 1.0, now + 4.0)
        owners.handle_request("h1", encode_request(number, KEY, req, now), now)
    assert not any(isinstance(message, SlotRefusal) for _, message in sent)
    assert sum(isinstance(message, SlotGrant) for _, message in sent) == 4
    assert owners.find(KEY).count_waiting() == 30


def test_gateway_that_restarts_gets_no_slot_that_the_process_before_waited_for(
    owners, sent, replicas
):
    """It gives other requests the numbers that the process before had given."""
    now = time.monotonic()
    replicas.append(SlotOffer("t", "x:1", "a", "pool", "m", 1, 1, 0.0))
    req = SlotRequest("r", "pool", "m", "w", 1, 1.0, now + 5.0)
    owners.handle_request("h2", encode_request(1, KEY, req, now), now)
    owners.handle_request("h1", encode_request(7, KEY, req, now), now)
    owners.handle_lost_peer("h1", now)
    owners.reconcile("h1", (), now)
    sent.clear()
    owners.handle_release("h2", SlotRelease(1, "a", "pool", "m", "t", 1, 0), now)
    owners.tick(("a",), now)
    assert sent == []


# Guards against a retry that is given back because the next process of its client,
# which counts its requests from 1 again, leaves one of the same number unused.
def test_retry_of_a_lost_gateway_is_not_given_back_by_its_next_process(
    owners, sent, replicas
):
    now = time.monotonic()
    replicas.append(SlotOffer("t", "x:1", "a", "pool", "m", 4, 1, 0.0))
    first = SlotRequest("r", "pool", "m", "w", 1, 1.0, now + 5.0)
    retry = replace(first, is_retry=True)
    owners.handle_request("h1", encode_request(7, KEY, retry, now), now)
    assert isinstance(sent[-1][1], SlotGrant)
    budget = owners.find(KEY).budget
    while budget.reserve(now) is not None:
        pass
    owners.handle_lost_peer("h1", now)
    owners.reconcile("h1", (), now)
    owners.handle_request("h1", encode_request(7, KEY, first, now), now)
    owners.handle_release("h1", build_unused(7, KEY), now)
    assert not budget.has_left(now)


def test_place_in_another_zones_queue_ends_with_the_link_of_its_client(owners, sent):
    waiting = wait_at_b(owners, sent)
    owners.handle_lost_peer("h1", time.monotonic())
    assert list_releases(sent) == [("b-owner", waiting.number)]


def test_rate_that_a_target_of_another_zone_states_is_told_to_its_owner(owners, sent):
    number = pass_on(owners, sent)
    owners.handle_rate("h1", TargetRate(7, "a", "pool", "m", "t", 1.5), 0.0)
    expected = TargetRate(number, "b", "pool", "m", "t", 1.5)
    assert sent[-1] == ("b-owner", expected)
    assert owners.find(KEY).rates.describe() == {}


def test_rate_that_a_target_of_this_zone_states_is_in_force(owners, sent):
    owners.handle_rate("h1", TargetRate(8, "a", "pool", "m", "t", 1.5), 0.0)
    assert owners.find(KEY).rates.find("t") == 1.5
    owners.handle_rate("h1", TargetRate(8, "a", "pool", "m", "t", -1.0), 0.0)
    assert owners.find(KEY).rates.find("t") is None


def test_requests_passed_on_to_limited_targets_are_reported_to_their_zone(owners, sent):
    now = time.monotonic()
    owners.find(KEY)
    owners.update_zone(OTHER, KeySummary(8, 0, 8, 0.1, 0, 0.0), now)
    req = SlotRequest("r", "pool", "m", "w", 1, 1.0, now + 5.0)
    owners.handle_request("h1", encode_request(7, KEY, req, now), now)
    number = sent[-1][1].number
    grant = SlotGrant(number, "t", "x:1", "b", 8, 1, 0.0, 1, rate_per_s=1.5)
    owners.handle_grant("b-owner", grant, now)
    assert owners.list_sends_to("b", now) == [ReportedSends("t", 1.5, 1)]
    assert owners.list_sends_to("a", now) == []


# Guards against retries that are refused for a window after each outage of the store,
# while which no host was ready to own slots.
def test_owner_keeps_its_retry_budget_while_nobody_owns_its_key(owners, zone_owners):
    now = time.monotonic()
    owner = owners.find(KEY)
    owners.tick(("a",), now)
    assert owner.budget.has_left(now)
    for name in (None, "a-owner"):
        zone_owners["a"] = name
        owners.tick(("a",), now + 60.0)
    assert owner.budget.has_left(now + 60.0)


# Guards against refused retries right after a start, before the owner's next tick.
def test_owner_of_a_first_start_has_retries_before_its_first_tick(owners, sent):
    now = time.monotonic()
    owners.handle_stall_check("h1", CHECK, now)
    assert sent[-1] == ("h1", StallReply(CHECK.number, NO_PROGRESS_AGE_S, True))


def test_owner_logs_what_its_retries_were_paid_from(owners, replicas, caplog):
    now = time.monotonic()
    replicas.append(SlotOffer("t", "x:1", "a", "pool", "m", 4, 1, 0.0))
    req = SlotRequest("r", "pool", "m", "w", 1, 1.0, now + 5.0, is_retry=True)
    with caplog.at_level("INFO"):
        owners.handle_request("h1", encode_request(7, KEY, req, now), now)
        for pause_s in (0.0, 0.1, 2.0):
            owners.tick(("a",), now + pause_s)
        owners.handle_request("h1", encode_request(8, KEY, req, now), now)
        owners.tick(("a",), now + 4.0)
    paid = [item for item in caplog.records if item.message == "retries paid"]
    assert [(item.key, item.slack, item.earned) for item in paid] == 2 * [
        ("a pool m", 1, 0)
    ]


def test_request_that_is_passed_on_is_logged_and_counted_with_its_reason(
    owners, sent, caplog
):
    passed_on, taken_back = [], []
    owners.on_passed_on, owners.on_taken_back = passed_on.append, taken_back.append
    with caplog.at_level("INFO"):
        number = pass_on_unanswered(owners, sent)
        owners.handle_refusal(SlotRefusal(number, 0.0, "no free slot", 0, 0, 0.0, True))
    assert [(item.zone, item.reason, item.may_wait) for item in passed_on] == [
        ("b", "no usable replica", False),
        ("b", "no usable replica", True),
    ]
    assert taken_back == ["b"]
    first, second, _ = [
        record for record in caplog.records if "another zone" in record.message
    ]
    assert (first.request, first.zone, first.reason) == ("r", "b", "no usable replica")
    assert first.report_age_ms < 1000 and first.may_wait is False
    assert second.message == "request not taken by another zone"


def pass_on_unanswered(owners, sent) -> int:
    """Let a request of host h1 be asked for in zone b; return its number there."""
    now = time.monotonic()
    owners.find(KEY)
    owners.update_zone(OTHER, KeySummary(8, 0, 8, 0.1, 0, 0.0), now)
    req = SlotRequest("r", "pool", "m", "w", 1, 1.0, now + 5.0)
    owners.handle_request("h1", encode_request(7, KEY, req, now), now)
    return sent[-1][1].number


def test_delays_and_slowdown_of_the_engine_are_given_to_the_choice(
    sent, progress, zone_owners, replicas
):
    owners = build_owners(
        sent,
        progress,
        zone_owners,
        replicas,
        engine=SimpleNamespace(
            find_delays_s=lambda zone: {"b": 0.001},
            batch_slowdown=0.4,
            kv_capacity=None,
            capacity=9,
            open_s=0.3,
        ),
        may_leave_zone=False,
    )
    zones = owners.find(KEY).zones
    assert (zones.delays_s, zones.batch_slowdown) == ({"b": 0.001}, 0.4)


def test_choice_that_is_switched_off_keeps_requests_of_a_zone_with_replicas(
    sent, progress, zone_owners, replicas
):
    replicas.append(SlotOffer("t", "x:1", "a", "pool", "m", 1, 1, 0.0))
    for may_leave, is_passed_on in ((False, False), (True, True)):
        sent.clear()
        owners = build_owners(
            sent, progress, zone_owners, replicas, may_leave_zone=may_leave
        )
        now = time.monotonic()
        owners.find(KEY)
        owners.update_zone(OTHER, KeySummary(8, 0, 8, 0.1, 0, 0.0), now)
        for number in range(3):
            req = SlotRequest(
                "r", "pool", "m", "w", 1, 1.0, now + 5.0, due_at=now + 0.3
            )
            message = encode_request(number, KEY, req, now)
            owners.handle_request("h1", message, now)
        names = [name for name, _ in sent]
        assert ("b-owner" in names) == is_passed_on
