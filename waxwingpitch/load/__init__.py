"""Open-loop load generator that also reports lost and duplicated calls."""

from __future__ import annotations

from .profile import LoadProfile, read_profile
from .report import LoadReport, render_report
from .runner import LoadRunner

__all__ = ["LoadProfile", "LoadReport", "LoadRunner", "read_profile", "render_report"]
