"""The command line against real entry processes."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from ..cli.application import COMMANDS
from ..standins import EnginePerformance
from .cluster import OPERATOR_TOKEN, TOKEN, Cluster, wait_until
from .test_settings import VALID

pytestmark = pytest.mark.processes

PROFILE = """{
  // A short load.
  "rate": 20, "duration_s": 2, "model": "lesson", "service": "attendance",
  "workspaces": [{"name": "form-two", "token": "%s"}],
  "marks": 0.3, "repeats": 0.5, "answer_tokens": 5, "seed": 3
}"""


@pytest.fixture(scope="module")
def cluster():
    performance = EnginePerformance(step_s=0.01, cold_s=0.1)
    with Cluster(
        zones=("dar-a", "dar-b"), engines=2, performance=performance
    ) as running:
        running.wait_usable(4)
        running.wait_usable(1, service="attendance")
        for entry in running.entries:
            wait_until(lambda: not any(t["cold"] for t in entry.usable()))
        yield running


def run(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "waxwingpitch", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize("command", COMMANDS, ids=lambda command: command.name)
def test_every_command_has_help_with_an_example(command):
    assert "Example" in command.help
    assert f"waxwingpitch {command.name}" in command.help


def test_zone_out_and_in(cluster):
    store = ("--store", cluster.store.server.url)
    out = run("zone", "out", "dar-a", *store)
    assert out.returncode == 0, out.stderr
    assert "dar-a out of service" in out.stdout
    assert "dar dar-a: out of service" in run("zone", "show", *store).stdout
    for entry in cluster.entries:
        assert {target["zone"] for target in entry.usable()} == {"dar-b"}
    assert run("zone", "in", "dar-a", *store).returncode == 0
    assert run("zone", "out", "dar-z", *store).returncode == 2


def test_configuration_is_shown_submitted_and_waited_for(cluster, tmp_path):
    store = ("--store", cluster.store.server.url)
    path = tmp_path / "school.jsonc"
    path.write_text(run("config", "show", *store).stdout)
    assert run("config", "check", str(path)).returncode == 0
    printed = run("config", "print", str(path))
    assert printed.stdout == path.read_text()
    submitted = run("config", "submit", str(path), "--id", "one", *store)
    assert "accepted: revision" in submitted.stdout
    resubmitted = run("config", "submit", str(path), "--id", "one", *store)
    assert "already accepted" in resubmitted.stdout
    stale = run("config", "submit", str(path), "--id", "two", *store)
    assert stale.returncode == 3
    assert "4001" in stale.stderr
    waited = run("config", "wait", *store)
    assert waited.returncode == 0
    assert waited.stdout.count(": confirmed") == 2
    timed_out = run("config", "wait", "--revision", "999", "--timeout", "0.5", *store)
    assert timed_out.returncode == 5
    assert timed_out.stdout.count("not confirmed") == 2
    path.write_text('{"zones": 1}')
    assert run("config", "check", str(path)).returncode == 2


def test_call_and_dump(cluster):
    url = ("--url", cluster.entries[0].url)
    chat = run("call", "lesson", "Habari", "--token", TOKEN, *url)
    assert chat.returncode == 0
    assert len(chat.stdout.split()) >= 8
    mark = run(
        "call", "attendance", "/marks/cli", "--method", "POST", "--token", TOKEN, *url
    )
    assert json.loads(mark.stdout)["count"] == 1
    dump = run("dump", "--token", OPERATOR_TOKEN, *url)
    assert json.loads(dump.stdout)["id"] == cluster.entries[0].id
    assert run("dump", "--token", "wrong", *url).returncode == 1


def test_load_reports_nothing_lost_or_doubled(cluster, tmp_path):
    profile, result = tmp_path / "load.jsonc", tmp_path / "load.json"
    profile.write_text(PROFILE % TOKEN)
    urls = [part for entry in cluster.entries for part in ("--url", entry.url)]
    completed = run(
        "load",
        str(profile),
        *urls,
        "--effects",
        cluster.services[0].server.url,
        "--json",
        str(result),
    )
    assert completed.returncode == 0, completed.stderr
    report = json.loads(result.read_text())
    assert report["requests"] > 20
    assert (report["doubled"], report["lost_marks"]) == (0, 0)
    profile.write_text('{"rate": 0}')
    assert run("load", str(profile)).returncode == 2


def test_entry_names_what_is_wrong_in_its_settings(tmp_path):
    path = tmp_path / "entry.jsonc"
    path.write_text(json.dumps({**VALID, "log_level": "loud"}, indent=1))
    completed = run("entry", "--settings", str(path))
    assert completed.returncode == 2
    assert "'log_level'" in completed.stderr and "'warning'" in completed.stderr


def test_metrics_and_logs_name_what_was_served(cluster):
    entry = cluster.entries[0]
    assert entry.chat("kumbukumbu", max_tokens=3).status == 200
    text = entry.request("GET", "/operator/metrics").data.decode()
    for name in ("answers", "tokens", "first_token_seconds_bucket"):
        assert f"waxwingpitch_{name}" in text
    line = [x for x in entry.iter_log() if x["message"] == "request ended"][-1]
    assert len(line["request"]) == 32
    assert line["workspace"] == "form-two"
    assert line["target"].startswith("lesson.")
    assert line["tokens"] == 3
