"""The bounded log handler writes what a process logs last."""

from __future__ import annotations

import logging
import os
import sys
import time

import gevent
import pytest

from ..telemetry.logs import BoundedHandler


@pytest.fixture
def piped(monkeypatch):
    """Return a function that builds a handler whose output is a pipe.

    The function also returns the descriptor of the pipe's reading end.
    """
    reading, writing = os.pipe()
    output = os.fdopen(writing, "wb", buffering=0)

    def _build() -> tuple[BoundedHandler, int]:
        monkeypatch.setattr(sys, "stdout", output)
        handler = BoundedHandler()
        handler._greenlet.kill()
        return handler, reading

    yield _build
    output.close()
    os.close(reading)


def log(handler: BoundedHandler, text: str) -> None:
    handler.emit(logging.LogRecord("t", logging.INFO, "", 0, text, (), None))


def read_all(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while part := os.read(descriptor, 65536):
            data += part
    except BlockingIOError:
        return data
    return data


def fill(handler: BoundedHandler) -> None:
    """Log more than a pipe takes, then a last line."""
    for _ in range(10):
        log(handler, "x" * 9000)
    handler.flush()
    log(handler, "last")


def test_one_flush_writes_also_the_lines_behind_an_unwritten_rest(piped):
    handler, pipe = piped()
    fill(handler)
    data = read_all(pipe)
    handler.flush()
    assert (data + read_all(pipe)).endswith(b"last\n")


def test_last_lines_wait_for_a_reader_that_is_behind(piped):
    handler, pipe = piped()
    fill(handler)
    parts = []
    reader = gevent.spawn_later(0.1, lambda: parts.append(read_all(pipe)))
    handler.flush_until(time.monotonic() + 2.0)
    reader.join()
    assert (b"".join(parts) + read_all(pipe)).endswith(b"last\n")


def test_last_lines_wait_no_longer_than_the_deadline(piped):
    handler, _ = piped()
    fill(handler)
    started_at = time.monotonic()
    handler.flush_until(started_at + 0.1)
    assert 0.1 <= time.monotonic() - started_at < 1.0
