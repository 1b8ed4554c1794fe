"""What one entry host knows; written by the coordination task only."""

from __future__ import annotations

from ..agreed import AgreedDocuments
from ..configuration import Configuration
from ..membership import Member, MemberList
from ..ports import Host
from ..requests import SuspectBook
from ..targets import EvidenceBook, TargetDirectory
from .agreed_view import AgreedState


class EntryView:
    """Knowledge that the tasks of one process share.

    Parameters
    ----------
    me
        This process.
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
        """The configuration that is acted on."""
        return self.agreed.cfg

    @property
    def own_list(self) -> MemberList:
        """The member list of this process's zone."""
        return self.agreed.lists.get(self.me.zone, MemberList(self.me.zone))

    def alive_in_zone(self) -> list[str]:
        """Return the ids of this zone's members that are reached, and this one."""
        ids = [member.id for member in self.own_list.members]
        alive = [item for item in ids if item in self.connected or item == self.me.id]
        return alive or [self.me.id]

    def refresh_directory(self) -> None:
        """Give the directory what is known now."""
        self.directory.update(self.cfg, self.hosts, self.agreed.tables)
