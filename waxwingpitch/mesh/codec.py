"""CBOR encoding of mesh messages."""

from __future__ import annotations

import cbor2
import msgspec

from ..errors import PeerError, ResultCode
from .messages import Message


def encode_message(message: Message) -> bytes:
    """Encode a message.

    Examples
    --------
    >>> from .messages import Proof
    >>> decode_message(encode_message(Proof(b"x")))
    Proof(proof=b'x')
    """
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_message(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    PeerError
        The bytes are not a valid message.
    """
    try:
        return msgspec.convert(cbor2.loads(data), type=Message)
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
        TypeError,
        RecursionError,
        MemoryError,
    ) as exc:
        raise PeerError(ResultCode.PEER_MESSAGE_MALFORMED, str(exc)) from exc
