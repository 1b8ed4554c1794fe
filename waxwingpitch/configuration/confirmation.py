"""Which entry hosts act on a revision."""

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
POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class Confirmation:
    """What an entry host answered.

    Attributes
    ----------
    revision
        Revision that it acts on; None if it could not be reached.
    """

    member: Member
    revision: int | None


def list_entry_hosts(store: KeyValueStore) -> tuple[Member, ...]:
    """Return the entry hosts of all zones."""
    entries = store.list(MEMBERS_PREFIX).entries
    lists = (decode_members(entry.value) for entry in entries)
    return tuple(member for members in lists for member in members.members)


def ask_revision(member: Member) -> Confirmation:
    """Ask one entry host which revision it acts on."""
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
    return Confirmation(member, revision)


def await_revision(
    store: KeyValueStore, revision: int, deadline: float
) -> tuple[Confirmation, ...]:
    """Wait until every entry host acts on a revision, or the deadline.

    Returns
    -------
    tuple of Confirmation
        The last answer of each entry host.
    """
    members = list_entry_hosts(store)
    answers = tuple(ask_revision(member) for member in members)
    while list(find_unconfirmed(answers, revision)) and time.monotonic() < deadline:
        time.sleep(POLL_S)
        answers = tuple(
            item if _is_confirmed(item, revision) else ask_revision(item.member)
            for item in answers
        )
    return answers


def find_unconfirmed(
    answers: tuple[Confirmation, ...], revision: int
) -> Iterator[Confirmation]:
    """Yield the entry hosts that did not confirm a revision."""
    return (item for item in answers if not _is_confirmed(item, revision))


def _is_confirmed(answer: Confirmation, revision: int) -> bool:
    return answer.revision is not None and answer.revision >= revision
