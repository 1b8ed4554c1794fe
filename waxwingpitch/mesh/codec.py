"""CBOR encoding of mesh messages."""

from __future__ import annotations

import cbor2
import msgspec

from ..errors import PeerError, ResultCode
from .messages import Message, list_tags

_TAGS = list_tags()


class UnknownMessageError(PeerError):
    """A message of a kind that this version does not know.

    Attributes
    ----------
    tag
        Number of its kind.
    """

    def __init__(self, tag: int):
        self.tag = tag
        super().__init__(
            ResultCode.PEER_MESSAGE_UNKNOWN,
            f"message kind {tag}; valid: {', '.join(map(str, sorted(_TAGS)))}",
        )


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
    UnknownMessageError
        The message is of a kind that this version does not know.
    PeerError
        The bytes are not a valid message.
    """
    try:
        plain = cbor2.loads(data)
        tag = plain[0] if isinstance(plain, list) and plain else None
        if type(tag) is int and tag not in _TAGS:
            raise UnknownMessageError(tag)
        return msgspec.convert(plain, type=Message)
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
        TypeError,
        RecursionError,
        MemoryError,
    ) as exc:
        raise PeerError(ResultCode.PEER_MESSAGE_MALFORMED, str(exc)) from exc
