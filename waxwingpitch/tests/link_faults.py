"""Loss of a gateway's links to targets, in the forms in which partitions show."""

from __future__ import annotations

import enum
import socket
import time

import gevent

from ..forwarding.targets import open_socket


class LinkFault(enum.Enum):
    """How a gateway's connections to targets fail.

    Attributes
    ----------
    RESET
        Open ones are reset, new ones refused.
    HANG
        Nothing arrives on open ones, and new ones are never established.
    OPEN_ONES_LIVE
        New ones are refused.
    """

    NONE = "none"
    RESET = "reset"
    HANG = "hang"
    OPEN_ONES_LIVE = "open ones live"


class TargetLinks:
    """Opens a gateway's sockets to targets, and injects faults.

    Attributes
    ----------
    fault
        The present fault.
    spared
        Addresses whose links are sound.
    opened
        Addresses to which sockets were opened.
    """

    def __init__(self, daemon):
        self.fault = LinkFault.NONE
        self.spared: frozenset[str] = frozenset()
        self.opened: list[str] = []
        self._sockets: set[_Socket] = set()
        daemon.pool.open_socket = self.open

    def cut(self, fault: LinkFault) -> None:
        """Inject a fault."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for sock in self._sockets:
                sock.reset()
            self._sockets.clear()

    def is_cut(self, address: str) -> bool:
        return self.fault is not LinkFault.NONE and address not in self.spared

    def open(self, address: str, timeout_s: float):
        """Open a socket as ``open_socket`` does."""
        if self.is_cut(address):
            if self.fault is LinkFault.HANG:
                gevent.sleep(timeout_s)
                raise TimeoutError("timed out")
            raise ConnectionRefusedError("Connection refused")
        sock = _Socket(self, address, open_socket(address, timeout_s))
        self.opened.append(address)
        self._sockets.add(sock)
        return sock


class _Socket:
    """A socket to a target whose bytes are held up while its link hangs."""

    def __init__(self, links: TargetLinks, address: str, sock: socket.socket):
        self._links = links
        self._address = address
        self._sock = sock
        self._timeout_s = 0.0

    def reset(self) -> None:
        self._sock.close()

    def settimeout(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._sock.settimeout(timeout_s)

    def send(self, data: bytes) -> int:
        return len(data) if self._hangs() else self._sock.send(data)

    def sendall(self, data: bytes) -> None:
        if not self._hangs():
            self._sock.sendall(data)

    def recv(self, size: int, flags: int = 0) -> bytes:
        deadline = time.monotonic() + self._timeout_s
        while self._hangs():
            if self._timeout_s == 0:
                raise BlockingIOError
            if time.monotonic() >= deadline:
                raise TimeoutError("timed out")
            gevent.sleep(0.005)
        return self._sock.recv(size, flags)

    def close(self) -> None:
        self._sock.close()

    def _hangs(self) -> bool:
        return self._links.fault is LinkFault.HANG and self._links.is_cut(self._address)
