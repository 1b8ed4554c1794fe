"""Mutual authentication of two entry hosts with the shared mesh key.

Each side proves that it knows the key by an HMAC over both nonces and its identity.
"""

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
    """Identity of a process.

    Attributes
    ----------
    incarnation
        Differs after each restart of the process.
    version
        Newest version of the messages that it knows.
    """

    id: str
    incarnation: str
    zone: str
    version: int = MESH_VERSION


def connect_handshake(
    send: Send, receive: Receive, local: Identity, key: str
) -> Identity:
    """Authenticate as the connecting side and return the identity of the peer.

    Raises
    ------
    PeerError
        The peer refused the connection, does not know the key or sent a malformed
        message.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = Hello(
        MESH_VERSION,
        OLDEST_MESH_VERSION,
        local.id,
        local.incarnation,
        local.zone,
        nonce,
    )
    send(encode_message(hello))
    match decode_message(receive()):
        case Challenge() as challenge:
            peer = Identity(
                challenge.id,
                challenge.incarnation,
                challenge.zone,
                challenge.version,
            )
            expected = prove(key, b"accept", nonce, challenge.nonce, peer)
            _check_proof(expected, challenge.proof)
            proof = prove(key, b"connect", nonce, challenge.nonce, local)
            send(encode_message(Proof(proof)))
            return peer
        case message:
            raise _unexpected(message)


def accept_handshake(
    send: Send, receive: Receive, local: Identity, key: str
) -> Identity:
    """Authenticate as the accepting side and return the identity of the peer.

    Raises
    ------
    PeerError
        The peer does not know the key, supports no common version or sent a
        malformed message.
    """
    match decode_message(receive()):
        case Hello() as hello:
            pass
        case message:
            raise _unexpected(message)
    if hello.version < OLDEST_MESH_VERSION or hello.oldest > MESH_VERSION:
        raise PeerError(
            ResultCode.PEER_VERSION,
            f"peer {hello.id!r} supports versions {hello.oldest} to {hello.version}; "
            f"valid: {OLDEST_MESH_VERSION} to {MESH_VERSION}",
        )
    peer = Identity(hello.id, hello.incarnation, hello.zone, hello.version)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = prove(key, b"accept", hello.nonce, nonce, local)
    send(
        encode_message(
            Challenge(
                MESH_VERSION, local.id, local.incarnation, local.zone, nonce, proof
            )
        )
    )
    match decode_message(receive()):
        case Proof() as reply:
            expected = prove(key, b"connect", hello.nonce, nonce, peer)
            _check_proof(expected, reply.proof)
            return peer
        case message:
            raise _unexpected(message)


def refuse(send: Send, exc: PeerError) -> None:
    """Tell the peer why its connection is refused."""
    send(encode_message(Refusal(int(exc.code), exc.message)))


def prove(
    key: str, role: bytes, connect_nonce: bytes, accept_nonce: bytes, prover: Identity
) -> bytes:
    """Return the proof that a side of the handshake knows the mesh key."""
    parts = (
        role,
        connect_nonce,
        accept_nonce,
        prover.id,
        prover.incarnation,
        prover.zone,
    )
    mac_input = b"\0".join(
        part if isinstance(part, bytes) else part.encode() for part in parts
    )
    return hmac.digest(key.encode(), mac_input, "sha256")


def _check_proof(expected: bytes, proof: bytes) -> None:
    if not hmac.compare_digest(expected, proof):
        raise PeerError(
            ResultCode.PEER_UNAUTHENTICATED,
            "the peer's proof does not match the mesh key",
        )


def _unexpected(message: Message) -> PeerError:
    match message:
        case Refusal(code=code, reason=reason) if code in set(ResultCode):
            return PeerError(ResultCode(code), reason)
        case _:
            return PeerError(
                ResultCode.PEER_MESSAGE_MALFORMED,
                f"unexpected message {type(message).__name__} in the handshake",
            )
