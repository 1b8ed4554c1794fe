"""The gateway daemon: routes callers' requests to targets on the users' platform."""

from __future__ import annotations

from .daemon import GatewayDaemon

__all__ = ["GatewayDaemon"]
