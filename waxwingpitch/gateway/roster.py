"""Which entry hosts own slots, lead a zone, or have to be linked to."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from ..slots import EntryHost, SlotKey, rank_hosts

# Silence after which a linked peer is passed over; several status intervals.
SILENCE_S = 0.7
# Time in which a link to a peer is expected to be established.
CONNECT_GRACE_S = 0.8
# Hosts of a zone that are tried for a key before the zone counts as lost.
TRIED_HOSTS = 6
# Hosts that are kept linked for each key: its first one, and the next.
KEPT_HOSTS = 2


class Roster:
    """Liveness of the entry hosts, and the first live ones by rank for each key.

    Every process keeps its own roster. Two may disagree for a while on who owns a key;
    all limits hold with two owners.

    Parameters
    ----------
    list_hosts
        Returns the registered hosts by name.
    clock
        Returns the boot time.

    Attributes
    ----------
    is_ready
        Whether this host knows the configuration and the targets.
    """

    def __init__(
        self,
        local: EntryHost,
        list_hosts: Callable[[], dict[str, EntryHost]],
        clock: Callable[[], float],
    ):
        self.local = local
        self.is_ready = False
        self._list_hosts = list_hosts
        self._clock = clock
        self._heard: dict[str, float] = {}
        self._ready: set[str] = set()
        self._stopping: set[str] = set()
        self._first_wanted: dict[str, float] = {}
        self._leads: set[str] = set()
        self._listed: dict[str, EntryHost] = {}
        self._hosts: dict[str, EntryHost] = {local.name: local}
        self._rankings: dict[str, list[EntryHost]] = {}

    @property
    def hosts(self) -> dict[str, EntryHost]:
        """Registered hosts by name, this one included."""
        listed = self._list_hosts()
        if listed != self._listed:
            self._listed = dict(listed)
            self._hosts = {**listed, self.local.name: self.local}
            self._rankings.clear()
        return self._hosts

    def record_heard(self, peer: str) -> None:
        """Record that a message of a linked peer arrived."""
        self._heard[peer] = self._clock()

    def record_lost(self, peer: str) -> None:
        """Record that the link to a peer ended."""
        self._heard.pop(peer, None)
        self._ready.discard(peer)
        self._stopping.discard(peer)
        self._first_wanted[peer] = self._clock() - CONNECT_GRACE_S

    def record_state(self, peer: str, *, is_ready: bool, is_stopping: bool) -> None:
        """Record whether a peer can own slots, and whether it stops."""
        (self._ready.add if is_ready else self._ready.discard)(peer)
        if is_stopping:
            self._stopping.add(peer)

    def stop(self) -> None:
        """Own and lead nothing any more, as this process stops."""
        self._stopping.add(self.local.name)

    def is_live(self, peer: str) -> bool:
        """Return whether a peer is linked, was heard lately and does not stop."""
        return peer not in self._stopping and self.is_heard(peer)

    def is_stopping(self, peer: str) -> bool:
        """Return whether a linked peer said that it stops."""
        return peer in self._stopping

    def is_pending(self, peer: str) -> bool:
        """Return whether it is not known yet if a peer is live."""
        if peer in self._stopping or peer in self._heard:
            return False
        wanted_at = self._first_wanted.get(peer)
        return wanted_at is None or self._clock() - wanted_at < CONNECT_GRACE_S

    def find_owner(self, key: SlotKey) -> str | None:
        """Return the host that owns a zone's slots; None if none is known.

        A host that stops owns them only if no other does.
        """
        last_resort = None
        for host in self._iter_zone(f"slots {key}", key.zone):
            if not self._is_host_ready(host.name):
                continue
            if self.is_live(host.name):
                return host.name
            if host.name in self._stopping and self.is_heard(host.name):
                last_resort = last_resort or host.name
        return last_resort

    def find_head(self, zone: str) -> str | None:
        """Return the host that leads a zone; None if none is known."""
        key = f"head {zone}"
        pending = False
        for host in self._iter_zone(key, zone):
            if not self.is_live(host.name):
                pending |= self.is_pending(host.name)
            elif host.name != self.local.name:
                self._leads.discard(key)
                return host.name
            elif not pending or key in self._leads:
                self._leads.add(key)
                return host.name
            else:
                return None
        return None

    def may_have_head(self, zone: str) -> bool:
        """Return whether a zone has a head, or may have one that is not known yet."""
        return any(
            self.is_live(host.name) or self.is_pending(host.name)
            for host in self._iter_zone(f"head {zone}", zone)
        )

    def is_among_first(self, key: str, zone: str) -> bool:
        """Return whether this host is, or would be next, the first of a key."""
        first = [
            host.name
            for host in self._iter_zone(key, zone)
            if self.is_live(host.name) or self.is_pending(host.name)
        ]
        return self.local.name in first[:KEPT_HOSTS]

    def list_owners(self, key: SlotKey) -> list[str]:
        """Return the host that owns a zone's slots, and the next one.

        Hosts of higher rank that stop are among them, as they still decide on the
        requests that wait there.
        """
        found: list[str] = []
        live = 0
        for host in self._iter_zone(f"slots {key}", key.zone):
            if live >= KEPT_HOSTS:
                break
            if self.is_heard(host.name):
                found.append(host.name)
                live += self.is_live(host.name)
        return found

    def list_heads(self, zone: str) -> list[str]:
        """Return the host that leads a zone, and the next one."""
        live = [
            host.name
            for host in self._iter_zone(f"head {zone}", zone)
            if self.is_live(host.name)
        ]
        return live[:KEPT_HOSTS]

    def list_wanted(self, keys: Iterable[tuple[str, str, int]]) -> set[str]:
        """Return the peers to link to, so that the first hosts of keys are known.

        Parameters
        ----------
        keys
            Key, its zone, and the number of live hosts wanted.
        """
        now = self._clock()
        wanted: set[str] = set()
        for key, zone, count in keys:
            live = 0
            for host in self._iter_zone(key, zone):
                if live >= count:
                    break
                wanted.add(host.name)
                self._first_wanted.setdefault(host.name, now)
                live += self.is_live(host.name) or self.is_pending(host.name)
        wanted.discard(self.local.name)
        return wanted

    def list_served_zones(self, zones: Iterable[str]) -> tuple[str, ...]:
        """Return this host's zone, and lost ones that its zone serves meanwhile."""
        lost = [
            zone for zone in zones if zone != self.local.zone and self._is_lost(zone)
        ]
        served = [self.local.zone]
        for zone in lost:
            order = order_zones(zones, key=zone)
            if next(name for name in order if name not in lost) == self.local.zone:
                served.append(zone)
        return tuple(served)

    def _is_lost(self, zone: str) -> bool:
        """Return whether all hosts of a zone seem lost, some being registered."""
        has_hosts = any(host.zone == zone for host in self.hosts.values())
        return has_hosts and not self.may_have_head(zone)

    def list_long_lost(self, lost_s: float) -> list[str]:
        """Return the hosts of this zone that have had no link for long."""
        now = self._clock()
        return [
            host.name
            for host in self.hosts.values()
            if host.zone == self.local.zone
            and not self.is_live(host.name)
            and host.name not in self._heard
            and now - self._first_wanted.setdefault(host.name, now) > lost_s
        ]

    def is_heard(self, peer: str) -> bool:
        """Return whether a peer is linked and was heard lately, even if it stops."""
        if peer == self.local.name:
            return True
        heard_at = self._heard.get(peer)
        return heard_at is not None and self._clock() - heard_at < SILENCE_S

    def measure_heard_share(self) -> float:
        """Return the share of the zone's hosts that this one hears, itself included."""
        hosts = [item for item in self.hosts.values() if item.zone == self.local.zone]
        return sum(self.is_heard(host.name) for host in hosts) / len(hosts)

    def is_deciding(self, peer: str) -> bool:
        """Return whether a peer answers and knows the targets, even if it stops."""
        return self.is_heard(peer) and self._is_host_ready(peer)

    def _is_host_ready(self, name: str) -> bool:
        return self.is_ready if name == self.local.name else name in self._ready

    def _iter_zone(self, key: str, zone: str) -> Iterator[EntryHost]:
        """Yield the first hosts of a zone by rank, this one among them if it is there.

        This host is the last resort for its own zone.
        """
        has_local = False
        for host in self._rank(key, zone)[:TRIED_HOSTS]:
            if host.zone != zone:
                break
            has_local |= host.name == self.local.name
            yield host
        if zone == self.local.zone and not has_local:
            yield self.local

    def _rank(self, key: str, zone: str) -> list[EntryHost]:
        hosts = self.hosts
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = self._rankings[key] = rank_hosts(key, zone, hosts.values())
        return ranking


def order_zones(zones: Iterable[str], *, key: str = "") -> tuple[str, ...]:
    """Return zones in an order that all hosts compute alike, another for each key."""
    ranked = rank_hosts(key, "", [EntryHost(zone, "", "", 1.0) for zone in zones])
    return tuple(host.name for host in ranked)
