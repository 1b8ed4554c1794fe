"""HTTP client whose errors distinguish unsent requests from possibly sent ones."""

from __future__ import annotations

import http.client
import re
from collections.abc import Mapping
from dataclasses import dataclass

import gevent
import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.connectionpool import HTTPConnectionPool, HTTPSConnectionPool
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

CONNECT_TIMEOUT_S = 0.5
POOL_CONNECTIONS = 64
MAX_BODY_BYTES = 64 * 1024 * 1024
# Time for a body beyond the time for its first byte.
MAX_BODY_S = 3.0
READ_BYTES = 65536
FINAL_STATUSES = range(200, 600)
STATUS_LINE = re.compile(rb"(HTTP/1\.[01]) ([0-9]{3})(?: ([^\r\n]*))?\r?\n")
MAX_STATUS_LINE_BYTES = 65536
# Interim answers that are skipped before the final one.
MAX_INTERIM_ANSWERS = 16
# Carries a target's report, as JSON, in its answers.
REPORT_HEADER = "X-Target-Report"
# "no" if the target refused the request without running it.
RAN_HEADER = "X-Ran"


class NotSentError(Exception):
    """The connection could not be established, so nothing was sent."""


class ResponseTimeoutError(Exception):
    """No data arrived within the read timeout; the request may have been sent."""


class ConnectionLostError(Exception):
    """The request failed otherwise, such as by a reset; it may have been sent."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response whose body has been read."""

    status: int
    headers: Mapping[str, str]
    data: bytes


class _Response(http.client.HTTPResponse):
    """Answer whose status line must be one of HTTP; the base class takes others too."""

    _status_lines = 0

    def _read_status(self) -> tuple[str, int, str]:
        line = self.fp.readline(MAX_STATUS_LINE_BYTES)
        if not line:
            raise http.client.RemoteDisconnected("closed without an answer")
        self._status_lines += 1
        valid = STATUS_LINE.fullmatch(line)
        if valid is None or self._status_lines > MAX_INTERIM_ANSWERS + 1:
            self._close_conn()
            raise http.client.BadStatusLine(repr(line[:80]))
        version, status, phrase = valid.groups(b"")
        return version.decode(), int(status), phrase.decode("latin-1").strip()


class _Connection(HTTPConnection):
    response_class = _Response


class _ConnectionPool(HTTPConnectionPool):
    ConnectionCls = _Connection


class _TlsConnection(HTTPSConnection):
    response_class = _Response


class _TlsConnectionPool(HTTPSConnectionPool):
    ConnectionCls = _TlsConnection


POOL_CLASSES = {"http": _ConnectionPool, "https": _TlsConnectionPool}


class HttpClient:
    """Pool of connections to one base URL.

    Parameters
    ----------
    base_url
        URL that paths are appended to; a trailing slash is removed.
    connections
        Number of idle connections to keep.
    max_body_bytes
        Largest body that is read; a longer one counts as a lost connection.
    keeps_idle_on_timeout
        Whether idle connections are kept when a response has not come in time. They
        may be silent too.
    """

    def __init__(
        self,
        base_url: str,
        *,
        connections: int = POOL_CONNECTIONS,
        max_body_bytes: int = MAX_BODY_BYTES,
        keeps_idle_on_timeout: bool = True,
    ):
        self._base_url = base_url.rstrip("/")
        self._max_body_bytes = max_body_bytes
        self._keeps_idle_on_timeout = keeps_idle_on_timeout
        self._pool = urllib3.PoolManager(num_pools=2, maxsize=connections, block=False)
        self._pool.pool_classes_by_scheme = POOL_CLASSES

    def send(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Send a request once, without retries or redirects, and read the body.

        Raises
        ------
        NotSentError
            The connection could not be established; the request was not sent.
        ResponseTimeoutError
            No data arrived for ``timeout_s`` seconds, or the body did not end in time.
        ConnectionLostError
            The request failed otherwise, possibly after it was sent.
        """
        late = ResponseTimeoutError(f"{self._base_url}: the body does not end")
        with gevent.Timeout(timeout_s + MAX_BODY_S, late):
            resp = self.open_stream(
                method, path, timeout_s=timeout_s, body=body, headers=headers
            )
            try:
                data = self._read_body(resp)
            except ReadTimeoutError as exc:
                raise ResponseTimeoutError(f"{self._base_url}: {exc}") from exc
            except (HTTPError, OSError) as exc:
                raise ConnectionLostError(f"{self._base_url}: {exc}") from exc
        return HttpResponse(resp.status, resp.headers, data)

    def open_stream(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request once and return the response before its body is read.

        Raises the same errors as :meth:`send`.
        """
        connect_timeout_s = min(CONNECT_TIMEOUT_S, timeout_s)
        late = ResponseTimeoutError("the head does not end")
        try:
            # The read timeout alone begins anew with each part of a head.
            with gevent.Timeout(connect_timeout_s + timeout_s, late):
                resp = self._pool.request(
                    method,
                    self._base_url + path,
                    body=body,
                    headers=headers,
                    timeout=urllib3.Timeout(connect=connect_timeout_s, read=timeout_s),
                    retries=False,
                    redirect=False,
                    preload_content=False,
                    decode_content=False,
                )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise NotSentError(f"{self._base_url}: {exc}") from exc
        except (ReadTimeoutError, ResponseTimeoutError) as exc:
            if not self._keeps_idle_on_timeout:
                self.close()
            raise ResponseTimeoutError(
                f"{self._base_url}: no response in {timeout_s:.2f} s"
            ) from exc
        except (HTTPError, OSError) as exc:
            raise ConnectionLostError(f"{self._base_url}: {exc}") from exc
        if resp.status not in FINAL_STATUSES:
            resp.close()
            raise ConnectionLostError(
                f"{self._base_url}: status {resp.status}; valid: 200 to 599"
            )
        return resp

    def _read_body(self, resp: urllib3.BaseHTTPResponse) -> bytes:
        parts, size = [], 0
        for part in resp.stream(READ_BYTES):
            parts.append(part)
            size += len(part)
            if size > self._max_body_bytes:
                resp.close()
                raise ConnectionLostError(
                    f"{self._base_url}: body is over {self._max_body_bytes} bytes"
                )
        return b"".join(parts)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.clear()
