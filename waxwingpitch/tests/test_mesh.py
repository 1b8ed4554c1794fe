"""Mesh messages, handshake and links, and the evidence sets that are sent on them."""

from __future__ import annotations

import gc
import subprocess
import sys
from pathlib import Path

import cbor2
import gevent
import hypothesis.strategies as st
import pytest
from gevent.queue import Queue
from gevent.selectors import GeventSelector
from hypothesis import given

from ..entry.evidence_sets import OBSERVED_SET, IncomingSets, OutgoingSets
from ..entry.evidence_wire import ClockOffsets
from ..errors import PeerError, ResultCode
from ..mesh import (
    Identity,
    LinkDown,
    LinkUp,
    MeshNode,
    Received,
    decode_message,
    encode_message,
)
from ..mesh.fleet_messages import TargetRate
from ..mesh.handshake import accept_handshake, connect_handshake, prove
from ..mesh.messages import (
    MESH_VERSION,
    Digest,
    DocumentItem,
    Documents,
    EvidenceSetState,
    Heartbeat,
    Hello,
    Message,
    Proof,
    SuspectItem,
    Suspects,
)
from ..mesh.websocket import WebSocket
from ..ports import TargetReport
from ..targets import EvidenceBook, Health
from .cluster import wait_until

PYTHON = (sys.executable, "-m", "gevent.monkey", "--module")
TEXT = st.text(max_size=12)
NUMBERS = st.integers(0, 2**63 - 1)
MESSAGES = st.one_of(
    st.builds(Digest, st.dictionaries(TEXT, NUMBERS, max_size=4)),
    st.builds(
        Documents,
        st.lists(st.builds(DocumentItem, TEXT, NUMBERS, st.binary()), max_size=3).map(
            tuple
        ),
    ),
    st.builds(
        Heartbeat,
        NUMBERS,
        NUMBERS,
        NUMBERS,
        st.booleans(),
        NUMBERS,
        st.lists(st.builds(EvidenceSetState, TEXT, NUMBERS, NUMBERS), max_size=3).map(
            tuple
        ),
    ),
    st.builds(
        Suspects,
        st.lists(
            st.builds(
                SuspectItem, TEXT, st.lists(TEXT, max_size=2).map(tuple), NUMBERS
            ),
            max_size=3,
        ).map(tuple),
    ),
)
ALICE = Identity("alice", "i1", "dar-a")
BOB = Identity("bob", "i2", "dar-b")


@given(MESSAGES)
def test_message_round_trip(message: Message):
    assert decode_message(encode_message(message)) == message


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(data):
    try:
        decode_message(data)
    except PeerError as exc:
        assert exc.code is ResultCode.PEER_MESSAGE_MALFORMED


def test_older_peer_is_understood():
    newer = cbor2.dumps([5, 1, 2, 3, False, 4, [], "a field of a later version"])
    older = cbor2.dumps([5, 1, 2, 3])
    assert decode_message(newer).revision == 3
    assert decode_message(older).evidence_sets == ()


def run_handshake(connect_key: str, accept_key: str, hello: Hello | None = None):
    """Run both sides of a handshake; return the result or exception of each."""
    to_accept, to_connect = Queue(), Queue()

    def _connect():
        if hello is not None:
            to_accept.put(encode_message(hello))
            return to_connect.get(timeout=0.5)
        return connect_handshake(
            to_accept.put, lambda: to_connect.get(timeout=0.5), ALICE, connect_key
        )

    def _accept():
        return accept_handshake(
            to_connect.put, lambda: to_accept.get(timeout=0.5), BOB, accept_key
        )

    greenlets = [gevent.spawn(_connect), gevent.spawn(_accept)]
    gevent.joinall(greenlets)
    return [
        greenlet.value if greenlet.successful() else greenlet.exception
        for greenlet in greenlets
    ]


def test_handshake_authenticates_both_sides():
    assert run_handshake("k" * 16, "k" * 16) == [BOB, ALICE]


def test_wrong_key_is_refused():
    connected, _ = run_handshake("k" * 16, "x" * 16)
    assert connected.code is ResultCode.PEER_UNAUTHENTICATED


@pytest.mark.parametrize(("version", "oldest"), [(0, 0), (9, MESH_VERSION + 1)])
def test_other_version_is_refused_with_a_code(version, oldest):
    hello = Hello(version, oldest, "old", "i", "dar-a", b"n")
    _, accepted = run_handshake("k" * 16, "k" * 16, hello)
    assert accepted.code is ResultCode.PEER_VERSION


def build_node(identity: Identity, events: list, **kwargs) -> MeshNode:
    node = MeshNode(
        identity,
        "k" * 16,
        host="127.0.0.1",
        port=0,
        frame_bytes=1 << 16,
        deliver=events.append,
        **kwargs,
    )
    node.start()
    return node


def test_slow_peer_costs_bounded_memory():
    events = []
    alice, bob = build_node(ALICE, []), build_node(BOB, events)
    alice.dial([bob.address])
    wait_until(lambda: any(isinstance(event, LinkUp) for event in events), 5.0)
    wait_until(lambda: "bob" in alice.peers, 5.0)
    link = alice._links["bob"]
    message = Documents((DocumentItem("agreed/x", 1, b"x" * 1000),))
    for _ in range(2000):
        alice.send("bob", message)
    assert link.queue.qsize() <= 256
    wait_until(lambda: alice._links.get("bob") not in (None, link), 10.0)
    alice.send("bob", Digest({}))
    wait_until(
        lambda: any(
            isinstance(e, Received) and e.message == Digest({}) for e in events
        ),
        5.0,
    )
    alice.stop()
    bob.stop()


def test_frame_above_the_limit_closes_the_link_and_is_not_delivered():
    events = []
    alice, bob = build_node(ALICE, []), build_node(BOB, events)
    alice.dial([bob.address])
    wait_until(lambda: "bob" in alice.peers, 5.0)
    link = alice._links["bob"]
    alice.send("bob", Documents((DocumentItem("agreed/x", 1, b"x" * (1 << 17)),)))
    wait_until(lambda: alice._links.get("bob") is not link, 5.0)
    assert not [event for event in events if isinstance(event, Received)]
    alice.stop()
    bob.stop()


def build_book(now: float) -> EvidenceBook:
    book = EvidenceBook()
    for host in ("h0", "h1"):
        book.record_report(TargetReport(host, "i"), now)
    return book


def test_set_is_refreshed_by_number_and_requested_after_a_change():
    book, hosts = build_book(100.0), ["h0", "h1"]
    out, incoming = OutgoingSets(book), IncomingSets()
    state = out.describe(OBSERVED_SET, hosts, 100.5)
    assert incoming.refresh("p", state, 200.0) is None
    incoming.store("p", out.build(OBSERVED_SET, hosts, 100.5), 200.0)
    refreshed = incoming.refresh("p", out.describe(OBSERVED_SET, hosts, 101.5), 201.0)
    assert {item.host for item in refreshed} == {"h0", "h1"}
    assert all(item.observed_at == pytest.approx(199.5) for item in refreshed)
    book.record_failure("h1", Health.REFUSED, 102.0)
    assert (
        incoming.refresh("p", out.describe(OBSERVED_SET, hosts, 102.0), 202.0) is None
    )


def test_expired_evidence_changes_the_set_number():
    out = OutgoingSets(build_book(100.0))
    fresh = out.describe(OBSERVED_SET, ["h0", "h1"], 101.0)
    stale = out.describe(OBSERVED_SET, ["h0", "h1"], 120.0)
    assert stale.number == fresh.number + 1


def test_delay_in_a_buffer_makes_evidence_older():
    offsets = ClockOffsets()
    assert offsets.delay_s("p", 1000, 50.0) == 0.0
    assert offsets.delay_s("p", 2000, 51.0) == 0.0
    assert offsets.delay_s("p", 3000, 58.0) == pytest.approx(6.0)


def list_watching_selectors() -> list[GeventSelector]:
    """Return the selectors that watch a descriptor, those of earlier tests too."""
    gc.unfreeze()
    selectors = [item for item in gc.get_objects() if type(item) is GeventSelector]
    return [item for item in selectors if item._active_watchers]


def test_no_selector_watches_a_link():
    """A selector's watcher outlives its descriptor, and then aborts the process."""
    alice, bob = build_node(ALICE, []), build_node(BOB, [])
    alice.dial([bob.address])
    wait_until(lambda: "bob" in alice.peers and "alice" in bob.peers, 5.0)
    watching = list_watching_selectors()
    alice.stop()
    bob.stop()
    gevent.sleep(0.05)
    assert watching == list_watching_selectors() == []


@pytest.mark.processes
def test_silent_peers_with_unsent_data_do_not_end_the_process():
    done = subprocess.run(
        [*PYTHON, "waxwingpitch.tests.silent_link"],
        cwd=Path(__file__).parents[2],
        capture_output=True,
        timeout=30.0,
    )
    assert (done.returncode, done.stdout) == (0, b"all links ended\n")


# Two versions of the messages side by side.

RATE = TargetRate(1, "z", "pool", "", "t", 5.0)


class RawPeer:
    """A peer of a given version, which sends and receives encoded messages."""

    def __init__(self, address: str, version: int, incarnation: str = "i"):
        self._conn = WebSocket.connect(
            address, frame_bytes=1 << 16, open_timeout_s=2.0, timeout_s=5.0
        )
        hello = Hello(version, 1, "raw", incarnation, "dar-a", b"n" * 16)
        self._conn.send(encode_message(hello))
        challenge = decode_message(self._conn.recv(2.0))
        peer = Identity(challenge.id, challenge.incarnation, challenge.zone)
        local = Identity("raw", incarnation, "dar-a")
        proof = prove("k" * 16, b"connect", hello.nonce, challenge.nonce, local)
        assert challenge.proof == prove(
            "k" * 16, b"accept", hello.nonce, challenge.nonce, peer
        )
        self.send(Proof(proof))

    def send(self, message: Message) -> None:
        self._conn.send(encode_message(message))

    def send_plain(self, plain) -> None:
        self._conn.send(cbor2.dumps(plain))

    def receive(self) -> Message:
        return decode_message(self._conn.recv(2.0))

    def close(self) -> None:
        self._conn.close()


@pytest.fixture
def bob():
    events = []
    node = build_node(BOB, events)
    node.events = events
    yield node
    node.stop()


@pytest.mark.parametrize("how", ["send", "multicast", "broadcast"])
def test_message_that_an_older_peer_does_not_know_is_not_sent_to_it(bob, how):
    older, present = 1, MESH_VERSION
    for version in (older, present):
        peer = RawPeer(bob.address, version)
        wait_until(lambda: bob.peer_versions == {"raw": version}, 5.0)
        match how:
            case "send":
                assert bob.send("raw", RATE) == (version == present)
            case "multicast":
                bob.multicast(RATE, ["raw"])
            case "broadcast":
                bob.broadcast(RATE)
        bob.send("raw", Digest({}))
        expected = [RATE, Digest({})] if version == present else [Digest({})]
        assert [peer.receive() for _ in expected] == expected
        peer.close()
        wait_until(lambda: not bob.peers, 5.0)


def test_message_of_a_later_version_is_dropped_and_the_link_stays(bob):
    peer = RawPeer(bob.address, MESH_VERSION + 1)
    for number in range(20):
        peer.send_plain([99, "a message of a later version", number])
    peer.send(Digest({}))
    wait_until(lambda: [e.message for e in bob.events if isinstance(e, Received)], 5.0)
    assert bob.unknown_messages == 20
    assert bob.peers == {"raw"}
    peer.close()


def test_malformed_message_ends_the_link(bob):
    peer = RawPeer(bob.address, MESH_VERSION)
    wait_until(lambda: bob.peers, 5.0)
    peer.send_plain([RATE.__struct_config__.tag, "malformed"])
    wait_until(lambda: not bob.peers, 5.0)
    peer.close()


# Guards against a peer that is taken for its process before, which stopped, as long as
# the new link stands.
def test_link_of_a_process_that_has_been_replaced_is_reported_lost(bob):
    before = RawPeer(bob.address, MESH_VERSION, "before")
    wait_until(lambda: bob.peers, 5.0)
    after = RawPeer(bob.address, MESH_VERSION, "after")
    wait_until(lambda: len(bob.events) == 3, 5.0)
    kinds = [(type(event), event.peer.incarnation) for event in bob.events]
    assert kinds == [(LinkUp, "before"), (LinkDown, "before"), (LinkUp, "after")]
    before.close()
    gevent.sleep(0.1)
    assert len(bob.events) == 3
    assert bob.peers == {"raw"}
    after.close()
