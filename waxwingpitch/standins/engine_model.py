"""Performance parameters of the engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EnginePerformance:
    """Performance and limits of the engines of a fleet.

    Attributes
    ----------
    step_s
        Duration of one prefill or decoding step of a batch, in seconds.
    prefill_tokens
        Number of prompt tokens that one prefill step processes.
    batch
        Largest number of requests in a batch.
    cold_cap
        Largest number of concurrent requests that a cold engine can run; it crashes
        above this number.
    cold_s
        Time from joining a group, or from the end of loading, until the engine is
        warm, in seconds.
    restart_s
        Time from a crash until the engine is up again, in seconds.
    retain_s
        Time for which a generation without a reader is kept, in seconds.
    report_lag_s
        Interval at which the reported load is sampled, in seconds.
    checks_fencing
        Whether orders with a stale epoch are refused.
    cache_blocks
        Number of prompt blocks that fit in the prefix cache.
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
