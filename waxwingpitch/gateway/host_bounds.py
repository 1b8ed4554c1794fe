"""Parts of a host's memory and descriptors that callers, answers and relays may use."""

from __future__ import annotations

import resource

from ..forwarding.relay import MAX_RELAYED
from ..memory import CallerBounds
from ..settings.gateway import GatewaySettings

BYTES_PER_MIB = 1024 * 1024
# Share of the process's memory that answers of targets may hold together.
ANSWERS_MEMORY_SHARE = 0.2
# Share of it that callers' connections and requests may hold together. On hosts with
# 152 MB, of which an idle process takes 50, it leaves 30 for all else.
CALLERS_MEMORY_SHARE = 0.25
# Descriptors that are reserved for files, and the share of the others for callers. The
# rest is for targets, one for each request, and for peers and the store.
FILE_DESCRIPTORS = 200
CALLERS_DESCRIPTOR_SHARE = 0.4
RELAYED_DESCRIPTOR_SHARE = 0.1
DESCRIPTORS_PER_RELAYED = 2
# The least for callers, also where the settings state next to nothing: some requests
# with bodies of the default limit.
MIN_CALLERS_BYTES = 16 * BYTES_PER_MIB
MIN_CALLERS = 32


def find_answer_bytes(settings: GatewaySettings) -> int:
    """Return the bytes that answers of targets may hold together."""
    return int(settings.memory_mb * BYTES_PER_MIB * ANSWERS_MEMORY_SHARE)


def find_caller_bounds(settings: GatewaySettings) -> CallerBounds:
    """Return what callers may hold in a process with these settings."""
    memory_bytes = int(settings.memory_mb * BYTES_PER_MIB * CALLERS_MEMORY_SHARE)
    connections = int(_count_sockets(settings) * CALLERS_DESCRIPTOR_SHARE)
    return CallerBounds(
        memory_bytes=max(MIN_CALLERS_BYTES, memory_bytes),
        connections=max(MIN_CALLERS, connections),
    )


def find_max_relayed(settings: GatewaySettings) -> int:
    """Return how many connections to targets are relayed for peers at most."""
    share = _count_sockets(settings) * RELAYED_DESCRIPTOR_SHARE
    return min(MAX_RELAYED, int(share / DESCRIPTORS_PER_RELAYED))


def _count_sockets(settings: GatewaySettings) -> int:
    """Return the descriptors that sockets may take."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = settings.max_fds
    return max(0, min(settings.max_fds, allowed) - FILE_DESCRIPTORS)
