"""Coordination task: merges and propagates documents, evidence and suspects.

It handles what this process reads or observes itself and what its peers send.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable

import xxhash

from ..agreed import Document
from ..errors import WaxwingpitchError
from ..membership import MemberList, select_neighbours
from ..mesh import (
    Digest,
    DocumentItem,
    Documents,
    Evidence,
    EvidenceSet,
    EvidenceSetRequest,
    Heartbeat,
    Identity,
    LinkDown,
    LinkUp,
    MeshNode,
    Received,
    Suspects,
)
from ..ports import HostSnapshot
from ..requests.suspects import SuspectRecord
from ..targets import HostEvidence
from ..task import Task
from .agreed_view import apply_document
from .events import (
    CrashObserved,
    DocumentsUpdated,
    DrainStarted,
    Event,
    HealthObserved,
    HostListUpdated,
)
from .evidence_sets import OBSERVED_SET, IncomingSets, OutgoingSets
from .evidence_wire import ClockOffsets, decode_evidence, encode_evidence
from .suspect_wire import decode_suspects, encode_suspects
from .view import EntryView

HEARTBEAT_S = 1.0

logger = logging.getLogger(__name__)


class Coordination(Task[Event]):
    """Owns the view of one process.

    Parameters
    ----------
    view
        State of the cluster as known to this process, shared by its tasks.
    wake
        Called after a change that may allow queued requests to be dispatched.
    may_confirm
        Returns whether this process's requests in flight at cold targets fit its
        shares of their limits under a member list.
    seeds
        Mesh addresses to dial while no member to connect to is known.

    Attributes
    ----------
    confirmed
        Member list version that each peer, by id and incarnation, has confirmed.
    revisions
        Configuration revision that each peer uses, by id.
    confirmed_version
        Version of the own zone's member list that this process has confirmed.
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
        self._outgoing = OutgoingSets(view.evidence)
        self._incoming = IncomingSets()
        self._zones_of_peers: dict[str, str] = {}
        self._digest_hash = _hash_digest({})
        self._next_heartbeat = 0.0

    def attach(self, mesh: MeshNode) -> None:
        """Set the mesh node to send through; its events must be posted here."""
        self.mesh = mesh
        self._dial()

    def set_observed(self, hosts: Iterable[str]) -> None:
        """Set the hosts that this process observes; they form its observed set."""
        self._observed_hosts = set(hosts)

    def idle_s(self) -> float:
        return max(0.001, self._next_heartbeat - time.monotonic())

    def on_idle(self) -> None:
        self._do_periodic()

    def handle(self, message: Event) -> None:
        match message:
            case Received():
                self._receive(message)
            case HealthObserved():
                self._record_observation(message)
            case DocumentsUpdated(docs=docs):
                self._merge_documents(docs, source=None)
            case HostListUpdated(snapshot=snapshot):
                self._update_hosts(snapshot)
            case CrashObserved():
                self._record_crash(message)
            case LinkUp(peer=peer):
                self._offsets.forget(peer.id)
                self._zones_of_peers[peer.id] = peer.zone
                self._update_connected()
                self._send_initial_state(peer.id)
            case LinkDown(peer=peer):
                self._incoming.forget(peer.id)
                self._zones_of_peers.pop(peer.id, None)
                self._update_connected()
            case DrainStarted():
                self.view.stopping = True
                self._send_heartbeat()
        if time.monotonic() >= self._next_heartbeat:
            self._do_periodic()

    def _do_periodic(self) -> None:
        now = time.monotonic()
        self._next_heartbeat = now + HEARTBEAT_S
        self._send_heartbeat()
        self.view.evidence.forget_old(now)
        self._wake()

    def _receive(self, event: Received) -> None:
        peer = event.peer
        match event.message:
            case Heartbeat() as beat:
                self._record_heartbeat(event, beat)
            case Digest(versions=versions):
                self._answer_digest(peer.id, versions)
            case Documents(items=items):
                docs = tuple(Document(i.key, i.version, i.value) for i in items)
                self._merge_documents(docs, source=peer)
            case Evidence() as evidence:
                self._merge_evidence(event, evidence)
            case Suspects() as suspects:
                self._merge_suspects(peer.id, suspects, event.at)
            case EvidenceSet() as evidence_set:
                sent_at = self._estimate_sent_at(event, evidence_set.sent_ms)
                self._merge_evidence_items(
                    self._incoming.store(peer.id, evidence_set, sent_at), peer
                )
            case EvidenceSetRequest(name=name):
                now = time.monotonic()
                hosts = self._hosts_of_set(name)
                self.mesh.send(peer.id, self._outgoing.build(name, hosts, now))

    def _record_heartbeat(self, event: Received, beat: Heartbeat) -> None:
        peer = event.peer
        self.confirmed[(peer.id, peer.incarnation)] = beat.member_list_version
        self.revisions[peer.id] = beat.revision
        if beat.digest_hash != self._digest_hash:
            self.mesh.send(peer.id, Digest(self.view.documents.digest()))
        sent_at = self._estimate_sent_at(event, beat.sent_ms)
        for state in beat.evidence_sets:
            items = self._incoming.refresh(peer.id, state, sent_at)
            if items is None:
                self.mesh.send(peer.id, EvidenceSetRequest(state.name))
            else:
                self._merge_evidence_items(items, peer)

    def _estimate_sent_at(self, event: Received, sent_ms: int) -> float:
        """Estimate when a message was sent, on this process's clock.

        The shortest delay observed on the link counts as zero.
        """
        return event.at - self._offsets.delay_s(event.peer.id, sent_ms, event.at)

    def _answer_digest(self, peer_id: str, versions: dict[str, int]) -> None:
        items = tuple(
            DocumentItem(doc.key, doc.version, doc.value)
            for doc in self.view.documents.newer_than(versions)
        )
        if items:
            self.mesh.send(peer_id, Documents(items))
        if self.view.documents.lacks(versions):
            self.mesh.send(peer_id, Digest(self.view.documents.digest()))

    def _merge_documents(
        self, docs: tuple[Document, ...], source: Identity | None
    ) -> None:
        newer = self.view.documents.merge(docs)
        if not newer:
            return
        self._digest_hash = _hash_digest(self.view.documents.digest())
        for doc in newer:
            self._apply_document(doc)
        self.view.refresh_directory()
        self._dial()
        self._forward_documents(newer, source)
        self._send_heartbeat()
        self._wake()

    def _forward_documents(
        self, docs: Iterable[Document], source: Identity | None
    ) -> None:
        """Forward documents to peers.

        Within a zone, only the first receiver forwards a document: one from a peer in
        this zone goes only to other zones, one from another zone only to this zone.
        """
        if self.mesh is None:
            return
        items = tuple(DocumentItem(doc.key, doc.version, doc.value) for doc in docs)
        zone_ids = {member.id for member in self.view.own_list.members}
        if source is None:
            receivers = self.mesh.peers
        elif source.zone == self.view.me.zone:
            receivers = self.mesh.peers - zone_ids
        else:
            receivers = self.mesh.peers & zone_ids
        for peer_id in receivers - {source.id if source else ""}:
            self.mesh.send(peer_id, Documents(items))

    def _apply_document(self, doc: Document) -> None:
        try:
            self.view.agreed = apply_document(self.view.agreed, doc)
        except WaxwingpitchError as exc:
            logger.error(
                "agreed document could not be applied",
                extra={"key": doc.key, "why": exc.message},
            )

    def _update_hosts(self, snapshot: HostSnapshot) -> None:
        self.view.hosts = snapshot.hosts
        self.view.hosts_version = snapshot.version
        self.view.ever_listed |= {host.id for host in snapshot.hosts}
        self.view.refresh_directory()
        self._wake()

    def _record_observation(self, event: HealthObserved) -> None:
        book = self.view.evidence
        if book.record(event.host, event.health, event.at, event.report):
            self._send_evidence([event.host], tuple(self._zones_of_peers))
            self._wake()

    def _merge_evidence(self, event: Received, evidence: Evidence) -> None:
        sent_at = self._estimate_sent_at(event, evidence.sent_ms)
        self._merge_evidence_items(decode_evidence(evidence.items, sent_at), event.peer)

    def _merge_evidence_items(
        self, items: Iterable[HostEvidence], source: Identity
    ) -> None:
        """Merge evidence from a peer and forward what changed.

        Evidence from another zone is forwarded within this zone, and evidence from
        this zone to the peers in other zones.
        """
        book = self.view.evidence
        changed = [
            item.host
            for item in items
            if book.record(item.host, item.health, item.observed_at, item.report)
        ]
        if changed:
            self._wake()
            foreign = source.zone != self.view.me.zone
            peers = self._local_peers() if foreign else self._foreign_peers()
            self._send_evidence(changed, peers - {source.id})

    def _local_peers(self) -> set[str]:
        own = self.view.me.zone
        return {item for item, zone in self._zones_of_peers.items() if zone == own}

    def _foreign_peers(self) -> set[str]:
        own = self.view.me.zone
        return {item for item, zone in self._zones_of_peers.items() if zone != own}

    def _send_evidence(self, hosts: Iterable[str], peers: Iterable[str]) -> None:
        now = time.monotonic()
        items = encode_evidence(self.view.evidence.select(hosts), now)
        for peer_id in peers:
            self.mesh.send(peer_id, Evidence(int(now * 1000), items))

    def _record_crash(self, event: CrashObserved) -> None:
        now = time.monotonic()
        record = self.view.suspects.record_crash(
            event.fingerprint, event.incarnation, now
        )
        logger.warning(
            "request was in flight when its target crashed",
            extra={"fingerprint": record.fingerprint, "crashes": len(record.crashes)},
        )
        self._broadcast_suspects([record], now, skip=None)

    def _merge_suspects(self, peer_id: str, suspects: Suspects, at: float) -> None:
        changed = self.view.suspects.merge(decode_suspects(suspects.items, at))
        if changed:
            self._broadcast_suspects(changed, at, skip=peer_id)

    def _broadcast_suspects(
        self, records: Iterable[SuspectRecord], now: float, skip: str | None
    ) -> None:
        items = encode_suspects(records, now)
        if items and self.mesh is not None:
            self.mesh.broadcast(Suspects(items), skip=skip)

    def _update_connected(self) -> None:
        self.view.connected = self.mesh.peers

    def _send_initial_state(self, peer_id: str) -> None:
        now = time.monotonic()
        self.mesh.send(peer_id, Digest(self.view.documents.digest()))
        self._send_heartbeat()
        suspects = encode_suspects(self.view.suspects.iter_records(now), now)
        if suspects:
            self.mesh.send(peer_id, Suspects(suspects))

    def _send_heartbeat(self) -> None:
        """Send heartbeats to all peers.

        Peers in other zones get the state of the set of all hosts of this zone. Peers
        in this zone get the states of the sets of this process's observed hosts and
        of the hosts of each zone that it has a link to.
        """
        if self.mesh is None:
            return
        foreign = self._foreign_peers()
        if foreign:
            beat = self._build_heartbeat((self.view.me.zone,))
            self.mesh.multicast(beat, foreign)
        local = self._local_peers()
        if local:
            zones = sorted({self._zones_of_peers[peer_id] for peer_id in foreign})
            self.mesh.multicast(self._build_heartbeat((OBSERVED_SET, *zones)), local)

    def _hosts_of_set(self, name: str) -> Iterable[str]:
        if name == OBSERVED_SET:
            return sorted(self._observed_hosts)
        return (host.id for host in self.view.hosts if host.zone == name)

    def _confirm_list(self) -> None:
        """Confirm the own zone's list if the requests in flight fit its shares."""
        own = self.view.own_list
        if own.version > self.confirmed_version and self._may_confirm(own):
            self.confirmed_version = own.version

    def _build_heartbeat(self, names: Iterable[str]) -> Heartbeat:
        self._confirm_list()
        now = time.monotonic()
        return Heartbeat(
            digest_hash=self._digest_hash,
            member_list_version=self.confirmed_version,
            revision=self.view.cfg.revision,
            stopping=self.view.stopping,
            sent_ms=int(now * 1000),
            evidence_sets=tuple(
                self._outgoing.describe(name, self._hosts_of_set(name), now)
                for name in names
            ),
        )

    def _dial(self) -> None:
        """Dial the neighbours with a higher id, or the seeds if there are none.

        Of two neighbours, only the one with the lower id dials.
        """
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
