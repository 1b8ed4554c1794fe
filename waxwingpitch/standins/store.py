"""Stand-in of the platform's key-value service.

Compare-and-swap by entity tag, leases, watches, rate limits, and faults on
command: down, slow, or answers lost after the write took effect.
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
LOST_ANSWER_HOLD_S = 30.0


class StoreFault(enum.StrEnum):
    """Faults that the stand-in can be told to show."""

    NONE = "none"
    DOWN = "down"
    HUNG = "hung"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """What the stand-in does wrong.

    Attributes
    ----------
    fault
        Kind of fault.
    delay_s
        Delay of each call while slow, in seconds.
    count
        Writes whose answer is lost; negative for all.
    """

    fault: StoreFault = StoreFault.NONE
    delay_s: float = 0.0
    count: int = -1


class _Bucket:
    """Token bucket with a burst of one second."""

    def __init__(self, rate: float):
        self.rate = rate
        self.level = rate
        self.updated_at = time.monotonic()

    def take(self) -> bool:
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class StoreStandIn:
    """Key-value service in memory, served over HTTP.

    Parameters
    ----------
    port
        TCP port; 0 takes a free one.
    writes_per_s, reads_per_s
        Rate limits; calls beyond get status 429.
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
        self._leased: dict[str, str] = {}
        self._version = 0
        self._changed = Event()
        self._writes = _Bucket(writes_per_s)
        self._reads = _Bucket(reads_per_s)
        self.server = StandInServer(self._build_app(), port)
        self._expirer = None

    def start(self) -> None:
        """Serve and expire leases."""
        self.server.start()
        self._expirer = gevent.spawn(self._expire_forever)

    def stop(self) -> None:
        """Stop serving."""
        if self._expirer is not None:
            self._expirer.kill()
        self.server.stop()

    def set_fault(self, plan: FaultPlan) -> None:
        """Show a fault from now on."""
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

    def _admit(self, kind: str, bucket: _Bucket) -> None:
        self.calls[kind] += 1
        match self.plan.fault:
            case StoreFault.DOWN:
                raise bottle.HTTPResponse("down", status=503)
            case StoreFault.HUNG:
                gevent.sleep(LOST_ANSWER_HOLD_S)
                raise bottle.HTTPResponse("hung", status=503)
            case StoreFault.SLOW:
                gevent.sleep(self.plan.delay_s)
        if not bucket.take():
            self.calls["limited"] += 1
            raise bottle.HTTPResponse("rate limit", status=429)

    def _finish_write(self, resp: bottle.HTTPResponse) -> bottle.HTTPResponse:
        if self.plan.fault is StoreFault.LOSE_ANSWERS and self.plan.count != 0:
            self.plan = replace(self.plan, count=self.plan.count - 1)
            self.calls["lost"] += 1
            gevent.sleep(LOST_ANSWER_HOLD_S)
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
            self._leased[key] = lease
        else:
            self._leased.pop(key, None)
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
        wanted = bottle.request.headers.get("If-Match", '"0"').strip('"')
        if int(wanted) != version:
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
        self._leased.pop(key, None)
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
            left = deadline - time.monotonic()
            if found or left <= 0 or self.plan.fault is StoreFault.DOWN:
                return answer_json(StoredChange(self._version, found))
            changed.wait(left)

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
            lapsed = {key for key, (until, _) in self._leases.items() if until < now}
            for lease in lapsed:
                del self._leases[lease]
            for key in [key for key, ls in self._leased.items() if ls in lapsed]:
                self._remove(key)

    def _set_fault(self):
        self.set_fault(msgspec.json.decode(bottle.request.body.read(), type=FaultPlan))
        return answer_json(self.plan)
