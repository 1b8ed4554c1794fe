"""Program: a mesh node whose peer falls silent while data waits to be sent to it.

Run as ``python -m gevent.monkey --module waxwingpitch.tests.silent_link``. A descriptor
that is closed while a greenlet waits for it ends the process with SIGABRT.
"""

from __future__ import annotations

import socket
import time

import gevent
from websockets.sync.client import connect
from websockets.sync.server import serve

from ..mesh import Identity, LinkDown, LinkUp, MeshNode, node as node_module
from ..mesh.handshake import accept_handshake, connect_handshake
from ..mesh.messages import DocumentItem, Documents

KEY = "k" * 16
SILENCE_S = 0.3
MESSAGE = Documents((DocumentItem("agreed/x", 1, b"x" * 60_000),))
MESSAGES = 400


def fall_silent(address: str, name: str) -> None:
    """Connect as a peer that reads nothing after the handshake."""
    conn = connect(f"ws://{address}", compression=None, max_queue=1, proxy=None)
    identity = Identity(name, "i", "z")
    connect_handshake(conn.send, conn.recv, identity, KEY)
    gevent.sleep(10.0)


def accept_silently(name: str) -> str:
    """Accept one link as a peer that reads nothing afterwards; return the address."""

    def _accept(conn):
        identity = Identity(name, "i", "z")
        accept_handshake(conn.send, conn.recv, identity, KEY)
        gevent.sleep(10.0)

    server = serve(_accept, "127.0.0.1", 0, compression=None, max_queue=1)
    gevent.spawn(server.serve_forever)
    return "127.0.0.1:%d" % server.socket.getsockname()[1]


def reuse_descriptors() -> None:
    """Open and watch sockets, which get the numbers of closed descriptors."""
    pairs = [socket.socketpair() for _ in range(20)]
    greenlets = [gevent.spawn(left.recv, 1) for left, _ in pairs]
    gevent.sleep(0.1)
    for _, right in pairs:
        right.send(b"x")
    gevent.joinall(greenlets, raise_error=True)


def main() -> None:
    """Let peers on both ends of a link fall silent, and wait until the links end."""
    node_module.RECEIVE_TIMEOUT_S = SILENCE_S
    events = []
    node = MeshNode(
        Identity("alice", "i", "z"),
        KEY,
        host="127.0.0.1",
        port=0,
        frame_bytes=1 << 20,
        deliver=events.append,
    )
    node.start()
    connecting, accepting = ["p1", "p2", "p3"], ["p4", "p5", "p6"]
    names = connecting + accepting
    for name in connecting:
        gevent.spawn(fall_silent, node.address, name)
    node.dial([accept_silently(name) for name in accepting])
    deadline = time.monotonic() + 5.0
    while len(node.peers) < len(names) and time.monotonic() < deadline:
        gevent.sleep(0.001)
    for _ in range(MESSAGES):
        node.broadcast(MESSAGE)
        gevent.sleep(0)
    while node.peers and time.monotonic() < deadline:
        gevent.sleep(0.01)
    node.dial([])
    reuse_descriptors()
    gevent.sleep(0.5)
    kinds = [type(event) for event in events]
    assert kinds.count(LinkUp) == kinds.count(LinkDown) == len(names), kinds
    print("all links ended")


if __name__ == "__main__":
    main()
