"""A plain target on real sockets, with the faults that the platform's pages name."""

from __future__ import annotations

import random
import socket
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent
from gevent.server import StreamServer


@dataclass
class PlainFaults:
    """Shares of requests or connections that go wrong.

    Attributes
    ----------
    reset_before, reset_after
        Requests whose connection is reset before and after they run.
    silent
        Requests that run and are never answered.
    late_copy
        Answers and refusals of which a second copy follows later on the same
        connection, maybe while another request runs there.
    repeat_refusal
        Requests before whose answer the connection's last refusal is sent again.
    unnamed
        Repeated refusals that name no request.
    close
        Answers after which the connection is closed without notice.
    refuse
        Requests that are refused though slots are free.
    own_status
        Status of the answers to requests that ran.
    """

    reset_before: float = 0.0
    reset_after: float = 0.0
    silent: float = 0.0
    late_copy: float = 0.0
    repeat_refusal: float = 0.0
    unnamed: float = 0.0
    close: float = 0.0
    refuse: float = 0.0
    own_status: int = 200


@dataclass
class PlainTarget:
    """Runs calls in a few slots, queues some, and refuses the rest as not run.

    Attributes
    ----------
    runs
        Number of runs by request id; shared by targets.
    """

    id: str
    runs: Counter
    seed: int = 0
    slots: int = 6
    queue: int = 6
    work_s: float = 0.03
    report_s: float = 0.0
    faults: PlainFaults = field(default_factory=PlainFaults)

    def __post_init__(self):
        self._random = random.Random(self.seed)
        self._taken = self._waiting = 0
        self._connections: set[socket.socket] = set()
        self._server = self._listen(("127.0.0.1", 0))

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.address[1]}"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def restart(self, pause_s: float) -> None:
        """End with all connections, and listen at the same address after a pause."""
        address = self._server.address
        self._server.stop(timeout=0)
        for sock in list(self._connections):
            _reset(sock)
        gevent.sleep(pause_s)
        self._server = self._listen(address)

    def describe(self) -> dict:
        """Return the entry that the target writes into the store."""
        return {
            "service": "plain",
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "capacity": self.slots,
            "state": "ready",
            "seq": 1,
            "cold_left_ms": 0,
            "born": 1000,
        }

    def _listen(self, address) -> StreamServer:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(64)
        server = StreamServer(sock, lambda sock, _: self._serve(sock))
        server.start()
        return server

    def _happens(self, share: float) -> bool:
        return self._random.random() < share

    def _serve(self, sock) -> None:
        reader = sock.makefile("rb")
        self._connections.add(sock)
        refusal = b""
        try:
            while (line := reader.readline()).strip():
                path = line.split()[1].decode()
                headers = _read_headers(reader)
                reader.read(int(headers.get("content-length", 0)))
                request = headers.get("attempt-id", "")
                if path.startswith("/waxwingpitch/"):
                    gevent.sleep(self.report_s)
                    sock.sendall(_format(200, {}, b'{"seq": 0}'))
                elif headers.get("expect-instance", self.id) != self.id:
                    sock.sendall(_format(421, {"Attempt-Id": request}))
                elif self._is_full() or self._happens(self.faults.refuse):
                    refusal = self._refuse(sock, request)
                else:
                    self._run(sock, request, headers, refusal)
        except OSError:
            return
        finally:
            self._connections.discard(sock)
            reader.close()
            sock.close()

    def _is_full(self) -> bool:
        return self._waiting >= self.queue

    def _refuse(self, sock, request: str) -> bytes:
        names = {"Not-Executed": "1", "Attempt-Id": request}
        refusal = _format(503, names)
        sock.sendall(refusal)
        self._copy_later(sock, refusal)
        if self._happens(self.faults.unnamed):
            del names["Attempt-Id"]
        return _format(503, names)

    def _run(self, sock, request: str, headers, refusal: bytes) -> None:
        deadline = time.monotonic() + float(headers["deadline-ms"]) / 1000
        if self._happens(self.faults.reset_before):
            _reset(sock)
            raise OSError("reset")
        self._waiting += 1
        while self._taken >= self.slots and time.monotonic() < deadline:
            gevent.sleep(0.002)
        self._waiting -= 1
        if time.monotonic() >= deadline:
            self._refuse(sock, request)
            return
        self._taken += 1
        self.runs[request] += 1
        if refusal and self._happens(self.faults.repeat_refusal):
            sock.sendall(refusal)
        gevent.sleep(self.work_s * self._random.uniform(0.5, 1.5))
        self._taken -= 1
        if self._happens(self.faults.reset_after):
            _reset(sock)
            raise OSError("reset")
        if self._happens(self.faults.silent):
            gevent.sleep(30.0)
        names = {"Attempt-Id": request, "Response-Seal": f"seal.{self.id}"}
        answer = _format(self.faults.own_status, names, f"answer to {request}".encode())
        sock.sendall(answer)
        self._copy_later(sock, answer)
        if self._happens(self.faults.close):
            raise OSError("closed")

    def _copy_later(self, sock, data: bytes) -> None:
        if self._happens(self.faults.late_copy):
            gevent.spawn_later(
                self._random.uniform(0.0, 0.05), _send_safely, sock, data
            )


def _send_safely(sock, data: bytes) -> None:
    try:
        sock.sendall(data)
    except OSError:
        pass  # the connection has ended


def _read_headers(reader) -> dict[str, str]:
    headers = {}
    while (line := reader.readline()).strip():
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    return headers


def _format(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}"]
    lines += [f"{key}: {value}" for key, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # it has been closed already
