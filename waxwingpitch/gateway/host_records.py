"""Records of entry hosts in the store."""

from __future__ import annotations

import logging

import msgspec

from ..decoding import MalformedInputError, decode_json, parse_address
from ..slots import EntryHost

HOST_PREFIX = "waxwingpitch/hosts/"

logger = logging.getLogger(__name__)


class _HostRecord(msgspec.Struct):
    address: str
    zone: str
    weight: float
    incarnation: str
    relay: str = ""


def encode_host(host: EntryHost) -> bytes:
    """Encode the record of an entry host."""
    return msgspec.json.encode(
        _HostRecord(host.address, host.zone, host.weight, host.incarnation, host.relay)
    )


def decode_host(name: str, data: bytes) -> EntryHost | None:
    """Decode the record of an entry host; None if it is malformed."""
    try:
        record = decode_json(data, _HostRecord)
        parse_address(record.address)
        if record.relay:
            parse_address(record.relay)
    except MalformedInputError as exc:
        logger.warning(
            "record names no entry host", extra={"host": name, "reason": str(exc)}
        )
        return None
    return EntryHost(
        name,
        record.address,
        record.zone,
        record.weight,
        record.incarnation,
        record.relay,
    )
