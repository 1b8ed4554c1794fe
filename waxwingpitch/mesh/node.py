"""Mesh node: keeps a link to each peer and transfers messages.

Each link has a sender and a receiver greenlet and a bounded send queue. A link whose
queue is full is closed; the peer gets the state that it missed with the next digest.
"""

from __future__ import annotations

import logging
import random
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from gevent.queue import Full, Queue
from gevent.server import StreamServer

from ..errors import PeerError
from .codec import decode_message, encode_message
from .handshake import Identity, accept_handshake, connect_handshake, refuse
from .messages import Message
from .websocket import WebSocket, WebSocketClosedError

MAX_QUEUED_MESSAGES = 256
# Messages that are sent in one write.
MAX_BATCH_MESSAGES = 64
BACKLOG = 512
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

    def __init__(self, conn: WebSocket, peer: Identity):
        self.conn = conn
        self.peer = peer
        self.queue: Queue = Queue(MAX_QUEUED_MESSAGES)
        self.sent_bytes = 0
        self.sent_messages = 0

    def send_forever(self) -> None:
        while True:
            batch = [self.queue.get()]
            while not self.queue.empty() and len(batch) < MAX_BATCH_MESSAGES:
                batch.append(self.queue.get_nowait())
            self.conn.send(*batch)
            self.sent_bytes += sum(map(len, batch))
            self.sent_messages += len(batch)


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
        self._listener = socket.create_server((host, port), backlog=BACKLOG)
        self._server = StreamServer(self._listener, self._accept)
        self._host = host
        self._port = self._listener.getsockname()[1]

    @property
    def address(self) -> str:
        """``IP:port`` of the listening socket."""
        return f"{self._host}:{self._port}"

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
        self._server.start()

    def stop(self) -> None:
        """Close all links and the listening socket."""
        gevent.killall(list(self._dialers.values()), block=False)
        for link in list(self._links.values()):
            link.conn.shut_down()
        self._server.close()
        self._listener.close()

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
            link.conn.shut_down()

    def _accept(self, sock: socket.socket, address) -> None:
        try:
            conn = WebSocket.accept(
                sock,
                frame_bytes=self._frame_bytes,
                open_timeout_s=HANDSHAKE_TIMEOUT_S,
                timeout_s=RECEIVE_TIMEOUT_S,
            )
        except (WebSocketClosedError, OSError) as exc:
            logger.debug("connection of a mesh peer failed: %s", exc)
            return
        try:
            self._serve_accepted(conn)
        except (WebSocketClosedError, OSError) as exc:
            logger.debug("connection of a mesh peer failed: %s", exc)
        finally:
            conn.close()

    def _serve_accepted(self, conn: WebSocket) -> None:
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
            except (WebSocketClosedError, OSError) as exc:
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
        conn = WebSocket.connect(
            address,
            frame_bytes=self._frame_bytes,
            open_timeout_s=HANDSHAKE_TIMEOUT_S,
            timeout_s=RECEIVE_TIMEOUT_S,
        )
        try:
            peer = connect_handshake(
                conn.send,
                lambda: conn.recv(HANDSHAKE_TIMEOUT_S),
                self._local,
                self._key,
            )
            self._run_link(conn, peer)
        finally:
            conn.close()

    def _run_link(self, conn: WebSocket, peer: Identity) -> None:
        """Send and receive until the link ends; the caller then closes the socket."""
        if peer.id == self._local.id:
            return
        link = _Link(conn, peer)
        previous = self._links.pop(peer.id, None)
        if previous is not None:
            previous.conn.shut_down()
        self._links[peer.id] = link
        sender = gevent.spawn(self._send_until_closed, link)
        self._deliver(LinkUp(peer))
        try:
            self._receive_until_closed(link)
        finally:
            self._remove_link(link)
            sender.kill()

    def _send_until_closed(self, link: _Link) -> None:
        try:
            link.send_forever()
        except (WebSocketClosedError, OSError):
            link.conn.shut_down()

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
        except (WebSocketClosedError, OSError) as exc:
            logger.debug("mesh link ended: %s", exc, extra={"peer": link.peer.id})

    def _remove_link(self, link: _Link) -> None:
        self._sent_on_closed_links[0] += link.sent_messages
        self._sent_on_closed_links[1] += link.sent_bytes
        if self._links.get(link.peer.id) is link:
            del self._links[link.peer.id]
            self._deliver(LinkDown(link.peer))
