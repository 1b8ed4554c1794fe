"""A websocket on one gevent socket, which one greenlet owns.

The owner receives and is the only one that closes the socket. Another greenlet may
send; it must have ended before the owner closes. All others shut the connection down,
which wakes the owner. So no descriptor is closed while a greenlet waits for it, which
would abort the process. The websockets library frames the messages; its own
connections wait in a selector, whose watchers outlive the descriptor.
"""

from __future__ import annotations

import logging
import socket
from collections import deque

from gevent import Timeout
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidURI, WebSocketException
from websockets.frames import Frame, Opcode
from websockets.protocol import Protocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from ..forwarding.turns import TurnReader

READ_BYTES = 65536
MAX_HANDSHAKE_BYTES = 65536

logger = logging.getLogger(__name__)


class WebSocketClosedError(Exception):
    """The connection ended, or the peer violated the protocol."""


class WebSocket:
    """One established connection that carries binary messages.

    Parameters
    ----------
    timeout_s
        Time without progress after which sending or receiving fails.
    """

    def __init__(self, sock: socket.socket, protocol: Protocol, timeout_s: float):
        self._sock = sock
        self._input = TurnReader(sock)
        self._timeout_s = timeout_s
        self._protocol = protocol
        self._received: deque[bytes] = deque()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(timeout_s)

    @classmethod
    def connect(
        cls, address: str, *, frame_bytes: int, open_timeout_s: float, timeout_s: float
    ) -> WebSocket:
        """Connect to ``IP:port``.

        Raises
        ------
        WebSocketClosedError, OSError
            The peer can't be reached, or is no websocket server.
        """
        host, _, port = address.rpartition(":")
        try:
            protocol = ClientProtocol(
                parse_uri(f"ws://{address}"), max_size=frame_bytes
            )
            sock = socket.create_connection((host, int(port)), open_timeout_s)
        except (InvalidURI, ValueError) as exc:
            raise WebSocketClosedError(f"{address}: {exc}") from exc
        conn = cls(sock, protocol, timeout_s)
        try:
            with Timeout(open_timeout_s, TimeoutError(f"{address}: no handshake")):
                protocol.send_request(protocol.connect())
                conn._flush()
                conn._receive_handshake()
            if protocol.handshake_exc is not None:
                raise WebSocketClosedError(str(protocol.handshake_exc))
        except BaseException:
            conn.close()
            raise
        return conn

    @classmethod
    def accept(
        cls,
        sock: socket.socket,
        *,
        frame_bytes: int,
        open_timeout_s: float,
        timeout_s: float,
    ) -> WebSocket:
        """Answer the handshake of a peer that has connected.

        Raises
        ------
        WebSocketClosedError, OSError
            The peer sent no valid handshake in time.
        """
        protocol = ServerProtocol(max_size=frame_bytes)
        conn = cls(sock, protocol, timeout_s)
        try:
            with Timeout(open_timeout_s, TimeoutError("no handshake")):
                request = conn._receive_handshake()
                protocol.send_response(protocol.accept(request))
                conn._flush()
            if protocol.handshake_exc is not None:
                raise WebSocketClosedError(str(protocol.handshake_exc))
        except BaseException:
            conn.close()
            raise
        return conn

    def send(self, *messages: bytes) -> None:
        """Send messages, in one write."""
        try:
            for message in messages:
                self._protocol.send_binary(message)
        except WebSocketException as exc:
            raise WebSocketClosedError(str(exc)) from exc
        self._flush()

    def recv(self, timeout_s: float | None = None) -> bytes:
        """Return the next message.

        Raises
        ------
        TimeoutError
            No message arrived in time.
        WebSocketClosedError, OSError
            The connection ended.
        """
        if self._received:
            self._input.end_turn_if_due()
        else:
            with Timeout(timeout_s, TimeoutError("no message")):
                self._receive_until_message()
        return self._received.popleft()

    def shut_down(self) -> None:
        """Wake the owner, whose next call fails; the descriptor stays open."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError as exc:
            logger.debug("mesh connection was already shut down: %s", exc)

    def close(self) -> None:
        """Close the socket; only its owner may do so."""
        self._sock.close()

    def _receive_handshake(self):
        size = 0
        while True:
            size += len(data := self._read())
            if size > MAX_HANDSHAKE_BYTES:
                raise WebSocketClosedError("handshake is too long")
            self._protocol.receive_data(data)
            events = self._protocol.events_received()
            if events:
                self._take_messages(events[1:])
                return events[0]
            if self._protocol.handshake_exc is not None:
                raise WebSocketClosedError(str(self._protocol.handshake_exc))

    def _receive_until_message(self) -> None:
        size = 0
        while not self._received:
            size += self._receive()
            if size > self._protocol.max_message_size + READ_BYTES:
                raise WebSocketClosedError(f"no message in {size} bytes")

    def _receive(self) -> int:
        data = self._read()
        self._protocol.receive_data(data)
        self._take_messages(self._protocol.events_received())
        if self._protocol.parser_exc is not None:
            raise WebSocketClosedError(str(self._protocol.parser_exc))
        if self._protocol.close_rcvd is not None:
            raise WebSocketClosedError("closed by the peer")
        return len(data)

    def _take_messages(self, frames: list[Frame]) -> None:
        for frame in frames:
            if frame.opcode is Opcode.BINARY and frame.fin:
                self._received.append(bytes(frame.data))
            elif frame.opcode in (Opcode.BINARY, Opcode.TEXT, Opcode.CONT):
                raise WebSocketClosedError(f"unexpected frame {frame.opcode.name}")

    def _read(self) -> bytes:
        data = self._input.recv(READ_BYTES, self._timeout_s)
        if not data:
            raise WebSocketClosedError("closed by the peer")
        return data

    def _flush(self) -> None:
        data = b"".join(self._protocol.data_to_send())
        if data:
            self._sock.sendall(data)
