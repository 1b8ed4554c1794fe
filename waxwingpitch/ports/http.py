"""HTTP client whose errors distinguish unsent requests from possibly sent ones."""

from __future__ import annotations

from collections.abc import Mapping

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

CONNECT_TIMEOUT_S = 0.5
POOL_CONNECTIONS = 64
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


class HttpClient:
    """Pool of connections to one base URL.

    Parameters
    ----------
    base_url
        URL that paths are appended to; a trailing slash is removed.
    connections
        Number of idle connections to keep.
    """

    def __init__(self, base_url: str, *, connections: int = POOL_CONNECTIONS):
        self._base_url = base_url.rstrip("/")
        self._pool = urllib3.PoolManager(num_pools=2, maxsize=connections, block=False)

    def send(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request once, without retries or redirects.

        Raises
        ------
        NotSentError
            The connection could not be established; the request was not sent.
        ResponseTimeoutError
            No data arrived for ``timeout_s`` seconds.
        ConnectionLostError
            The request failed otherwise, possibly after it was sent.
        """
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            return self._pool.request(
                method,
                self._base_url + path,
                body=body,
                headers=headers,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=not stream,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise NotSentError(f"{self._base_url}: {exc}") from exc
        except ReadTimeoutError as exc:
            raise ResponseTimeoutError(
                f"{self._base_url}: no response in {timeout_s:.2f} s"
            ) from exc
        except (HTTPError, OSError) as exc:
            raise ConnectionLostError(f"{self._base_url}: {exc}") from exc

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.clear()
