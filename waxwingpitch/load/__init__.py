"""Load tool: open-loop load from a profile, with what was lost or doubled."""

from __future__ import annotations

from .profile import LoadProfile, read_profile
from .report import LoadReport, render_report
from .runner import LoadRunner

__all__ = ["LoadProfile", "LoadReport", "LoadRunner", "read_profile", "render_report"]
