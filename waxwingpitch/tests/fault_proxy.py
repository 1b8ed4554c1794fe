"""Fault-injecting TCP proxy for tests."""

from __future__ import annotations

import enum
import socket

import gevent
from gevent.event import Event
from gevent.server import StreamServer

READ_CHUNK_BYTES = 65536


class Fault(enum.Enum):
    """Fault that the proxy injects.

    Attributes
    ----------
    REFUSE
        Connections are reset.
    SILENT
        Connections stay open but no bytes are forwarded.
    """

    NONE = "none"
    REFUSE = "refuse"
    SILENT = "silent"


class FaultProxy:
    """Forwards bytes between callers and one address and injects faults.

    Parameters
    ----------
    upstream
        ``IP:port`` to connect to; connections are reset while it is empty.
    """

    def __init__(self, upstream: str = ""):
        self.upstream = upstream
        self.delay_s = 0.0
        self.forwarded_bytes = 0
        self._fault = Fault.NONE
        self._forwarding = Event()
        self._forwarding.set()
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()
        self._open_sockets: set[socket.socket] = set()

    @property
    def address(self) -> str:
        """``IP:port`` that the proxy listens on."""
        return f"127.0.0.1:{self._server.server_port}"

    @property
    def url(self) -> str:
        """Base URL of the proxy."""
        return f"http://{self.address}"

    def set_fault(self, fault: Fault) -> None:
        """Inject a fault until the next call.

        ``Fault.REFUSE`` also resets open connections; ``Fault.SILENT`` keeps them
        open and holds back all bytes until the fault ends.
        """
        self._fault = fault
        if fault is Fault.SILENT:
            self._forwarding.clear()
        else:
            self._forwarding.set()
        if fault is Fault.REFUSE:
            self.break_connections()

    def break_connections(self) -> None:
        """Reset all open connections."""
        for sock in list(self._open_sockets):
            _reset(sock)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.stop(timeout=0)
        self._forwarding.set()
        self.break_connections()

    def _handle(self, down: socket.socket, address) -> None:
        if self._fault is Fault.REFUSE or not self.upstream:
            _reset(down)
            return
        self._open_sockets.add(down)
        self._forwarding.wait()
        host, port = self.upstream.rsplit(":", 1)
        try:
            up = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            self._open_sockets.discard(down)
            _reset(down)
            return
        up.settimeout(None)
        for sock in (down, up):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open_sockets.add(up)
        forwarders = [
            gevent.spawn(self._forward, *pair) for pair in ((down, up), (up, down))
        ]
        gevent.joinall(forwarders, count=1)
        gevent.killall(forwarders)
        for sock in (down, up):
            self._open_sockets.discard(sock)
            sock.close()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(READ_CHUNK_BYTES):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                self._forwarding.wait()
                sink.sendall(data)
                self.forwarded_bytes += len(data)
        except OSError:
            return


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
