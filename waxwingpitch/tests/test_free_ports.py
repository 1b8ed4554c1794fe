"""Ports that tests reserve for their listeners."""

from __future__ import annotations

import random
import subprocess
import sys

from gevent.server import StreamServer

from . import free_ports


class RepeatedDraws(random.SystemRandom):
    """Draws the given ports in turn, then any."""

    def __init__(self, *ports: int):
        self._ports = list(ports)

    def randrange(self, start: int, stop: int) -> int:
        return self._ports.pop(0) if self._ports else super().randrange(start, stop)


def test_port_is_not_given_out_twice_before_its_listener_starts(monkeypatch):
    drawn = [free_ports.find_port(), free_ports.find_port()]
    monkeypatch.setattr(free_ports, "_random", RepeatedDraws(*drawn))
    assert free_ports.find_port() not in drawn


def test_reserved_port_is_in_use_for_other_runs_and_free_for_its_listener():
    port = free_ports.find_port()
    tried = "import socket, sys; socket.socket().bind(('127.0.0.1', int(sys.argv[1])))"
    other = subprocess.run(
        [sys.executable, "-c", tried, str(port)], capture_output=True
    )
    assert b"Address already in use" in other.stderr
    server = StreamServer(("127.0.0.1", port), lambda sock, peer: None)
    server.start()
    server.close()
