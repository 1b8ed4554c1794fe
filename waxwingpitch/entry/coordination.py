"""Coordination task: takes in documents, evidence and suspects, and spreads them."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import xxhash

from ..agreed import Document
from ..configuration.document import decode_stored
from ..configuration.submission import CONFIGURATION_KEY
from ..errors import WaxwingpitchError
from ..groups import decode_table
from ..groups.table import TABLE_PREFIX
from ..membership import MemberList, decode_members, select_neighbours
from ..mesh import (
    Digest,
    DocumentItem,
    Documents,
    Evidence,
    Heartbeat,
    Identity,
    LinkDown,
    LinkUp,
    MeshNode,
    Received,
    Suspects,
)
from ..ports import HostSnapshot, TargetReport
from ..requests.suspects import SuspectRecord
from ..targets import Health
from ..task import Task
from .evidence_wire import ClockOffsets, decode_evidence, encode_evidence
from .suspect_wire import decode_suspects, encode_suspects
from .view import EntryView

HEARTBEAT_S = 1.0
SUMMARY_S = 2.0
MEMBERS_PREFIX = "agreed/members/"

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DocumentsSeen:
    """Documents read from the key-value service."""

    docs: tuple[Document, ...]


@dataclass(frozen=True, slots=True)
class HostsSeen:
    """A newer list of hosts."""

    snapshot: HostSnapshot


@dataclass(frozen=True, slots=True)
class Observed:
    """An observation of this process's own; ``report`` is None on failure."""

    host: str
    health: Health
    at: float
    report: TargetReport | None = None


@dataclass(frozen=True, slots=True)
class CrashSeen:
    """A request was in flight when a target crashed."""

    fingerprint: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class StoppingStarted:
    """This process takes no new work any more."""


Event = (
    DocumentsSeen
    | HostsSeen
    | Observed
    | CrashSeen
    | StoppingStarted
    | Received
    | LinkUp
    | LinkDown
)


class Coordination(Task[Event]):
    """Owns the view of one process.

    Parameters
    ----------
    view
        What the process knows.
    wake
        Called after a change that may let queued requests go on.
    may_confirm
        Returns whether the requests in progress fit a member list's shares.
    seeds
        Mesh addresses to dial besides the members'.
    """

    def __init__(
        self,
        view: EntryView,
        *,
        wake: Callable[[], None],
        may_confirm: Callable[[MemberList], bool],
        seeds: tuple[str, ...] = (),
    ):
        super().__init__()
        self.view = view
        self.mesh: MeshNode | None = None
        self.confirmed: dict[tuple[str, str], int] = {}
        self.revisions: dict[str, int] = {}
        self.confirmed_version = 0
        self._wake = wake
        self._may_confirm = may_confirm
        self._seeds = seeds
        self._observed_hosts: set[str] = set()
        self._offsets = ClockOffsets()
        self._digest_hash = _hash_digest({})
        self._next_heartbeat = 0.0
        self._next_summary = 0.0

    def attach(self, mesh: MeshNode) -> None:
        """Use a mesh node whose events are posted here."""
        self.mesh = mesh
        self._dial()

    def set_observed(self, hosts: Iterable[str]) -> None:
        """Name the hosts whose evidence this process spreads periodically."""
        self._observed_hosts = set(hosts)

    def idle_s(self) -> float:
        now = time.monotonic()
        due = min(self._next_heartbeat, self._next_summary)
        return max(0.001, due - now)

    def on_idle(self) -> None:
        self._do_periodic()

    def handle(self, message: Event) -> None:
        match message:
            case Received():
                self._receive(message)
            case Observed():
                self._note_observation(message)
            case DocumentsSeen(docs=docs):
                self._take_documents(docs, source=None)
            case HostsSeen(snapshot=snapshot):
                self._take_hosts(snapshot)
            case CrashSeen():
                self._note_crash(message)
            case LinkUp(peer=peer):
                self._offsets.forget(peer.id)
                self._note_links()
                self._greet(peer.id)
            case LinkDown():
                self._note_links()
            case StoppingStarted():
                self.view.stopping = True
                self._send_heartbeat()
        if time.monotonic() >= min(self._next_heartbeat, self._next_summary):
            self._do_periodic()

    def _do_periodic(self) -> None:
        now = time.monotonic()
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_S
            self._send_heartbeat()
            self._wake()
        if now >= self._next_summary:
            self._next_summary = now + SUMMARY_S
            self._send_summary(now)
            self.view.evidence.forget_old(now)

    def _receive(self, event: Received) -> None:
        peer = event.peer
        match event.message:
            case Heartbeat() as beat:
                self._note_heartbeat(peer.id, peer.incarnation, beat)
            case Digest(versions=versions):
                self._answer_digest(peer.id, versions)
            case Documents(items=items):
                docs = tuple(Document(i.key, i.version, i.value) for i in items)
                self._take_documents(docs, source=peer)
            case Evidence() as evidence:
                self._take_evidence(event, evidence)
            case Suspects() as suspects:
                self._take_suspects(peer.id, suspects, event.at)

    def _note_heartbeat(self, peer_id: str, incarnation: str, beat: Heartbeat) -> None:
        self.confirmed[(peer_id, incarnation)] = beat.list_version
        self.revisions[peer_id] = beat.revision
        if beat.documents != self._digest_hash:
            self.mesh.send(peer_id, Digest(self.view.documents.digest()))

    def _answer_digest(self, peer_id: str, versions: dict[str, int]) -> None:
        items = tuple(
            DocumentItem(doc.key, doc.version, doc.value)
            for doc in self.view.documents.newer_than(versions)
        )
        if items:
            self.mesh.send(peer_id, Documents(items))
        if self.view.documents.lacks(versions):
            self.mesh.send(peer_id, Digest(self.view.documents.digest()))

    def _take_documents(
        self, docs: tuple[Document, ...], source: Identity | None
    ) -> None:
        newer = self.view.documents.merge(docs)
        if not newer:
            return
        self._digest_hash = _hash_digest(self.view.documents.digest())
        for doc in newer:
            self._apply(doc)
        self.view.refresh_directory()
        self._dial()
        self._spread_documents(newer, source)
        self._send_heartbeat()
        self._wake()

    def _spread_documents(
        self, docs: Iterable[Document], source: Identity | None
    ) -> None:
        """Pass documents on; within a zone only their first receiver does."""
        if self.mesh is None:
            return
        items = tuple(DocumentItem(doc.key, doc.version, doc.value) for doc in docs)
        zone_ids = {member.id for member in self.view.own_list.members}
        if source is None:
            targets = self.mesh.peers
        elif source.zone == self.view.me.zone:
            targets = self.mesh.peers - zone_ids
        else:
            targets = self.mesh.peers & zone_ids
        for peer_id in targets - {source.id if source else ""}:
            self.mesh.send(peer_id, Documents(items))

    def _apply(self, doc: Document) -> None:
        try:
            self._decode(doc)
        except WaxwingpitchError as exc:
            logger.error("document refused", extra={"key": doc.key, "why": exc.message})

    def _decode(self, doc: Document) -> None:
        agreed = self.view.agreed
        if doc.key == CONFIGURATION_KEY:
            cfg = decode_stored(doc.value)
            if cfg.revision <= agreed.cfg.revision:
                raise WaxwingpitchError(
                    f"revision {cfg.revision} is not above {agreed.cfg.revision}"
                )
            self.view.agreed = replace(agreed, cfg=cfg)
            logger.info("configuration in force", extra={"revision": cfg.revision})
        elif doc.key.startswith(MEMBERS_PREFIX):
            members = decode_members(doc.value)
            lists = {**agreed.lists, members.zone: members}
            self.view.agreed = replace(agreed, lists=lists)
        elif doc.key.startswith(TABLE_PREFIX):
            table = decode_table(doc.value)
            tables = {**agreed.tables, table.domain: table}
            self.view.agreed = replace(agreed, tables=tables)

    def _take_hosts(self, snapshot: HostSnapshot) -> None:
        self.view.hosts = snapshot.hosts
        self.view.hosts_version = snapshot.version
        self.view.ever_listed |= {host.id for host in snapshot.hosts}
        self.view.refresh_directory()
        self._wake()

    def _note_observation(self, event: Observed) -> None:
        book = self.view.evidence
        if book.note(event.host, event.health, event.at, event.report):
            self._spread_evidence([event.host], time.monotonic())
            self._wake()

    def _take_evidence(self, event: Received, evidence: Evidence) -> None:
        delay_s = self._offsets.delay_s(event.peer.id, evidence.sent_ms, event.at)
        news = []
        for item in decode_evidence(evidence.items, event.at - delay_s):
            if self.view.evidence.note(
                item.host, item.health, item.observed_at, item.report
            ):
                news.append(item.host)
        if news:
            self._wake()
        foreign = event.peer.zone != self.view.me.zone
        if foreign and not evidence.relayed:
            hosts = [item.host for item in evidence.items]
            self._spread_evidence(hosts, time.monotonic(), relayed=True)

    def _spread_evidence(
        self, hosts: Iterable[str], now: float, *, relayed: bool = False
    ) -> None:
        items = encode_evidence(self.view.evidence.select(hosts), now)
        if not items or self.mesh is None:
            return
        message = Evidence(int(now * 1000), items, relayed)
        if not relayed:
            self.mesh.broadcast(message)
            return
        for member in self.view.own_list.members:
            self.mesh.send(member.id, message)

    def _note_crash(self, event: CrashSeen) -> None:
        now = time.monotonic()
        record = self.view.suspects.note_crash(
            event.fingerprint, event.incarnation, now
        )
        logger.warning(
            "request in flight at a crash",
            extra={"fingerprint": record.fingerprint, "crashes": len(record.crashes)},
        )
        self._spread_suspects([record], now, skip=None)

    def _take_suspects(self, peer_id: str, suspects: Suspects, at: float) -> None:
        news = self.view.suspects.merge(decode_suspects(suspects.items, at))
        if news:
            self._spread_suspects(news, at, skip=peer_id)

    def _spread_suspects(
        self, records: Iterable[SuspectRecord], now: float, skip: str | None
    ) -> None:
        items = encode_suspects(records, now)
        if items and self.mesh is not None:
            self.mesh.broadcast(Suspects(items), skip=skip)

    def _note_links(self) -> None:
        self.view.connected = self.mesh.peers

    def _greet(self, peer_id: str) -> None:
        now = time.monotonic()
        self.mesh.send(peer_id, Digest(self.view.documents.digest()))
        self.mesh.send(peer_id, self._build_heartbeat())
        items = encode_evidence(self.view.evidence.select(self._observed_hosts), now)
        if items:
            self.mesh.send(peer_id, Evidence(int(now * 1000), items))
        suspects = encode_suspects(self.view.suspects.iter_records(now), now)
        if suspects:
            self.mesh.send(peer_id, Suspects(suspects))

    def _send_heartbeat(self) -> None:
        if self.mesh is not None:
            self.mesh.broadcast(self._build_heartbeat())

    def _confirm_list(self) -> None:
        """Confirm the own zone's list once the requests in progress fit it."""
        own = self.view.own_list
        if own.version > self.confirmed_version and self._may_confirm(own):
            self.confirmed_version = own.version

    def _build_heartbeat(self) -> Heartbeat:
        self._confirm_list()
        return Heartbeat(
            documents=self._digest_hash,
            list_version=self.confirmed_version,
            revision=self.view.cfg.revision,
            stopping=self.view.stopping,
        )

    def _send_summary(self, now: float) -> None:
        if self._observed_hosts:
            self._spread_evidence(self._observed_hosts, now)

    def _dial(self) -> None:
        """Dial the neighbours with a higher id, and the seeds while alone."""
        if self.mesh is None:
            return
        me, lists = self.view.me, self.view.agreed.lists
        neighbours = select_neighbours(me, lists)
        addresses = [item.mesh for item in neighbours if item.id > me.id]
        if not neighbours:
            addresses += self._seeds
        self.mesh.dial(addresses)


def _hash_digest(digest: dict[str, int]) -> int:
    text = "\n".join(f"{key} {version}" for key, version in sorted(digest.items()))
    return xxhash.xxh64_intdigest(text.encode())
