"""Runs the gateway on real sockets between callers and a simulated platform."""

from __future__ import annotations

import time

import gevent
import pytest
import urllib3

from ..groups.orders_to_targets import Close, Leave
from ..targets.records import MemberState
from .fleet_fake import PAIR, QUAD
from .gateway_client import (
    Caller,
    RefusingStoreClient,
    call,
    chat,
    count_replicas,
    start_gateway,
    wait_for,
)
from .platform_standin import TargetFaults


@pytest.fixture
def gateway(platform):
    daemon = start_gateway(platform.store.address)
    wait_for(
        lambda: count_replicas(daemon, "quad") and count_replicas(daemon, "pair") == 3
    )
    yield daemon
    daemon.stop()


@pytest.fixture
def front(gateway):
    return gateway.settings.front


def test_stream_is_relayed_completely(platform, front):
    answer = chat(front, "r1", model=PAIR.name, events=20)
    assert answer.status == 200
    assert answer.is_complete
    assert answer.events == list(range(1, 21))
    assert answer.headers["response-seal"].startswith("seal.")
    assert platform.runs["r1"] == 1


def test_call_carries_workspace_and_deadline(platform, front):
    answer = call(front, "/file/x?a=b", "r2", Tenant="forged")
    assert answer.body == b"answer to r2"
    seen = platform.request_headers["r2"]
    assert seen["tenant"] == "w1"
    assert "authorization" not in seen
    assert 0 < int(seen["deadline-ms"]) <= 4000


def test_request_names_the_target_that_is_meant(platform, front):
    """Addresses are used again by other targets, which refuse it then."""
    call(front, "/file/x", "e1")
    chat(front, "e2", model=PAIR.name, events=2)
    assert platform.request_headers["e1"]["expect-instance"] in platform.plain
    assert platform.request_headers["e2"]["expect-instance"] == platform.ran_on["e2"]


def test_two_owners_may_both_use_their_part_of_a_cold_targets_limit(gateway):
    bounds = gateway.settings.bounds
    for key in gateway.view.list_slot_keys("z"):
        service = gateway.view.find_service(key.service)
        if service.cold_per_s:
            limit = service.cold_per_s * bounds.cold_factor + bounds.cold_slack
            assert 2 * gateway.slots.owners.find(key)._cold.per_s <= limit


def test_stream_is_resumed_elsewhere_after_loss_of_a_member(platform, front):
    caller = Caller(front)
    caller.send_chat("r3", model=QUAD.name, events=60)
    gevent.sleep(0.4)
    platform.kill(platform.find_group(QUAD.name)[1])
    answer = caller.read()
    assert answer.events == list(range(1, len(answer.events) + 1))
    assert not answer.is_complete or len(answer.events) == 60


def test_cut_stream_is_resumed_without_a_gap(platform, front):
    shared = TargetFaults(cut_after=5)
    for target in platform.targets.values():
        target.faults = shared
    answer = chat(front, "r4", model=PAIR.name, events=10)
    assert answer.is_complete
    assert answer.events == list(range(1, 11))
    assert platform.runs["r4"] == 2


def test_started_stream_waits_for_a_replica(platform, gateway):
    """A stream that breaks while no replica is available is not aborted."""
    platform.event_s = 0.1
    shared = TargetFaults(cut_after=5)
    for target in platform.targets.values():
        target.faults = shared
    caller = Caller(gateway.settings.front)
    caller.send_chat("w1", model=PAIR.name, events=10)
    wait_for(lambda: platform.runs["w1"])
    platform.store.write("op/evacuate/z", {})
    wait_for(lambda: count_replicas(gateway, PAIR.name) == 0)
    gevent.sleep(1.0)
    assert platform.runs["w1"] == 1
    platform.event_s = 0.02
    platform.store.remove("op/evacuate/z")
    answer = caller.read()
    assert answer.is_complete
    assert answer.events == list(range(1, 11))


def test_silent_target_is_not_abandoned_if_no_retry_is_allowed(platform, front):
    """The last target that a route allows may take until the caller's deadline."""
    platform.configure(max_attempts=1)
    gevent.sleep(0.3)
    check_stream_survives_a_pause(platform, front, "l1")


def test_target_that_makes_progress_at_a_peer_is_not_abandoned(platform):
    """A busy target may be silent at one gateway beyond the latency objective."""
    first = start_gateway(platform.store.address, "gw-1")
    second = start_gateway(platform.store.address, "gw-2")
    try:
        for daemon in (first, second):
            wait_for(lambda: count_replicas(daemon, QUAD.name))
        wait_for(lambda: second.dump()["peers"] and first.dump()["peers"])
        caller = Caller(first.settings.front)
        caller.send_chat("p1", model=QUAD.name, events=80)
        for target in platform.targets.values():
            target.faults.first_s["p2"] = 0.8
        answer = chat(second.settings.front, "p2", model=QUAD.name, events=5)
        assert answer.is_complete and answer.events == list(range(1, 6))
        assert platform.runs["p2"] == 1
        assert caller.read().is_complete
    finally:
        first.stop()
        second.stop()


def test_silent_target_is_not_abandoned_without_retry_budget(platform, gateway):
    for owner in gateway.slots.owners:
        owner.budget.hand_over(time.monotonic())
    check_stream_survives_a_pause(platform, gateway.settings.front, "b1")


def check_stream_survives_a_pause(platform, front, request: str) -> None:
    """Pause a stream for 1 s and check that its first target completes it."""
    caller = Caller(front)
    caller.send_chat(request, model=PAIR.name, events=10)
    wait_for(lambda: platform.runs[request])
    gevent.sleep(0.1)
    for target in platform.targets.values():
        target.faults.pause_until = time.monotonic() + 1.0
    answer = caller.read()
    assert answer.is_complete
    assert answer.events == list(range(1, 11))
    assert platform.runs[request] == 1


def test_run_on_an_ended_target_does_not_count(platform, front):
    """Only runs on live targets count towards the route's limit."""
    platform.configure(max_attempts=1)
    gevent.sleep(0.3)
    caller = Caller(front)
    caller.send_chat("e1", model=PAIR.name, events=30)
    head = wait_for(lambda: platform.ran_on.get("e1"))
    gevent.sleep(0.15)
    platform.kill(head)
    answer = caller.read()
    assert answer.is_complete
    assert answer.events == list(range(1, 31))
    assert platform.runs["e1"] == 2


def test_stalled_group_is_abandoned_for_another(platform, front):
    head, other = platform.find_group(PAIR.name)
    platform.kill(other)
    answers = [chat(front, f"s{n}", model=PAIR.name, events=10) for n in range(6)]
    assert all(answer.is_complete for answer in answers)
    assert all(answer.events == list(range(1, 11)) for answer in answers)


def test_group_is_formed_again_after_loss_of_a_member(platform, gateway):
    lost = platform.find_group(QUAD.name)[2]
    platform.kill(lost)
    chat(gateway.settings.front, "s", model=QUAD.name, events=10)

    def is_reformed():
        heads = [
            item.record.membership
            for item in platform.fleet.targets.values()
            if item.alive and item.record.membership and item.members
        ]
        return not any(lost in item.members for item in _list_open(platform)) and heads

    wait_for(is_reformed)


def test_no_order_is_refused_while_groups_are_formed_again(platform, gateway):
    """An order that takes effect at once, such as Leave, counts as begun too."""
    platform.kill(platform.find_group(QUAD.name)[2])
    chat(gateway.settings.front, "s", model=QUAD.name, events=10)
    wait_for(lambda: any(isinstance(order, Leave) for _, order in _orders(platform)))
    wait_for(lambda: _count_members(platform) >= 8)
    assert platform.refused_orders == 0


def test_orders_name_the_count_that_makes_late_ones_fail(platform, gateway):
    assert len(platform.expected_counts) >= 10
    assert None not in platform.expected_counts


def _orders(platform):
    return platform.fleet.orders


def _count_members(platform) -> int:
    return sum(len(item.members) for item in _list_open(platform) if item.alive)


def test_silent_connections_close_no_group(platform, gateway):
    """Idle connections of the pool may go silent while new ones work."""
    front = gateway.settings.front
    for number in range(6):
        chat(front, f"q{number}", model=PAIR.name, events=3)
    before = platform.fleet.count_open()
    platform.fleet.orders.clear()
    for target in platform.targets.values():
        target.faults.silent_before = time.monotonic()
    answers = [chat(front, f"w{n}", model=PAIR.name, events=10) for n in range(6)]
    gevent.sleep(1.5)
    assert all(answer.is_complete for answer in answers)
    assert not any(isinstance(order, Close) for _, order in platform.fleet.orders)
    assert platform.fleet.count_open() == before


def test_head_whose_entry_is_stale_keeps_its_members(platform, gateway):
    """A head cut off from the store still serves although its entry says ready."""
    pairs = [
        list(item.members) for item in _list_open(platform) if len(item.members) == 2
    ]
    first, second = pairs[:2]
    platform.freeze(first[0], MemberState.READY)
    platform.kill(first[1])
    platform.kill(second[1])
    for number in range(12):
        chat(gateway.settings.front, f"z{number}", model=PAIR.name, events=3)
    gevent.sleep(3.0)
    assert platform.invariant_violations == []


def test_new_planner_probes_targets_whose_entries_predate_its_key(platform):
    """Their entries may predate the last orders of the previous planner."""
    first = start_gateway(platform.store.address, "gw-1")
    try:
        wait_for(lambda: count_replicas(first, PAIR.name) == 3)
    finally:
        first.stop()
    group = platform.find_group(PAIR.name)
    for target in group:
        platform.freeze(target, None)
    second = start_gateway(platform.store.address, "gw-2")
    try:
        wait_for(lambda: second.dump()["plans"])
        wait_for(lambda: count_replicas(second, PAIR.name) == 3)
        gevent.sleep(1.0)
    finally:
        second.stop()
    assert platform.invariant_violations == []
    assert platform.find_group(PAIR.name) == group


def _list_open(platform):
    return [
        item
        for item in platform.fleet.targets.values()
        if item.record.membership and item.record.membership.state is MemberState.OPEN
    ]


def test_non_idempotent_call_is_not_run_twice(platform, front):
    for target in platform.plain:
        platform.targets[target].faults.reset = 1
    answer = call(front, "/file/x", "r5")
    assert answer.status in (502, 504)
    assert platform.runs["r5"] == 1


def test_refused_call_goes_to_another_target(platform, front):
    for target in platform.plain:
        platform.targets[target].faults.refuse = 1
    answer = call(front, "/file/x", "r6")
    assert answer.status in (200, 503)
    assert platform.runs["r6"] == (answer.status == 200)


def test_head_that_refuses_requests_as_misdirected_gets_no_more(platform, front):
    """The gateway's list is stale, so that only the refusals show the change."""
    head = platform.find_group(PAIR.name)[0]
    place = platform.fleet.targets[head].record.membership
    platform.freeze(head, MemberState.OPEN)
    platform.fleet.carry_out(head, Close(place.group, place.epoch, preempt=True))
    gevent.sleep(0.2)
    answers = [chat(front, f"m{n}", model=PAIR.name, events=3) for n in range(9)]
    assert all(answer.is_complete for answer in answers)
    assert platform.misdirected[head] <= 1


def test_refusal_has_a_retry_after(platform, front):
    for target in platform.plain:
        platform.targets[target].faults.refuse = 99
    answer = call(front, "/file/x", "r7", deadline_ms=3000)
    assert answer.status == 503
    assert 0 < float(answer.headers["retry-after"]) <= 1.0
    assert platform.runs["r7"] == 0


def test_idempotent_call_is_retried_on_another_target(platform, front):
    platform.targets[platform.plain[0]].faults.reset = 1
    platform.targets[platform.plain[1]].faults.reset = 0
    answers = [call(front, "/read/x", f"i{n}", method="GET") for n in range(4)]
    assert [answer.status for answer in answers] == [200] * 4


def test_answer_to_another_request_is_dropped(platform, front):
    for target in platform.plain:
        platform.targets[target].faults.foreign = 1
    answers = [call(front, "/file/x", f"f{n}") for n in range(4)]
    assert [answer.body for answer in answers] == [
        f"answer to f{n}".encode() for n in range(4)
    ]


def test_target_stops_when_the_caller_disconnects(platform, gateway):
    caller = Caller(gateway.settings.front)
    caller.send_chat("gone", model=PAIR.name, events=200)
    wait_for(lambda: platform.runs["gone"])
    gevent.sleep(0.1)
    caller.close()
    wait_for(lambda: "gone" in platform.disconnected, 1.0)
    wait_for(lambda: not gateway.slots.client.held)
    owners = map(gateway.slots.owners.find, gateway.view.list_slot_keys("z"))
    assert all(owner.summarize(time.monotonic()).in_flight == 0 for owner in owners)


def test_unknown_key_and_route_are_refused(front):
    assert call(front, "/file/x", "k1", key="other").status == 401
    assert call(front, "/nowhere/x", "k2").status == 404


def test_new_configuration_takes_effect(platform, front):
    platform.configure(keys=("key-2",), drop=("read",))
    wait_for(lambda: call(front, "/file/x", "c", key="key-2").status == 200, 2.0)
    assert call(front, "/file/x", "c1").status == 401
    assert call(front, "/read/x", "c2", key="key-2").status == 404


def test_request_is_answered_at_its_routes_timeout(platform, front):
    platform.configure(timeout_ms=400)
    gevent.sleep(0.5)
    platform.plain_s = 3.0
    started_at = time.monotonic()
    answer = call(front, "/file/x", "t1")
    assert answer.status == 504
    assert 0.35 < time.monotonic() - started_at < 0.9


def test_gateway_survives_malformed_requests(front):
    for data in (b"\0\1\2\r\n\r\n", b"GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n"):
        caller = Caller(front)
        caller.sock.sendall(data)
        assert caller.read().status == 400
        caller.close()
    assert call(front, "/file/x", "alive").status == 200


def test_requests_on_one_connection_are_answered_in_order(front):
    caller = Caller(front)
    for number in range(3):
        caller.send("/file/x", f"o{number}")
    assert [caller.read().body for _ in range(3)] == [
        f"answer to o{number}".encode() for number in range(3)
    ]
    caller.close()


def test_draining_target_gets_no_new_request(platform, front):
    platform.publish_plain(platform.plain[0], state="draining")
    gevent.sleep(1.0)
    for number in range(6):
        answer = call(front, "/file/x", f"l{number}")
        assert answer.headers["response-seal"] == f"seal.{platform.plain[1]}"


def test_evacuated_zone_gets_no_new_request(platform, front):
    platform.store.write("op/evacuate/z", {})
    wait_for(lambda: call(front, "/file/x", "e").status == 503, 2.0)
    assert chat(front, "e1", model=PAIR.name, events=3).status == 503
    platform.store.remove("op/evacuate/z")
    wait_for(lambda: call(front, "/file/x", "e").status == 200, 2.0)


def test_requests_are_served_while_the_store_is_down(platform, front):
    platform.store.down = True
    gevent.sleep(1.5)
    assert call(front, "/file/x", "d1").status == 200
    assert chat(front, "d2", model=PAIR.name, events=5).is_complete


def test_watch_recovers_after_the_store_loses_its_history(platform, front):
    platform.configure(keys=("key-3",))
    platform.store.forget_history()
    wait_for(lambda: call(front, "/file/x", "h", key="key-3").status == 200, 3.0)


def test_unreadable_entry_is_ignored(platform, gateway):
    platform.store.write("servers/odd", b"\xff{")
    platform.store.write("servers/bad", {"service": 3})
    gevent.sleep(1.0)
    assert "odd" not in gateway.view.targets
    assert call(gateway.settings.front, "/file/x", "u").status == 200


def test_requests_get_a_retry_after_without_configuration(platform):
    platform.store.remove("op/config")
    daemon = start_gateway(platform.store.address, "gw-9")
    try:
        assert daemon.find_unready_reason() == "no configuration"
        answer = call(daemon.settings.front, "/file/x", "n1")
        assert answer.status == 503
        assert "retry-after" in answer.headers
    finally:
        daemon.stop()


def test_gateway_that_the_store_refuses_is_synced_through_a_peer(platform):
    first = start_gateway(platform.store.address, "gw-1")
    second = start_gateway(platform.store.address, "gw-2")
    try:
        wait_for(lambda: second.dump()["peers"] and first.dump()["peers"])
        wait_for(lambda: second.find_unready_reason() is None)
        second._store._client = RefusingStoreClient()
        second._follower.restart_watches()
        platform.configure(keys=("key-4",))
        front = second.settings.front
        wait_for(lambda: call(front, "/file/x", "p", key="key-4").status == 200, 5.0)
        assert call(front, "/file/x", "p1").status == 401
    finally:
        first.stop()
        second.stop()


def test_planning_is_handed_over_while_the_store_is_down(platform):
    """The peer plans without the zone's key and re-forms a group that lost a member.

    It acquires the key once the store answers again.
    """
    first = start_gateway(platform.store.address, "gw-1")
    try:
        wait_for(lambda: count_replicas(first, PAIR.name) == 3)
        second = start_gateway(platform.store.address, "gw-2")
        wait_for(
            lambda: second.dump()["peers"] and second.find_unready_reason() is None
        )
        wait_for(lambda: len(first.view.list_hosts()) == 2)
        platform.store.down = True
        wait_for(lambda: first._peers.witnesses.is_store_unavailable())
        first._begin_stop()
        wait_for(lambda: second.dump()["plans"] == ["z"], 3.0)
        platform.kill(platform.find_group(QUAD.name)[2])
        chat(second.settings.front, "h", model=QUAD.name, events=10)
        wait_for(lambda: _count_members(platform) >= 8)
        assert platform.invariant_violations == []
        platform.store.down = False
        wait_for(lambda: platform.store.items.get("waxwingpitch/planners/z"))
        wait_for(lambda: second._planners[0]._key._handover is None)
        wait_for(lambda: second.dump()["plans"] == ["z"])
    finally:
        first.stop()
        second.stop()


def test_store_is_called_at_most_6_times_a_second(platform, gateway):
    platform.store.calls.clear()
    gevent.sleep(3.0)
    calls = sum(platform.store.calls.values())
    assert calls <= 3.0 * 6


def test_metrics_and_dump_are_served(gateway):
    chat(gateway.settings.front, "m1", model=PAIR.name, events=3)
    base = f"http://{gateway.settings.metrics}"
    dump = urllib3.request("GET", f"{base}/dump").json()
    assert dump["configuration"] == 4
    metrics = urllib3.request("GET", f"{base}/metrics").data.decode()
    assert "waxwingpitch_requests_total" in metrics
    assert "waxwingpitch_first_event_seconds_bucket" in metrics
