"""Client of the platform's metadata store, as a :class:`KeyValueStore`."""

from __future__ import annotations

import base64
import binascii
from urllib.parse import urlencode

import msgspec

from ..errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from ..ports import KeyValueStore, StoredChange, StoredDeletion, StoredEntry
from ..ports.http import (
    ConnectionLostError,
    HttpClient,
    NotSentError,
    ResponseTimeoutError,
)

CALL_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 1.0


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _RangePage(msgspec.Struct):
    at: int
    items: list[_Item]
    has_more: bool = False


class _WatchEvents(msgspec.Struct):
    at: int
    events: list[_Item]


class _GrantedLease(msgspec.Struct):
    lease: int


class _WriteResult(msgspec.Struct):
    revision: int


class PlatformStore(KeyValueStore):
    """Key-value service of the platform, called with JSON over HTTP.

    Parameters
    ----------
    address
        ``IP:port`` of the service.
    timeout_s
        Timeout of each call in seconds, except for watches.
    """

    def __init__(self, address: str, *, timeout_s: float = CALL_TIMEOUT_S):
        self._client = HttpClient(f"http://{address}")
        self._timeout_s = timeout_s

    def get(self, key: str) -> StoredEntry | None:
        resp = self._read("/waxwingpitch/kv-key", {"key": key})
        if resp.status == 404:
            return None
        return _decode_item(_decode(resp.data, _Item))

    def put(
        self, key: str, value: bytes, *, expect: int, lease: str | None = None
    ) -> int:
        entry = {"key": key, "value": base64.b64encode(value).decode()}
        if lease is not None:
            entry["lease"] = int(lease)
        body = {
            "expected": [{"key": key, "revision": expect}],
            "puts": [entry],
            "delete": [],
        }
        resp = self._write("POST", "/waxwingpitch/kv-txn", body)
        return _decode(resp.data, _WriteResult).revision

    def delete(self, key: str, *, expect: int) -> None:
        body = {
            "expected": [{"key": key, "revision": expect}],
            "puts": [],
            "delete": [key],
        }
        self._write("POST", "/waxwingpitch/kv-txn", body)

    def list(self, prefix: str) -> StoredChange:
        version, after, entries = None, None, []
        while True:
            query = {"path_prefix": prefix}
            if after is not None:
                query["after"] = after
            page = _decode(self._read("/waxwingpitch/kv-range", query).data, _RangePage)
            version = page.at if version is None else min(version, page.at)
            entries.extend(map(_decode_item, page.items))
            if not page.has_more or not page.items:
                return StoredChange(version, tuple(entries))
            after = page.items[-1].key

    def watch(self, prefix: str, after: int, *, wait_s: float) -> StoredChange:
        query = {
            "path_prefix": prefix,
            "after": after,
            "wait_ms": int(wait_s * 1000),
        }
        timeout_s = wait_s + WATCH_MARGIN_S
        resp = self._read("/waxwingpitch/kv-watch", query, timeout_s)
        if resp.status == 410:
            raise StoreHistoryLostError(
                f"the store has no history after revision {after}"
            )
        change = _decode(resp.data, _WatchEvents)
        latest = {item.key: item for item in change.events}
        return StoredChange(
            change.at,
            tuple(_decode_item(item) for item in latest.values() if not item.deleted),
            tuple(
                StoredDeletion(item.key, item.revision)
                for item in latest.values()
                if item.deleted
            ),
        )

    def grant_lease(self, ttl_s: float) -> str:
        body = {"ttl_ms": int(ttl_s * 1000)}
        resp = self._write("POST", "/waxwingpitch/kv-lease", body)
        return str(_decode(resp.data, _GrantedLease).lease)

    def renew_lease(self, lease: str) -> bool:
        resp = self._write("POST", f"/waxwingpitch/kv-keep/{lease}", None)
        return resp.status != 404

    def revoke_lease(self, lease: str) -> None:
        self._write("DELETE", f"/waxwingpitch/kv-lease-end/{lease}", None)

    def _read(self, path: str, query, timeout_s: float | None = None):
        try:
            resp = self._client.send(
                "GET",
                f"{path}?{urlencode(query)}",
                timeout_s=timeout_s or self._timeout_s,
            )
        except (NotSentError, ResponseTimeoutError, ConnectionLostError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if resp.status not in (200, 404, 410):
            raise StoreUnavailableError(f"GET {path}: unexpected status {resp.status}")
        return resp

    def _write(self, method: str, path: str, body):
        data = None if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"}
        try:
            resp = self._client.send(
                method, path, timeout_s=self._timeout_s, body=data, headers=headers
            )
        except NotSentError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        except (ResponseTimeoutError, ConnectionLostError) as exc:
            raise StoreAnswerLostError(str(exc)) from exc
        if resp.status == 412:
            raise StoreConflictError(
                f"{method} {path}: the key is not at the expected revision"
            )
        if resp.status == 404 and path.endswith("kv-txn"):
            raise StoreConflictError(
                f"{method} {path}: the lease has expired or was revoked"
            )
        if resp.status not in (200, 204, 404):
            raise StoreUnavailableError(
                f"{method} {path}: unexpected status {resp.status}"
            )
        return resp


def _decode(data: bytes, struct_type):
    try:
        return msgspec.json.decode(data, type=struct_type)
    except msgspec.MsgspecError as exc:
        raise StoreUnavailableError(f"malformed answer of the store: {exc}") from exc


def _decode_item(item: _Item) -> StoredEntry:
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        value = b""
    return StoredEntry(item.key, item.revision, value)
