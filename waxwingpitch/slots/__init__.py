"""Slots of replicas, each counted by one entry host of its zone.

The owner of a zone's slots for one service and model places all requests of the zone's
entry hosts, keeps one queue for them and knows the limits of cold targets and retries.
It holds soft state only: when it is lost, the next entry host by rank goes on with what
the others report to hold.
"""

from __future__ import annotations

from .common import (
    BUDGET_SPENT,
    Declined,
    Forwarded,
    Granted,
    KeySummary,
    Outcome,
    Refused,
    SlotKey,
    SlotOffer,
    SlotRequest,
)
from .owner import SlotOwner
from .ranking import EntryHost, rank_hosts

__all__ = [
    "BUDGET_SPENT",
    "Declined",
    "EntryHost",
    "Forwarded",
    "Granted",
    "KeySummary",
    "Outcome",
    "Refused",
    "SlotKey",
    "SlotOffer",
    "SlotOwner",
    "SlotRequest",
    "rank_hosts",
]
