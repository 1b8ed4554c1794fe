"""Structured logs and metrics."""

from __future__ import annotations

from .logs import set_up_logging
from .metrics import EntryMetrics, GatewayMetrics, render_metrics

__all__ = ["EntryMetrics", "GatewayMetrics", "render_metrics", "set_up_logging"]
