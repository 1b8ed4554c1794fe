"""Turns in which the planners of different zones may move targets between models.

All of them see the same demand, and would give up groups for the same model at once.
"""

from __future__ import annotations

from collections.abc import Sequence

# Long enough for the others to hear of a planner's groups before their turns.
TURN_S = 0.5


def has_turn(zone: str, zones: Sequence[str], unix_s: float) -> bool:
    """Return whether it is a zone's turn.

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
    return int(unix_s / TURN_S) % len(ordered) == ordered.index(zone)
