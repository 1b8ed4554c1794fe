"""Answers of the owners in this process to the clients that asked for slots."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import structs

from ..mesh.fleet_messages import SlotRefusal
from ..mesh.messages import Message
from ..slots import Granted, Refused
from .slot_client import SlotClient
from .slot_wire import decode_refusal, encode_grant, encode_refusal


class SlotReplies:
    """Answers clients, of which one is this process itself.

    Parameters
    ----------
    name
        Name of this host.
    deliver
        Hands a message to a host; returns False if it is not linked.
    """

    def __init__(
        self, name: str, client: SlotClient, deliver: Callable[[str, Message], bool]
    ):
        self._name = name
        self._client = client
        self._deliver = deliver

    def give(self, granted: Granted, now: float) -> bool:
        """Give a slot to its client; return False if the client is gone."""
        if granted.client != self._name:
            message = encode_grant(granted.number, granted, now)
            return self._deliver(granted.client, message)
        if not self._client.has_pending(granted.number):
            return False
        self._client.resolve(
            self._name, granted.number, granted.offer, granted.in_flight
        )
        return True

    def refuse(self, refused: Refused) -> None:
        """Tell a client that its request gets no slot."""
        if refused.client == self._name:
            self._client.finish_refused(refused.number, refused)
        else:
            message = encode_refusal(refused.number, refused)
            self._deliver(refused.client, message)

    def pass_refusal(self, client: str, number: int, message: SlotRefusal) -> None:
        """Pass a refusal by another zone on to the client."""
        refusal = structs.replace(message, number=number)
        if client == self._name:
            refused = decode_refusal(self._name, refusal)
            self._client.finish_refused(number, refused)
        else:
            self._deliver(client, refusal)

    def decline(self, client: str, number: int) -> None:
        """Tell another zone's owner that no slot is free."""
        refusal = SlotRefusal(number, 0.0, "no free slot", 0, 0, 0.0, True)
        self._deliver(client, refusal)
