"""Configuration of services, workspaces and zones.

The revision grows by one with each accepted submission; an accepted submission is
never rolled back.
"""

from __future__ import annotations

from .builder import ConfigurationBuilder
from .document import decode_configuration, encode_configuration, render_configuration
from .model import (
    Configuration,
    RoutingPolicyName,
    Service,
    ServiceKind,
    Spill,
    Workspace,
    Zone,
    hash_token,
)
from .submission import Submission, SubmissionOutcome, describe_difference, submit

__all__ = [
    "Configuration",
    "ConfigurationBuilder",
    "RoutingPolicyName",
    "Service",
    "ServiceKind",
    "Spill",
    "Submission",
    "SubmissionOutcome",
    "Workspace",
    "Zone",
    "decode_configuration",
    "describe_difference",
    "encode_configuration",
    "hash_token",
    "render_configuration",
    "submit",
]
