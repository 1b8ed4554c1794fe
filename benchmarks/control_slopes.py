"""Control traffic, processor time and memory of one entry host, by fleet size.

Drives the coordination logic and the codec without sockets: every message that
an entry host sends or receives in a second is encoded, decoded and handled. The cost
of the websocket and of the kernel is measured separately, over real connections.

Command: python -m benchmarks.control_slopes
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from dataclasses import dataclass

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402

from waxwingpitch.entry.coordination import HEARTBEAT_S, Coordination  # noqa: E402
from waxwingpitch.entry.events import (  # noqa: E402
    DocumentsUpdated,
    HealthObserved,
    HostListUpdated,
)
from waxwingpitch.entry.evidence_sets import OBSERVED_SET  # noqa: E402
from waxwingpitch.entry.observer import (  # noqa: E402
    OBSERVERS_PER_HOST,
    Observer,
)
from waxwingpitch.entry.view import EntryView  # noqa: E402
from waxwingpitch.groups import plan_domain  # noqa: E402
from waxwingpitch.groups import DomainView, HostView, PlannerPolicy  # noqa: E402
from waxwingpitch.membership import select_neighbours  # noqa: E402
from waxwingpitch.mesh import (  # noqa: E402
    Evidence,
    Identity,
    MeshNode,
    Received,
    decode_message,
    encode_message,
)
from waxwingpitch.ports import HostSnapshot  # noqa: E402
from waxwingpitch.targets import Health  # noqa: E402

from .fleet import Fleet, build_fleet  # noqa: E402

# Entry hosts, engine hosts and zones of each fleet.
SIZES = ((8, 60, 3), (40, 130, 3), (160, 385, 7), (320, 770, 7))
# Header of a masked websocket frame with a payload below 126 bytes.
FRAME_HEADER_BYTES = 6
# IPv4 and TCP headers with timestamps.
TCP_IP_HEADER_BYTES = 52
DURATION_S = 4.0
LINK_COUNT = 64
LINK_MESSAGES = 6400
ROUND_TIMEOUT_S = 1.0


class _RecordingMesh:
    """Mesh that encodes and counts messages instead of sending them."""

    def __init__(self, neighbours):
        self.peers = frozenset(member.id for member in neighbours)
        self.messages = 0
        self.sent_bytes = 0

    def broadcast(self, message, *, skip=None):
        data = encode_message(message)
        count = len(self.peers) - (skip in self.peers)
        self.messages += count
        self.sent_bytes += count * (
            len(data) + FRAME_HEADER_BYTES + TCP_IP_HEADER_BYTES
        )

    def multicast(self, message, peer_ids):
        data = encode_message(message)
        count = len(self.peers & set(peer_ids))
        self.messages += count
        self.sent_bytes += count * (
            len(data) + FRAME_HEADER_BYTES + TCP_IP_HEADER_BYTES
        )

    def send(self, peer_id, message):
        if peer_id in self.peers:
            data = encode_message(message)
            self.messages += 1
            self.sent_bytes += len(data) + FRAME_HEADER_BYTES + TCP_IP_HEADER_BYTES

    def dial(self, addresses):
        """Does nothing, as no connections are opened."""


@dataclass(frozen=True, slots=True)
class ControlCosts:
    """Control costs of the entry host with most neighbours; rates are per second."""

    entry_hosts: int
    engine_hosts: int
    neighbours: int
    observed: int
    out_messages: float
    in_messages: float
    out_bytes: float
    in_bytes: float
    logic_ms: float
    state_kb: float
    plan_ms: float


def _build_entry_host(fleet: Fleet) -> tuple[Coordination, _RecordingMesh, list]:
    neighbour_counts = [
        (len(select_neighbours(member, fleet.lists)), member)
        for member in fleet.members
    ]
    me = max(neighbour_counts, key=lambda item: item[0])[1]
    neighbours = select_neighbours(me, fleet.lists)
    view = EntryView(me)
    coordination = Coordination(view, wake=lambda: None, may_confirm=lambda _: True)
    mesh = _RecordingMesh(neighbours)
    coordination.handle(DocumentsUpdated(fleet.documents))
    coordination.handle(HostListUpdated(HostSnapshot("1", fleet.hosts)))
    coordination.mesh = mesh
    view.connected = mesh.peers
    coordination._zones_of_peers = {peer.id: peer.zone for peer in neighbours}
    return coordination, mesh, list(neighbours)


class _Peer:
    """A neighbour that sends heartbeats and its evidence sets."""

    def __init__(self, fleet: Fleet, member, receiver):
        self.identity = Identity(member.id, member.incarnation, member.zone)
        self.view = EntryView(member)
        self.coordination = Coordination(
            self.view, wake=lambda: None, may_confirm=lambda _: True
        )
        self.coordination.handle(DocumentsUpdated(fleet.documents))
        self.coordination.handle(HostListUpdated(HostSnapshot("1", fleet.hosts)))
        zone = fleet.lists[member.zone].members
        self.view.connected = frozenset(item.id for item in zone)
        self.observed = list(Observer(self.view, None, None).select_hosts())
        self.coordination.set_observed(host.id for host in self.observed)
        self.set_names = (
            (OBSERVED_SET,) if member.zone == receiver.zone else (member.zone,)
        )
        self.fleet = fleet

    def observe(self, now: float) -> None:
        hosts = self.observed
        if self.set_names != (OBSERVED_SET,):
            zone = self.view.me.zone
            hosts = [host for host in self.fleet.hosts if host.zone == zone]
        for host in hosts:
            self.view.evidence.record_report(self.fleet.reports[host.id], now)

    def encode_heartbeat(self) -> bytes:
        return encode_message(self.coordination._build_heartbeat(self.set_names))

    def encode_sets(self, now: float) -> list[bytes]:
        return [
            encode_message(
                self.coordination._outgoing.build(
                    name, self.coordination._hosts_of_set(name), now
                )
            )
            for name in self.set_names
        ]


def measure(entry_hosts: int, engine_hosts: int, zones: int) -> ControlCosts:
    """Measure the entry host with most neighbours in a fleet of one size."""
    fleet = build_fleet(entry_hosts, engine_hosts, zones)
    gc.collect()
    tracemalloc.start()
    coordination, mesh, neighbours = _build_entry_host(fleet)
    now = time.monotonic()
    for host in fleet.hosts:
        coordination.view.evidence.record_report(fleet.reports[host.id], now - 1.0)
    state_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    view = coordination.view
    observed = list(Observer(view, None, coordination).select_hosts())
    coordination.set_observed(host.id for host in observed)
    peers = [_Peer(fleet, peer, view.me) for peer in neighbours]
    for peer in peers:
        peer.observe(now)
        for data in peer.encode_sets(now):
            _deliver(coordination, peer, data)
    mesh.messages = mesh.sent_bytes = 0
    received, in_bytes, logic_s = 0, 0, 0.0
    for _ in range(round(DURATION_S / HEARTBEAT_S)):
        now = time.monotonic()
        for peer in peers:
            peer.observe(now)
        heartbeats = [(peer, peer.encode_heartbeat()) for peer in peers]
        received += len(heartbeats)
        in_bytes += sum(
            len(data) + FRAME_HEADER_BYTES + TCP_IP_HEADER_BYTES
            for _, data in heartbeats
        )
        gc.collect()
        started_cpu_s = time.process_time()
        for peer, data in heartbeats:
            _deliver(coordination, peer, data)
        coordination._do_periodic()
        for host in Observer(view, None, coordination).select_hosts():
            report = fleet.reports[host.id]
            coordination._record_observation(
                HealthObserved(host.id, Health.UP, time.monotonic(), report)
            )
        logic_s += time.process_time() - started_cpu_s
    return ControlCosts(
        entry_hosts=entry_hosts,
        engine_hosts=engine_hosts,
        neighbours=len(neighbours),
        observed=len(observed),
        out_messages=mesh.messages / DURATION_S,
        in_messages=received / DURATION_S,
        out_bytes=mesh.sent_bytes / DURATION_S,
        in_bytes=in_bytes / DURATION_S,
        logic_ms=logic_s * 1000 / DURATION_S,
        state_kb=state_kb,
        plan_ms=_measure_plan(fleet) * 1000,
    )


def _deliver(coordination: Coordination, peer: _Peer, data: bytes) -> None:
    message = decode_message(data)
    coordination._receive(Received(peer.identity, message, time.monotonic()))


def _measure_plan(fleet: Fleet) -> float:
    """Return the processor time of one planning pass of the largest domain."""
    view = EntryView(fleet.members[0])
    coordination = Coordination(view, wake=lambda: None, may_confirm=lambda _: True)
    coordination.handle(DocumentsUpdated(fleet.documents))
    table = max(view.agreed.tables.values(), key=lambda item: len(item.groups))
    hosts = tuple(
        HostView(
            host.id,
            host.address,
            host.pool,
            health=Health.UP,
            group=fleet.reports[host.id].group,
            epoch=fleet.reports[host.id].epoch,
            incarnation=fleet.reports[host.id].incarnation,
        )
        for host in fleet.hosts
        if host.domain == table.domain
    )
    services = tuple(s for s in view.cfg.services if s.pool == "lesson")
    domain = DomainView(table, hosts, services, 1.0, 1.0)
    started_cpu_s = time.process_time()
    for _ in range(20):
        plan_domain(domain, PlannerPolicy())
    return (time.process_time() - started_cpu_s) / 20


def measure_links() -> tuple[float, float]:
    """Return processor time per message and memory per link, over loopback.

    Both ends of each link run in this process, so the time per message covers
    its sending and its receipt.
    """
    received = [0]

    def _count(event):
        if isinstance(event, Received):
            received[0] += 1

    def _build(name):
        return MeshNode(
            Identity(name, "i", "z"),
            "k" * 16,
            host="127.0.0.1",
            port=0,
            frame_bytes=1 << 20,
            deliver=_count,
        )

    hub = _build("hub")
    hub.start()
    gevent.sleep(0.1)
    before = _resident_kb()
    nodes = [_build(f"n{i}") for i in range(LINK_COUNT)]
    for node in nodes:
        node.dial([hub.address])
    deadline = time.monotonic() + 10 * ROUND_TIMEOUT_S
    while len(hub.peers) < LINK_COUNT and time.monotonic() < deadline:
        gevent.sleep(0.05)
    per_link_kb = (_resident_kb() - before) / LINK_COUNT / 2
    sample = decode_message(
        encode_message(Evidence(1, ())),
    )
    started_cpu_s = time.process_time()
    for number in range(1, LINK_MESSAGES // LINK_COUNT + 1):
        hub.broadcast(sample)
        deadline = time.monotonic() + ROUND_TIMEOUT_S
        while received[0] < number * LINK_COUNT and time.monotonic() < deadline:
            gevent.sleep(0.001)
    per_message_us = (time.process_time() - started_cpu_s) * 1e6 / received[0]
    for node in nodes:
        node.stop()
    hub.stop()
    return per_message_us, per_link_kb


def _resident_kb() -> float:
    with open("/proc/self/status") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return float(line.split()[1])
    return 0.0


def main() -> None:
    """Print the cost of a link, and a line for each fleet size."""
    print("python -m benchmarks.control_slopes")
    per_message_us, per_link_kb = measure_links()
    print(f"link: {per_message_us:.1f} us a message for both ends of it")
    print(f"link: {per_link_kb:.0f} KB resident for one end")
    print(
        "nodes workers links observed out/s in/s out-KB/s in-KB/s logic-ms/s "
        "link-ms/s state-KB plan-ms"
    )
    for size in SIZES:
        costs = measure(*size)
        messages = costs.out_messages + costs.in_messages
        print(
            f"{costs.entry_hosts:5} {costs.engine_hosts:7} {costs.neighbours:5} "
            f"{costs.observed:8} {costs.out_messages:5.0f} {costs.in_messages:4.0f} "
            f"{costs.out_bytes / 1000:8.2f} {costs.in_bytes / 1000:7.2f} "
            f"{costs.logic_ms:10.2f} "
            f"{messages * per_message_us / 2000:9.2f} {costs.state_kb:8.0f} "
            f"{costs.plan_ms:7.2f}"
        )
    print(f"observers per host: {OBSERVERS_PER_HOST}")


if __name__ == "__main__":
    main()
