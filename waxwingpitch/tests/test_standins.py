"""Contract of the key-value service, checked on its stand-in."""

from __future__ import annotations

import gevent
import pytest

from ..errors import StoreAnswerLostError, StoreConflictError, StoreUnavailableError
from ..ports import HttpKeyValueStore
from ..standins import StoreStandIn
from ..standins.store import FaultPlan, StoreFault
from .cluster import wait_until


@pytest.fixture
def store():
    standin = StoreStandIn(writes_per_s=20.0)
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def client(store):
    return HttpKeyValueStore(store.server.url, timeout_s=0.3)


def test_compare_and_swap(client):
    version = client.put("k", b"1", expect=0)
    with pytest.raises(StoreConflictError):
        client.put("k", b"2", expect=0)
    assert client.put("k", b"2", expect=version) > version
    assert client.get("k").value == b"2"
    assert client.get("none") is None


def test_expired_lease_deletes_its_key(client):
    lease = client.grant_lease(0.2)
    client.put("k", b"1", expect=0, lease=lease)
    wait_until(lambda: client.get("k") is None, 3.0)
    assert not client.renew_lease(lease)


def test_blocked_watch_is_one_read(store, client):
    before = store.calls["read"]
    watcher = gevent.spawn(client.watch, "a/", 0, wait_s=2.0)
    gevent.sleep(0.1)
    client.put("b/x", b"0", expect=0)
    client.put("a/x", b"1", expect=0)
    assert [entry.key for entry in watcher.get().entries] == ["a/x"]
    assert store.calls["read"] - before == 1


def test_calls_above_the_rate_limit_are_refused_without_effect(client):
    refused = 0
    for number in range(40):
        try:
            client.put(f"k{number}", b"1", expect=0)
        except StoreUnavailableError:
            refused += 1
            assert client.get(f"k{number}") is None
    assert refused > 0


def test_write_with_a_lost_answer_takes_effect(store, client):
    store.set_fault(FaultPlan(StoreFault.LOSE_ANSWERS, count=1))
    with pytest.raises(StoreAnswerLostError):
        client.put("k", b"1", expect=0)
    assert client.get("k").value == b"1"
