"""Structured logs and metrics."""

from __future__ import annotations

from .logs import set_up_logging
from .metrics import EntryMetrics

__all__ = ["EntryMetrics", "set_up_logging"]
