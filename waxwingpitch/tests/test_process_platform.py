"""Outages and partitions of the key-value service, with real entry processes."""

from __future__ import annotations

import gevent
import pytest
import uuid6

from ..configuration import ConfigurationBuilder
from ..configuration.document import decode_stored
from ..configuration.submission import CONFIGURATION_KEY
from ..entry.registrar import LEASE_TTL_S
from ..standins import EnginePerformance
from ..standins.answers import full_answer
from ..standins.store import FaultPlan, StoreFault
from .cluster import Cluster, wait_until
from .fault_proxy import Fault
from .test_process_streams import stream
from .test_process_zones import wait_warm

pytestmark = pytest.mark.processes

ZONES = ("dar-a", "dar-b")


def add_workspace(cluster: Cluster, name: str) -> int:
    entry = cluster.client.get(CONFIGURATION_KEY)
    builder = ConfigurationBuilder(decode_stored(entry.value))
    builder.add_workspace(name, priority=1)
    return cluster.submit(builder.build()).revision


def revision_of(entry) -> int:
    return entry.dump()["configuration"]["revision"]


@pytest.fixture
def cluster():
    performance = EnginePerformance(step_s=0.01, cold_s=0.2, restart_s=0.3)
    with Cluster(
        zones=ZONES,
        engines=2,
        entries=2,
        hosts_per_replica=1,
        services=2,
        performance=performance,
    ) as running:
        wait_warm(running, 4)
        for entry in running.entries:
            wait_until(lambda: len(entry.dump()["peers"]["connected"]) == 3)
        yield running


def test_idempotent_requests_succeed_during_a_store_outage(cluster):
    cluster.store.set_fault(FaultPlan(StoreFault.DOWN))
    before = [revision_of(entry) for entry in cluster.entries]
    for number in range(8):
        gevent.sleep(1.0)
        for entry in cluster.entries:
            prompt = f"kukatika {number}"
            expected = full_answer(f"user: {prompt}", 10)
            assert stream(entry, prompt, 10) == (expected, True, None)
            resp = entry.request("GET", "/v1/services/attendance/marks/x")
            assert resp.status == 200
    assert [revision_of(entry) for entry in cluster.entries] == before
    cluster.store.set_fault(FaultPlan())
    revision = add_workspace(cluster, "baada")
    for entry in cluster.entries:
        wait_until(lambda: revision_of(entry) == revision, 11.0)


def test_engine_that_restarts_during_a_store_outage_rejoins_its_group(cluster):
    cluster.store.set_fault(FaultPlan(StoreFault.DOWN))
    for entry in cluster.entries:
        wait_until(lambda: not entry.dump()["controls"], LEASE_TTL_S + 2.0)
    cluster.engines("dar-b")[0].crash()
    entry = cluster.entries[-1]
    wait_until(lambda: len(entry.usable()) < 4, 5.0)
    wait_until(lambda: len(entry.usable()) == 4, 15.0)


def test_entry_started_during_a_store_outage_syncs_from_its_seeds(cluster):
    revision = add_workspace(cluster, "kabla")
    for entry in cluster.entries:
        wait_until(lambda: revision_of(entry) == revision, 2.0)
    cluster.store.set_fault(FaultPlan(StoreFault.DOWN))
    isolated = cluster.add_entry("dar-a-entry-8", "dar-a")
    seeds = [entry.mesh_proxy.address for entry in cluster.entries[:2]]
    seeded = cluster.add_entry("dar-a-entry-9", "dar-a", seeds=seeds)
    wait_until(lambda: revision_of(seeded) == revision, 5.0)
    assert seeded.request("GET", "/v1/models").status == 200
    refused = isolated.request("GET", "/v1/models")
    assert refused.status == 503
    assert refused.json()["error"]["code"] == 2005
    assert isolated.request("GET", "/healthz/ready").status == 503
    assert isolated.request("GET", "/healthz/live").status == 200


def test_partitioned_zone_keeps_serving_and_revisions_only_increase(cluster):
    zone_b = [entry for entry in cluster.entries if entry.zone == "dar-b"]
    for entry in zone_b:
        entry.store_proxy.set_fault(Fault.REFUSE)
        entry.mesh_proxy.set_fault(Fault.REFUSE)
    old = revision_of(zone_b[0])
    revision = add_workspace(cluster, "upande")
    wait_until(lambda: revision_of(cluster.entries[0]) == revision, 2.0)
    gevent.sleep(7.0)
    for entry in zone_b:
        assert revision_of(entry) == old
        expected = full_answer("user: peke yake", 10)
        assert stream(entry, "peke yake", 10) == (expected, True, None)
        assert {target["zone"] for target in entry.usable()} == {"dar-b"}
    for entry in zone_b:
        entry.store_proxy.set_fault(Fault.NONE)
        entry.mesh_proxy.set_fault(Fault.NONE)
    for entry in cluster.entries:
        wait_until(lambda: revision_of(entry) == revision, 11.0)
    seen = [
        line["revision"]
        for line in zone_b[0].iter_log()
        if line["message"] == "configuration in force"
    ]
    assert seen == sorted(set(seen))


def test_key_claimed_on_one_side_of_a_cut_is_not_run_on_the_other(cluster):
    near, far = cluster.entries[0], cluster.entries[-1]
    key = str(uuid6.uuid7())
    assert near.mark("kata", key).status == 200
    far.store_proxy.set_fault(Fault.SILENT)
    repeated = far.mark("kata", key)
    assert repeated.status == 503
    assert repeated.json()["error"]["ran"] == "unknown"
    far.store_proxy.set_fault(Fault.NONE)
    again = wait_until(
        lambda: (resp := far.mark("kata", key)).status == 200 and resp, 10.0
    )
    assert again.headers["Idempotent-Replayed"] == "true"
    assert cluster.effects["kata"] == 1


def test_every_entry_is_replaced_one_by_one(cluster):
    revision = add_workspace(cluster, "badili")
    for number, old in enumerate(list(cluster.entries)):
        new = cluster.add_entry(f"{old.zone}-fresh-{number}", old.zone)
        wait_until(lambda: revision_of(new) >= revision, 5.0)
        job = gevent.spawn(stream, old, "badilisha", 100)
        gevent.sleep(0.2)
        old.send_signal(15)
        assert job.get() == (full_answer("user: badilisha", 100), True, None)
        assert old.wait() == 0
        cluster.entries.remove(old)
    for entry in cluster.entries:
        wait_until(lambda: len(entry.usable()) == 4)
        assert revision_of(entry) == revision
        ids = {m["id"] for z in entry.dump()["members"].values() for m in z["members"]}
        assert ids == {item.id for item in cluster.entries}
