"""Replica groups: a host is in at most one group, and only complete groups serve."""

from __future__ import annotations

from .planner import DomainView, HostView, PlannerPolicy, plan_domain
from .steps import (
    DissolveGroup,
    DrainGroup,
    FormGroup,
    RejoinGroup,
    Step,
    SwapMembers,
    apply_step,
)
from .table import Group, GroupMember, GroupTable, decode_table, encode_table

__all__ = [
    "DissolveGroup",
    "DomainView",
    "DrainGroup",
    "FormGroup",
    "Group",
    "GroupMember",
    "GroupTable",
    "HostView",
    "PlannerPolicy",
    "RejoinGroup",
    "Step",
    "SwapMembers",
    "apply_step",
    "decode_table",
    "encode_table",
    "plan_domain",
]
