"""Persistent connections to targets, and a pool of the idle ones."""

from __future__ import annotations

import logging
import random
import socket
import time
from collections import defaultdict
from collections.abc import Callable

from ..decoding import parse_address
from ..targets.links import LinkBook
from .answers import AnswerHead
from .memory import AnswerHold, AnswerMemory
from .parsing import AnswerReader, OversizedAnswerError
from .relay import RelayedSocket, TargetNotReachedError
from .turns import TurnReader

# Connecting within a region takes milliseconds. A lost packet of the handshake is sent
# again only after a second, by when a peer, or another target, would have answered.
CONNECT_TIMEOUT_S = 0.1
# Time in which peers are asked for a connection, if the link may be sound and if it is
# known to be lost.
RELAY_TIMEOUT_S = 0.15
LOST_LINK_TIMEOUT_S = 0.5
# Time for which sent bytes may stay unacknowledged before the kernel closes the
# connection (TCP_USER_TIMEOUT).
UNACKNOWLEDGED_TIMEOUT_MS = 3000
MAX_IDLE_S = 4.0
# Margin by which an idle connection is closed before the target closes it.
KEEP_ALIVE_MARGIN_S = 1.0
# What one read returns is handled without a pause, which takes long for small events.
READ_BYTES = 16384
SEND_TIMEOUT_S = 2.0
# Bodies up to this size are sent with the head in one write; larger ones aren't copied.
MAX_JOINED_BYTES = 16384
# Refused requests that are remembered for a connection before it is closed.
MAX_REFUSED = 64
# Body of an answer to an earlier request, which is skipped.
MAX_FOREIGN_BYTES = 1024 * 1024
# Memory for answers where the settings state no limit of the process.
DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024


logger = logging.getLogger(__name__)


class UnreachableError(Exception):
    """The target could not be reached; no byte of the request was sent.

    Attributes
    ----------
    is_refused
        Whether the target's host answered that nothing listens at its address.
    """

    def __init__(self, message: str, *, is_refused: bool = False):
        super().__init__(message)
        self.is_refused = is_refused


class TargetTimeoutError(Exception):
    """The expected part of the answer did not arrive before the deadline."""


class TargetBrokenError(Exception):
    """The connection broke, or the answer is malformed."""


class TargetMalformedError(TargetBrokenError):
    """The target answers, but not in HTTP."""


class TargetOversizedError(TargetMalformedError):
    """An answer, or a part of it, is over its limit."""


def open_socket(address: str, timeout_s: float) -> socket.socket:
    """Open a socket to ``IP:port``; OSError or ValueError if that fails."""
    host, port = parse_address(address)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
        sock.settimeout(timeout_s)
        sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return sock


class TargetConnection:
    """One connection to a target, which carries one request at a time.

    Attributes
    ----------
    idle_until
        Monotonic time until which the idle connection may be used again.
    is_relayed
        Whether a peer opened it and passes its bytes on.
    is_reused
        Whether it has carried another request before.
    """

    def __init__(self, sock: socket.socket, address: str):
        self._sock = sock
        self._input = TurnReader(sock)
        self.address = address
        self._reader = AnswerReader()
        self.is_relayed = False
        self.idle_until = 0.0
        self.is_reused = False
        self._peer_closed = False
        self._refused: set[str] = set()

    def send(self, data: bytes, body: bytes | bytearray = b"") -> None:
        """Send a complete request, or its head and its body.

        Raises
        ------
        UnreachableError
            No byte of the request was sent.
        TargetBrokenError
            A part of the request may have been sent.
        """
        self._reader.discard_answer()
        if len(body) <= MAX_JOINED_BYTES:
            data, body = data + body, b""
        try:
            self._sock.settimeout(SEND_TIMEOUT_S)
            sent_bytes = self._sock.send(data)
        except OSError as exc:
            raise UnreachableError(f"{self.address}: {exc}") from exc
        try:
            if sent_bytes < len(data):
                self._sock.sendall(memoryview(data)[sent_bytes:])
            if body:
                self._sock.sendall(body)
        except OSError as exc:
            raise TargetBrokenError(f"{self.address}: {exc}") from exc

    def record_refusal(self, request: str) -> None:
        """Record that the target refused a request here; it may say so again later."""
        self._refused.add(request)

    def identifies(self, request: str | None) -> bool:
        """Return whether an answer to a request can't be taken for an earlier one."""
        return request is None or (request != "" and request not in self._refused)

    def read_head(self, deadline: float) -> AnswerHead:
        """Return the head of the answer, waiting for it until the deadline."""
        while self._reader.head is None:
            self._receive(deadline)
        return self._reader.head

    def skip_answer(self, deadline: float) -> None:
        """Read and discard an answer that belongs to another request."""
        size = 0
        while not self._reader.complete:
            size += len(self._reader.take_body())
            self._check_size(size, MAX_FOREIGN_BYTES)
            self._receive(deadline)
        self._reader.discard_answer()

    def read_body(self, deadline: float) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end."""
        while True:
            data = self._reader.take_body()
            if data or self._reader.complete:
                return data
            self._receive(deadline)

    def read_whole_body(
        self, deadline: float, *, max_bytes: int, hold: AnswerHold
    ) -> bytes:
        """Return the rest of the body.

        Parameters
        ----------
        hold
            Memory of the request's answers.

        Raises
        ------
        TargetOversizedError
            It is longer than ``max_bytes``, or than all answers may be together.
        """
        body = bytearray()
        while data := self.read_body(deadline):
            body += data
            self._check_size(len(body), max_bytes)
            # The copy that is returned needs as much again.
            if not hold.grow(2 * len(body)):
                raise TargetOversizedError(
                    f"{self.address}: no memory left for answers after {len(body)} "
                    "bytes of a body"
                )
        return bytes(body)

    @property
    def is_complete(self) -> bool:
        """Whether the complete answer has arrived."""
        return self._reader.complete

    @property
    def is_framed(self) -> bool:
        """Whether the answer ends by its length or chunks, not with the connection."""
        return self._reader.is_framed

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        reader = self._reader
        return (
            reader.complete
            and reader.keep_alive
            and not reader.has_surplus_bytes
            and not self._peer_closed
            and len(self._refused) < MAX_REFUSED
        )

    def has_stayed_idle(self) -> bool:
        """Return whether the target neither sent data nor closed while idle."""
        self._sock.settimeout(0)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the connection at once."""
        self._sock.close()

    def _receive(self, deadline: float) -> None:
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise TargetTimeoutError(f"{self.address}: deadline passed")
        try:
            data = self._input.recv(READ_BYTES, remaining_s)
        except TimeoutError as exc:
            raise TargetTimeoutError(f"{self.address}: silent") from exc
        except OSError as exc:
            raise TargetBrokenError(f"{self.address}: {exc}") from exc
        if not data:
            self._peer_closed = True
            self._reader.feed_eof()
            if not self._reader.complete:
                raise TargetBrokenError(f"{self.address}: closed early")
            return
        try:
            self._reader.feed(data)
        except OversizedAnswerError as exc:
            raise TargetOversizedError(f"{self.address}: {exc}") from exc
        except ValueError as exc:
            raise TargetMalformedError(f"{self.address}: {exc}") from exc

    def _check_size(self, size: int, max_bytes: int) -> None:
        if size > max_bytes:
            raise TargetOversizedError(
                f"{self.address}: a body of over {max_bytes} bytes"
            )


class ConnectionPool:
    """Pool of idle connections by address.

    Attributes
    ----------
    opened
        Number of connections opened so far.
    open_socket
        Opens a socket, given an address and a timeout in seconds.
    open_relayed
        Asks peers for a connection, given an address and a timeout in seconds; returns
        None if none can tell, and raises TargetNotReachedError if it is not reached.
    links
        Links to targets that are lost.
    memory
        Memory that the answers of all targets share.
    """

    def __init__(self, *, memory_bytes: int = DEFAULT_MEMORY_BYTES):
        self.open_relayed: Callable[[str, float], RelayedSocket | None] = (
            lambda address, timeout_s: None
        )
        self.links = LinkBook()
        self.memory = AnswerMemory(memory_bytes)
        self.open_socket = open_socket
        self._idle: dict[str, list[TargetConnection]] = defaultdict(list)
        self.opened = 0

    def acquire(
        self, address: str, now: float, request: str | None = None
    ) -> TargetConnection | None:
        """Remove and return a usable idle connection, or None if there is none.

        Parameters
        ----------
        request
            Id of the request to send; one that was refused on a connection is not
            sent there again. See :meth:`TargetConnection.identifies`.
        """
        idle = self._idle[address]
        for conn in [item for item in reversed(idle) if item.identifies(request)]:
            idle.remove(conn)
            if conn.idle_until > now and conn.has_stayed_idle():
                return conn
            conn.close()
        return None

    def connect(self, address: str, *, timeout_s: float) -> TargetConnection:
        """Open a new connection, by a peer if need be.

        Raises
        ------
        UnreachableError
            Neither this host nor the peers that it asked could open one.
        """
        deadline = time.monotonic() + timeout_s
        prefers_relay = self.links.prefers_relay(address)
        conn = self._connect_relayed(address, deadline) if prefers_relay else None
        if conn is not None:
            return conn
        try:
            sock = self.open_socket(
                address, min(CONNECT_TIMEOUT_S, max(0.001, timeout_s / 2))
            )
        except (OSError, ValueError) as exc:
            if not prefers_relay:
                conn = self._connect_relayed(address, deadline)
            if conn is not None:
                return conn
            raise UnreachableError(
                f"{address}: {exc}",
                is_refused=isinstance(exc, ConnectionRefusedError),
            ) from exc
        self._record_reached(address)
        self.opened += 1
        return TargetConnection(sock, address)

    def check_link(self, address: str) -> None:
        """Find out whether a silent target is reached by peers, but not from here."""
        if self._try_link(address):
            return
        conn = self._connect_relayed(address, time.monotonic() + RELAY_TIMEOUT_S)
        if conn is not None:
            conn.close()
            self.drop(address)

    def retry_lost_links(self, limit: int) -> None:
        """Try some of the lost links again, to use those that are back."""
        lost = self.links.list_lost()
        for address in random.sample(lost, min(limit, len(lost))):
            self._try_link(address)

    def _try_link(self, address: str) -> bool:
        try:
            self.open_socket(address, CONNECT_TIMEOUT_S).close()
        except (OSError, ValueError):
            return False
        self._record_reached(address)
        return True

    def _connect_relayed(
        self, address: str, deadline: float
    ) -> TargetConnection | None:
        now = time.monotonic()
        if deadline <= now or not self.links.may_ask_peers(address, now):
            return None
        is_lost = self.links.prefers_relay(address)
        limit_s = LOST_LINK_TIMEOUT_S if is_lost else RELAY_TIMEOUT_S
        try:
            sock = self.open_relayed(address, min(limit_s, deadline - now))
        except TargetNotReachedError:
            self.links.record_unreached(address, time.monotonic())
            return None
        if sock is None:
            return None
        self._record_relayed(address, time.monotonic())
        conn = TargetConnection(sock, address)
        conn.is_relayed = True
        return conn

    def _record_relayed(self, address: str, now: float) -> None:
        was_cut = self.links.is_cut
        if self.links.record_relayed(address, now):
            logger.info("target reached through a peer", extra={"address": address})
            self.drop(address)
        if self.links.is_cut and not was_cut:
            logger.warning("links to targets lost", extra={"last": address})
            for idle in list(self._idle):
                self.drop(idle)

    def _record_reached(self, address: str) -> None:
        if self.links.is_cut:
            logger.warning("links to targets regained", extra={"first": address})
        self.links.record_reached(address)

    def release(self, conn: TargetConnection, head: AnswerHead, now: float) -> None:
        """Return a connection to the pool if it is reusable, or close it."""
        if not conn.is_reusable:
            conn.close()
            return
        idle_s = min(MAX_IDLE_S, _parse_keep_alive(head) - KEEP_ALIVE_MARGIN_S)
        if idle_s <= 0:
            conn.close()
            return
        conn.idle_until = now + idle_s
        conn.is_reused = True
        self._idle[conn.address].append(conn)

    def close_idle(self, now: float) -> None:
        """Close the connections that have been idle beyond their limit."""
        for address, idle in list(self._idle.items()):
            unexpired = [conn for conn in idle if conn.idle_until > now]
            for conn in idle:
                if conn.idle_until <= now:
                    conn.close()
            if unexpired:
                self._idle[address] = unexpired
            else:
                del self._idle[address]

    def drop(self, address: str) -> None:
        """Close all idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()


def _parse_keep_alive(head: AnswerHead) -> float:
    value = head.find(b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return MAX_IDLE_S + KEEP_ALIVE_MARGIN_S
