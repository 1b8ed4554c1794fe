"""How old what a gateway knows of the store is."""

from __future__ import annotations

from collections.abc import Iterable

from ..clocks import boot_time
from ..platform import OPERATOR_PREFIX, TARGET_PREFIX

# Prefixes whose changes must be in force in time.
TIMELY_PREFIXES = (OPERATOR_PREFIX, TARGET_PREFIX)
# Age from which a gateway follows another one, or reads the store itself.
STALE_AFTER_S = 1.2
# Age from which a change that has been confirmed may not be known here.
OUTDATED_AFTER_S = 1.5
# Largest age that a message tells.
MAX_AGE_S = 600.0


class Freshness:
    """Boot times as of which all changes below prefixes are known.

    That the store answers a call about something else proves nothing.
    """

    def __init__(self):
        self._known_at: dict[str, float] = {}

    def confirm(self, prefix: str, known_at: float) -> None:
        """Record that all changes below a prefix until a boot time are known."""
        self._known_at[prefix] = max(known_at, self._known_at.get(prefix, 0.0))

    def knows(self, prefixes: Iterable[str]) -> bool:
        """Return whether anything was ever known of all prefixes."""
        return all(item in self._known_at for item in prefixes)

    def find_age_s(self, prefixes: Iterable[str]) -> float:
        """Return the age of the oldest knowledge; since boot if there is none."""
        return boot_time() - min(self._known_at.get(item, 0.0) for item in prefixes)


def to_age_ms(age_s: float) -> int:
    """Return an age as messages tell it, in milliseconds."""
    return int(1000 * min(MAX_AGE_S, max(0.0, age_s)))
