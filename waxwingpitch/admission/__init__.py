"""Admission control: bounded priority queues, weighted fair between workspaces."""

from __future__ import annotations

from .budget import RetryBudget
from .fresh import FreshFirstQueue
from .queue import FairQueue, Ticket

__all__ = ["FairQueue", "FreshFirstQueue", "RetryBudget", "Ticket"]
