"""Request aggregate: one answer, whole, to its own caller; not run means not run."""

from __future__ import annotations

from .assembly import AnswerAssembly
from .claims import Claim, ClaimDocument, ClaimState
from .keys import IdempotencyKey, KeyAge, issue_bound_key, parse_key
from .suspects import SuspectBook, Verdict, fingerprint_request

__all__ = [
    "AnswerAssembly",
    "Claim",
    "ClaimDocument",
    "ClaimState",
    "IdempotencyKey",
    "KeyAge",
    "SuspectBook",
    "Verdict",
    "fingerprint_request",
    "issue_bound_key",
    "parse_key",
]
