"""Odd entries of other writers in the store, which must hide no sound one."""

from __future__ import annotations

import json

import pytest

from ..gateway import beliefs
from .gateway_client import call, start_gateway, wait_for

DEEP = "[" * 100_000 + "]" * 100_000
DIGITS = "9" * 400
GROUP = '{"name": "g", "epoch": %s, "rank": 0, "state": "open"}'
ODD_FIELDS = {
    "nested domain": ("fault_domain", DEEP),
    "list for a domain": ("fault_domain", "[[[]]]"),
    "nested unknown field": ("unknown", DEEP),
    "nested models on the host": ("staged", DEEP),
    "large capacity": ("capacity", DIGITS),
    "negative capacity": ("capacity", "-3"),
    "large cold time": ("cold_left_ms", "1e308"),
    "large epoch": ("group", GROUP % DIGITS),
    "negative epoch": ("group", GROUP % "-1"),
    "large start time": ("born", DIGITS),
    "port out of range": ("address", '"127.0.0.1:99999"'),
    "port 0": ("address", '"127.0.0.1:0"'),
    "no port": ("address", '"127.0.0.1"'),
    "surrogate": ("zone", '"\\ud800"'),
}


def build_entry(platform, field: str, value: str) -> bytes:
    """Return a sound target's entry with another value, as JSON, in one field."""
    target = platform.plain[0]
    entry = {
        "service": "plain",
        "address": platform.targets[target].address,
        "zone": "z",
        "capacity": 6,
        "state": "ready",
        "seq": 1,
        "born": 1000,
    }
    entry.pop(field, None)
    fields = [f"{json.dumps(key)}: {json.dumps(entry[key])}" for key in entry]
    return "{{{}, {}: {}}}".format(", ".join(fields), json.dumps(field), value).encode()


@pytest.fixture
def gateways(platform):
    daemons = [start_gateway(platform.store.address, f"gw-{n}") for n in (1, 2)]
    for daemon in daemons:
        wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2)
        wait_for(lambda: daemon.dump()["peers"])
    yield daemons
    for daemon in daemons:
        daemon.stop()


def check_following(platform, gateways) -> None:
    """Check that what is written from now on gets known at all gateways."""
    platform.configure()
    platform.publish_plain(platform.plain[0], state="draining")
    for number, daemon in enumerate(gateways):
        wait_for(lambda: daemon.view.cfg.version == platform.version, 3.0)
        wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 1, 3.0)
        answer = call(daemon.settings.front, "/file/x", f"after-{number}")
        assert answer.status == 200
    platform.publish_plain(platform.plain[0])
    for daemon in gateways:
        wait_for(lambda: len(daemon.view.find_replicas("plain", "")) == 2, 3.0)


def test_odd_entry_names_no_target_and_the_list_is_still_followed(platform, gateways):
    for name, (field, value) in ODD_FIELDS.items():
        platform.store.write("servers/odd", build_entry(platform, field, value))
        platform.store.write(f"servers/{name}", build_entry(platform, field, value))
    check_following(platform, gateways)
    for daemon in gateways:
        assert daemon.view.targets.keys() & {"odd", *ODD_FIELDS} == set()


@pytest.mark.parametrize("value", [DEEP, f'{{"a": {DEEP}}}', "[]", "\\ud800", DIGITS])
def test_odd_record_of_an_entry_host_is_ignored(platform, gateways, value):
    platform.store.write("waxwingpitch/hosts/odd", value.encode())
    platform.store.write("waxwingpitch/planners/odd", b"\xff\xfe")
    check_following(platform, gateways)
    assert "odd" not in gateways[0].view.list_hosts()


def test_gateway_that_starts_beside_odd_entries_gets_ready(platform):
    for name, (field, value) in ODD_FIELDS.items():
        platform.store.write(f"servers/{name}", build_entry(platform, field, value))
    platform.store.write("waxwingpitch/hosts/odd", DEEP.encode())
    daemon = start_gateway(platform.store.address)
    try:
        wait_for(lambda: daemon.find_unready_reason() is None)
        check_following(platform, [daemon])
    finally:
        daemon.stop()


def test_entry_that_cannot_be_applied_hides_no_other_of_its_batch(
    platform, gateways, monkeypatch
):
    decode = beliefs.decode_target_record

    def _decode(key, data):
        if key == "servers/odd":
            raise RuntimeError("unexpected")
        return decode(key, data)

    monkeypatch.setattr(beliefs, "decode_target_record", _decode)
    platform.store.write("servers/odd", b"{}")
    platform.publish_plain(platform.plain[1])
    check_following(platform, gateways)


def test_watch_goes_on_after_an_error_that_nobody_expected(
    platform, gateways, monkeypatch
):
    for daemon in gateways:
        apply, calls = daemon.view.apply, []

        def _fail_once(change, apply=apply, calls=calls):
            calls.append(change)
            if len(calls) == 1:
                raise RuntimeError("unexpected")
            apply(change)

        monkeypatch.setattr(daemon.view, "apply", _fail_once)
    check_following(platform, gateways)
