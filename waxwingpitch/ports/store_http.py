"""HTTP implementation of the key-value service's interface."""

from __future__ import annotations

from urllib.parse import quote, urlencode

import msgspec

from ..errors import StoreAnswerLostError, StoreConflictError, StoreUnavailableError
from .common import KeyValueStore, StoredChange, StoredEntry
from .http import ConnectionLostError, HttpClient, NotSentError, ResponseTimeoutError

CALL_TIMEOUT_S = 1.0
# Added to the wait of a watch, so that the service answers before the read timeout.
WATCH_MARGIN_S = 2.0


class HttpKeyValueStore(KeyValueStore):
    """Key-value service over HTTP.

    Parameters
    ----------
    base_url
        Base URL of the service.
    timeout_s
        Timeout of each call except watches, in seconds.
    """

    def __init__(self, base_url: str, *, timeout_s: float = CALL_TIMEOUT_S):
        self._client = HttpClient(base_url)
        self._timeout_s = timeout_s

    def get(self, key: str) -> StoredEntry | None:
        resp = self._read(f"/v1/keys/{quote(key)}")
        if resp.status == 404:
            return None
        return StoredEntry(key, _parse_version(resp), resp.data)

    def put(
        self, key: str, value: bytes, *, expect: int, lease: str | None = None
    ) -> int:
        headers = _precondition_headers(expect)
        if lease is not None:
            headers["X-Lease"] = lease
        resp = self._write("PUT", f"/v1/keys/{quote(key)}", value, headers)
        return _parse_version(resp)

    def delete(self, key: str, *, expect: int) -> None:
        self._write(
            "DELETE", f"/v1/keys/{quote(key)}", None, _precondition_headers(expect)
        )

    def list(self, prefix: str) -> StoredChange:
        query = urlencode({"prefix": prefix})
        return _decode_change(self._read(f"/v1/list?{query}").data)

    def watch(
        self, prefix: str, after: int, *, wait_s: float, margin_s: float | None = None
    ) -> StoredChange:
        query = urlencode({"prefix": prefix, "after": after, "wait_s": wait_s})
        timeout_s = wait_s + (WATCH_MARGIN_S if margin_s is None else margin_s)
        return _decode_change(self._read(f"/v1/watch?{query}", timeout_s).data)

    def grant_lease(self, ttl_s: float) -> str:
        body = msgspec.json.encode({"ttl_s": ttl_s})
        resp = self._write("POST", "/v1/leases", body, {})
        return msgspec.json.decode(resp.data)["lease"]

    def renew_lease(self, lease: str) -> bool:
        resp = self._write("POST", f"/v1/leases/{quote(lease)}/renew", b"", {})
        return resp.status != 404

    def _read(self, path: str, timeout_s: float | None = None):
        try:
            resp = self._client.send(
                "GET", path, timeout_s=timeout_s or self._timeout_s
            )
        except (NotSentError, ResponseTimeoutError, ConnectionLostError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if resp.status not in (200, 404):
            raise StoreUnavailableError(f"GET {path}: status {resp.status}")
        return resp

    def _write(self, method: str, path: str, body: bytes | None, headers):
        try:
            resp = self._client.send(
                method, path, timeout_s=self._timeout_s, body=body, headers=headers
            )
        except NotSentError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        except (ResponseTimeoutError, ConnectionLostError) as exc:
            raise StoreAnswerLostError(str(exc)) from exc
        if resp.status == 412:
            raise StoreConflictError(f"{method} {path}: version conflict")
        if resp.status in (429, 503):
            raise StoreUnavailableError(f"{method} {path}: status {resp.status}")
        if resp.status not in (200, 404):
            raise StoreAnswerLostError(f"{method} {path}: status {resp.status}")
        return resp


def _precondition_headers(expect: int) -> dict[str, str]:
    if expect == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expect}"'}


def _parse_version(resp) -> int:
    return int(resp.headers.get("ETag", '"0"').strip('"'))


def _decode_change(data: bytes) -> StoredChange:
    return msgspec.json.decode(data, type=StoredChange)
