"""Fault-injecting TCP proxy for tests."""

from __future__ import annotations

import enum
import socket

import gevent
from gevent.event import Event
from gevent.server import StreamServer

READ_BYTES = 65536


class Fault(enum.Enum):
    """What the proxy does to connections."""

    NONE = "none"
    REFUSE = "refuse"
    SILENT = "silent"


class FaultProxy:
    """Passes bytes between callers and one address, or does not.

    Parameters
    ----------
    upstream
        ``IP:port`` to connect to.
    """

    def __init__(self, upstream: str = ""):
        self.upstream = upstream
        self.delay_s = 0.0
        self.passed_bytes = 0
        self._fault = Fault.NONE
        self._flowing = Event()
        self._flowing.set()
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()
        self._open: set[socket.socket] = set()

    @property
    def address(self) -> str:
        """``IP:port`` that the proxy listens on."""
        return f"127.0.0.1:{self._server.server_port}"

    @property
    def url(self) -> str:
        """Base URL of the proxy."""
        return f"http://{self.address}"

    def set_fault(self, fault: Fault) -> None:
        """Show a fault from now on.

        Refusing also breaks open connections; silence keeps them open and
        passes nothing until the fault ends.
        """
        self._fault = fault
        if fault is Fault.SILENT:
            self._flowing.clear()
        else:
            self._flowing.set()
        if fault is Fault.REFUSE:
            self.break_connections()

    def break_connections(self) -> None:
        """Reset all open connections."""
        for sock in list(self._open):
            _reset(sock)

    def stop(self) -> None:
        """Close everything."""
        self._server.stop(timeout=0)
        self._flowing.set()
        self.break_connections()

    def _handle(self, down: socket.socket, address) -> None:
        if self._fault is Fault.REFUSE or not self.upstream:
            _reset(down)
            return
        self._open.add(down)
        self._flowing.wait()
        host, port = self.upstream.rsplit(":", 1)
        try:
            up = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            self._open.discard(down)
            _reset(down)
            return
        up.settimeout(None)
        for sock in (down, up):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open.add(up)
        pumps = [gevent.spawn(self._pump, *pair) for pair in ((down, up), (up, down))]
        gevent.joinall(pumps, count=1)
        gevent.killall(pumps)
        for sock in (down, up):
            self._open.discard(sock)
            sock.close()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                self._flowing.wait()
                sink.sendall(data)
                self.passed_bytes += len(data)
        except OSError:
            return


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
