"""Client of the platform's metadata store, as a :class:`KeyValueStore`."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from urllib.parse import urlencode

import msgspec

from ..agreed.versions import combine_version, get_era, get_revision
from ..decoding import MalformedInputError, decode_json
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
from .headers import STORE_ERA

CALL_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 3.0
# A page holds about 1 MB of values, in base64, or one value of up to 1 MB.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_ERA_DIGITS = 18
# Statuses of calls that had no effect.
REFUSED_STATUSES = frozenset({400, 401, 403, 429, 503})


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

    Attributes
    ----------
    on_call
        Called with the kind of each call, before it is made.
    """

    def __init__(self, address: str, *, timeout_s: float = CALL_TIMEOUT_S):
        self.on_call: Callable[[str], None] = lambda kind: None
        self._client = HttpClient(
            f"http://{address}",
            max_body_bytes=MAX_ANSWER_BYTES,
            keeps_idle_on_timeout=False,
        )
        self._timeout_s = timeout_s
        self._era = 0

    @property
    def era(self) -> int:
        return self._era

    def get(self, key: str) -> StoredEntry | None:
        resp, era = self._read("/waxwingpitch/kv-key", {"key": key})
        if resp.status == 404:
            return None
        return _decode_item(_decode(resp.data, _Item), era)

    def put(
        self, key: str, value: bytes, *, expect: int, lease: str | None = None
    ) -> int:
        entry = {"key": key, "value": base64.b64encode(value).decode()}
        if lease is not None:
            entry["lease"] = self._find_lease_id(lease)
        body = {
            "expected": [{"key": key, "revision": self._find_revision(expect)}],
            "puts": [entry],
            "delete": [],
        }
        resp, era = self._write("POST", "/waxwingpitch/kv-txn", body)
        return combine_version(era, _decode_written(resp.data, _WriteResult).revision)

    def overwrite(self, key: str, value: bytes) -> int:
        entry = {"key": key, "value": base64.b64encode(value).decode()}
        body = {"expected": [], "puts": [entry], "delete": []}
        resp, era = self._write("POST", "/waxwingpitch/kv-txn", body)
        return combine_version(era, _decode_written(resp.data, _WriteResult).revision)

    def delete(self, key: str, *, expect: int) -> None:
        body = {
            "expected": [{"key": key, "revision": self._find_revision(expect)}],
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
            resp, era = self._read("/waxwingpitch/kv-range", query)
            page = _decode(resp.data, _RangePage)
            at = combine_version(era, page.at)
            if version is not None and get_era(version) != era:
                raise StoreUnavailableError(
                    f"the store was restored while {prefix!r} was listed"
                )
            version = at if version is None else min(version, at)
            entries.extend(_decode_item(item, era) for item in page.items)
            if not page.has_more or not page.items:
                return StoredChange(version, tuple(entries))
            after = page.items[-1].key

    def watch(
        self, prefix: str, after: int, *, wait_s: float, margin_s: float | None = None
    ) -> StoredChange:
        query = {
            "path_prefix": prefix,
            "after": self._find_watch_position(after),
            "wait_ms": int(wait_s * 1000),
        }
        timeout_s = wait_s + (WATCH_MARGIN_S if margin_s is None else margin_s)
        resp, era = self._read("/waxwingpitch/kv-watch", query, timeout_s)
        if resp.status == 410 or era != get_era(after):
            raise StoreHistoryLostError(
                f"the store has no history after version {after}"
            )
        change = _decode(resp.data, _WatchEvents)
        latest = {item.key: item for item in change.events}
        return StoredChange(
            combine_version(era, change.at),
            tuple(
                _decode_item(item, era) for item in latest.values() if not item.deleted
            ),
            tuple(
                StoredDeletion(item.key, combine_version(era, item.revision))
                for item in latest.values()
                if item.deleted
            ),
        )

    def grant_lease(self, ttl_s: float) -> str:
        body = {"ttl_ms": int(ttl_s * 1000)}
        resp, era = self._write("POST", "/waxwingpitch/kv-lease", body)
        return _format_lease(_decode_written(resp.data, _GrantedLease).lease, era)

    def renew_lease(self, lease: str) -> bool:
        number, era = _parse_lease(lease)
        if era != self._era:
            return False
        resp, answered_era = self._write(
            "POST", f"/waxwingpitch/kv-keep/{number}", None
        )
        return resp.status != 404 and answered_era == era

    def revoke_lease(self, lease: str) -> None:
        number, era = _parse_lease(lease)
        if era == self._era:
            self._write("DELETE", f"/waxwingpitch/kv-lease-end/{number}", None)

    def _find_revision(self, version: int) -> int:
        """Return the revision to expect; its era must not be over."""
        if version and get_era(version) != self._era:
            raise StoreConflictError(f"version {version} is of an earlier era")
        return get_revision(version)

    def _find_lease_id(self, lease: str) -> int:
        number, era = _parse_lease(lease)
        if era != self._era:
            raise StoreConflictError(f"lease {lease} is of an earlier era")
        return number

    def _find_watch_position(self, version: int) -> int:
        if get_era(version) != self._era:
            raise StoreHistoryLostError(f"version {version} is of an earlier era")
        return get_revision(version)

    def _take_era(self, resp) -> int:
        """Return the era of an answer, which becomes the known one if it is later."""
        text = resp.headers.get(STORE_ERA, "0")
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS):
            raise MalformedInputError(f"era {text[:40]!r}; valid: a whole number")
        era = int(text)
        self._era = max(self._era, era)
        return era

    def _read(self, path: str, query, timeout_s: float | None = None):
        self.on_call(_name_call(path))
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
        try:
            era = self._take_era(resp)
        except MalformedInputError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if era < self._era:
            raise StoreUnavailableError(f"GET {path}: answer of an earlier era")
        return resp, era

    def _write(self, method: str, path: str, body):
        self.on_call(_name_call(path))
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
        try:
            era = self._take_era(resp)
        except MalformedInputError as exc:
            raise StoreAnswerLostError(str(exc)) from exc
        if era < self._era:
            raise StoreAnswerLostError(f"{method} {path}: answer of an earlier era")
        if resp.status == 412:
            raise StoreConflictError(
                f"{method} {path}: the key is not at the expected revision"
            )
        if resp.status == 404 and path.endswith("kv-txn"):
            raise StoreConflictError(
                f"{method} {path}: the lease has expired or was revoked"
            )
        if resp.status in REFUSED_STATUSES:
            raise StoreUnavailableError(f"{method} {path}: status {resp.status}")
        if resp.status not in (200, 204, 404):
            raise StoreAnswerLostError(
                f"{method} {path}: unexpected status {resp.status}"
            )
        return resp, era


def _decode(data: bytes, struct_type):
    try:
        return decode_json(data, struct_type)
    except MalformedInputError as exc:
        raise StoreUnavailableError(f"malformed answer of the store: {exc}") from exc


def _decode_written(data: bytes, struct_type):
    """Decode the answer to a write, which has taken effect though it is malformed."""
    try:
        return decode_json(data, struct_type)
    except MalformedInputError as exc:
        raise StoreAnswerLostError(f"malformed answer of the store: {exc}") from exc


def _name_call(path: str) -> str:
    """Return the kind of a call: its path without the prefix and without ids."""
    return path.split("/")[2]


def _format_lease(number: int, era: int) -> str:
    return f"{era}.{number}" if era else str(number)


def _parse_lease(lease: str) -> tuple[int, int]:
    """Return the store's id of a lease, and its era."""
    era, _, number = lease.rpartition(".")
    return int(number), int(era or 0)


def _decode_item(item: _Item, era: int) -> StoredEntry:
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        value = b""
    return StoredEntry(item.key, combine_version(era, item.revision), value)
