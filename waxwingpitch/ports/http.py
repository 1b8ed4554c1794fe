"""HTTP client that tells apart what was certainly not sent from what may have been."""

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
REPORT_HEADER = "X-Target-Report"
RAN_HEADER = "X-Ran"


class NotSentError(Exception):
    """The connection was never made, so nothing was sent."""


class ResponseTimeoutError(Exception):
    """Nothing arrived before the read timeout."""


class ConnectionLostError(Exception):
    """The connection broke after it had been made."""


class HttpClient:
    """Connections to one base URL.

    Parameters
    ----------
    base
        URL without a trailing slash.
    connections
        Idle connections that are kept.
    """

    def __init__(self, base: str, *, connections: int = POOL_CONNECTIONS):
        self._base = base.rstrip("/")
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
        NotSentError, ResponseTimeoutError, ConnectionLostError
            See the classes.
        """
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            return self._pool.request(
                method,
                self._base + path,
                body=body,
                headers=headers,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=not stream,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise NotSentError(f"{self._base}: {exc}") from exc
        except ReadTimeoutError as exc:
            raise ResponseTimeoutError(
                f"{self._base}: no answer in {timeout_s:.2f} s"
            ) from exc
        except (HTTPError, OSError) as exc:
            raise ConnectionLostError(f"{self._base}: {exc}") from exc

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.clear()
