"""Checks which entry hosts have applied a configuration revision."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from ..membership import Member, decode_members
from ..membership.members import MEMBERS_PREFIX
from ..ports import KeyValueStore
from ..ports.http import (
    ConnectionLostError,
    HttpClient,
    NotSentError,
    ResponseTimeoutError,
)

CALL_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class RevisionReport:
    """Revision that an entry host reported.

    Attributes
    ----------
    revision
        Revision that the entry host applies; None if it could not be reached.
    """

    member: Member
    revision: int | None


def list_entry_hosts(store: KeyValueStore) -> tuple[Member, ...]:
    """Return the entry hosts of all zones."""
    entries = store.list(MEMBERS_PREFIX).entries
    lists = (decode_members(entry.value) for entry in entries)
    return tuple(member for members in lists for member in members.members)


def fetch_revision(member: Member) -> RevisionReport:
    """Return the revision that one entry host applies."""
    client = HttpClient(f"http://{member.http}", connections=1)
    try:
        resp = client.send("GET", "/healthz/ready", timeout_s=CALL_TIMEOUT_S)
        revision = msgspec.json.decode(resp.data)["revision"]
    except (
        NotSentError,
        ResponseTimeoutError,
        ConnectionLostError,
        msgspec.MsgspecError,
        KeyError,
    ):
        revision = None
    finally:
        client.close()
    return RevisionReport(member, revision)


def await_revision(
    store: KeyValueStore, revision: int, deadline: float
) -> tuple[RevisionReport, ...]:
    """Wait until every entry host applies a revision, or until the deadline.

    Parameters
    ----------
    deadline
        Monotonic time.

    Returns
    -------
    tuple of RevisionReport
        The last report of each entry host.
    """
    members = list_entry_hosts(store)
    reports = tuple(fetch_revision(member) for member in members)
    while list(find_unconfirmed(reports, revision)) and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        reports = tuple(
            item if _is_confirmed(item, revision) else fetch_revision(item.member)
            for item in reports
        )
    return reports


def find_unconfirmed(
    reports: tuple[RevisionReport, ...], revision: int
) -> Iterator[RevisionReport]:
    """Yield the reports of entry hosts that do not apply a revision yet."""
    return (item for item in reports if not _is_confirmed(item, revision))


def _is_confirmed(report: RevisionReport, revision: int) -> bool:
    return report.revision is not None and report.revision >= revision
