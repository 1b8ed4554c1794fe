"""Settings of the daemons, read once at start.

Those of the entry daemon are exported here, those of the gateway in ``gateway``.
"""

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
