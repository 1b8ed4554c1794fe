"""Tests of complete sessions with an entry process against golden files.

Set ``WAXWINGPITCH_GOLDEN=write`` to rewrite the files.
"""

from __future__ import annotations

import os
import re
from pathlib import Path

import pytest

from ..configuration import ConfigurationBuilder
from ..configuration.document import decode_stored
from ..configuration.submission import CONFIGURATION_KEY
from ..errors import StaleBaseError
from ..standins import EnginePerformance
from ..standins.store import FaultPlan, StoreFault
from .cluster import Cluster, wait_until

pytestmark = pytest.mark.processes

GOLDEN = Path(__file__).parent / "golden"
SHOWN_HEADERS = ("Content-Type", "Idempotent-Replayed", "Retry-After")
KEY = "IDEMPOTENCY-KEY"
_VARYING = (
    (re.compile(r"chatcmpl-[0-9a-f]{32}"), "chatcmpl-ID"),
    (re.compile(r'"request":"[0-9a-f]{32}"'), '"request":"ID"'),
    (re.compile(r'"created":\d+'), '"created":TIME'),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
)
_DELTA = re.compile(r'^(data: .*"delta":\{"content":")(.*)("\}.*)$')


def merge_deltas(text: str) -> str:
    """Join successive events that differ only in their content.

    How many tokens share an event depends on the speed of the host.
    """
    merged: list[str] = []
    for event in text.split("\n\n"):
        match = _DELTA.match(event)
        last = _DELTA.match(merged[-1]) if merged else None
        if match and last:
            merged[-1] = last[1] + last[2] + match[2] + match[3]
        else:
            merged.append(event)
    return "\n\n".join(merged)


class Session:
    """A transcript of requests and answers."""

    def __init__(self, cluster: Cluster):
        self.entry = cluster.entries[0]
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(text)

    def show(self, what: str, resp) -> None:
        """Add a request and its answer."""
        self.note(f"> {what}")
        self.note(f"< {resp.status}")
        for name in SHOWN_HEADERS:
            if name in resp.headers:
                self.note(f"< {name}: {resp.headers[name]}")
        self.note(merge_deltas(resp.data.decode()))

    def check(self, name: str) -> None:
        """Compare the transcript with its golden file."""
        text = "\n".join(self.lines) + "\n"
        for pattern, replacement in _VARYING:
            text = pattern.sub(replacement, text)
        path = GOLDEN / f"{name}.txt"
        if os.environ.get("WAXWINGPITCH_GOLDEN") == "write":
            path.write_text(text)
        assert text == path.read_text()


@pytest.fixture(scope="module")
def cluster():
    performance = EnginePerformance(step_s=0.03, cold_s=0.1)
    with Cluster(engines=2, hosts_per_replica=2, performance=performance) as running:
        running.wait_usable(1)
        running.wait_usable(1, service="attendance")
        entry = running.entries[0]
        wait_until(lambda: not any(target["cold"] for target in entry.usable()))
        yield running


@pytest.fixture
def session(cluster):
    return Session(cluster)


def test_streamed_answer(session):
    resp = session.entry.chat("Eleza sehemu", stream=True, max_tokens=6)
    session.show("chat 'Eleza sehemu', streamed, 6 tokens", resp)
    session.check("streamed_answer")


def test_attendance_mark_repeated(session):
    import uuid6

    key = str(uuid6.uuid7())
    for _ in range(2):
        session.show(f"mark asha under {KEY}", session.entry.mark("asha", key))
    resp = session.entry.mark("juma", key)
    session.show(f"mark juma under {KEY}", resp)
    resp = session.entry.request("GET", "/v1/services/attendance/marks/asha")
    session.show("read marks of asha", resp)
    session.check("attendance_mark_repeated")


def test_refused_calls(session, cluster):
    entry = session.entry
    session.show("chat with model 'nope'", entry.chat("x", model="nope"))
    resp = entry.request("POST", "/v1/services/attendance/marks/asha")
    session.show("mark without a key", resp)
    session.show("mark under a bad key", entry.mark("asha", "not-a-key"))
    cluster.store.set_fault(FaultPlan(StoreFault.DOWN))
    session.show("mark while the service is down", entry.mark("asha"))
    headers = {"Idempotency-Attempt": "1"}
    resp = entry.mark("asha", headers=headers)
    session.show("first attempt declared, service down", resp)
    cluster.store.set_fault(FaultPlan())
    session.check("refused_calls")


def test_configuration_submitted_and_superseded(session, cluster):
    def _read():
        return decode_stored(cluster.client.get(CONFIGURATION_KEY).value)

    base = _read()
    first, second = ConfigurationBuilder(base), ConfigurationBuilder(base)
    first.add_workspace("form-three", priority=1, tokens=["form-three-token"])
    second.add_workspace("form-four", priority=1)
    result = cluster.submit(first.build())
    session.note(f"submit form-three on {base.revision}: {result.revision}")
    try:
        cluster.submit(second.build())
    except StaleBaseError as exc:
        session.note(f"submit form-four on {base.revision}: {exc.message}")
    again = ConfigurationBuilder(_read())
    again.add_workspace("form-four", priority=1)
    again.remove_workspace("form-three")
    result = cluster.submit(again.build())
    session.note(f"submit form-four without form-three: {result.revision}")
    entry = session.entry
    wait_until(
        lambda: entry.dump()["configuration"]["revision"] == result.revision, 2.0
    )
    names = [item["name"] for item in entry.dump()["configuration"]["workspaces"]]
    session.note(f"in force: {names}")
    resp = entry.request("GET", "/v1/models", token="form-three-token")
    session.show("models with the removed workspace's token", resp)
    session.check("configuration_superseded")
