"""Review of a gateway's configuration before it is sent."""

from __future__ import annotations

import copy
import json

import pytest

from ..cli.application import run_cli
from ..configuration.review import Severity, list_changes, review_configuration
from ..platform.documents import decode_routed_configuration
from .platform_standin import PlatformFake

VALID = {
    "version": 7,
    "routes": [
        {
            "name": "chat",
            "host": "h.example",
            "path_prefix": "/chat/",
            "kind": "stream",
            "service": "pool",
            "timeout_ms": 8000,
            "target_latency_ms": 400,
            "gap_aim_ms": 300,
            "max_attempts": 2,
            "resumable": True,
        },
        {
            "name": "file",
            "host": "h.example",
            "path_prefix": "/file/",
            "kind": "non_idempotent",
            "service": "plain",
            "timeout_ms": 1500,
            "target_latency_ms": 200,
        },
    ],
    "services": [
        {
            "name": "pool",
            "max_conns": 300,
            "engine": {
                "capacity": 9,
                "step_ms": 7.8,
                "per_seq_ms": 0.2,
                "read_per_s": 45900,
                "loads_per_s": 7,
                "loads_at_once": 10,
                "models": [
                    {"name": "m0", "size": 4, "load_s": 16.0, "warm_s": 1.6},
                    {"name": "m1", "size": 2, "load_s": 12.0, "warm_s": 1.1},
                ],
            },
        },
        {"name": "plain", "max_conns": 100},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 65536,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "w1", "api_keys": ["key-1"]}],
}


def change(path: str, value) -> dict:
    """Return the valid configuration with one value replaced."""
    document = copy.deepcopy(VALID)
    place = document
    *parents, last = [int(part) if part.isdigit() else part for part in path.split("/")]
    for part in parents:
        place = place[part]
    place[last] = value
    return document


def decode(document: dict):
    return decode_routed_configuration(json.dumps(document).encode())


def write(folder, document: dict, name: str = "new.json") -> str:
    path = folder / name
    path.write_text(json.dumps(document))
    return str(path)


def test_sound_configuration_has_no_findings():
    assert review_configuration(decode(VALID)) == []


# Guards against a configuration that is accepted and then answers requests with errors.
@pytest.mark.parametrize(
    ("path", "value", "place", "message"),
    [
        ("routes/1/service", "gone", "route file", "valid: plain, pool"),
        ("routes/1/path_prefix", "/file", "route file", "ends with a slash"),
        ("routes/1/path_prefix", "/chat/", "route file", "never matches: route chat"),
        ("routes/1/path_prefix", "/a?b/", "route file", "without a query"),
        ("routes/1/host", "", "route file", "matches no request"),
        ("routes/1/host", "https://h.example", "route file", "matches no request"),
        ("routes/1/timeout_ms", 0, "route file", "time-out 0 s; valid: above 0"),
        ("routes/1/timeout_ms", 100, "route file", "above the time-out"),
        ("routes/0/gap_aim_ms", 9000, "route chat", "gap objective 9 s"),
        ("routes/0/max_attempts", 0, "route chat", "valid: 1 or more"),
        ("services/0/max_conns", 8, "service pool", "fewer than the 9 requests"),
        ("services/1/max_conns", 0, "service plain", "valid: 1 or more"),
        ("services/0/engine/capacity", 0, "service pool", "capacity 0"),
        ("services/0/engine/loads_per_s", 0, "service pool", "no model is ever loaded"),
        ("services/0/engine/models/0/size", 0, "service pool", "model m0: size 0"),
        ("limits/max_body_bytes", 0, "limits", "body_bytes is 0"),
        ("tenants", [], "route chat", "every request gets 401"),
    ],
)
def test_error_names_the_place_and_the_valid_values(path, value, place, message):
    findings = review_configuration(decode(change(path, value)))
    errors = [item for item in findings if item.severity is Severity.ERROR]
    assert any(item.place == place and message in item.message for item in errors)


@pytest.mark.parametrize(
    ("path", "value", "place", "message"),
    [
        ("routes/1/max_attempts", 3, "route file", "has no effect"),
        ("routes/1/resumable", True, "route file", "it is no stream"),
        ("routes/1/service", "pool", "service plain", "no route sends"),
        ("limits/idle_timeout_ms", 1000, "limits", "may be idle for 1 s"),
        ("services/0/engine/models/0/warm_s", 20.0, "service pool", "20 s"),
    ],
)
def test_entry_without_effect_is_a_warning(path, value, place, message):
    findings = review_configuration(decode(change(path, value)))
    assert [item.severity for item in findings] == [Severity.WARNING]
    assert findings[0].place == place and message in findings[0].message


def test_changes_name_fields_and_hide_keys():
    after = change("routes/0/timeout_ms", 6000)
    after["tenants"] = [{"name": "w1", "api_keys": ["key-2", "key-3"]}]
    del after["routes"][1]
    changes = list_changes(decode(VALID), decode(after))
    found = {(item.place, item.field): (item.before, item.after) for item in changes}
    assert found == {
        ("route chat", "timeout_s"): (8.0, 6.0),
        ("route file", "present"): (True, False),
        ("workspace w1", "keys removed, added"): (1, 2),
    }
    assert "key-" not in repr(changes)


def test_command_exits_by_the_findings(tmp_path, capfd):
    assert run_cli(["config", "review", write(tmp_path, VALID)]) == 0
    assert "0 errors, 0 warnings, 0 changes" in capfd.readouterr().out
    broken = write(tmp_path, change("routes/1/service", "gone"))
    assert run_cli(["config", "review", broken]) == 2
    assert "error: route file: service 'gone' is unknown" in capfd.readouterr().out


def test_command_names_what_can_not_be_decoded(tmp_path, capfd):
    path = write(tmp_path, change("routes/0/kind", "video"))
    assert run_cli(["config", "review", path]) == 2
    error = capfd.readouterr().err
    assert "route chat: kind 'video'" in error and "idempotent" in error
    assert run_cli(["config", "review", str(tmp_path / "none.json")]) == 2


def test_duplicates_of_which_the_last_would_count_are_errors(tmp_path, capfd):
    twice = copy.deepcopy(VALID)
    twice["tenants"].append({"name": "w2", "api_keys": ["key-1"]})
    twice["services"].append(VALID["services"][1])
    twice["services"][0]["engine"]["models"][1]["name"] = "m0"
    twice["routes"][1]["name"] = "chat"
    assert run_cli(["config", "review", write(tmp_path, twice)]) == 2
    out = capfd.readouterr().out
    assert "API key of w1 and w2: named more than once" in out
    assert "error: services: plain: named more than once" in out
    assert "error: services engine models: m0: named more than once" in out
    assert "error: routes: chat: named more than once" in out
    assert "key-1" not in out


def test_json_has_findings_and_changes_from_the_version_in_force(tmp_path, capfd):
    new = write(tmp_path, change("routes/0/timeout_ms", 6000))
    old = write(tmp_path, VALID, "old.json")
    assert run_cli(["config", "review", new, "--against", old, "--json"]) == 2
    document = json.loads(capfd.readouterr().out)
    assert document["findings"] == [
        {
            "severity": "error",
            "place": "version",
            "message": "version 7 is not above 7, which is in force",
        }
    ]
    assert document["changes"] == [
        {"place": "route chat", "field": "timeout_s", "before": 8.0, "after": 6.0}
    ]


def test_version_in_force_is_read_from_the_store(tmp_path, capfd):
    platform = PlatformFake(size=0, plain=0)
    try:
        platform.store.write("op/config", VALID)
        new = write(tmp_path, change("version", 8))
        arguments = ["config", "review", new, "--store", platform.store.address]
        assert run_cli(arguments) == 0
        assert "change" in capfd.readouterr().out
    finally:
        platform.stop()
