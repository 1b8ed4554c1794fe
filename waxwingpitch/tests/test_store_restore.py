"""A store that comes back from an older copy, with a new era."""

from __future__ import annotations

import itertools
import json
from functools import lru_cache

import gevent
import pytest

from ..agreed.versions import combine_version, get_era, get_revision
from ..errors import StoreConflictError, StoreHistoryLostError
from ..gateway import beliefs, zone_key
from ..gateway.beliefs import GatewayView
from ..gateway.following import apply_store_update, build_store_update
from ..gateway.host_records import HOST_PREFIX, encode_host
from ..gateway.zone_key import ZoneKey
from ..groups.naming import parse_head
from ..platform import PlatformStore
from ..ports import StoredChange, StoredDeletion, StoredEntry
from ..slots import EntryHost
from .fleet_fake import PAIR, QUAD
from .gateway_client import (
    RefusingStoreClient,
    call,
    chat,
    count_replicas,
    start_gateway,
    wait_for,
)
from .platform_standin import PlatformFake, StoreFake

CONFIG, TARGET, OWN = "op/config", "servers/p-1", HOST_PREFIX + "gw-9"
OWN_RECORD = encode_host(EntryHost("gw-9", "127.0.0.1:1", "z", 1.0))
PREFIXES = ("op/", "servers/", "waxwingpitch/")


@pytest.fixture
def fake():
    fake = StoreFake()
    yield fake
    fake.stop()


def test_versions_of_a_later_era_are_higher(fake):
    store = PlatformStore(fake.address)
    before = store.put("waxwingpitch/x", b"1", expect=0)
    copy = fake.take_copy()
    store.put("waxwingpitch/y", b"1", expect=0)
    fake.restore(copy)
    entry = store.get("waxwingpitch/x")
    assert (get_era(before), get_era(entry.version)) == (0, 1)
    assert get_revision(entry.version) == get_revision(before)
    assert entry.version > before
    assert store.era == 1


def test_watch_of_an_earlier_era_lists_again_even_if_its_revision_exists(fake):
    store = PlatformStore(fake.address)
    copy = fake.take_copy()
    fake.write("servers/a", {})
    version = store.list("servers/").version
    fake.restore(copy)
    for key in ("servers/b", "servers/c"):
        fake.write(key, {})
    with pytest.raises(StoreHistoryLostError):
        store.watch("servers/", version, wait_s=0.1)
    listed = store.list("servers/")
    assert {entry.key for entry in listed.entries} == {"servers/b", "servers/c"}
    assert listed.version > version


def test_write_that_expects_a_version_of_an_earlier_era_fails(fake):
    """The revision is given out again, so that the store would take the write."""
    store = PlatformStore(fake.address)
    copy = fake.take_copy()
    version = store.put("waxwingpitch/x", b"mine", expect=0)
    fake.restore(copy)
    fake.write("waxwingpitch/x", b"another's")
    assert store.list("waxwingpitch/").entries[0].value == b"another's"
    with pytest.raises(StoreConflictError):
        store.put("waxwingpitch/x", b"mine again", expect=version)


def test_lease_of_an_earlier_era_is_not_renewed_though_its_id_is_in_use(fake):
    first, second = PlatformStore(fake.address), PlatformStore(fake.address)
    copy = fake.take_copy()
    lease = first.grant_lease(5.0)
    fake.restore(copy)
    assert second.grant_lease(5.0).endswith(lease)
    assert first.get("waxwingpitch/x") is None
    assert first.renew_lease(lease) is False
    with pytest.raises(StoreConflictError):
        first.put("waxwingpitch/x", b"", expect=0, lease=lease)


# Every short sequence of changes, restores and ways to learn of them.


@lru_cache
def encode_configuration(version: int, has_key: bool) -> bytes:
    keys = ["kept", "taken"] if has_key else ["kept"]
    return json.dumps(
        {
            "version": version,
            "routes": [],
            "services": [],
            "tenants": [{"name": "w", "api_keys": keys}],
        }
    ).encode()


@lru_cache
def encode_target(writes: int) -> bytes:
    return json.dumps(
        {
            "service": "plain",
            "address": f"127.0.0.1:{1000 + writes}",
            "zone": "z",
            "capacity": 1,
            "state": "ready",
            "seq": writes,
            "born": 1,
        }
    ).encode()


def build_view() -> GatewayView:
    view = GatewayView(lambda: 0.0, lambda: None)
    for prefix in PREFIXES:
        view.mirror.mark_synced(prefix, 0)
    return view


def relay_all(source: GatewayView, receiver: GatewayView) -> None:
    for prefix in PREFIXES:
        position = receiver.mirror.get_synced(prefix)
        update = build_store_update(source.mirror, prefix, position)
        if update is not None:
            apply_store_update(receiver, update)


class World:
    """A store, its writers, a gateway that reads it and one that it turns away."""

    def __init__(self):
        self.era, self.revision, self.items, self.log = 0, 0, {}, []
        self.version, self.has_key, self.writes = 1, True, 1
        self.highest = {}
        self.follower = build_view()
        self.restart_reader()
        self.write_again()
        self.copy()
        self.read()
        self.relay()

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (self.revision, value)
        self.log.append((self.revision, key, value))

    # The events.

    def take_key_away(self):
        self.version, self.has_key = self.version + 1, False
        self.put(CONFIG, encode_configuration(self.version, False))

    def write_target(self):
        self.writes += 1
        self.put(TARGET, encode_target(self.writes))

    def write_own(self):
        self.put(OWN, OWN_RECORD)

    def copy(self):
        self.saved = (self.revision, dict(self.items), list(self.log))

    def restore(self):
        self.revision, self.items, self.log = self.saved
        self.items, self.log = dict(self.items), list(self.log)
        self.era += 1

    def restart_reader(self):
        self.reader = build_view()
        self.positions = {prefix: None for prefix in PREFIXES}
        self.highest.pop("reader", None)
        self.highest.pop(("reader", "target"), None)

    def write_again(self):
        self.put(CONFIG, encode_configuration(self.version, self.has_key))
        self.put(TARGET, encode_target(self.writes))

    def read(self):
        for prefix in PREFIXES:
            self._read_prefix(prefix)

    def read_targets(self):
        self._read_prefix("servers/")

    def relay(self):
        relay_all(self.reader, self.follower)

    def relay_back(self):
        relay_all(self.follower, self.reader)

    def _read_prefix(self, prefix):
        position = self.positions[prefix]
        at = combine_version(self.era, self.revision)
        if position is None or get_era(position) != self.era:
            entries = tuple(
                self._entry(key, *item)
                for key, item in self.items.items()
                if key.startswith(prefix)
            )
            self.reader.apply_list(prefix, StoredChange(at, entries))
        else:
            latest = {
                key: (revision, value)
                for revision, key, value in self.log
                if key.startswith(prefix) and revision > get_revision(position)
            }
            present = [item for item in latest.items() if item[1][1] is not None]
            gone = [item for item in latest.items() if item[1][1] is None]
            change = StoredChange(
                at,
                tuple(self._entry(key, *item) for key, item in present),
                tuple(
                    StoredDeletion(key, combine_version(self.era, item[0]))
                    for key, item in gone
                ),
            )
            self.reader.apply(change)
        self.reader.mirror.mark_synced(prefix, at)
        self.positions[prefix] = at

    def _entry(self, key, revision, value):
        return StoredEntry(key, combine_version(self.era, revision), value)

    # What must hold.

    def check(self):
        for name, view in (("reader", self.reader), ("follower", self.follower)):
            if view.cfg is None or TARGET.removeprefix("servers/") not in view.targets:
                continue
            version = view.cfg.version
            assert version >= self.highest.get(name, 0), f"{name} went back"
            self.highest[name] = version
            assert version == 1 or "taken" not in view.cfg.keys
            assert version <= self.version
            writes = view.targets[TARGET.removeprefix("servers/")].record.writes
            assert writes >= self.highest.get((name, "target"), 0)
            self.highest[name, "target"] = writes

    def check_end(self):
        """What all know once everything was written and read again."""
        self.write_again()
        self.read()
        self.relay()
        self.check()
        for view in (self.reader, self.follower):
            assert view.mirror.era == self.era
            assert view.cfg.version == self.version
            known = {entry.key: entry.value for entry in view.mirror.iter_prefix("")}
            assert known == {key: item[1] for key, item in self.items.items()}


EVENTS = (
    World.take_key_away,
    World.write_target,
    World.write_own,
    World.copy,
    World.restore,
    World.restart_reader,
    World.read,
    World.read_targets,
    World.relay,
    World.relay_back,
)
SEQUENCE_LENGTH = 4


def test_every_short_sequence_of_restores_and_relays():
    played = 0
    for events in itertools.product(EVENTS, repeat=SEQUENCE_LENGTH):
        world = World()
        try:
            for event in (*events, World.restore):
                event(world)
                world.check()
            world.read_targets()
            world.relay()
            world.check()
            world.check_end()
        except AssertionError as exc:
            names = [event.__name__ for event in events]
            raise AssertionError(f"{names}: {exc}") from exc
        played += 1
    assert played == len(EVENTS) ** SEQUENCE_LENGTH


# Gateways on real sockets.


@pytest.fixture
def platform():
    platform = PlatformFake()
    platform.configure(keys=("key-1", "key-2"))
    yield platform
    platform.stop()


def test_key_taken_away_stays_taken_away_while_requests_are_served(platform):
    """Also at a gateway that the store turns away, and that learns it from a peer."""
    first = start_gateway(platform.store.address, "gw-1")
    second = start_gateway(platform.store.address, "gw-2")
    fronts = [first.settings.front, second.settings.front]
    try:
        wait_for(lambda: count_replicas(first, PAIR.name) == 3)
        wait_for(lambda: second.dump()["peers"] and first.dump()["peers"])
        copy = platform.store.take_copy()
        platform.configure()
        for front in fronts:
            wait_for(lambda: call(front, "/file/x", "k", key="key-2").status == 401)
        second._store._client = RefusingStoreClient()
        second._follower.restart_watches()
        platform.store.restore(copy)
        wait_for(lambda: second.dump()["store_era"] == 1, 5.0)
        for number in range(20):
            for front in fronts:
                assert call(front, "/file/x", f"k{number}", key="key-2").status == 401
                answer = chat(front, f"c{number}", model=PAIR.name, events=1)
                assert answer.is_complete
        platform.configure()
        platform.write_again()
        wait_for(lambda: first.view.cfg.version == platform.version)
        wait_for(lambda: second.view.cfg.version == platform.version)
    finally:
        first.stop()
        second.stop()


def test_groups_are_formed_again_under_a_key_and_epochs_of_the_new_era(platform):
    daemon = start_gateway(platform.store.address)
    try:
        copy = platform.store.take_copy()
        wait_for(lambda: count_replicas(daemon, PAIR.name) == 3)
        wait_for(lambda: count_replicas(daemon, QUAD.name))
        before = daemon._planners[0]._key.fence
        epoch = max(item.epoch for item in daemon.view.iter_replicas())
        platform.store.restore(copy)
        platform.configure()
        platform.write_again()
        head, member, *_ = platform.find_group(QUAD.name)
        platform.kill(member)
        platform.store.remove(f"servers/{member}")
        wait_for(lambda: daemon.view.mirror.era == 1)
        assert not daemon._planners[0].is_holder
        wait_for(lambda: daemon._planners[0].is_holder)
        assert daemon._planners[0]._key.fence > before
        assert get_era(daemon._planners[0]._key.fence) == 1

        def _is_formed_again() -> bool:
            epochs = [item.epoch for item in daemon.view.iter_replicas()]
            return max(epochs, default=0) > epoch

        wait_for(_is_formed_again)
        assert parse_head(platform.fleet.targets[head].record.membership.group)
        assert platform.refused_orders == 0
        assert platform.invariant_violations == []
        gevent.sleep(0.1)
        assert chat(daemon.settings.front, "n1", model=PAIR.name, events=2).is_complete
    finally:
        daemon.stop()


class FakeLeaseKeeper:
    """A lease that does not expire; keys get the version that is set."""

    def __init__(self):
        self.lease, self.valid_until, self.version = "1", float("inf"), 5

    def put(self, key: str, value: bytes) -> int:
        return self.version


def test_no_order_is_given_under_a_key_of_an_earlier_era(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(beliefs, "boot_time", lambda: now[0])
    monkeypatch.setattr(zone_key, "boot_time", lambda: now[0])
    world = World()
    lease_keeper = FakeLeaseKeeper()
    key = ZoneKey(
        "z",
        name="gw-1",
        view=world.reader,
        lease_keeper=lease_keeper,
        is_store_unavailable=lambda: False,
    )
    key.is_preferred = True
    assert key.try_acquire() and key.is_held
    epoch = key.next_epoch()
    world.restore()
    world.read()
    assert not key.is_held
    now[0] += beliefs.OLDER_KEYS_S
    assert not key.is_held, "the key is gone"
    now[0] -= beliefs.OLDER_KEYS_S
    lease_keeper.version = combine_version(1, 3)
    assert key.try_acquire()
    assert not key.is_held, "another process may not know of the restore yet"
    now[0] += beliefs.OLDER_KEYS_S
    assert key.is_held
    assert key.next_epoch() > epoch


def test_lease_that_ran_out_while_the_host_was_suspended_is_not_valid(monkeypatch):
    """The monotonic clock stands still meanwhile."""
    now = [100.0]
    monkeypatch.setattr(zone_key, "boot_time", lambda: now[0])
    lease_keeper = FakeLeaseKeeper()
    lease_keeper.valid_until = now[0] + 3.0
    key = ZoneKey(
        "z",
        name="gw-1",
        view=World().reader,
        lease_keeper=lease_keeper,
        is_store_unavailable=lambda: False,
    )
    key.is_preferred = True
    assert key.try_acquire() and key.is_held
    now[0] += 10.0
    assert not key.is_held
