"""Routing: choice of a service and of a usable target for each request."""

from __future__ import annotations

from .common import Candidate, RoutingRequest
from .policies import (
    LeastOutstanding,
    Policy,
    PrefixAffinity,
    RandomChoice,
    RoundRobin,
    Router,
    TwoChoices,
    build_policy,
)
from .prefixes import PrefixIndex, iter_prefix_blocks

__all__ = [
    "Candidate",
    "LeastOutstanding",
    "Policy",
    "PrefixAffinity",
    "PrefixIndex",
    "RandomChoice",
    "RoundRobin",
    "Router",
    "RoutingRequest",
    "TwoChoices",
    "build_policy",
    "iter_prefix_blocks",
]
