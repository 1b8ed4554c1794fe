"""Speeds and limits of the engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Speeds and limits of the engines of a fleet.

    Attributes
    ----------
    step_s
        Time of one decoding step of a batch, in seconds.
    prefill_tokens
        Prompt tokens that one step takes in.
    batch
        Requests in a batch.
    cold_cap
        Most requests at once that a cold engine bears before it falls over.
    cold_s
        Time from the end of loading until the engine is warm, in seconds.
    restart_s
        Time from a crash until the engine is up again, in seconds.
    retain_s
        Time for which a stream without reader goes on, in seconds.
    report_lag_s
        Age of the reported load, in seconds.
    checks_fencing
        Whether orders with an old epoch are refused.
    cache_blocks
        Prompt blocks that fit in the prefix cache.
    """

    step_s: float = 0.01
    prefill_tokens: int = 512
    batch: int = 32
    cold_cap: int = 2
    cold_s: float = 0.5
    restart_s: float = 0.5
    retain_s: float = 5.0
    report_lag_s: float = 0.2
    checks_fencing: bool = True
    cache_blocks: int = 512
