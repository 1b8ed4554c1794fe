"""Which callers' connections give way when as many are open as the bound allows."""

from __future__ import annotations

import gevent
import pytest

from ..forwarding.parsing import RequestReader
from ..memory import CallerAccount, CallerBounds, RejectionReason
from .test_caller_memory import HEAD, REQUEST, SMALL, Front, read_all, read_status

CROWD = 9


@pytest.fixture
def front():
    front = Front(SMALL, header_timeout_s=8.0, idle_timeout_s=0.6)
    yield front
    front.listener.stop_accepting()


# Guards against callers that keep connections by blank lines, which begin no request.
def test_blank_lines_keep_no_connection(front):
    crowd = [front.connect() for _ in range(CROWD)]
    for _ in range(6):
        for sock in crowd:
            try:
                sock.sendall(b"\r\n")
            except OSError:
                continue  # closed, as it was idle for too long
        gevent.sleep(0.2)
    sock = front.connect()
    sock.sendall(REQUEST)
    assert read_status(sock) == 200


# Guards against one stalled caller that is counted as several evicted ones.
def test_connections_opened_at_once_evict_one_each():
    account = CallerAccount(CallerBounds(memory_bytes=2**20, connections=10))
    evicted: list[int] = []

    def build_evict(number: int):
        def _evict(rejection) -> None:
            holds[number].is_ending = True
            evicted.append(number)

        return _evict

    holds = []
    for number in range(9):
        holds.append(account.open(build_evict(number), 0.0)[0])
    for number in range(9, 10):
        holds.append(account.open(build_evict(number), 5.0)[0])
    assert len(evicted) == len(set(evicted)) == 1


def receive_status(sock) -> int | None:
    """Return the status of an answer that has come; None if there is none yet."""
    sock.settimeout(0.1)
    try:
        data = sock.recv(4096)
    except TimeoutError:
        return None
    return int(data.split()[1]) if data else 0


def test_evicted_connection_is_told_so(front):
    crowd = [front.connect() for _ in range(CROWD)]
    for sock in crowd:
        sock.sendall(HEAD)
    gevent.sleep(0.7)
    newcomers = [front.connect() for _ in range(4)]
    for sock in newcomers:
        sock.sendall(REQUEST)
    gevent.sleep(0.3)
    assert front.account.rejections[RejectionReason.STALLED] >= 1
    statuses = {receive_status(sock) for sock in crowd}
    assert statuses == {None, 408}


# Guards against an idle connection that is closed with its next request unread.
def test_idle_connection_whose_request_has_arrived_is_answered():
    front = Front(SMALL, header_timeout_s=8.0, idle_timeout_s=8.0)
    crowd = [front.connect() for _ in range(CROWD)]
    for sock in crowd:
        sock.sendall(REQUEST)
    gevent.sleep(0.1)
    assert {receive_status(sock) for sock in crowd} == {200}
    gevent.sleep(0.55)
    newcomer = front.connect()
    for sock in crowd:
        sock.sendall(REQUEST)
    gevent.sleep(0.3)
    assert {receive_status(sock) for sock in crowd} <= {200, 408, 503}
    newcomer.close()
    front.listener.stop_accepting()


# Guards against callers that are reset at a stop, as their connections did not fit.
def test_callers_beyond_the_bound_are_told_at_a_stop():
    front = Front(SMALL)

    def _answer_slowly(req, resp) -> None:
        gevent.sleep(0.3)
        front.answer(req, resp)

    front.handler = _answer_slowly
    callers = []
    for _ in range(14):
        sock = front.connect()
        sock.sendall(REQUEST)
        callers.append(sock)
    gevent.sleep(0.05)
    front.listener.stop_accepting()
    statuses = [read_status(sock) for sock in callers]
    assert set(statuses) <= {200, 503} and statuses.count(200) >= 9
    assert all(read_all(sock) is not None for sock in callers)


# Guards against a legal head that is refused as bytes of the request before it count.
def test_head_behind_another_request_counts_its_own_bytes():
    reader = RequestReader(header_bytes=16384, body_bytes=65536)
    body = b"d" * 12_000
    first = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12000\r\n\r\n" + body
    second = b"GET /b HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 8000 + b"\r\n\r\n"
    data = first + second
    completed = reader.feed(data[:-5])
    assert reader.error is None
    completed += reader.feed(data[-5:])
    assert [req.path for req in completed] == [b"/a", b"/b"]
