"""Mesh of entry hosts: authenticated websocket links that carry CBOR messages."""

from __future__ import annotations

from .codec import decode_message, encode_message
from .handshake import Identity
from .messages import (
    MESH_VERSION,
    Digest,
    DocumentItem,
    Documents,
    Evidence,
    EvidenceItem,
    EvidenceSet,
    EvidenceSetRequest,
    EvidenceSetState,
    Heartbeat,
    Message,
    SuspectItem,
    Suspects,
)
from .node import LinkDown, LinkUp, MeshNode, Received

__all__ = [
    "MESH_VERSION",
    "Digest",
    "DocumentItem",
    "Documents",
    "Evidence",
    "EvidenceItem",
    "EvidenceSet",
    "EvidenceSetRequest",
    "EvidenceSetState",
    "Heartbeat",
    "Identity",
    "LinkDown",
    "LinkUp",
    "MeshNode",
    "Message",
    "Received",
    "SuspectItem",
    "Suspects",
    "decode_message",
    "encode_message",
]
