"""Links to targets that are lost, and connections that peers open meanwhile."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from types import SimpleNamespace

import gevent
import pytest
from gevent.server import StreamServer
from hypothesis import given, strategies as st

from ..forwarding import ConnectionPool, TargetBrokenError, UnreachableError
from ..forwarding.exchange import send_request
from ..forwarding.memory import AnswerMemory
from ..forwarding.relay import (
    RelayAnswer,
    RelayedSocket,
    RelayListener,
    TargetNotReachedError,
    ask_relay,
)
from ..forwarding.targets import open_socket
from ..gateway.relays import MAX_ASKED, LinkCheck, RelayChooser
from ..slots import EntryHost
from ..targets.links import LOST_TTL_S, LinkBook
from .free_ports import find_port
from .gateway_client import wait_for

ADDRESSES = ("t1", "t2", "t3", "t4")
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhalf"


# What is known of links.


@given(st.lists(st.sampled_from(ADDRESSES), max_size=6))
def test_links_are_presumed_lost_after_three_targets_in_turn(relayed):
    links = LinkBook()
    for address in relayed:
        links.record_relayed(address, 0.0)
    assert links.is_cut == (len(set(relayed)) >= 3)
    links.record_reached("t1")
    assert not links.is_cut
    assert "t1" not in links.list_lost()


def test_link_that_is_lost_is_forgotten_unless_all_are():
    links = LinkBook()
    links.record_relayed("t1", 0.0)
    links.expire(LOST_TTL_S + 0.1)
    assert not links.prefers_relay("t1")
    for address in ADDRESSES:
        links.record_relayed(address, 0.0)
    links.expire(10 * LOST_TTL_S)
    assert links.is_cut


def test_target_that_no_peer_reaches_is_not_asked_of_them_again_at_once():
    links = LinkBook()
    links.record_unreached("t1", 0.0)
    assert not links.may_ask_peers("t1", 0.1)
    assert links.may_ask_peers("t1", 1.0)


# Connections that a peer opens.


class Target:
    """A target that answers a request with bytes and then closes or resets."""

    def __init__(self, answer: bytes, *, resets: bool = False):
        self._answer, self._resets = answer, resets
        self.requests: list[bytes] = []
        self.left = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, sock, _) -> None:
        self.requests.append(sock.recv(4096))
        sock.sendall(self._answer)
        if not self._answer:
            self.left += sock.recv(1) == b""
        if self._resets:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()


@pytest.fixture
def relays():
    listeners = []

    def _start(**changes) -> str:
        parts = {
            "open_socket": open_socket,
            "may_relay": lambda address: True,
            "is_cut": lambda: False,
            "reaches_another": lambda address: True,
        }
        port = find_port()
        listener = RelayListener(**{**parts, **changes})
        listener.start("127.0.0.1", port)
        listeners.append(listener)
        return f"127.0.0.1:{port}"

    yield _start
    for listener in listeners:
        listener.stop()


def build_pool(relay: str) -> ConnectionPool:
    """Return a pool without links of its own."""

    def _refuse(address, timeout_s):
        raise ConnectionRefusedError("Connection refused")

    pool = ConnectionPool()
    pool.open_socket = _refuse
    pool.open_relayed = lambda address, timeout_s: ask_relay(relay, address, 1.0)[1]
    return pool


def read_answer(pool: ConnectionPool, address: str) -> bytes:
    conn = send_request(pool, address, REQUEST, timeout_s=1.0)
    conn.read_head(float("inf"))
    hold = AnswerMemory(limit_bytes=0).open()
    return conn.read_whole_body(float("inf"), max_bytes=10**6, hold=hold)


def test_whole_answer_comes_through_a_peer(relays):
    target = Target(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
    assert read_answer(build_pool(relays()), target.address) == b"whole"
    assert target.requests == [REQUEST]
    target.stop()


def test_unframed_answer_that_ends_with_its_connection_is_whole(relays):
    target = Target(UNFRAMED)
    assert read_answer(build_pool(relays()), target.address) == b"half"
    target.stop()


def test_unframed_answer_that_is_reset_behind_a_peer_is_not_complete(relays):
    target = Target(UNFRAMED, resets=True)
    with pytest.raises(TargetBrokenError):
        read_answer(build_pool(relays()), target.address)
    target.stop()


def test_unframed_answer_whose_peer_ends_is_not_complete():
    here, there = socket.socketpair()
    there.sendall(struct.pack("!I", len(UNFRAMED)) + UNFRAMED)
    there.close()
    relayed = RelayedSocket(here)
    assert relayed.recv(100) == UNFRAMED
    with pytest.raises(ConnectionResetError):
        relayed.recv(100)


@given(st.lists(st.binary(min_size=1, max_size=20), max_size=6), st.integers(1, 9))
def test_frames_that_arrive_in_pieces_are_joined(parts, piece):
    here, there = socket.socketpair()
    data = b"".join(struct.pack("!I", len(part)) + part for part in parts)
    data += struct.pack("!I", 0)
    for at in range(0, len(data), piece):
        there.sendall(data[at : at + piece])
    relayed = RelayedSocket(here)
    received = b""
    while chunk := relayed.recv(7):
        received += chunk
    assert received == b"".join(parts)
    here.close()
    there.close()


def test_target_notices_at_once_that_the_host_behind_a_peer_has_left(relays):
    target = Target(b"")
    conn = send_request(build_pool(relays()), target.address, REQUEST, timeout_s=1.0)
    wait_for(lambda: target.requests)
    conn.close()
    wait_for(lambda: target.left == 1, 0.5)
    target.stop()


def test_peer_relays_only_to_known_targets_and_only_if_it_has_links(relays):
    target = Target(UNFRAMED)
    for changes in ({"may_relay": lambda address: False}, {"is_cut": lambda: True}):
        answer, sock = ask_relay(relays(**changes), target.address, 1.0)
        assert (answer, sock) == (RelayAnswer.UNABLE, None)
    assert target.requests == []
    target.stop()


def test_target_that_peers_do_not_reach_is_unreachable(relays):
    relay = relays()
    closed = f"127.0.0.1:{find_port()}"
    assert ask_relay(relay, closed, 1.0) == (RelayAnswer.UNREACHED, None)
    pool = build_pool(relay)
    with pytest.raises(UnreachableError):
        pool.connect(closed, timeout_s=1.0)
    assert pool.links.list_lost() == []


def test_peer_that_reaches_no_other_target_either_can_not_tell(relays):
    relay = relays(reaches_another=lambda address: False)
    closed = f"127.0.0.1:{find_port()}"
    assert ask_relay(relay, closed, 1.0) == (RelayAnswer.UNABLE, None)


def test_own_links_are_checked_by_another_target_than_the_one_not_reached():
    reached = {"t1:1": False, "t2:1": True}
    tried = []

    def _open(address, timeout_s):
        tried.append(address)
        if not reached[address]:
            raise ConnectionRefusedError("Connection refused")
        return socket.socket()

    check = LinkCheck(_open, lambda: reached)
    assert check.reaches_another("t1:1")
    assert tried == ["t2:1"]
    check = LinkCheck(_open, lambda: reached)
    assert not check.reaches_another("t2:1")
    assert not LinkCheck(_open, lambda: ["t1:1"]).reaches_another("t1:1")


@pytest.mark.parametrize("line", [b"", b"x" * 200, b"\xff\n", b"no address\n"])
def test_malformed_line_does_not_stop_a_relay(relays, line):
    relay = relays()
    host, _, port = relay.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(line)
        sock.shutdown(socket.SHUT_WR)
        with suppress(ConnectionResetError):
            sock.recv(100)
    target = Target(UNFRAMED)
    assert ask_relay(relay, target.address, 1.0)[0] is RelayAnswer.OPEN
    target.stop()


# Choice of a peer.


class Fleet:
    """Hosts with relays, as one of them knows them."""

    def __init__(self, *, zones="aaabbb", cut=(), live=(), stopping=(), answers=None):
        self.hosts = {
            f"h{number}": EntryHost(f"h{number}", "", zone, 1.0, "", f"relay-{number}")
            for number, zone in enumerate(zones)
        }
        self.cut, self.answers = frozenset(cut), answers or {}
        self.asked: list[str] = []
        roster = SimpleNamespace(
            hosts=self.hosts,
            local=self.hosts["h0"],
            is_live=lambda name: name in live,
            is_stopping=lambda name: name in stopping,
        )
        statuses = SimpleNamespace(list_cut=lambda: self.cut)
        self.chooser = RelayChooser(roster, statuses, self._ask)

    def _ask(self, relay: str, address: str, timeout_s: float):
        name = relay.replace("relay-", "h")
        self.asked.append(name)
        answer = self.answers.get(name, RelayAnswer.OPEN)
        if isinstance(answer, Exception):
            raise answer
        return answer, name if answer is RelayAnswer.OPEN else None


def test_peer_that_is_linked_and_has_links_to_targets_is_asked_first():
    fleet = Fleet(cut=["h1"], live=["h1", "h2", "h3"], stopping=["h4"])
    assert fleet.chooser.open("t", 1.0) == "h2"
    assert fleet.chooser.open("t", 1.0) == "h2"
    assert fleet.asked == ["h2", "h2"]


def test_hosts_of_another_zone_are_asked_while_all_of_a_zone_is_cut():
    fleet = Fleet(
        live=["h1", "h2"],
        answers={"h1": RelayAnswer.UNABLE, "h2": ConnectionResetError("reset")},
    )
    assert fleet.chooser.open("t", 1.0) in ("h3", "h4", "h5")
    fleet.asked.clear()
    assert fleet.chooser.open("t", 1.0) in ("h3", "h4", "h5")
    assert len(fleet.asked) == 1


def test_target_that_two_peers_with_links_do_not_reach_is_given_up():
    fleet = Fleet(
        answers=dict.fromkeys(["h1", "h2"], RelayAnswer.UNREACHED), zones="aaa"
    )
    with pytest.raises(TargetNotReachedError):
        fleet.chooser.open("t", 1.0)
    assert len(fleet.asked) == 2


def test_peer_that_does_not_answer_in_time_is_no_proof_that_a_target_is_gone():
    answers = [None, "opened"]
    pool = build_pool("")
    pool.open_relayed = lambda address, timeout_s: answers.pop(0)
    with pytest.raises(UnreachableError):
        pool.connect("127.0.0.1:1", timeout_s=1.0)
    assert pool.connect("127.0.0.1:1", timeout_s=1.0).is_relayed


def test_number_of_peers_that_are_asked_is_bounded():
    answers = {f"h{number}": RelayAnswer.UNABLE for number in range(40)}
    fleet = Fleet(zones="a" * 40, answers=answers)
    assert fleet.chooser.open("t", 1.0) is None
    assert len(fleet.asked) == MAX_ASKED


def test_time_for_asking_peers_is_bounded():
    fleet = Fleet(answers={f"h{n}": RelayAnswer.UNABLE for n in range(6)})
    ask = fleet._ask

    def _ask_slowly(relay, address, timeout_s):
        gevent.sleep(0.05)
        return ask(relay, address, timeout_s)

    fleet.chooser._ask = _ask_slowly
    assert fleet.chooser.open("t", 0.08) is None
    assert len(fleet.asked) == 2
