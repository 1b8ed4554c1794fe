"""The gateway daemon: serves callers on the users' platform."""

from __future__ import annotations

from .daemon import GatewayDaemon

__all__ = ["GatewayDaemon"]
