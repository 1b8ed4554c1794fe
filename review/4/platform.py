"""Platform on which one worker answers one stream with line ends that never stop."""

from __future__ import annotations

import json
import sys
import time

import gevent

from review.lib.platform_base import Standin, serve

BLANK_LINES = b"\n" * 4096


class Platform(Standin):
    def __init__(self, **options):
        self.faulty = 0
        self.flooded: list = []
        super().__init__(**options)

    def do_faulty(self, answers: int):
        """Let the next answers of streams be bytes without end."""
        self.faulty = answers

    def do_flooded(self):
        return self.flooded

    def _serve_stream(self, target, sock, request, headers):
        if not self.faulty:
            self.run_list.append((time.monotonic(), target, request))
            super()._serve_stream(target, sock, request, headers)
            return
        self.faulty -= 1
        self._record_run(request, headers)
        began_at, size = time.monotonic(), 0
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\n"
        head += f"Response-Seal: seal.{target}\r\nContent-Type: text/event-stream\r\n"
        sock.sendall(head.encode() + b"\r\n")
        try:
            while True:
                sock.sendall(BLANK_LINES)
                size += len(BLANK_LINES)
                gevent.sleep(0)
        finally:
            self.flooded.append((began_at, time.monotonic(), target, request, size))


platform = Platform(event_s=0.03, **json.loads(sys.argv[1]))
platform.plain_s = 0.03
platform.set_routes(
    chat={"timeout_ms": 8000, "target_latency_ms": 400, "gap_aim_ms": 300},
    file={"timeout_ms": 800, "target_latency_ms": 150},
    read={"timeout_ms": 800, "target_latency_ms": 150},
)
serve(platform)
