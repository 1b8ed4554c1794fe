"""HTTP implementation of the host list's interface."""

from __future__ import annotations

import msgspec

from ..errors import StoreUnavailableError
from .common import Host, HostList, HostSnapshot
from .http import ConnectionLostError, HttpClient, NotSentError, ResponseTimeoutError

CALL_TIMEOUT_S = 1.0


class HttpHostList(HostList):
    """Host list over HTTP.

    Conditional requests with an entity tag save the body while the list is
    unchanged.

    Parameters
    ----------
    base_url
        Base URL of the list.
    """

    def __init__(self, base_url: str):
        self._client = HttpClient(base_url, connections=2)

    def fetch(self, known_version: str | None = None) -> HostSnapshot | None:
        headers = {"If-None-Match": known_version} if known_version else {}
        try:
            resp = self._client.send(
                "GET", "/v1/hosts", timeout_s=CALL_TIMEOUT_S, headers=headers
            )
        except (NotSentError, ResponseTimeoutError, ConnectionLostError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if resp.status == 304:
            return None
        if resp.status != 200:
            raise StoreUnavailableError(f"GET /v1/hosts: status {resp.status}")
        hosts = msgspec.json.decode(resp.data, type=tuple[Host, ...])
        return HostSnapshot(resp.headers.get("ETag", ""), hosts)
