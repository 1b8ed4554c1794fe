"""Ranking of entry hosts, by which each zone's owners and readers are found.

Rendezvous hashing (Thaler and Ravishankar, 1998), weighted: a host is first for a share
of the keys that grows with its weight, and only the keys of a lost host move.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

_HASH_RANGE = 2.0**64
MIN_WEIGHT = 0.01
# Prefers strong hosts beyond their share: a weak one that leads delays its whole zone.
WEIGHT_EXPONENT = 3


@dataclass(frozen=True, slots=True)
class EntryHost:
    """An entry host as it registered itself.

    Attributes
    ----------
    address
        ``IP:port`` of its mesh listener.
    weight
        What it can carry, in cores; less if its link is slow.
    incarnation
        Differs after each restart of its process.
    relay
        ``IP:port`` at which it opens connections to targets for others; empty for none.
    """

    name: str
    address: str
    zone: str
    weight: float
    incarnation: str = ""
    relay: str = ""


def rank_hosts(key: str, zone: str, hosts: Iterable[EntryHost]) -> list[EntryHost]:
    """Return the hosts in the order in which they take over a zone's key.

    Hosts of other zones follow those of the zone.

    Examples
    --------
    >>> hosts = [EntryHost("a", "", "z", 1.0), EntryHost("b", "", "y", 1.0)]
    >>> [host.name for host in rank_hosts("k", "y", hosts)]
    ['b', 'a']
    """
    return sorted(
        hosts, key=lambda host: (host.zone != zone, -_score(key, host), host.name)
    )


def _score(key: str, host: EntryHost) -> float:
    hashed = xxhash.xxh64_intdigest(f"{key}\0{host.name}".encode())
    weight = max(host.weight, MIN_WEIGHT) ** WEIGHT_EXPONENT
    return -weight / math.log((hashed + 0.5) / _HASH_RANGE)
