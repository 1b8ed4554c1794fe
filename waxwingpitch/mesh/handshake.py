"""Mutual authentication of two entry hosts by the shared mesh key."""

from __future__ import annotations

import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from ..errors import PeerError, ResultCode
from .codec import decode_message, encode_message
from .messages import (
    MESH_VERSION,
    OLDEST_MESH_VERSION,
    Challenge,
    Hello,
    Message,
    Proof,
    Refusal,
)

NONCE_BYTES = 16

Send = Callable[[bytes], None]
Receive = Callable[[], bytes]


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a process is."""

    id: str
    incarnation: str
    zone: str


def connect_handshake(send: Send, receive: Receive, me: Identity, key: str) -> Identity:
    """Authenticate as the side that connects and return the other side.

    Raises
    ------
    PeerError
        The other side refused, or does not know the key.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = Hello(
        MESH_VERSION, OLDEST_MESH_VERSION, me.id, me.incarnation, me.zone, nonce
    )
    send(encode_message(hello))
    match decode_message(receive()):
        case Challenge() as challenge:
            peer = Identity(challenge.id, challenge.incarnation, challenge.zone)
            expected = _prove(key, b"accept", nonce, challenge.nonce, peer)
            _check_proof(expected, challenge.proof)
            proof = _prove(key, b"connect", nonce, challenge.nonce, me)
            send(encode_message(Proof(proof)))
            return peer
        case other:
            raise _unexpected(other)


def accept_handshake(send: Send, receive: Receive, me: Identity, key: str) -> Identity:
    """Authenticate as the side that accepts and return the other side.

    Raises
    ------
    PeerError
        The other side does not know the key, or its version is too old.
    """
    match decode_message(receive()):
        case Hello() as hello:
            pass
        case other:
            raise _unexpected(other)
    if hello.version < OLDEST_MESH_VERSION or hello.oldest > MESH_VERSION:
        raise PeerError(
            ResultCode.PEER_VERSION,
            f"peer {hello.id!r} speaks versions {hello.oldest} to {hello.version}; "
            f"valid: {OLDEST_MESH_VERSION} to {MESH_VERSION}",
        )
    peer = Identity(hello.id, hello.incarnation, hello.zone)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _prove(key, b"accept", hello.nonce, nonce, me)
    send(
        encode_message(
            Challenge(MESH_VERSION, me.id, me.incarnation, me.zone, nonce, proof)
        )
    )
    match decode_message(receive()):
        case Proof() as answer:
            expected = _prove(key, b"connect", hello.nonce, nonce, peer)
            _check_proof(expected, answer.proof)
            return peer
        case other:
            raise _unexpected(other)


def refuse(send: Send, exc: PeerError) -> None:
    """Tell the other side why it is refused."""
    send(encode_message(Refusal(int(exc.code), exc.message)))


def _prove(key: str, role: bytes, first: bytes, second: bytes, who: Identity) -> bytes:
    parts = (role, first, second, who.id, who.incarnation, who.zone)
    text = b"\0".join(
        part if isinstance(part, bytes) else part.encode() for part in parts
    )
    return hmac.digest(key.encode(), text, "sha256")


def _check_proof(expected: bytes, proof: bytes) -> None:
    if not hmac.compare_digest(expected, proof):
        raise PeerError(
            ResultCode.PEER_UNAUTHENTICATED, "the peer has another mesh key"
        )


def _unexpected(message: Message) -> PeerError:
    match message:
        case Refusal(code=code, reason=reason) if code in set(ResultCode):
            return PeerError(ResultCode(code), reason)
        case _:
            return PeerError(
                ResultCode.PEER_MESSAGE_MALFORMED,
                f"unexpected {type(message).__name__} in the handshake",
            )
