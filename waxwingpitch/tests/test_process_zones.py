"""Zones, leaving targets, groups and cold targets, with real entry processes."""

from __future__ import annotations

import time

import gevent
import pytest

from ..configuration import ConfigurationBuilder
from ..configuration.document import decode_stored
from ..configuration.submission import CONFIGURATION_KEY
from ..ports import HostState
from ..standins import EnginePerformance
from ..standins.answers import full_answer
from .cluster import Cluster, wait_until
from .test_process_streams import stream

pytestmark = pytest.mark.processes

PROPAGATION_LIMIT_S = 2.0
STEP_S = 0.02
ZONES = ("dar-a", "dar-b")


def set_zone(cluster: Cluster, zone: str, in_service: bool) -> int:
    entry = cluster.client.get(CONFIGURATION_KEY)
    builder = ConfigurationBuilder(decode_stored(entry.value))
    builder.set_zone_in_service(zone, in_service)
    return cluster.submit(builder.build()).revision


def wait_warm(cluster: Cluster, count: int) -> None:
    cluster.wait_usable(count)
    for entry in cluster.entries:
        wait_until(lambda: not any(target["cold"] for target in entry.usable()))


def usable_zones(entry) -> set[str]:
    return {target["zone"] for target in entry.usable()}


@pytest.fixture(scope="module")
def cluster():
    performance = EnginePerformance(step_s=STEP_S, cold_s=0.2, restart_s=0.3)
    with Cluster(
        zones=ZONES, engines=4, entries=1, hosts_per_replica=1, performance=performance
    ) as running:
        wait_warm(running, 8)
        yield running


def start_streams(cluster: Cluster, count: int, tokens: int) -> dict:
    return {
        f"swali {i}": gevent.spawn(
            stream, cluster.entries[i % len(cluster.entries)], f"swali {i}", tokens
        )
        for i in range(count)
    }


def assert_complete(jobs: dict, tokens: int) -> None:
    gevent.joinall(jobs.values(), raise_error=True)
    for prompt, job in jobs.items():
        assert job.value == (full_answer(f"user: {prompt}", tokens), True, None)


def test_zone_out_of_service_gets_no_new_requests_and_drains(cluster):
    jobs = start_streams(cluster, 12, 100)
    gevent.sleep(0.5)
    engines = cluster.engines("dar-a")
    in_progress = {r for engine in engines for r in engine.streams}
    assert in_progress
    started = time.monotonic()
    revision = set_zone(cluster, "dar-a", False)
    for entry in cluster.entries:
        wait_until(lambda: usable_zones(entry) == {"dar-b"}, PROPAGATION_LIMIT_S)
    assert time.monotonic() - started < PROPAGATION_LIMIT_S
    more = start_streams(cluster, 12, 20)
    gevent.sleep(0.2)
    assert {r for engine in engines for r in engine.streams} <= in_progress
    assert_complete(jobs, 100)
    assert_complete(more, 20)
    assert set_zone(cluster, "dar-a", True) == revision + 1
    for entry in cluster.entries:
        wait_until(lambda: usable_zones(entry) == set(ZONES), PROPAGATION_LIMIT_S)


@pytest.mark.parametrize("source", ["host list", "target report"])
def test_leaving_target_gets_no_new_requests(cluster, source):
    engine = cluster.engines("dar-a")[0]
    jobs = start_streams(cluster, 24, 100)
    wait_until(lambda: engine.streams, 3.0)
    if source == "host list":
        cluster.hosts.set_state(engine.host, HostState.LEAVING)
    else:
        engine.leave()
    gevent.sleep(PROPAGATION_LIMIT_S)
    in_progress = set(engine.streams)
    for entry in cluster.entries:
        assert all(engine.host not in t["hosts"] for t in entry.usable())
    more = start_streams(cluster, 12, 10)
    gevent.sleep(0.2)
    assert set(engine.streams) <= in_progress
    assert_complete(jobs, 100)
    assert_complete(more, 10)
    cluster.hosts.set_state(engine.host, HostState.LIVE)
    if source == "target report":
        engine.crash()
    wait_warm(cluster, 8)


def test_plain_service_listed_as_leaving_gets_no_new_requests(cluster):
    host = cluster.services[0].host
    cluster.wait_usable(1, service="attendance")
    cluster.hosts.set_state(host, HostState.LEAVING)
    for entry in cluster.entries:
        wait_until(lambda: not entry.usable("attendance"), PROPAGATION_LIMIT_S)
    cluster.hosts.set_state(host, HostState.LIVE)
    cluster.wait_usable(1, service="attendance")


def test_requests_survive_the_crash_of_a_domain_and_it_recovers(cluster):
    jobs = start_streams(cluster, 24, 80)
    engines = cluster.engines("dar-a")
    wait_until(lambda: sum(len(engine.streams) for engine in engines) >= 6, 3.0)
    for engine in engines:
        engine.crash()
    others = [
        gevent.spawn(stream, cluster.entries[1], f"wengine {i}", 20) for i in range(6)
    ]
    gevent.joinall(others, raise_error=True)
    assert all(job.value[1] for job in others)
    assert_complete(jobs, 80)
    wait_warm(cluster, 8)


def test_concurrent_submissions_lose_no_accepted_change(cluster):
    client = cluster.client
    base = decode_stored(client.get(CONFIGURATION_KEY).value)
    accepted = []

    def _submit(number: int) -> None:
        for _ in range(20):
            current = decode_stored(client.get(CONFIGURATION_KEY).value)
            builder = ConfigurationBuilder(current)
            builder.add_workspace(f"race-{number}", priority=1)
            try:
                accepted.append(cluster.submit(builder.build()).revision)
                return
            except Exception as exc:
                assert exc.code == 4001
                gevent.sleep(0)

    jobs = [gevent.spawn(_submit, number) for number in range(5)]
    gevent.joinall(jobs, raise_error=True)
    assert len(set(accepted)) == 5
    final = decode_stored(client.get(CONFIGURATION_KEY).value)
    assert final.revision == base.revision + 5
    names = {workspace.name for workspace in final.workspaces}
    assert {f"race-{number}" for number in range(5)} <= names
    for entry in cluster.entries:
        wait_until(
            lambda: entry.dump()["configuration"]["revision"] == final.revision, 1.0
        )


def test_group_with_a_missing_member_serves_nothing_and_is_repaired():
    performance = EnginePerformance(step_s=STEP_S, cold_s=0.2, restart_s=60.0)
    with Cluster(
        engines=5, entries=2, hosts_per_replica=2, performance=performance
    ) as cluster:
        wait_warm(cluster, 2)
        engines = {engine.host: engine for engine in cluster.engines("dar-a")}
        group = cluster.entries[0].usable()[0]
        leader, member = (engines[host] for host in group["hosts"])
        jobs = start_streams(cluster, 8, 60)
        gevent.sleep(0.3)
        member.crash()
        gevent.sleep(0.05)
        assert not cluster.fleets["dar-a"].is_group_ready(leader)
        started = time.monotonic()
        for entry in cluster.entries:
            wait_until(
                lambda: not any(member.host in t["hosts"] for t in entry.usable()),
                PROPAGATION_LIMIT_S,
            )
        wait_warm(cluster, 2)
        downtime_s = time.monotonic() - started
        assert downtime_s < 10.0
        for target in cluster.entries[0].usable():
            assert member.host not in target["hosts"]
        assert_complete(jobs, 60)


def test_broken_group_without_a_spare_is_not_used():
    performance = EnginePerformance(step_s=STEP_S, cold_s=0.2, restart_s=4.0)
    with Cluster(
        engines=4, entries=2, hosts_per_replica=2, performance=performance
    ) as cluster:
        wait_warm(cluster, 2)
        engines = {engine.host: engine for engine in cluster.engines("dar-a")}
        member = engines[cluster.entries[0].usable()[0]["hosts"][1]]
        member.crash()
        gevent.sleep(PROPAGATION_LIMIT_S)
        for entry in cluster.entries:
            assert [t for t in entry.usable() if member.host in t["hosts"]] == []
            assert len(entry.usable()) == 1
        wait_warm(cluster, 2)


def test_all_entries_together_respect_the_cold_cap():
    performance = EnginePerformance(step_s=STEP_S, cold_s=30.0, cold_cap=3)
    with Cluster(
        engines=2, entries=3, hosts_per_replica=1, performance=performance, cold_cap=3
    ) as cluster:
        cluster.wait_usable(2)
        for entry in cluster.entries:
            members = wait_until(
                lambda: (d := entry.dump()["members"].get("dar-a"))
                and len(d["members"]) == 3
                and d
            )
            assert len(members["members"]) == 3
        jobs = start_streams(cluster, 30, 10)
        gevent.joinall(jobs.values(), raise_error=True)
        engines = cluster.engines("dar-a")
        assert sum(engine.crashes for engine in engines) == 0
        assert max(engine.peak_running for engine in engines) <= 3
