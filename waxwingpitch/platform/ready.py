"""Path of the balancer's question whether a process is ready."""

from __future__ import annotations

READY_PATH = "/waxwingpitch/ready"
