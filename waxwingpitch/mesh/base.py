"""Base of the messages between entry hosts."""

from __future__ import annotations

import msgspec


class MeshMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


class MeshItem(msgspec.Struct, frozen=True, array_like=True):
    """Base of the parts of messages that are repeated in them."""
