"""Links to other gateways: which ones, what is sent on them, and what arrives."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import replace

import gevent
from msgspec import structs

from ..mesh import Identity, MeshNode, decode_message, encode_message
from ..mesh.fleet_messages import (
    CrashNews,
    FleetNews,
    FleetStatus,
    RetryHandover,
    RetryLoan,
    RetryLoanRequest,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequestMessage,
    StallCheck,
    StallReply,
    StoreUpdate,
    Subscription,
    TargetRate,
)
from ..mesh.messages import (
    Message,
    PlanningHandover,
    ProbeRequest,
    ProbeResult,
    TargetUpdate,
)
from ..mesh.node import LinkDown, LinkUp, MeshEvent, Received
from ..settings.gateway import GatewaySettings
from ..slots import EntryHost
from ..targets.progress import ProgressBook
from ..targets.records import Membership, MembershipReport, MemberState
from .beliefs import GatewayView
from .following import StoreFollower
from .freshness import to_age_ms
from .peer_statuses import PeerStatuses
from .roster import KEPT_HOSTS, Roster
from .shared_plans import SharedPlans
from .slots import SlotTask
from .store_tasks import StoreHealth
from .witnesses import Witnesses

STATUS_INTERVAL_S = 0.2
# Interval of statuses while this gateway holds slots, whose progress others ask for.
BUSY_STATUS_INTERVAL_S = 0.1
DIAL_INTERVAL_S = 0.1
FRAME_BYTES = 4 * 1024 * 1024

logger = logging.getLogger(__name__)


class PeerTask:
    """Owns the mesh node of a gateway.

    Parameters
    ----------
    is_reachable
        Returns whether a target, given its id and address, answers this process.

    Attributes
    ----------
    is_cut
        Returns whether this process presumes its links to all targets lost.
    on_linked
        Called with the name of a peer when a link to it is up.
    on_crash_news
        Called with a peer's news of crashes and the monotonic time of their receipt.
    on_planning_handover
        Called with a handover of a zone's planning to this process.
    plans
        What the planners in this process have begun, for those of other zones.
    slots, follower
        Tasks that messages about slots and about the store are for.
    statuses
        Latest statuses of the peers.
    witnesses
        Asks peers about targets and the store.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        local: EntryHost,
        roster: Roster,
        view: GatewayView,
        progress: ProgressBook,
        store_health: StoreHealth,
        is_reachable: Callable[[str, str], bool],
    ):
        self._settings = settings
        self._local = local
        self._roster = roster
        self._view = view
        self._progress = progress
        self._store_health = store_health
        self.is_cut: Callable[[], bool] = lambda: False
        self.on_linked: Callable[[str], None] = lambda peer: None
        self.on_crash_news: Callable[[CrashNews, float], None] = lambda news, at: None
        self.on_planning_handover: Callable[[PlanningHandover], None] = (
            lambda handover: None
        )
        self.slots: SlotTask
        self.follower: StoreFollower
        self.statuses = PeerStatuses(roster, store_health)
        self.plans = SharedPlans(settings.zones, self.statuses)
        self._is_status_urgent = False
        self._is_stopping = False
        self._status_sent_at = 0.0
        self._dialled_at = 0.0
        self._node = MeshNode(
            Identity(settings.name, local.incarnation, settings.zone),
            f"{settings.store} waxwingpitch",
            host=settings.peers.host,
            port=settings.peers.port,
            frame_bytes=FRAME_BYTES,
            deliver=self._deliver,
        )
        self.witnesses = Witnesses(
            self._node,
            roster,
            self.statuses,
            store_health,
            settings.zones,
            is_reachable,
        )
        self._greenlet: gevent.Greenlet | None = None

    @property
    def peers(self) -> frozenset[str]:
        """Names of the entry hosts that this one has a link to."""
        return self._node.peers

    @property
    def peer_versions(self) -> dict[str, int]:
        """Version of the messages that each linked peer knows."""
        return self._node.peer_versions

    @property
    def unknown_messages(self) -> int:
        """Number of messages that only a later version knows."""
        return self._node.unknown_messages

    @property
    def sent(self) -> tuple[int, int]:
        """Messages and bytes sent so far."""
        return self._node.sent

    def start(self) -> None:
        """Start the mesh node and the periodic messages."""
        self._node.start()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Close all links."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._node.stop()

    def send(self, peer: str, message: Message) -> bool:
        """Send a message to a peer; return False if it is not linked."""
        return self._node.send(peer, message)

    def multicast(self, message: Message, peers: Iterable[str]) -> None:
        """Send a message to several peers, encoding it once."""
        self._node.multicast(message, peers)

    def announce_stop(self) -> None:
        """Tell the peers that this process owns nothing any more."""
        self._is_stopping = True
        self._roster.stop()
        self._send_statuses()

    def hand_over(self, handover: PlanningHandover) -> str | None:
        """Hand a zone's planning over to a peer, preferably its next head.

        Returns
        -------
        str or None
            Name of the peer; None if there is no link to any.
        """
        heads = self._roster.list_heads(handover.zone)
        next_heads = [name for name in heads if name != self._local.name]
        in_zone = self._node.list_peers_in(handover.zone)
        candidates = next_heads or in_zone or sorted(self._node.peers)
        peer = next(iter(candidates), None)
        if peer is not None:
            self._node.send(peer, handover)
        return peer

    def announce_status(self) -> None:
        """Send all peers a status at once, as something in it has changed."""
        self._is_status_urgent = True

    def announce_crashes(self, news: CrashNews) -> None:
        """Tell all gateways of requests that were in flight when a target crashed."""
        self._spread(FleetNews(encode_message(news)), None)

    def announce_report(
        self, target: str, version: int, report: MembershipReport
    ) -> None:
        """Send a target's report to those that follow the targets here."""
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
        self._node.multicast(update, self.follower.list_followers_of_targets())

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

    def _run(self) -> None:
        while True:
            try:
                self._tick(time.monotonic())
            except Exception:
                logger.exception("peer task failed")
            gevent.sleep(BUSY_STATUS_INTERVAL_S)

    def _tick(self, now: float) -> None:
        if now - self._dialled_at >= DIAL_INTERVAL_S:
            self._dialled_at = now
            self._dial()
        is_busy = bool(self.slots.client.held)
        interval_s = BUSY_STATUS_INTERVAL_S if is_busy else STATUS_INTERVAL_S
        is_due = now - self._status_sent_at >= interval_s - 0.01
        if is_due or self._is_status_urgent:
            self._send_statuses()

    def _send_statuses(self) -> None:
        self._status_sent_at = time.monotonic()
        self._is_status_urgent = False
        health = self._store_health
        calls_store = self.follower.source is None or health.is_checked
        leaving = self._view.leaving.list_news()
        for target in self.slots.client.list_new_leaving(self._status_sent_at):
            leaving.setdefault(target, 0)
        common = FleetStatus(
            store_age_ms=to_age_ms(self.statuses.store_age_s) if calls_store else -1,
            data_age_ms=to_age_ms(self.follower.data_age_s),
            weight_loads=self.plans.count_own_loads(),
            leaving=leaving,
            suspected=self.slots.owners.take_new_suspicions(),
            summaries=self.slots.list_summaries(),
            held=(),
            is_ready=self._roster.is_ready,
            is_stopping=self._is_stopping,
            follows=self.follower.source or "",
            planned_groups=self.plans.list_own_groups(),
            is_cut=self.is_cut(),
            changes=self.follower.list_changes(),
            path=self.statuses.find_path(self.follower.source),
            reached_ms=self._list_reached(),
        )
        data = encode_message(common)
        is_head = self._roster.find_head(self._local.zone) == self._local.name
        for peer, zone in self._node.list_peers():
            changes = {}
            if held := self.slots.list_held_for(peer, zone):
                changes["held"] = held
            if sent := self.slots.list_sent_for(zone):
                changes["sent"] = sent
            if is_head and zone != self._local.zone:
                changes["summaries"] = self.slots.list_zone_summaries()
            if changes:
                self._node.send(peer, structs.replace(common, **changes))
            else:
                self._node.send_encoded(peer, data)

    def _list_reached(self) -> dict[str, int]:
        reached = self._view.expired.list_reached(time.monotonic())
        return {target: to_age_ms(age_s) for target, age_s in reached.items()}

    def _dial(self) -> None:
        """Connect to the peers that this host needs."""
        hosts = self._roster.hosts
        wanted = self._roster.list_wanted(self._list_keys())
        name, zone = self._local.name, self._local.zone
        if self._roster.find_head(zone) == name:
            wanted |= {host.name for host in hosts.values() if host.zone == zone}
        wanted.discard(name)
        self._node.dial_peers(
            {peer: hosts[peer].address for peer in wanted if peer in hosts}
        )

    def _list_keys(self) -> Iterable[tuple[str, str, int]]:
        """Yield the keys whose first hosts are needed, zones, and how many."""
        zone = self._local.zone
        yield f"head {zone}", zone, KEPT_HOSTS
        is_head = self._roster.is_among_first(f"head {zone}", zone)
        others = [other for other in self._settings.zones if other != zone]
        if is_head:
            for other in others:
                yield f"head {other}", other, 1
        for key in self._view.list_slot_keys(zone):
            yield f"slots {key}", zone, KEPT_HOSTS
            if self._roster.is_among_first(f"slots {key}", zone):
                for other in others:
                    yield f"slots {replace(key, zone=other)}", other, 1

    def _deliver(self, event: MeshEvent) -> None:
        match event:
            case Received(peer=peer, message=message, at=at):
                self._roster.record_heard(peer.id)
                self._handle_safely(peer.id, peer.zone, message, at)
            case LinkUp(peer=peer):
                self._roster.record_heard(peer.id)
                logger.info("peer connected", extra={"peer": peer.id})
                self.on_linked(peer.id)
            case LinkDown(peer=peer):
                logger.info("peer lost", extra={"peer": peer.id})
                self._roster.record_lost(peer.id)
                self.statuses.drop(peer.id)
                self.follower.handle_lost_peer(peer.id)
                self.slots.handle_lost_peer(peer.id)

    def _handle_safely(self, peer: str, zone: str, message: Message, at: float) -> None:
        try:
            self._handle(peer, zone, message, at)
        except Exception:
            logger.exception(
                "message of a peer not handled",
                extra={"peer": peer, "type": type(message).__name__},
            )

    def _handle(self, peer: str, zone: str, message: Message, at: float) -> None:
        match message:
            case FleetStatus():
                self._handle_status(peer, message, at)
            case (
                SlotRequestMessage()
                | SlotGrant()
                | SlotRefusal()
                | SlotRelease()
                | TargetRate()
                | StallCheck()
                | StallReply()
                | RetryLoanRequest()
                | RetryLoan()
                | RetryHandover()
            ):
                self.slots.handle(peer, message)
            case Subscription():
                self.follower.handle_subscription(peer, message)
            case StoreUpdate():
                self.follower.handle_update(peer, message)
            case FleetNews():
                self._handle_news(peer, zone, message, at)
            case CrashNews():
                self.on_crash_news(message, at)
                if zone != self._local.zone:
                    self._spread(FleetNews(encode_message(message), True), peer)
            case ProbeRequest():
                gevent.spawn(self.witnesses.answer, peer, message)
            case ProbeResult():
                self.witnesses.take_result(peer, message)
            case PlanningHandover():
                self.on_planning_handover(message)
            case TargetUpdate():
                self._apply_target_update(message)

    def _handle_status(self, peer: str, message: FleetStatus, at: float) -> None:
        self.statuses.record(peer, message)
        self.follower.handle_status(peer, message)
        self._roster.record_state(
            peer, is_ready=message.is_ready, is_stopping=message.is_stopping
        )
        for target, started_ms in message.leaving.items():
            self._view.mark_leaving(target, started_ms or None)
        if message.reached_ms:
            ages_s = {key: age / 1000 for key, age in message.reached_ms.items()}
            self._view.expired.record_reached(peer, ages_s, at)
        for target, epoch in message.suspected:
            self._progress.suspect(target, epoch, at)
        self.slots.handle_status(peer, message.summaries, message.held, message.sent)

    def _handle_news(self, peer: str, zone: str, message: FleetNews, at: float) -> None:
        match decode_message(message.data):
            case CrashNews() as news:
                self.on_crash_news(news, at)
        self._spread(message, peer, from_zone=zone)

    def _spread(
        self, message: FleetNews, sender: str | None, *, from_zone: str = ""
    ) -> None:
        """Pass news on: to this zone's head, or by it to its zone and other heads."""
        zone = self._local.zone
        head = self._roster.find_head(zone)
        if head != self._local.name:
            if sender is None and head is not None:
                self._node.send(head, message)
            return
        in_zone = self._node.list_peers_in(zone)
        self._node.multicast(message, [peer for peer in in_zone if peer != sender])
        if message.is_passed_on or from_zone not in ("", zone):
            return
        heads = {self._roster.find_head(other) for other in self._settings.zones}
        others = heads - {None, self._local.name, sender}
        self._node.multicast(FleetNews(message.data, True), others)
