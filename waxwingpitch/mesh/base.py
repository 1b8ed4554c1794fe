"""Base of the messages between entry hosts."""

from __future__ import annotations

from typing import ClassVar

import msgspec


class MeshMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages.

    Attributes
    ----------
    since_version
        Version of the messages that this one came with. It is not sent to peers of an
        earlier version, which do not know it.
    """

    since_version: ClassVar[int] = 1


class MeshItem(msgspec.Struct, frozen=True, array_like=True):
    """Base of the parts of messages that are repeated in them."""
