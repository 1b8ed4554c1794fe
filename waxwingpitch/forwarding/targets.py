"""Connections to targets, kept for many requests."""

from __future__ import annotations

import socket
import time
from collections import defaultdict

from .answers import AnswerHead
from .parsing import AnswerReader

# A connection within a region takes milliseconds; a lost packet is sent again after a
# second, when another target has long answered.
CONNECT_TIMEOUT_S = 0.2
# Longest time that sent bytes may stay unacknowledged before the kernel gives up.
UNACKNOWLEDGED_MS = 3000
IDLE_S = 4.0
KEEP_ALIVE_MARGIN_S = 1.0
READ_BYTES = 65536
SEND_TIMEOUT_S = 2.0


class UnreachableError(Exception):
    """Nothing of the request was sent."""


class TargetTimeoutError(Exception):
    """Nothing arrived before the deadline."""


class TargetBrokenError(Exception):
    """The connection broke, or what arrived is no answer."""


class TargetConnection:
    """One connection, which carries one request at a time."""

    def __init__(self, sock: socket.socket, address: str):
        self._sock = sock
        self.address = address
        self._reader = AnswerReader()
        self.idle_until = 0.0
        self._ended = False

    def send(self, data: bytes) -> None:
        """Send a whole request.

        Raises
        ------
        UnreachableError
            Nothing was sent.
        TargetBrokenError
            A part may have been sent.
        """
        self._reader.start()
        try:
            self._sock.settimeout(SEND_TIMEOUT_S)
            sent = self._sock.send(data)
        except OSError as exc:
            raise UnreachableError(f"{self.address}: {exc}") from exc
        try:
            if sent < len(data):
                self._sock.sendall(data[sent:])
        except OSError as exc:
            raise TargetBrokenError(f"{self.address}: {exc}") from exc

    def read_head(self, deadline: float) -> AnswerHead:
        """Return the head of the answer."""
        while self._reader.head is None:
            self._fill(deadline)
        return self._reader.head

    def skip_answer(self, deadline: float) -> None:
        """Drop an answer that belongs to another request."""
        while not self._reader.complete:
            self._fill(deadline)
        self._reader.start()

    def read_body(self, deadline: float) -> bytes:
        """Return the next bytes of the body; empty at its end."""
        while True:
            data = self._reader.take_body()
            if data or self._reader.complete:
                return data
            self._fill(deadline)

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer has arrived."""
        return self._reader.complete

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow."""
        reader = self._reader
        return (
            reader.complete
            and reader.keep_alive
            and not reader.surplus
            and not self._ended
        )

    def is_quiet(self) -> bool:
        """Whether nothing arrived while the connection was idle."""
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

    def _fill(self, deadline: float) -> None:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise TargetTimeoutError(f"{self.address}: deadline passed")
        try:
            self._sock.settimeout(left_s)
            data = self._sock.recv(READ_BYTES)
        except TimeoutError as exc:
            raise TargetTimeoutError(f"{self.address}: silent") from exc
        except OSError as exc:
            raise TargetBrokenError(f"{self.address}: {exc}") from exc
        if not data:
            self._ended = True
            self._reader.feed_end()
            if not self._reader.complete:
                raise TargetBrokenError(f"{self.address}: closed early")
            return
        try:
            self._reader.feed(data)
        except ValueError as exc:
            raise TargetBrokenError(f"{self.address}: {exc}") from exc


class ConnectionPool:
    """Idle connections by address."""

    def __init__(self):
        self._idle: dict[str, list[TargetConnection]] = defaultdict(list)
        self.opened = 0

    def acquire(self, address: str, now: float) -> TargetConnection | None:
        """Remove and return an idle connection that is fit to use."""
        idle = self._idle[address]
        while idle:
            conn = idle.pop()
            if conn.idle_until > now and conn.is_quiet():
                return conn
            conn.close()
        return None

    def connect(self, address: str, *, timeout_s: float) -> TargetConnection:
        """Open a new connection; UnreachableError if that fails."""
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
            )
            sock.settimeout(min(CONNECT_TIMEOUT_S, max(0.001, timeout_s)))
            sock.connect((host, int(port)))
        except (OSError, ValueError) as exc:
            sock.close()
            raise UnreachableError(f"{address}: {exc}") from exc
        self.opened += 1
        return TargetConnection(sock, address)

    def release(self, conn: TargetConnection, head: AnswerHead, now: float) -> None:
        """Keep a connection whose answer is complete, or close it."""
        if not conn.is_reusable:
            conn.close()
            return
        idle_s = min(IDLE_S, _parse_keep_alive(head) - KEEP_ALIVE_MARGIN_S)
        if idle_s <= 0:
            conn.close()
            return
        conn.idle_until = now + idle_s
        self._idle[conn.address].append(conn)

    def close_idle(self, now: float) -> None:
        """Close the connections that have been idle for too long."""
        for address, idle in list(self._idle.items()):
            kept = [conn for conn in idle if conn.idle_until > now]
            for conn in idle:
                if conn.idle_until <= now:
                    conn.close()
            if kept:
                self._idle[address] = kept
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
    return IDLE_S + KEEP_ALIVE_MARGIN_S
