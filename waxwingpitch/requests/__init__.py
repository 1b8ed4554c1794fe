"""Requests: idempotency keys, claims, retries and assembly of answers.

Each caller receives one complete answer to its own request. A request is reported
as not run only if it did not run and will not run later.
"""

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
