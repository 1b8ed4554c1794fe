"""Turns in which the planners of different zones may move targets between models.

All of them see the same demand, and would give up groups for the same model at once.
"""

from __future__ import annotations

from collections.abc import Sequence

# Time in which a planner may begin to move targets.
ACTIVE_S = 0.3
# Time after it in which the others hear of what it has begun.
NEWS_S = 0.3
TURN_S = ACTIVE_S + NEWS_S


def has_turn(zone: str, zones: Sequence[str], unix_s: float) -> bool:
    """Return whether it is a zone's turn and its planner may still begin.

    Turns overlap where clocks differ; the groups that planners tell each other of then
    limit what they give up.

    Parameters
    ----------
    zones
        All zones, in any order.
    unix_s
        Unix time, in seconds.
    """
    ordered = sorted(zones)
    number, within_s = divmod(unix_s, TURN_S)
    is_turn = int(number) % len(ordered) == ordered.index(zone)
    return is_turn and within_s < ACTIVE_S
