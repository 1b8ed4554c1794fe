"""Admission control: bounded priority queues, weighted fair between workspaces."""

from __future__ import annotations

from .budget import RetryBudget
from .fresh import OnTimeFirstQueue
from .queue import FairQueue, Ticket

__all__ = ["FairQueue", "OnTimeFirstQueue", "RetryBudget", "Ticket"]
