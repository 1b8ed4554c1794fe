"""Path of the readiness check that the load balancer sends to a process."""

from __future__ import annotations

READY_PATH = "/waxwingpitch/ready"
