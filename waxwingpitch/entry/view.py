"""State of the cluster as known to one entry host.

The coordination task writes it, except that requests record and clear suspects and
the daemon sets ``stopping``.
"""

from __future__ import annotations

from ..agreed import AgreedDocuments
from ..configuration import Configuration
from ..membership import Member, MemberList
from ..ports import Host
from ..requests import SuspectBook
from ..targets import EvidenceBook, TargetDirectory
from .agreed_view import AgreedState


class EntryView:
    """State that the tasks of one process share.

    Parameters
    ----------
    me
        This process.

    Attributes
    ----------
    agreed
        Decoded agreed documents.
    hosts_version
        Version of the latest host list; None before the first one.
    ever_listed
        Ids of all hosts that any host list contained.
    connected
        Ids of the peers that are connected.
    stopping
        Whether this process admits no new requests.
    """

    def __init__(self, me: Member):
        self.me = me
        self.documents = AgreedDocuments()
        self.agreed = AgreedState(Configuration(), {}, {})
        self.hosts: tuple[Host, ...] = ()
        self.hosts_version: str | None = None
        self.ever_listed: frozenset[str] = frozenset()
        self.evidence = EvidenceBook()
        self.suspects = SuspectBook()
        self.directory = TargetDirectory(self.evidence)
        self.connected: frozenset[str] = frozenset()
        self.stopping = False

    @property
    def cfg(self) -> Configuration:
        """The configuration in force."""
        return self.agreed.cfg

    @property
    def own_list(self) -> MemberList:
        """The member list of this process's zone."""
        return self.agreed.lists.get(self.me.zone, MemberList(self.me.zone))

    def alive_in_zone(self) -> list[str]:
        """Return the ids of this zone's members that are connected, and of this one."""
        ids = [member.id for member in self.own_list.members]
        alive = [item for item in ids if item in self.connected or item == self.me.id]
        return alive or [self.me.id]

    def refresh_directory(self) -> None:
        """Update the directory from the configuration, hosts and group tables."""
        self.directory.update(self.cfg, self.hosts, self.agreed.tables)
