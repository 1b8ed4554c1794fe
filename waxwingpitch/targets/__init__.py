"""Targets: their state, evidence about them and the load on them.

A target whose warmth is unknown counts as cold.
"""

from __future__ import annotations

from .directory import Target, TargetDirectory
from .evidence import EVIDENCE_VALID_S, EvidenceBook, Health, HostEvidence
from .windows import ConcurrencyWindow

__all__ = [
    "EVIDENCE_VALID_S",
    "ConcurrencyWindow",
    "EvidenceBook",
    "Health",
    "HostEvidence",
    "Target",
    "TargetDirectory",
]
