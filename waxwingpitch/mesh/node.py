"""Mesh node: keeps a link to each peer and transfers messages.

Each link has a sender and a receiver greenlet and a bounded send queue. A link whose
queue is full is closed; the peer gets the state that it missed with the next digest.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from gevent.queue import Full, Queue
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import serve

from ..errors import PeerError
from .codec import decode_message, encode_message
from .handshake import Identity, accept_handshake, connect_handshake, refuse
from .messages import Message

MAX_QUEUED_MESSAGES = 256
RECEIVE_TIMEOUT_S = 5.0
HANDSHAKE_TIMEOUT_S = 2.0
MIN_RECONNECT_DELAY_S = 0.2
MAX_RECONNECT_DELAY_S = 3.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Received:
    """A message received from a peer; ``at`` is the monotonic time of receipt."""

    peer: Identity
    message: Message
    at: float


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A link to a peer was established."""

    peer: Identity


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The link to a peer was lost."""

    peer: Identity


MeshEvent = Received | LinkUp | LinkDown


class _Link:
    """An authenticated connection to one peer."""

    def __init__(self, conn: Connection, peer: Identity):
        self.conn = conn
        self.peer = peer
        self.queue: Queue = Queue(MAX_QUEUED_MESSAGES)
        self.sent_bytes = 0
        self.sent_messages = 0

    def send_forever(self) -> None:
        while True:
            data = self.queue.get()
            self.conn.send(data)
            self.sent_bytes += len(data)
            self.sent_messages += 1

    def close(self) -> None:
        self.conn.socket.close()
        self.conn.close_socket()


class MeshNode:
    """Owns the listening socket and the links of one entry host.

    Parameters
    ----------
    local
        Identity of this process.
    key
        The shared mesh key.
    host, port
        Address to bind; port 0 selects a free port.
    frame_bytes
        Largest size of a message.
    deliver
        Called with each event, in the receiver's greenlet.
    """

    def __init__(
        self,
        local: Identity,
        key: str,
        *,
        host: str,
        port: int,
        frame_bytes: int,
        deliver: Callable[[MeshEvent], None],
    ):
        self._local = local
        self._key = key
        self._frame_bytes = frame_bytes
        self._deliver = deliver
        self._links: dict[str, _Link] = {}
        self._dialers: dict[str, gevent.Greenlet] = {}
        self._sent_on_closed_links = [0, 0]
        self._server = serve(
            self._accept,
            host,
            port,
            max_size=frame_bytes,
            compression=None,
            ping_interval=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            logger=logging.getLogger("waxwingpitch.websockets"),
        )
        self._host = host
        self._acceptor: gevent.Greenlet | None = None

    @property
    def address(self) -> str:
        """``IP:port`` of the listening socket."""
        return f"{self._host}:{self._server.socket.getsockname()[1]}"

    @property
    def peers(self) -> frozenset[str]:
        """Ids of the peers with an established link."""
        return frozenset(self._links)

    def list_peers_in(self, zone: str) -> list[str]:
        """Return the ids of the peers in a zone with an established link."""
        return sorted(
            link.peer.id for link in self._links.values() if link.peer.zone == zone
        )

    @property
    def sent(self) -> tuple[int, int]:
        """Messages and bytes sent so far."""
        links = self._links.values()
        return (
            self._sent_on_closed_links[0] + sum(link.sent_messages for link in links),
            self._sent_on_closed_links[1] + sum(link.sent_bytes for link in links),
        )

    def start(self) -> None:
        """Start accepting links."""
        self._acceptor = gevent.spawn(self._accept_forever)

    def stop(self) -> None:
        """Close all links and the listening socket."""
        gevent.killall(list(self._dialers.values()), block=False)
        for link in list(self._links.values()):
            link.close()
        if self._acceptor is not None:
            self._acceptor.kill(block=False)
        self._server.socket.close()

    def dial(self, addresses: Iterable[str]) -> None:
        """Keep connecting to these addresses and stop connecting to all others.

        Parameters
        ----------
        addresses
            ``IP:port`` of each peer that this side connects to.
        """
        desired = set(addresses) - {self.address}
        for address in self._dialers.keys() - desired:
            self._dialers.pop(address).kill(block=False)
        for address in desired - self._dialers.keys():
            self._dialers[address] = gevent.spawn(self._dial_forever, address)

    def broadcast(self, message: Message, *, skip: str | None = None) -> None:
        """Send a message to all peers except ``skip``."""
        data = encode_message(message)
        for link in list(self._links.values()):
            if link.peer.id != skip:
                self._enqueue(link, data)

    def multicast(self, message: Message, peer_ids: Iterable[str]) -> None:
        """Send a message to several peers, encoding it once."""
        data = encode_message(message)
        for peer_id in peer_ids:
            link = self._links.get(peer_id)
            if link is not None:
                self._enqueue(link, data)

    def send(self, peer_id: str, message: Message) -> None:
        """Send a message to one peer, if a link to it is established."""
        link = self._links.get(peer_id)
        if link is not None:
            self._enqueue(link, encode_message(message))

    def _enqueue(self, link: _Link, data: bytes) -> None:
        try:
            link.queue.put_nowait(data)
        except Full:
            logger.warning(
                "mesh send queue is full; closing the link",
                extra={"peer": link.peer.id},
            )
            link.close()

    def _accept_forever(self) -> None:
        """Accept connections until the socket is closed.

        The accept loop of the websockets library waits in a selector that it never
        closes, which under gevent leaves a watcher on a closed descriptor.
        """
        while True:
            try:
                sock, address = self._server.socket.accept()
            except OSError:
                return
            sock.settimeout(None)
            gevent.spawn(self._server.handler, sock, address)

    def _accept(self, conn: Connection) -> None:
        try:
            peer = accept_handshake(
                conn.send,
                lambda: conn.recv(HANDSHAKE_TIMEOUT_S),
                self._local,
                self._key,
            )
        except PeerError as exc:
            logger.warning(
                "connection of a mesh peer refused", extra={"reason": exc.message}
            )
            refuse(conn.send, exc)
            return
        except (WebSocketException, TimeoutError, OSError):
            return
        self._run_link(conn, peer)

    def _dial_forever(self, address: str) -> None:
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            started_at = time.monotonic()
            try:
                self._dial_once(address)
            except PeerError as exc:
                logger.warning(
                    "connection refused by a mesh peer",
                    extra={"address": address, "reason": exc.message},
                )
            except (WebSocketException, TimeoutError, OSError) as exc:
                logger.debug(
                    "connecting to a mesh peer failed: %s",
                    exc,
                    extra={"address": address},
                )
            if time.monotonic() - started_at > RECEIVE_TIMEOUT_S:
                delay_s = MIN_RECONNECT_DELAY_S
            gevent.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(MAX_RECONNECT_DELAY_S, delay_s * 2)

    def _dial_once(self, address: str) -> None:
        with connect(
            f"ws://{address}",
            max_size=self._frame_bytes,
            compression=None,
            ping_interval=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            close_timeout=0.1,
            proxy=None,
        ) as conn:
            peer = connect_handshake(
                conn.send,
                lambda: conn.recv(HANDSHAKE_TIMEOUT_S),
                self._local,
                self._key,
            )
            self._run_link(conn, peer)

    def _run_link(self, conn: Connection, peer: Identity) -> None:
        if peer.id == self._local.id:
            return
        link = _Link(conn, peer)
        previous = self._links.pop(peer.id, None)
        if previous is not None:
            previous.close()
        self._links[peer.id] = link
        sender = gevent.spawn(self._send_until_closed, link)
        self._deliver(LinkUp(peer))
        try:
            self._receive_until_closed(link)
        finally:
            sender.kill(block=False)
            self._remove_link(link)

    def _send_until_closed(self, link: _Link) -> None:
        try:
            link.send_forever()
        except (WebSocketException, OSError):
            link.close()

    def _receive_until_closed(self, link: _Link) -> None:
        try:
            while True:
                data = link.conn.recv(RECEIVE_TIMEOUT_S)
                message = decode_message(data)
                self._deliver(Received(link.peer, message, time.monotonic()))
        except PeerError as exc:
            logger.warning(
                "malformed mesh message; closing the link",
                extra={"peer": link.peer.id, "reason": exc.message},
            )
        except (WebSocketException, TimeoutError, OSError):
            return

    def _remove_link(self, link: _Link) -> None:
        self._sent_on_closed_links[0] += link.sent_messages
        self._sent_on_closed_links[1] += link.sent_bytes
        if self._links.get(link.peer.id) is link:
            del self._links[link.peer.id]
            self._deliver(LinkDown(link.peer))
