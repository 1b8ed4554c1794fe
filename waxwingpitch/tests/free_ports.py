"""Ports for listeners of tests, reserved until they are used."""

from __future__ import annotations

import random
import socket
from collections import deque

# Ports below those that the kernel gives to outgoing connections.
PORTS = (12000, 32000)
# Ports that are reserved at the same time, each by an open socket.
MAX_RESERVED = 256

# Not seeded by tests, which would choose the same ports again.
_random = random.SystemRandom()
_reserved: deque[socket.socket] = deque(maxlen=MAX_RESERVED)


def find_port() -> int:
    """Return a TCP port that is free now, and that later calls do not return.

    A port that the kernel chooses may be taken by an outgoing connection before the
    gateway listens on it ("Address already in use"), so that ports are chosen below
    those, at random, as several runs may share the machine. Each stays bound for a
    while by a socket that does not listen: other calls find it in use, also those of
    other runs, while a listener that sets ``SO_REUSEADDR`` may use it.
    """
    while True:
        sock = socket.socket()
        port = _random.randrange(*PORTS)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
            continue  # in use; another one is tried
        # Not before, since binding would then succeed beside another such socket.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved.append(sock)
        return port
