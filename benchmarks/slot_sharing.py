"""Three ways in which many entry hosts share the slots of replicas, without sockets.

Each run plays the same arrivals, with a burst of 1.6 times as many in the middle third.
A tenth of the replicas is lost during it, unnoticed for 0.3 s or until a request fails,
and cold afterwards. The ways differ in what a host knows when it places a request:

- ``counts``: every host tells every other its requests in flight ten times a second,
  and takes its own queue times the number of hosts for that of all.
- ``two choices``: hosts of a zone tell each other their counts once a second; a request
  goes to the less loaded of two random replicas, whose own refusal is the limit.
- ``owners``: each zone has an owner of its slots, which grants them and keeps one
  queue; owners of zones tell each other a summary five times a second.

Run with ``python -m benchmarks.slot_sharing``.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from waxwingpitch.admission.forecast import Pressure, Wait, decide_admission
from waxwingpitch.routing.placement import ReplicaLoad, choose_replica
from waxwingpitch.slots import (
    Declined,
    Forwarded,
    Granted,
    SlotKey,
    SlotOffer,
    SlotOwner,
    SlotRequest,
)
from waxwingpitch.slots.budget import SharedRetryBudget

SIZES = ((8, 3), (72, 3), (195, 5), (320, 7))
REPLICAS_PER_HOST = 0.66
SLOTS = 7
REQUESTS_PER_HOST_S = 2.7
DURATION_S = 12.0
SERVICE_S = 1.3
AIM_S = 0.3
DEADLINE_S = 6.0
COLD_S = 3.0
COLD_PER_S = 14
# Limit of the platform's rule for requests at a cold target within a second.
COLD_LIMIT = COLD_PER_S * 1.5 + 5
IN_ZONE_S = 0.0001
ACROSS_S = 0.0014
COUNTS_INTERVAL_S = 0.1
GOSSIP_INTERVAL_S = 1.0
SUMMARY_INTERVAL_S = 0.2
TARGET_QUEUE = 2
MAX_TRIES = 3


@dataclass
class Replica:
    """A replica as it really is."""

    id: str
    zone: int
    running: int = 0
    cold_until: float = 0.0
    lost: bool = False
    starts: int = 0
    arrivals: list[float] = field(default_factory=list)


@dataclass
class Tally:
    """What callers and targets saw."""

    asked: int = 0
    in_time: int = 0
    refused: int = 0
    refused_with_free_slot: int = 0
    over_full: int = 0
    sent: int = 0
    over_cold: int = 0
    messages: int = 0


class World:
    """Arrivals, replicas and time; a way decides where requests go."""

    def __init__(self, hosts: int, zones: int, seed: int):
        self.hosts, self.zones = hosts, zones
        self.rng = random.Random(seed)
        self.now = 0.0
        self.tally = Tally()
        self._events: list = []
        self._order = itertools.count()
        count = int(hosts * REPLICAS_PER_HOST)
        self.replicas = {
            f"t{n}": Replica(f"t{n}", n % zones) for n in range(max(zones, count))
        }

    def at(self, when: float, action, *args) -> None:
        heapq.heappush(self._events, (when, next(self._order), action, args))

    def play(self, way) -> Tally:
        third = DURATION_S / 3
        rate = self.hosts * REQUESTS_PER_HOST_S
        when = 0.0
        while when < DURATION_S:
            factor = 1.6 if third <= when < 2 * third else 1.0
            when += self.rng.expovariate(rate * factor)
            self.at(when, self._arrive, way)
        lost = list(self.replicas.values())[::10]
        for replica in lost:
            self.at(third, self._lose, way, replica)
            self.at(2 * third, self._bring_back, way, replica)
        way.start(self)
        while self._events and self._events[0][0] < DURATION_S + DEADLINE_S:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        for replica in self.replicas.values():
            self.tally.over_cold += count_over_limit(replica.arrivals)
        return self.tally

    def free_in_zone(self, zone: int, count_granted=lambda replica: 0) -> bool:
        """Return whether a slot is free that was not granted to anyone yet."""
        return any(
            item.zone == zone
            and not item.lost
            and max(item.running, count_granted(item)) < SLOTS
            and item.cold_until <= self.now
            for item in self.replicas.values()
        )

    def send(self, replica: Replica, due_at: float, on_end) -> bool:
        """Send a request to a replica; return False if it turns it away."""
        self.tally.sent += 1
        if replica.lost or replica.running >= SLOTS + TARGET_QUEUE:
            self.tally.over_full += 1
            return False
        if replica.running >= SLOTS:
            self.tally.over_full += 1
        if replica.cold_until > self.now:
            replica.arrivals.append(self.now)
        waits_s = max(0, replica.running - SLOTS + 1) * SERVICE_S / SLOTS
        replica.running += 1
        first_s = 0.12 + 0.01 * replica.running + waits_s
        self.tally.in_time += self.now + first_s <= due_at
        took_s = waits_s + SERVICE_S * self.rng.uniform(0.5, 1.5)
        self.at(self.now + took_s, self._end, replica, replica.starts, on_end)
        return True

    def refuse(self, zone: int, count_granted=lambda replica: 0) -> None:
        self.tally.refused += 1
        self.tally.refused_with_free_slot += self.free_in_zone(zone, count_granted)

    def _end(self, replica: Replica, start: int, on_end) -> None:
        if replica.starts == start:
            replica.running -= 1
        on_end()

    def _arrive(self, way) -> None:
        if self.now < DURATION_S:
            self.tally.asked += 1
            host = self.rng.randrange(self.hosts)
            way.arrive(host, host % self.zones)

    def _lose(self, way, replica: Replica) -> None:
        replica.lost = True
        self.at(self.now + 0.3, way.learn, replica)

    def _bring_back(self, way, replica: Replica) -> None:
        replica.lost, replica.running = False, 0
        replica.starts += 1
        replica.cold_until = self.now + COLD_S
        self.at(self.now + 0.3, way.learn, replica)


def count_over_limit(times: list[float]) -> int:
    """Return the arrivals above the limit of a second, at a cold target."""
    over = 0
    for index, at in enumerate(times):
        first = index
        while first >= 0 and at - times[first] < 1.0:
            first -= 1
        over += index - first > COLD_LIMIT
    return over


class Counts:
    """Every host knows all hosts' counts, as they were up to 0.1 s ago."""

    interval_s = COUNTS_INTERVAL_S

    def start(self, world: World) -> None:
        self.world = world
        self.believed: Counter[str] = Counter()
        self.real: Counter[str] = Counter()
        self.own = [Counter() for _ in range(world.hosts)]
        self.lost: set[str] = set()
        self.cold_sent: dict = defaultdict(list)
        self.queues: list[list] = [[] for _ in range(world.hosts)]
        world.at(0.0, self._tell)

    def _tell(self) -> None:
        """Tell all others; only hosts with requests in flight do."""
        self.believed = Counter(self.real)
        self.told = [Counter(own) for own in self.own]
        busy = sum(bool(own) for own in self.own)
        self.world.tally.messages += busy * (self.world.hosts - 1)
        for host, queue in enumerate(self.queues):
            self._serve_queue(host, queue)
        self.world.at(self.world.now + self.interval_s, self._tell)

    def learn(self, replica: Replica) -> None:
        (self.lost.add if replica.lost else self.lost.discard)(replica.id)

    def arrive(self, host: int, zone: int) -> None:
        now = self.world.now
        if not self._try(host, zone, now + AIM_S):
            queue = self.queues[host]
            slots = SLOTS * (len(self.world.replicas) - len(self.lost))
            pressure = Pressure(slots, len(queue) * self.world.hosts, SERVICE_S)
            decision = decide_admission(pressure, now=now, deadline=now + DEADLINE_S)
            if isinstance(decision, Wait):
                queue.append((decision.until, zone, now + AIM_S))
            else:
                self.world.refuse(zone)

    def _serve_queue(self, host: int, queue: list) -> None:
        while queue:
            until, zone, due_at = queue[0]
            if until < self.world.now:
                self.world.refuse(zone)
            elif not self._try(host, zone, due_at):
                return
            queue.pop(0)

    def _try(self, host: int, zone: int, due_at: float) -> bool:
        world = self.world
        loads = []
        for replica in world.replicas.values():
            if replica.id in self.lost or not self._has_cold_room(host, replica):
                continue
            unseen = self.own[host][replica.id] - self.told[host][replica.id]
            outstanding = self.believed[replica.id] + unseen
            loads.append(ReplicaLoad(replica.id, str(replica.zone), outstanding, SLOTS))
        chosen = choose_replica(loads, zone=str(zone), tie_break=world.rng.random())
        if chosen is None:
            return False
        replica = world.replicas[chosen.id]
        if replica.cold_until > world.now:
            self.cold_sent[host, replica.id].append(world.now)
        return self._place(host, replica, due_at)

    def _place(self, host: int, replica: Replica, due_at: float) -> bool:
        def _end() -> None:
            self.real[replica.id] -= 1
            self.own[host][replica.id] -= 1
            if not self.own[host][replica.id]:
                del self.own[host][replica.id]

        if not self.world.send(replica, due_at, _end):
            if replica.lost:
                self.lost.add(replica.id)  # suspected, which all are told
            return False
        self.real[replica.id] += 1
        self.own[host][replica.id] += 1
        return True

    def _has_cold_room(self, host: int, replica: Replica) -> bool:
        now = self.world.now
        if replica.cold_until <= now:
            return True
        recent = [at for at in self.cold_sent[host, replica.id] if now - at < 1.0]
        return len(recent) < max(1, COLD_PER_S // self.world.hosts)


class TwoChoices(Counts):
    """Hosts of a zone gossip; a target's own refusal is the limit."""

    interval_s = GOSSIP_INTERVAL_S

    def _tell(self) -> None:
        self.believed = Counter(self.real)
        self.told = [Counter(own) for own in self.own]
        per_zone = self.world.hosts / self.world.zones
        self.world.tally.messages += int(self.world.hosts * per_zone)
        self.world.at(self.world.now + self.interval_s, self._tell)

    def arrive(self, host: int, zone: int) -> None:
        world = self.world
        usable = [
            item
            for item in world.replicas.values()
            if item.id not in self.lost and self._has_cold_room(host, item)
        ]
        in_zone = [item for item in usable if item.zone == zone] or usable
        for attempt in range(MAX_TRIES):
            pool = in_zone if attempt == 0 else usable
            if not pool:
                break
            pair = world.rng.sample(pool, min(2, len(pool)))
            replica = min(pair, key=lambda item: self.believed[item.id])
            if replica.cold_until > world.now:
                self.cold_sent[host, replica.id].append(world.now)
            if self._place(host, replica, world.now + AIM_S):
                return
        world.refuse(zone)


class Owners:
    """One owner a zone, with the decisions of the package."""

    def start(self, world: World) -> None:
        self.world = world
        self.numbers = itertools.count()
        self.owners = {
            zone: SlotOwner(
                SlotKey(str(zone), "s", "m"),
                SharedRetryBudget(
                    ratio=0.2, slack=100, window_s=10, owners=world.zones
                ),
            )
            for zone in range(world.zones)
        }
        self.lost: set[str] = set()
        self.asked: dict = {}
        for zone in self.owners:
            self._update(zone)
        world.at(0.0, self._tell)

    def learn(self, replica: Replica) -> None:
        (self.lost.add if replica.lost else self.lost.discard)(replica.id)
        self._update(replica.zone)

    def _update(self, zone: int) -> None:
        offers = tuple(
            SlotOffer(
                item.id, "", str(zone), "s", "m", SLOTS, 1, cold_until=item.cold_until
            )
            for item in self.world.replicas.values()
            if item.zone == zone and item.id not in self.lost
        )
        self.owners[zone].set_offers(offers, int(COLD_LIMIT / 2))

    def _tell(self) -> None:
        now = self.world.now
        zones = self.world.zones
        self.world.tally.messages += zones * (zones - 1) + 2 * self.world.hosts
        for zone, owner in self.owners.items():
            summary = owner.summarize(now)
            for other in self.owners:
                if other != zone:
                    self._carry_out(
                        other, self.owners[other].update_zone(str(zone), summary, now)
                    )
            self._carry_out(zone, owner.assign(now))
        self.world.at(now + SUMMARY_INTERVAL_S, self._tell)

    def arrive(self, host: int, zone: int) -> None:
        now = self.world.now
        number = next(self.numbers)
        req = SlotRequest(
            "r", "s", "m", "w", 1, 1.0, now + DEADLINE_S, due_at=now + AIM_S
        )
        self.asked[number] = (zone, req)
        self.world.tally.messages += 1
        self.world.at(now + IN_ZONE_S, self._request, zone, number, req)

    def _request(self, zone: int, number: int, req: SlotRequest) -> None:
        owner = self.owners[zone]
        self._carry_out(zone, owner.request("h", number, req, self.world.now))

    def _count_granted(self, replica: Replica) -> int:
        return self.owners[replica.zone].ledger.count(replica.id)

    def _carry_out(self, zone: int, decisions) -> None:
        world, refused = self.world, []
        for decision in decisions:
            world.tally.messages += 1
            if isinstance(decision, Granted):
                world.at(world.now + IN_ZONE_S, self._send, zone, decision)
            elif isinstance(decision, Forwarded):
                world.at(
                    world.now + ACROSS_S,
                    self._request_elsewhere,
                    zone,
                    int(decision.zone),
                    decision.number,
                )
            else:
                home, _ = self.asked.pop(decision.number)
                refused.append(home)
        for home in refused:
            world.refuse(home, self._count_granted)

    def _request_elsewhere(self, zone: int, other: int, number: int) -> None:
        world = self.world
        world.tally.messages += 1
        _, req = self.asked[number]
        (decision,) = self.owners[other].request_for_zone("h", number, req, world.now)
        if isinstance(decision, Declined):
            world.at(world.now + ACROSS_S, self._take_back, zone, other, number)
        else:
            world.at(world.now + ACROSS_S, self._send, other, decision)

    def _take_back(self, zone: int, other: int, number: int) -> None:
        _, req = self.asked[number]
        owner = self.owners[zone]
        now = self.world.now
        self._carry_out(zone, owner.take_back("h", number, req, str(other), now))

    def _send(self, zone: int, granted: Granted) -> None:
        world = self.world
        _, req = self.asked.pop(granted.number)
        replica = world.replicas[granted.offer.id]

        def _end() -> None:
            world.tally.messages += 1
            released = self.owners[zone].release("h", granted.number, world.now)
            self._carry_out(zone, released)

        if not world.send(replica, req.due_at, _end):
            self.lost.add(replica.id)
            self._update(zone)
            _end()
            self._ask_again(replica, req)

    def _ask_again(self, replica: Replica, req: SlotRequest) -> None:
        """Ask for another slot, as a target that is lost turned the request away."""
        if len(req.avoid) < MAX_TRIES:
            req = replace(req, avoid=req.avoid | {replica.id})
            number = next(self.numbers)
            self.asked[number] = (replica.zone, req)
            self.world.tally.messages += 1
            self._request(replica.zone, number, req)
        else:
            self.world.refuse(replica.zone, self._count_granted)


def main() -> None:
    """Print a line for each size and way."""
    print("python -m benchmarks.slot_sharing")
    print(
        f"{'hosts':>5} {'way':12} {'in time':>8} {'refused':>8} {'wrongly':>8} "
        f"{'over full':>9} {'over cold':>9} {'messages a host and s':>21}"
    )
    ways = {"counts": Counts, "two choices": TwoChoices, "owners": Owners}
    for hosts, zones in SIZES:
        for name, way in ways.items():
            tally = World(hosts, zones, seed=1).play(way())
            seconds = DURATION_S + DEADLINE_S
            print(
                f"{hosts:5} {name:12} {tally.in_time / tally.asked:8.3f} "
                f"{tally.refused / tally.asked:8.3f} "
                f"{tally.refused_with_free_slot / tally.asked:8.3f} "
                f"{tally.over_full / max(1, tally.sent):9.3f} {tally.over_cold:9} "
                f"{tally.messages / hosts / seconds:21.1f}"
            )


if __name__ == "__main__":
    main()
