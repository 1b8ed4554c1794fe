"""The gateway daemon: routes callers' requests to targets on the users' platform.

Each entry host runs one gateway; the gateways of the other entry hosts are its peers.
"""

from __future__ import annotations

from .daemon import GatewayDaemon

__all__ = ["GatewayDaemon"]
