"""Connections to targets through a peer, for entry hosts that lost their own links.

A host connects to the peer's relay listener and names the target's address. The peer
opens a connection to it, answers with one line, and passes bytes on both ways. Bytes
from the target come in frames of a four-byte length and data; a frame without data says
that the target closed the connection. Without that frame the connection was reset, or
the peer is gone, so that an answer that ends with its connection is not complete.
"""

from __future__ import annotations

import enum
import logging
import socket
import struct
import time
from collections.abc import Callable

import gevent
from gevent.server import StreamServer

from .turns import TurnReader

# Time in which a relay opens a connection to a target.
OPEN_TIMEOUT_S = 0.06
# Time in which a relay answers, including the time for the connection to it.
ANSWER_TIMEOUT_S = 0.2
# Connections that a relay passes on at the same time, where descriptors allow; each
# takes two.
MAX_RELAYED = 500
MAX_LINE_BYTES = 64
READ_BYTES = 65536
# Time after which a silent connection is probed, between two probes, and for which sent
# bytes may stay unacknowledged, which also bounds the probes (TCP_USER_TIMEOUT).
KEEP_ALIVE_S = 2
UNACKNOWLEDGED_TIMEOUT_MS = 3000

_LENGTH = struct.Struct("!I")

logger = logging.getLogger(__name__)


class TargetNotReachedError(OSError):
    """Peers that have links to targets do not reach a target."""


class RelayAnswer(bytes, enum.Enum):
    """First line of a relay's answer.

    Attributes
    ----------
    OPEN
        The connection to the target is open.
    UNREACHED
        The relay can't open one, though it has just reached another target.
    UNABLE
        The relay does not reach another target either, is busy, or knows no such one.
    """

    OPEN = b"open\n"
    UNREACHED = b"unreached\n"
    UNABLE = b"unable\n"


class RelayListener:
    """Opens connections to targets for peers.

    Parameters
    ----------
    open_socket
        Opens a socket to a target, given its address and a timeout in seconds.
    may_relay
        Returns whether this host passes bytes on to a target, given its address.
    is_cut
        Returns whether this host's own links to targets are presumed lost.
    reaches_another
        Returns whether a target other than the given address can be reached now.
    max_relayed
        Connections that are relayed at the same time.
    """

    def __init__(
        self,
        open_socket: Callable[[str, float], socket.socket],
        may_relay: Callable[[str], bool],
        is_cut: Callable[[], bool],
        reaches_another: Callable[[str], bool],
        *,
        max_relayed: int = MAX_RELAYED,
    ):
        self._open_socket = open_socket
        self._may_relay = may_relay
        self._is_cut = is_cut
        self._reaches_another = reaches_another
        self._max_relayed = max_relayed
        self._server: StreamServer | None = None
        self.relayed = 0

    def start(self, host: str, port: int) -> None:
        """Accept connections."""
        self._server = StreamServer((host, port), self._serve)
        self._server.start()

    def stop(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._server is not None:
            self._server.close()

    def _serve(self, sock: socket.socket, peer) -> None:
        target = None
        try:
            sock.settimeout(ANSWER_TIMEOUT_S)
            address = _read_line(sock).decode("ascii")
            answer, target = self._open(address)
            sock.sendall(answer)
            if target is not None:
                self._relay(sock, target)
        except (OSError, ValueError) as exc:
            logger.info("relay not used", extra={"peer": peer[0], "reason": str(exc)})
        finally:
            sock.close()
            if target is not None:
                target.close()

    def _open(self, address: str) -> tuple[RelayAnswer, socket.socket | None]:
        is_allowed = self.relayed < self._max_relayed and self._may_relay(address)
        if not is_allowed or self._is_cut():
            return RelayAnswer.UNABLE, None
        try:
            return RelayAnswer.OPEN, self._open_socket(address, OPEN_TIMEOUT_S)
        except (OSError, ValueError) as exc:
            has_links = self._reaches_another(address)
            logger.info(
                "target not reached for a peer",
                extra={
                    "address": address,
                    "reason": str(exc),
                    "reaches_another": has_links,
                },
            )
            answer = RelayAnswer.UNREACHED if has_links else RelayAnswer.UNABLE
            return answer, None

    def _relay(self, sock: socket.socket, target: socket.socket) -> None:
        self.relayed += 1
        _set_keep_alive(sock)
        upward = gevent.spawn(_pass_requests, sock, target)
        try:
            _pass_answers(target, sock)
        finally:
            self.relayed -= 1
            upward.kill()


class RelayedSocket:
    """A connection to a target through a peer, with the calls of a socket.

    Parameters
    ----------
    sock
        Connection to the peer, after its answer.
    """

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._raw = bytearray()
        self._data = bytearray()
        self._has_ended = False

    def settimeout(self, timeout_s: float | None) -> None:
        """Set the timeout of the following calls, in seconds."""
        self._sock.settimeout(timeout_s)

    def send(self, data: bytes) -> int:
        """Send bytes to the target; return how many were sent."""
        return self._sock.send(data)

    def sendall(self, data: bytes) -> None:
        """Send all bytes to the target."""
        self._sock.sendall(data)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return bytes of the target; empty once it has closed the connection.

        Raises
        ------
        ConnectionResetError
            The connection to the target, or the relay, was lost.
        """
        while not self._data and not self._has_ended:
            raw = self._sock.recv(READ_BYTES)
            if not raw:
                raise ConnectionResetError("the relay ended")
            self._raw += raw
            self._parse()
        data = bytes(self._data[:size])
        if not flags & socket.MSG_PEEK:
            del self._data[:size]
        return data

    def close(self) -> None:
        """Close the connection, upon which the peer closes that to the target."""
        self._sock.close()

    def _parse(self) -> None:
        while len(self._raw) >= _LENGTH.size and not self._has_ended:
            (size,) = _LENGTH.unpack_from(self._raw)
            end = _LENGTH.size + size
            if len(self._raw) < end:
                return
            self._data += self._raw[_LENGTH.size : end]
            self._has_ended = size == 0
            del self._raw[:end]


def ask_relay(
    relay: str, address: str, timeout_s: float
) -> tuple[RelayAnswer, RelayedSocket | None]:
    """Ask a relay for a connection to a target.

    Parameters
    ----------
    relay, address
        ``IP:port`` of the relay and of the target.

    Raises
    ------
    OSError, ValueError
        The relay does not answer as a relay does.
    """
    deadline = time.monotonic() + min(timeout_s, ANSWER_TIMEOUT_S)
    host, _, port = relay.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=ANSWER_TIMEOUT_S / 2)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(address.encode("ascii") + b"\n")
        sock.settimeout(max(0.001, deadline - time.monotonic()))
        answer = RelayAnswer(_read_line(sock) + b"\n")
    except BaseException:
        sock.close()
        raise
    if answer is not RelayAnswer.OPEN:
        sock.close()
        return answer, None
    _set_keep_alive(sock)
    return answer, RelayedSocket(sock)


def _read_line(sock: socket.socket) -> bytes:
    """Return a line without its end; nothing behind it is read."""
    line = bytearray()
    while len(line) < MAX_LINE_BYTES:
        byte = sock.recv(1)
        if byte == b"\n":
            return bytes(line)
        if not byte:
            raise ConnectionResetError("closed within a line")
        line += byte
    raise ValueError(f"line of over {MAX_LINE_BYTES} bytes")


def _pass_requests(sock: socket.socket, target: socket.socket) -> None:
    """Pass bytes on to a target until the host closes its connection."""
    try:
        source = TurnReader(sock)
        while data := source.recv(READ_BYTES, None):
            target.sendall(data)
    except OSError as exc:
        logger.info("relayed connection lost", extra={"reason": str(exc)})
    # The host gets no end frame for an answer that is broken off here.
    _shut_down(sock)
    _shut_down(target)


def _pass_answers(target: socket.socket, sock: socket.socket) -> None:
    """Pass bytes of a target on in frames, until it closes its connection."""
    try:
        source = TurnReader(target)
        while data := source.recv(READ_BYTES, None):
            sock.sendall(_LENGTH.pack(len(data)) + data)
        sock.sendall(_LENGTH.pack(0))
    except OSError as exc:
        logger.info("relayed connection lost", extra={"reason": str(exc)})


def _set_keep_alive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # the other end has closed it
