"""Stand-in of the platform's key-value service.

Offers compare-and-swap by entity tag, leases, watches and rate limits. Faults can be
injected: refused, unanswered or slow calls, and writes whose answer is lost after they
took effect.
"""

from __future__ import annotations

import enum
import time
import uuid
from collections import Counter
from dataclasses import dataclass, replace

import bottle
import gevent
import msgspec
from gevent.event import Event

from ..ports import StoredChange, StoredEntry
from .server import StandInServer, answer_json

MAX_VALUE_BYTES = 1024 * 1024
DEFAULT_WRITES_PER_S = 400.0
DEFAULT_READS_PER_S = 2000.0
# Time for which a call is left unanswered, so that its client times out.
NO_ANSWER_HOLD_S = 30.0


class StoreFault(enum.StrEnum):
    """Faults that can be injected into the stand-in."""

    NONE = "none"
    DOWN = "down"
    HUNG = "hung"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """Fault that the stand-in injects.

    Attributes
    ----------
    fault
        Kind of fault.
    delay_s
        Delay of each call for ``SLOW``, in seconds.
    count
        Number of writes whose answer is lost for ``LOSE_ANSWERS``; negative for
        all.
    """

    fault: StoreFault = StoreFault.NONE
    delay_s: float = 0.0
    count: int = -1


class _TokenBucket:
    """Token bucket with a burst of one second."""

    def __init__(self, rate: float):
        self.rate = rate
        self.tokens = rate
        self.updated_at = time.monotonic()

    def try_take(self) -> bool:
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class StoreStandIn:
    """In-memory key-value service over HTTP.

    Parameters
    ----------
    port
        TCP port; 0 takes a free one.
    writes_per_s, reads_per_s
        Rate limits; calls above them are refused with status 429.
    """

    def __init__(
        self,
        port: int = 0,
        *,
        writes_per_s: float = DEFAULT_WRITES_PER_S,
        reads_per_s: float = DEFAULT_READS_PER_S,
    ):
        self.calls: Counter[str] = Counter()
        self.plan = FaultPlan()
        self._entries: dict[str, StoredEntry] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._lease_of_key: dict[str, str] = {}
        self._version = 0
        self._changed = Event()
        self._writes = _TokenBucket(writes_per_s)
        self._reads = _TokenBucket(reads_per_s)
        self.server = StandInServer(self._build_app(), port)
        self._expirer = None

    def start(self) -> None:
        """Start serving and expiring leases."""
        self.server.start()
        self._expirer = gevent.spawn(self._expire_forever)

    def stop(self) -> None:
        """Stop serving."""
        if self._expirer is not None:
            self._expirer.kill()
        self.server.stop()

    def set_fault(self, plan: FaultPlan) -> None:
        """Inject a fault from now on; a plan without a fault ends the current one."""
        self.plan = plan

    def _build_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.route("/v1/keys/<key:path>", "GET", self._get)
        app.route("/v1/keys/<key:path>", "PUT", self._put)
        app.route("/v1/keys/<key:path>", "DELETE", self._delete)
        app.route("/v1/list", "GET", self._list)
        app.route("/v1/watch", "GET", self._watch)
        app.route("/v1/leases", "POST", self._grant)
        app.route("/v1/leases/<lease>/renew", "POST", self._renew)
        app.route("/admin/fault", "PUT", self._set_fault)
        app.route("/admin/calls", "GET", lambda: answer_json(dict(self.calls)))
        return app

    def _admit(self, kind: str, bucket: _TokenBucket) -> None:
        self.calls[kind] += 1
        match self.plan.fault:
            case StoreFault.DOWN:
                raise bottle.HTTPResponse("down", status=503)
            case StoreFault.HUNG:
                gevent.sleep(NO_ANSWER_HOLD_S)
                raise bottle.HTTPResponse("hung", status=503)
            case StoreFault.SLOW:
                gevent.sleep(self.plan.delay_s)
        if not bucket.try_take():
            self.calls["limited"] += 1
            raise bottle.HTTPResponse("rate limit", status=429)

    def _finish_write(self, resp: bottle.HTTPResponse) -> bottle.HTTPResponse:
        if self.plan.fault is StoreFault.LOSE_ANSWERS and self.plan.count != 0:
            self.plan = replace(self.plan, count=self.plan.count - 1)
            self.calls["lost"] += 1
            gevent.sleep(NO_ANSWER_HOLD_S)
        return resp

    def _get(self, key: str):
        self._admit("read", self._reads)
        entry = self._entries.get(key)
        if entry is None:
            return bottle.HTTPResponse("not found", status=404)
        return bottle.HTTPResponse(entry.value, ETag=f'"{entry.version}"')

    def _put(self, key: str):
        self._admit("write", self._writes)
        value = bottle.request.body.read(MAX_VALUE_BYTES + 1)
        if len(value) > MAX_VALUE_BYTES:
            return bottle.HTTPResponse("value too large", status=413)
        self._check_version(key)
        lease = bottle.request.headers.get("X-Lease")
        if lease is not None and lease not in self._leases:
            return bottle.HTTPResponse("lease lapsed", status=412)
        entry = self._store(key, value)
        if lease is not None:
            self._lease_of_key[key] = lease
        else:
            self._lease_of_key.pop(key, None)
        return self._finish_write(
            bottle.HTTPResponse("stored", ETag=f'"{entry.version}"')
        )

    def _delete(self, key: str):
        self._admit("write", self._writes)
        self._check_version(key)
        self._remove(key)
        return self._finish_write(bottle.HTTPResponse("deleted"))

    def _check_version(self, key: str) -> None:
        entry = self._entries.get(key)
        version = entry.version if entry else 0
        expected = bottle.request.headers.get("If-Match", '"0"').strip('"')
        if int(expected) != version:
            raise bottle.HTTPResponse("version differs", status=412)

    def _store(self, key: str, value: bytes) -> StoredEntry:
        self._version += 1
        entry = StoredEntry(key, self._version, value)
        self._entries[key] = entry
        self._notify()
        return entry

    def _remove(self, key: str) -> None:
        self._version += 1
        self._entries.pop(key, None)
        self._lease_of_key.pop(key, None)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = Event()

    def _find(self, prefix: str, after: int = 0) -> tuple[StoredEntry, ...]:
        found = [
            entry
            for key, entry in self._entries.items()
            if key.startswith(prefix) and entry.version > after
        ]
        return tuple(sorted(found, key=lambda entry: entry.version))

    def _list(self):
        self._admit("read", self._reads)
        prefix = bottle.request.query.prefix
        return answer_json(StoredChange(self._version, self._find(prefix)))

    def _watch(self):
        self._admit("read", self._reads)
        query = bottle.request.query
        after = int(query.after)
        deadline = time.monotonic() + float(query.wait_s)
        while True:
            changed = self._changed
            found = self._find(query.prefix, after)
            remaining_s = deadline - time.monotonic()
            if found or remaining_s <= 0 or self.plan.fault is StoreFault.DOWN:
                return answer_json(StoredChange(self._version, found))
            changed.wait(remaining_s)

    def _grant(self):
        self._admit("write", self._writes)
        ttl_s = msgspec.json.decode(bottle.request.body.read())["ttl_s"]
        lease = uuid.uuid4().hex
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return self._finish_write(answer_json({"lease": lease}))

    def _renew(self, lease: str):
        self._admit("write", self._writes)
        if lease not in self._leases:
            return bottle.HTTPResponse("lapsed", status=404)
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return self._finish_write(bottle.HTTPResponse("renewed"))

    def _expire_forever(self) -> None:
        while True:
            gevent.sleep(0.1)
            now = time.monotonic()
            expired = {
                key for key, (expires_at, _) in self._leases.items() if expires_at < now
            }
            for lease in expired:
                del self._leases[lease]
            for key in [
                key
                for key, lease_id in self._lease_of_key.items()
                if lease_id in expired
            ]:
                self._remove(key)

    def _set_fault(self):
        self.set_fault(msgspec.json.decode(bottle.request.body.read(), type=FaultPlan))
        return answer_json(self.plan)
