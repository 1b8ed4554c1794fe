"""What an older build sends or stores, and what it gets from this one.

The files ``golden/messages_COMMIT.txt`` hold one encoded sample of each message of a
build, in hexadecimal, with a value in every field.
"""

from __future__ import annotations

from pathlib import Path
from typing import get_args

import cbor2
import msgspec
import pytest

from ..gateway.host_records import decode_host, encode_host
from ..mesh import decode_message, encode_message
from ..mesh.messages import MESH_VERSION, Message
from ..slots import EntryHost

GOLDEN = Path(__file__).parent / "golden"
# Oldest build that may serve beside this one, of version 1 of the messages.
OLDEST = "5db1122"
HOST_OF_OLDEST = b'{"address":"10.0.0.1:7","zone":"z","weight":0.5,"incarnation":"i"}'


def read_samples(commit: str) -> dict[str, bytes]:
    lines = (GOLDEN / f"messages_{commit}.txt").read_text().splitlines()
    return {name: bytes.fromhex(data) for name, data in map(str.split, lines)}


SAMPLES = [
    pytest.param(name, data, id=f"{commit}-{name}")
    for commit in (OLDEST, "4fb0dbb")
    for name, data in read_samples(commit).items()
]


def is_extended(older, newer) -> bool:
    """Return whether arrays have only got elements at their ends, at any depth."""
    match older, newer:
        case list(), list():
            pairs = zip(older, newer, strict=False)
            return len(newer) >= len(older) and all(
                is_extended(*pair) for pair in pairs
            )
        case dict(), dict():
            return older.keys() == newer.keys() and all(
                is_extended(value, newer[key]) for key, value in older.items()
            )
        case _:
            return older == newer


@pytest.mark.parametrize("name, data", SAMPLES)
def test_message_of_an_older_build_is_decoded_with_all_its_values(name, data):
    message = decode_message(data)
    assert type(message).__name__ == name
    assert is_extended(cbor2.loads(data), cbor2.loads(encode_message(message)))


@pytest.mark.parametrize("kind", get_args(Message), ids=lambda kind: kind.__name__)
def test_message_that_the_oldest_build_lacks_names_a_later_version(kind):
    is_known = kind.__name__ in read_samples(OLDEST)
    assert is_known == (kind.since_version == 1)
    assert kind.since_version <= MESH_VERSION


@pytest.mark.parametrize("name, data", SAMPLES)
def test_fields_that_a_message_has_got_since_have_defaults(name, data):
    kind = type(decode_message(data))
    added = kind.__struct_fields__[len(cbor2.loads(data)) - 1 :]
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    assert [item for item in added if fields[item].required] == []


def test_host_record_is_read_by_the_oldest_build_and_the_other_way_round():
    host = decode_host("h", HOST_OF_OLDEST)
    assert host == EntryHost("h", "10.0.0.1:7", "z", 0.5, "i")
    older = msgspec.json.decode(HOST_OF_OLDEST)
    newer = msgspec.json.decode(encode_host(host))
    assert older.items() <= newer.items()
