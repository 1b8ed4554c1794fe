"""Task that exchanges load counts, suspects, probes and store changes with peers."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import gevent

from ..agreed.mirror import StoreMirror
from ..agreed.versions import get_era
from ..clocks import boot_time
from ..mesh import Identity, MeshNode
from ..mesh.messages import (
    DeletedItem,
    DocumentItem,
    GatewayStatus,
    PlanningHandover,
    ProbeRequest,
    ProbeResult,
    StalledTarget,
    StoreChanges,
    StoreChangesRequest,
    SuspectItem,
    Suspects,
    TargetUpdate,
)
from ..mesh.node import LinkDown, LinkUp, MeshEvent, Received
from ..ports import StoredChange, StoredDeletion, StoredEntry
from ..settings.gateway import GatewaySettings
from ..targets.loads import LoadBook
from ..targets.progress import ProgressBook
from ..targets.records import Membership, MembershipReport, MemberState
from .beliefs import GatewayView
from .store_tasks import StoreHealth

STATUS_INTERVAL_S = 0.1
IDLE_STATUS_INTERVAL_S = 0.5
# Age after which a peer's count of weight loads is ignored: three times
# ``IDLE_STATUS_INTERVAL_S``.
PEER_WEIGHT_LOADS_TTL_S = 1.5
# Age after which a peer's status says nothing about the store.
STATUS_TTL_S = 2.0
DIAL_INTERVAL_S = 1.0
# Time without an answer of the store after which its changes are requested from a peer.
PEER_SYNC_AFTER_S = 0.8
PEER_SYNC_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.8
# Share of the entry hosts that must agree that a target or the store is unreachable. It
# exceeds a third, as a partial partition may cut a target off from that many.
QUORUM_SHARE = 0.6
# Age of its last answer from which the store counts as unavailable.
STORE_UNAVAILABLE_AFTER_S = 1.2
FRAME_BYTES = 4 * 1024 * 1024

logger = logging.getLogger(__name__)


class PeerTask:
    """Owns the mesh node of a gateway.

    Parameters
    ----------
    on_peer_loads
        Called when a peer's request counts have arrived.
    is_reachable
        Returns whether a target, given its id and address, answers this process.

    Attributes
    ----------
    on_suspects
        Called with a peer's suspects and the monotonic time of their receipt.
    on_planning_handover
        Called with a handover of a zone's planning to this process.
    count_weight_loads
        Returns the number of weight loads in progress that this process began.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: str,
        view: GatewayView,
        loads: LoadBook,
        progress: ProgressBook,
        store_health: StoreHealth,
        on_peer_loads: Callable[[], None],
        is_reachable: Callable[[str, str], bool],
    ):
        self._settings = settings
        self._view = view
        self._loads = loads
        self._progress = progress
        self._store_health = store_health
        self._on_peer_loads = on_peer_loads
        self._is_reachable = is_reachable
        self.on_suspects: Callable[[tuple[SuspectItem, ...], float], None] = _ignore
        self.on_planning_handover: Callable[[PlanningHandover], None] = (
            lambda handover: None
        )
        self.count_weight_loads: Callable[[], int] = lambda: 0
        self._peer_weight_loads: dict[str, tuple[float, int]] = {}
        self._probe_results: dict[str, dict[str, bool]] = {}
        self._store_ages: dict[str, tuple[float, float]] = {}
        self._sent_counts: dict[str, int] = {}
        self._status_sent_at = 0.0
        self._is_status_urgent = False
        self._changes_requested_at = 0.0
        self._dialled_at = 0.0
        self._node = MeshNode(
            Identity(settings.name, incarnation, settings.zone),
            f"{settings.store} waxwingpitch",
            host=settings.peers.host,
            port=settings.peers.port,
            frame_bytes=FRAME_BYTES,
            deliver=self._deliver,
        )
        self._greenlet: gevent.Greenlet | None = None

    @property
    def peers(self) -> frozenset[str]:
        """Names of the entry hosts that this one has a link to."""
        return self._node.peers

    def start(self) -> None:
        """Start the mesh node and the periodic messages."""
        self._node.start()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Close all links."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._node.stop()

    def hand_over(self, handover: PlanningHandover) -> str | None:
        """Hand a zone's planning over to a peer, preferably of that zone.

        Returns
        -------
        str or None
            Name of the peer; None if there is no link to any.
        """
        in_zone = self._node.list_peers_in(handover.zone)
        peer = next(iter(in_zone or sorted(self._node.peers)), None)
        if peer is not None:
            self._node.send(peer, handover)
        return peer

    def count_peer_weight_loads(self, now: float) -> int:
        """Return the number of weight loads in progress that the peers began."""
        return sum(
            loads
            for at, loads in self._peer_weight_loads.values()
            if now - at < PEER_WEIGHT_LOADS_TTL_S
        )

    def announce_leaving(self, target: str, started_ms: int) -> None:
        """Tell all peers, with the next status, that a target says that it leaves."""
        self._is_status_urgent = True

    def announce_stall(self, target: str, epoch: int) -> None:
        """Tell all peers that a target makes no progress."""
        self._node.broadcast(StalledTarget(target, epoch))

    def may_be_reachable(self, target: str, address: str) -> bool:
        """Return whether any other entry host may reach a target.

        False only if no peer reaches it, and this entry host and those that replied are
        a quorum of the listed ones; see ``QUORUM_SHARE``.
        """
        listed = self._view.list_peers().keys() - {self._settings.name}
        results = self._probe_results.get(target)
        if results is None:
            self._probe_results[target] = results = {}
            self._node.broadcast(ProbeRequest(target, address))
        deadline = time.monotonic() + PROBE_TIMEOUT_S
        while (
            time.monotonic() < deadline
            and len(results) < len(listed)
            and not any(results.values())
        ):
            gevent.sleep(0.02)
        if self._probe_results.get(target) is results:
            del self._probe_results[target]
        replies = len(results) + 1
        return any(results.values()) or replies < QUORUM_SHARE * (len(listed) + 1)

    def is_store_unavailable(self) -> bool:
        """Return whether the store answers neither this process nor its peers.

        Requires recent statuses of a quorum of the entry hosts; see ``QUORUM_SHARE``.
        """
        now = boot_time()
        if (
            not self._store_health.failing
            or now - self._store_health.answered_at < STORE_UNAVAILABLE_AFTER_S
        ):
            return False
        listed = self._view.list_peers().keys() - {self._settings.name}
        ages = [
            age_s + now - at
            for peer, (at, age_s) in self._store_ages.items()
            if peer in self._node.peers and now - at < STATUS_TTL_S
        ]
        if len(ages) + 1 < QUORUM_SHARE * (len(listed) + 1):
            return False
        return all(age_s >= STORE_UNAVAILABLE_AFTER_S for age_s in ages)

    def announce_suspects(self, items: tuple[SuspectItem, ...]) -> None:
        """Tell all peers of requests that were in flight when a target crashed."""
        self._node.broadcast(Suspects(items))

    def announce_report(
        self, target: str, version: int, report: MembershipReport
    ) -> None:
        """Send a target's report to all peers."""
        place = report.membership
        update = TargetUpdate(target, version, report.model, report.staged)
        if place is not None:
            update = TargetUpdate(
                target,
                version,
                report.model,
                report.staged,
                place.group,
                place.epoch,
                place.rank,
                place.state.value,
            )
        self._node.broadcast(update)

    def _apply_target_update(self, message: TargetUpdate) -> None:
        place = None
        if message.state:
            place = Membership(
                message.group, message.epoch, message.rank, MemberState(message.state)
            )
        report = MembershipReport(
            orders=0,
            pace=1.0,
            membership=place,
            model=message.model,
            staged=message.staged,
        )
        self._view.apply_report(message.target, message.version, report)

    def _answer_probe(self, peer: str, message: ProbeRequest) -> None:
        reachable = self._is_reachable(message.target, message.address)
        self._node.send(peer, ProbeResult(message.target, reachable))

    def _run(self) -> None:
        while True:
            try:
                self._tick(time.monotonic())
            except Exception:
                logger.exception("peer task failed")
            gevent.sleep(STATUS_INTERVAL_S)

    def _tick(self, now: float) -> None:
        if now - self._dialled_at >= DIAL_INTERVAL_S:
            self._dialled_at = now
            self._dial()
        counts = self._loads.get_own()
        progress_age_ms = {
            target: int(1000 * age_s)
            for target, age_s in self._progress.list_recent_progress(now).items()
        }
        has_recent_progress = any(
            age_ms < 1000 * STATUS_INTERVAL_S for age_ms in progress_age_ms.values()
        )
        is_due = now - self._status_sent_at >= IDLE_STATUS_INTERVAL_S
        is_due |= self._is_status_urgent
        self._is_status_urgent = False
        if counts != self._sent_counts or has_recent_progress or is_due:
            self._sent_counts, self._status_sent_at = counts, now
            store_age_ms = int(1000 * min(600.0, self._store_age_s))
            weight_loads = self.count_weight_loads()
            self._node.broadcast(
                GatewayStatus(
                    counts,
                    store_age_ms,
                    progress_age_ms,
                    weight_loads,
                    self._view.list_said_leaving(),
                )
            )
        if self._store_health.failing and self._store_age_s > PEER_SYNC_AFTER_S:
            self._request_store_changes(now)

    @property
    def _store_age_s(self) -> float:
        return boot_time() - self._store_health.answered_at

    def _dial(self) -> None:
        """Connect to peers with a higher address, so that each pair has one link."""
        own_address = str(self._settings.peers)
        addresses = set(self._view.list_peers().values())
        self._node.dial(address for address in addresses if address > own_address)

    def _request_store_changes(self, now: float) -> None:
        if now - self._changes_requested_at < PEER_SYNC_INTERVAL_S:
            return
        booted_s = boot_time()
        ages = {
            peer: age_s + booted_s - at
            for peer, (at, age_s) in self._store_ages.items()
            if peer in self._node.peers and booted_s - at < STATUS_TTL_S
        }
        if ages:
            self._changes_requested_at = now
            best = min(ages, key=ages.get)
            self._node.send(best, StoreChangesRequest(self._view.mirror.version))

    def _deliver(self, event: MeshEvent) -> None:
        match event:
            case Received(peer=peer, message=GatewayStatus() as message, at=at):
                self._store_ages[peer.id] = (boot_time(), message.store_age_ms / 1000)
                self._loads.update_peer(peer.id, message.in_flight, at)
                self._peer_weight_loads[peer.id] = (at, message.weight_loads)
                for target, started_ms in message.leaving.items():
                    self._view.mark_leaving(target, started_ms)
                for target, progress_age_ms in message.progress_age_ms.items():
                    self._progress.record_peer_progress(
                        target, at - progress_age_ms / 1000
                    )
                self._on_peer_loads()
            case Received(message=StalledTarget() as message, at=at):
                self._progress.suspect(message.target, message.epoch, at)
            case Received(peer=peer, message=StoreChangesRequest(after=after)):
                changes = build_store_changes(self._view.mirror, after)
                self._node.send(peer.id, changes)
            case Received(peer=peer, message=StoreChanges() as message):
                apply_store_changes(self._view, message)
            case Received(peer=peer, message=ProbeRequest() as message):
                gevent.spawn(self._answer_probe, peer.id, message)
            case Received(peer=peer, message=ProbeResult() as message):
                if message.target in self._probe_results:
                    self._probe_results[message.target][peer.id] = message.reachable
            case Received(message=Suspects(items=items), at=at):
                self.on_suspects(items, at)
            case Received(message=PlanningHandover() as message):
                self.on_planning_handover(message)
            case Received(message=TargetUpdate() as message):
                self._apply_target_update(message)
            case LinkUp(peer=peer):
                logger.info("peer connected", extra={"peer": peer.id})
            case LinkDown(peer=peer):
                logger.info("peer lost", extra={"peer": peer.id})


def build_store_changes(mirror: StoreMirror, after: int) -> StoreChanges:
    """Return what a peer lacks that knows all changes up to a version."""
    is_complete = get_era(after) < get_era(mirror.version)
    change = mirror.list_after(0 if is_complete else after)
    return StoreChanges(
        change.version,
        tuple(
            DocumentItem(item.key, item.version, item.value) for item in change.entries
        ),
        tuple(DeletedItem(item.key, item.version) for item in change.deletions),
        is_complete,
    )


def apply_store_changes(view: GatewayView, message: StoreChanges) -> None:
    """Apply a peer's answer to a request for store changes."""
    entries = tuple(
        StoredEntry(item.key, item.version, item.value) for item in message.items
    )
    if message.complete and get_era(message.version) > get_era(view.mirror.version):
        for prefix in view.mirror.prefixes:
            listed = tuple(item for item in entries if item.key.startswith(prefix))
            view.apply_list(prefix, StoredChange(message.version, listed))
    else:
        deletions = tuple(
            StoredDeletion(item.key, item.version) for item in message.deleted
        )
        view.apply(StoredChange(message.version, entries, deletions))
    view.mirror.mark_all_synced(message.version)


def _ignore(items: tuple[SuspectItem, ...], at: float) -> None:
    """Ignore suspects until a handler is set."""
