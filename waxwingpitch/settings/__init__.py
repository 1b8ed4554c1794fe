"""Settings of the entry daemon, read once at start."""

from __future__ import annotations

from .entry import (
    EntrySettings,
    HttpSettings,
    LimitSettings,
    LogLevel,
    MeshSettings,
    PlatformSettings,
    load_entry_settings,
)

__all__ = [
    "EntrySettings",
    "HttpSettings",
    "LimitSettings",
    "LogLevel",
    "MeshSettings",
    "PlatformSettings",
    "load_entry_settings",
]
