"""Play: planners of one zone, and the targets that get their orders late or never."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from random import Random

import gevent

from ..forwarding import TargetTimeoutError
from ..forwarding.answers import Answer
from ..gateway import expired_probes, planning, probing
from ..gateway.probing import TargetProbes
from ..platform import ORDER_PATH
from ..ports import StoredChange, StoredDeletion, StoredEntry
from .fleet_fake import SPEC
from .group_targets import GroupTarget, GroupTargets, Timing
from .planner_hosts import PAIR, QUAD, SERVICE, ZONE, Host, build_host
from .virtual_time import VirtualTime

TIMING = Timing(0.2, 0.3, close_s=1.0, preempt_s=0.05, stall_s=6.0, report_lag_s=0.2)
TICK_S = 0.05
SILENCE_S = 1.3
# Silence of a target towards the store after which its entry expires.
ENTRY_TTL_S = 3.0
LATE_S = (2.0, 12.0)
# Time after the disturbances in which capacity is back.
RECOVERY_S = 10.0
MAX_DISTURBED = 3


@dataclass(frozen=True)
class Odds:
    """Shares of orders that come late, that get lost, and whose answers get lost."""

    late: float = 0.0
    lost: float = 0.0
    unanswered: float = 0.0


class OrderPlay:
    """One zone's targets, and the entry hosts that plan their groups.

    Parameters
    ----------
    seed
        Seed of all that is drawn.
    size
        Number of targets.

    Attributes
    ----------
    trace
        What happened, for the message of a failure.
    late_until
        When the last of the late orders is carried out.
    """

    def __init__(self, monkeypatch, seed: int, size: int = 10):
        # Greenlets that earlier tests left behind end before the play takes the hub.
        gevent.sleep(0)
        self.random = Random(seed)
        self.time = VirtualTime()
        for module in (planning, expired_probes):
            monkeypatch.setattr(module, "time", self.time)
        monkeypatch.setattr(probing, "call_target", self.call)
        probes = partial(TargetProbes, clock=self.time.monotonic)
        monkeypatch.setattr(planning, "TargetProbes", probes)
        self.failures: list[BaseException] = []
        monkeypatch.setattr(
            gevent.get_hub(),
            "handle_error",
            lambda context, kind, exc, traceback: self.failures.append(exc),
        )
        self.odds = Odds()
        self.demand = {QUAD.name: 0.0, PAIR.name: 0.0}
        self.trace: list[str] = []
        self.hosts: list[Host] = []
        self.late_until = 0.0
        self._version = 100
        self._entries: dict[str, StoredEntry] = {}
        self._cut: set[str] = set()
        self._disturbed: set[str] = set()
        self.targets = GroupTargets(
            {
                f"10.0.0.1:{number}": GroupTarget(
                    f"t{number}", staged=(QUAD.name, PAIR.name), born=1
                )
                for number in range(1, size + 1)
            },
            timing=TIMING,
            clock=self.time.monotonic,
            on_change=self._write_entry,
        )
        for address in self.targets.targets:
            self.targets.start(address, 1)
        self.add_host()

    def add_host(self) -> None:
        """Add a host that holds the zone's key, with a higher fence than others."""
        self._version += 1
        host = build_host(
            self._version, self.time, lambda model: self.demand[model], self._is_reached
        )
        listed = StoredChange(self._version, tuple(self._entries.values()))
        host.view.apply(listed)
        self.hosts.append(host)
        self._note(f"{host.name} plans")

    def stop(self) -> None:
        """End the greenlets that are left."""
        self.time.stop()
        gevent.sleep(0)

    def run(self, seconds: float) -> None:
        """Let time pass, without further disturbances."""
        end = self.time.now + seconds
        while self.time.now < end:
            self.targets.advance()
            for host in self.hosts:
                host.plan(self.time.now)
            self.time.run_until(self.time.now + TICK_S)
            if self.failures:
                raise self.failures[0]

    def disturb(self, seconds: float, odds: Odds, pause_s: float = 0.4) -> None:
        """Let time pass with late orders and other disturbances."""
        self.odds = odds
        end = self.time.now + seconds
        while self.time.now < end:
            self.run(self.random.expovariate(1 / pause_s))
            disturb = self.random.choice(
                [self._crash, self._silence, self._cut_entry, self._unreach]
                + [self._replace_planner, self._change_demand]
            )
            disturb()
        self.odds = Odds()

    def recover(self) -> float:
        """End the disturbances; return when capacity is back, in seconds after that."""
        self.demand = dict.fromkeys(self.demand, 0.0)
        while self._disturbed or len(self.hosts) > 1 or self.late_until > self.time.now:
            self.run(TICK_S)
        self._note("disturbances end")
        since, back = self.time.now, math.inf
        while self.time.now < since + RECOVERY_S:
            self.run(TICK_S)
            if not self.is_capacity_back():
                back = math.inf
            elif back == math.inf:
                back = self.time.now - since
        return back

    def is_capacity_back(self) -> bool:
        """Return whether too few targets for a group are in none that is open."""
        return len(list(self._iter_idle())) < PAIR.size

    def call(self, pool, address, method, path, *, body=b"", timeout_s, **options):
        """Answer a call of a host, in place of ``call_target``; some are late."""
        if address in pool.host.unreached:
            self._time_out(address, timeout_s)
        if path != ORDER_PATH.encode():
            self.time.wait(self.random.uniform(0.002, 0.03))
            if address in self.targets.silent:
                self._time_out(address, timeout_s)
            return self.targets.call(pool, address, method, path)
        self.time.wait(self.random.uniform(0.002, 0.1))
        return self._answer_order(pool, address, method, path, body, timeout_s)

    def _answer_order(self, pool, address, method, path, body, timeout_s) -> Answer:
        draw, odds = self.random.random(), self.odds
        order = json.loads(body)
        name = f"{pool.host.name} {self.targets.targets[address].id} {_describe(order)}"
        if address in self.targets.silent or draw < odds.late:
            late_s = self.random.uniform(*LATE_S)
            self._note(f"{name}: late by {late_s:.2f}")
            due = self.time.now + late_s
            self.late_until = max(self.late_until, due)
            self.time.at(due, partial(self._deliver, address, order, name))
            self._time_out(address, timeout_s)
        if draw < odds.late + odds.lost:
            self._note(f"{name}: lost")
            self._time_out(address, timeout_s)
        answer = self.targets.call(pool, address, method, path, body=body)
        self._note(f"{name}: {answer.head.status}")
        if draw < odds.late + odds.lost + odds.unanswered:
            self._note(f"{name}: answer lost")
            self._time_out(address, timeout_s)
        return answer

    def _deliver(self, address: str, order: dict, name: str) -> None:
        """Carry out a late order; it may find another life of its target."""
        if self.targets.targets[address].is_up:
            self._note(f"late: {name}")
            self._note(f"late: {name}: {self.targets.carry_out(address, order)}")

    def _time_out(self, address: str, timeout_s: float) -> None:
        self.time.wait(timeout_s)
        raise TargetTimeoutError(f"{address}: silent")

    def _is_reached(self, target: str, address: str) -> bool:
        """Return whether any host may reach a target."""
        return self.targets.targets[address].is_up and any(
            address not in host.unreached for host in self.hosts
        )

    def _iter_idle(self) -> Iterator[str]:
        by_id = {item.id: item for item in self.targets.targets.values()}
        for item in self.targets.targets.values():
            heads = [by_id[member] for member in item.members[:1]]
            if not any(
                head.state == "open"
                and all(by_id[member].place == head.place for member in head.members)
                for head in heads
            ):
                yield item.id

    def _choose_target(self) -> str | None:
        """Return a target that is not disturbed yet, unless enough of them are."""
        free = sorted(self.targets.targets.keys() - self._disturbed)
        if len(self._disturbed) >= MAX_DISTURBED:
            return None
        address = self.random.choice(free)
        self._disturbed.add(address)
        return address

    def _end_at(
        self, seconds: float, address: str, what: str, end: Callable[[], None]
    ) -> None:
        """Note a disturbance of a target, and end it later."""
        self._note(f"{self.targets.targets[address].id} {what} for {seconds:.2f}")

        def _end():
            end()
            self._disturbed.discard(address)

        self.time.at(self.time.now + seconds, _end)

    def _crash(self) -> None:
        address = self._choose_target()
        if address is None:
            return
        self.targets.crash(address)
        away_s = self.random.uniform(0.3, 8.0)
        born = round(1000 * (self.time.now + away_s))
        self._expire_entry_at(self.time.now + ENTRY_TTL_S, address)
        self._end_at(
            away_s, address, "is down", lambda: self.targets.start(address, born)
        )

    def _silence(self) -> None:
        address = self._choose_target()
        if address is None:
            return
        self.targets.silent.add(address)
        self._end_at(
            SILENCE_S,
            address,
            "is silent",
            lambda: self.targets.silent.discard(address),
        )

    def _cut_entry(self) -> None:
        """Cut a target off from the store, so that its entry is old and expires."""
        address = self._choose_target()
        if address is None:
            return

        def _end():
            self._cut.discard(address)
            self._write_entry(address)

        self._cut.add(address)
        self._expire_entry_at(self.time.now + ENTRY_TTL_S, address)
        cut_s = self.random.uniform(0.5, 9.0)
        self._end_at(cut_s, address, "is cut from the list", _end)

    def _unreach(self) -> None:
        address, host = self._choose_target(), self.random.choice(self.hosts)
        if address is None:
            return
        host.unreached.add(address)
        self._end_at(
            self.random.uniform(0.5, 8.0),
            address,
            f"is not reached by {host.name}",
            lambda: host.unreached.discard(address),
        )

    def _replace_planner(self) -> None:
        """Let another host plan; the former one may not notice for a while."""
        if len(self.hosts) > 1:
            return
        former = self.hosts[0]
        overlap_s = self.random.choice([0.0, 1.0, 3.0, 6.0])
        is_cut = self.random.random() < 0.5
        former.missed = [] if is_cut else None
        self._note(f"{former.name} ends in {overlap_s}" + " (cut off)" * is_cut)
        self.add_host()

        def _end():
            former.is_held = False
            self.hosts.remove(former)

        self.time.at(self.time.now + overlap_s, _end)

    def _change_demand(self) -> None:
        choices = (0.0, 5.0, 20.0, 40.0)
        self.demand = {model: self.random.choice(choices) for model in self.demand}
        self._note(f"demand {self.demand}")

    def _expire_entry_at(self, when: float, address: str) -> None:
        target = self.targets.targets[address]
        entry = self._entries.get(target.id)

        def _expire():
            if entry is not None and self._entries.get(target.id) is entry:
                del self._entries[target.id]
                self._version += 1
                gone = StoredDeletion(entry.key, self._version)
                self._publish(StoredChange(self._version, (), (gone,)))

        self.time.at(when, _expire)

    def _write_entry(self, address: str) -> None:
        """Write a target's entry, unless it is cut off from the store."""
        target = self.targets.targets[address]
        if address in self._cut or not target.is_up:
            return
        self._version += 1
        entry = {
            "service": SERVICE,
            "address": address,
            "zone": ZONE,
            "capacity": SPEC.capacity,
            "state": "ready",
            "fault_domain": "d",
            "born": target.born,
        } | (target.report() | {"seq": self._version})
        item = StoredEntry(
            f"servers/{target.id}", self._version, json.dumps(entry).encode()
        )
        self._entries[target.id] = item
        self._publish(StoredChange(self._version, (item,)))

    def _publish(self, change: StoredChange) -> None:
        for host in self.hosts:
            host.apply(change)

    def _note(self, what: str) -> None:
        self.trace.append(f"{self.time.now - 100:.3f} {what}")


def _describe(order: dict) -> str:
    return " ".join(
        str(order[key])
        for key in ("operation", "group", "epoch", "members", "mode", "expected")
        if key in order
    )
