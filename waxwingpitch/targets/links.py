"""Links from this entry host to targets: which are lost while peers reach the target.

A target that this host does not reach may have ended, or only the link to it is lost.
A peer that reaches it shows the latter. When several targets in turn are reached by
peers only, all links are presumed lost, so that no request waits to find that out for
one more target.
"""

from __future__ import annotations

# Targets in turn that only peers reached, after which all links are presumed lost.
PRESUMED_LOST_AFTER = 3
# Time without use after which a lost link is forgotten, unless all are presumed lost.
LOST_TTL_S = 5.0
# Time for which a target that neither this host nor its peers reached is not asked of
# peers again.
UNREACHED_TTL_S = 0.5
# Minimum time between two checks of the link to one target.
CHECK_INTERVAL_S = 0.4


class LinkBook:
    """What is known of the links to targets, by their addresses.

    Examples
    --------
    >>> links = LinkBook()
    >>> for address in ("t1", "t2", "t3"):
    ...     _ = links.record_relayed(address, now=0.0)
    >>> links.is_cut, links.prefers_relay("t4")
    (True, True)
    >>> links.record_reached("t1")
    >>> links.is_cut, links.prefers_relay("t4")
    (False, False)
    """

    def __init__(self):
        self._lost: dict[str, float] = {}
        self._lost_in_turn: set[str] = set()
        self._unreached_until: dict[str, float] = {}
        self._checked_at: dict[str, float] = {}

    @property
    def is_cut(self) -> bool:
        """Whether the links to all targets are presumed lost."""
        return len(self._lost_in_turn) >= PRESUMED_LOST_AFTER

    def prefers_relay(self, address: str) -> bool:
        """Return whether a peer is asked for a connection before the link is tried."""
        return self.is_cut or address in self._lost

    def may_ask_peers(self, address: str, now: float) -> bool:
        """Return whether a peer is asked for a connection that can't be opened here."""
        return now >= self._unreached_until.get(address, 0.0)

    def record_reached(self, address: str) -> None:
        """Record that a connection to a target was opened from here."""
        self._lost_in_turn.clear()
        self._lost.pop(address, None)
        self._unreached_until.pop(address, None)

    def record_relayed(self, address: str, now: float) -> bool:
        """Record that only a peer could open a connection to a target.

        Returns
        -------
        bool
            Whether the link was not known to be lost.
        """
        is_new = address not in self._lost
        self._lost[address] = now
        self._lost_in_turn.add(address)
        return is_new

    def record_unreached(self, address: str, now: float) -> None:
        """Record that no peer opened a connection to a target."""
        self._lost.pop(address, None)
        self._unreached_until[address] = now + UNREACHED_TTL_S

    def may_check(self, address: str, now: float) -> bool:
        """Return whether the link to a silent target is to be checked now."""
        if now - self._checked_at.get(address, -CHECK_INTERVAL_S) < CHECK_INTERVAL_S:
            return False
        self._checked_at[address] = now
        return True

    def list_lost(self) -> list[str]:
        """Return the addresses whose links are lost."""
        return list(self._lost)

    def expire(self, now: float) -> None:
        """Forget what is long past."""
        for known in (self._unreached_until, self._checked_at):
            for address in [key for key, at in known.items() if now - at > LOST_TTL_S]:
                del known[address]
        if self.is_cut:
            return
        for address in [key for key, at in self._lost.items() if now - at > LOST_TTL_S]:
            del self._lost[address]
            self._lost_in_turn.discard(address)
