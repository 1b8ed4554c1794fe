"""The memory and the connections that a process gives to its callers."""

from .account import CallerAccount, CallerHold
from .common import CallerBounds, HoldKind, Rejection, RejectionReason

__all__ = [
    "CallerAccount",
    "CallerBounds",
    "CallerHold",
    "HoldKind",
    "Rejection",
    "RejectionReason",
]
