"""The entry daemon: tasks, sockets and the HTTP interface."""

from __future__ import annotations

from .daemon import EntryDaemon

__all__ = ["EntryDaemon"]
