"""Admission: bounded queues by priority, weighted fair by workspace."""

from __future__ import annotations

from .budget import RetryBudget
from .queue import FairQueue, Ticket

__all__ = ["FairQueue", "RetryBudget", "Ticket"]
