"""Mesh node: keeps a link to each peer and transfers messages.

Each link has a sender and a receiver greenlet and a bounded send queue. A link whose
queue is full is closed; the peer gets the state that it missed with the next digest.
"""

from __future__ import annotations

import logging
import random
import socket
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import gevent
from gevent.queue import Full, Queue
from gevent.server import StreamServer

from ..errors import PeerError
from .codec import UnknownMessageError, decode_message, encode_message
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
# Kinds of unknown messages that are logged for each link.
MAX_LOGGED_TAGS = 8
# Interval at which a dialer checks whether the link that the peer opened still stands.
LINKED_CHECK_INTERVAL_S = 0.2

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
    """An authenticated connection to one peer.

    Attributes
    ----------
    initiator
        Id of the side that connected.
    is_removed
        Whether it has ended for this node, so that nothing from it is delivered.
    """

    def __init__(self, conn: WebSocket, peer: Identity, initiator: str):
        self.conn = conn
        self.initiator = initiator
        self.peer = peer
        self.queue: Queue = Queue(MAX_QUEUED_MESSAGES)
        self.sent_bytes = 0
        self.sent_messages = 0
        self.unknown_tags: set[int] = set()
        self.is_removed = False

    def knows(self, message: Message) -> bool:
        """Return whether the peer's version knows a message."""
        return message.since_version <= self.peer.version

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

    Attributes
    ----------
    unknown_messages
        Number of messages of kinds that only a later version knows.
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
        self._peer_dialers: dict[str, tuple[str, gevent.Greenlet]] = {}
        self._sent_on_closed_links = [0, 0]
        self.unknown_messages = 0
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

    def list_peers(self) -> list[tuple[str, str]]:
        """Return id and zone of each peer with an established link."""
        return [(link.peer.id, link.peer.zone) for link in self._links.values()]

    def list_peers_in(self, zone: str) -> list[str]:
        """Return the ids of the peers in a zone with an established link."""
        return sorted(
            link.peer.id for link in self._links.values() if link.peer.zone == zone
        )

    @property
    def peer_versions(self) -> dict[str, int]:
        """Newest version of the messages that each linked peer knows."""
        return {link.peer.id: link.peer.version for link in self._links.values()}

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
        for _, dialer in self._peer_dialers.values():
            dialer.kill(block=False)
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

    def dial_peers(self, addresses: Mapping[str, str]) -> None:
        """Keep links to these peers, and stop connecting to all others.

        A link to another peer stays until its other side ends it.

        Parameters
        ----------
        addresses
            ``IP:port`` by the peer's id.
        """
        for peer_id, (address, dialer) in list(self._peer_dialers.items()):
            if addresses.get(peer_id) != address:
                del self._peer_dialers[peer_id]
                dialer.kill(block=False)
        for peer_id, address in addresses.items():
            if peer_id not in self._peer_dialers:
                dialer = gevent.spawn(self._dial_forever, address, peer_id)
                self._peer_dialers[peer_id] = (address, dialer)

    def broadcast(self, message: Message, *, skip: str | None = None) -> None:
        """Send a message to all peers except ``skip``."""
        data = encode_message(message)
        for link in list(self._links.values()):
            if link.peer.id != skip and link.knows(message):
                self._enqueue(link, data)

    def multicast(self, message: Message, peer_ids: Iterable[str]) -> None:
        """Send a message to several peers, encoding it once."""
        data = encode_message(message)
        for peer_id in peer_ids:
            link = self._links.get(peer_id)
            if link is not None and link.knows(message):
                self._enqueue(link, data)

    def send(self, peer_id: str, message: Message) -> bool:
        """Send a message to one peer.

        Returns
        -------
        bool
            False if no link to it is established, or if it does not know the message.
        """
        link = self._links.get(peer_id)
        if link is None or not link.knows(message):
            return False
        self._enqueue(link, encode_message(message))
        return True

    def send_encoded(self, peer_id: str, data: bytes) -> bool:
        """Send an encoded message to one peer; return False if it is not linked."""
        link = self._links.get(peer_id)
        if link is None:
            return False
        self._enqueue(link, data)
        return True

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
        self._run_link(conn, peer, peer.id)

    def _dial_forever(self, address: str, peer_id: str | None = None) -> None:
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            while peer_id in self._links:
                gevent.sleep(LINKED_CHECK_INTERVAL_S)
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
            self._run_link(conn, peer, self._local.id)
        finally:
            conn.close()

    def _run_link(self, conn: WebSocket, peer: Identity, initiator: str) -> None:
        """Send and receive until the link ends; the caller then closes the socket."""
        if peer.id == self._local.id:
            return
        link = _Link(conn, peer, initiator)
        previous = self._links.get(peer.id)
        if previous is not None:
            if not _is_replaced(previous, link):
                return
            previous.conn.shut_down()
            if previous.peer.incarnation != peer.incarnation:
                # What is known of the process before does not hold for this one.
                self._remove_link(previous)
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
                if link.is_removed:
                    return
                try:
                    message = decode_message(data)
                except UnknownMessageError as exc:
                    self._drop_unknown(link, exc)
                    continue
                self._deliver(Received(link.peer, message, time.monotonic()))
        except PeerError as exc:
            logger.warning(
                "malformed mesh message; closing the link",
                extra={"peer": link.peer.id, "reason": exc.message},
            )
        except (WebSocketClosedError, OSError) as exc:
            logger.debug("mesh link ended: %s", exc, extra={"peer": link.peer.id})

    def _drop_unknown(self, link: _Link, exc: UnknownMessageError) -> None:
        """Count a message that is not known here, and log the first of its kind."""
        self.unknown_messages += 1
        if (
            exc.tag not in link.unknown_tags
            and len(link.unknown_tags) < MAX_LOGGED_TAGS
        ):
            link.unknown_tags.add(exc.tag)
            logger.warning(
                "message of a later version dropped",
                extra={
                    "peer": link.peer.id,
                    "peer_version": link.peer.version,
                    "tag": exc.tag,
                },
            )

    def _remove_link(self, link: _Link) -> None:
        if link.is_removed:
            return
        link.is_removed = True
        self._sent_on_closed_links[0] += link.sent_messages
        self._sent_on_closed_links[1] += link.sent_bytes
        if self._links.get(link.peer.id) is link:
            del self._links[link.peer.id]
            self._deliver(LinkDown(link.peer))


def _is_replaced(previous: _Link, link: _Link) -> bool:
    """Return whether a new link to a peer replaces the previous one.

    If both sides connect at once, both keep the link that the lower id initiated.
    """
    if previous.peer.incarnation != link.peer.incarnation:
        return True
    return link.initiator <= previous.initiator
