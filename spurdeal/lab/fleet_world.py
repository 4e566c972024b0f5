"""Simulation of a fleet in virtual time: the modules of `spurdeal.fleet` on lossy network links.

Links lose, delay and repeat datagrams and can be cut. A run depends only on one event heap and one seed, so
that it can be repeated byte for byte. Times are in ms.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..fleet.fleet import TICK, Fleet, FleetSettings, SharedSettings
from ..fleet.members import Address
from ..fleet.versions import Artifact, Row, Version, list_digest
from ..vrrp.sealed import Keys

KEYS = Keys({1: b"a key of the laboratory"})
Rows = dict[str, Row]
SOURCE_INTERVAL = 200.0  # ms between two queries of the name service
SHARED = SharedSettings()
UNIX_START = 1_790_000_000_000.0  # ms: Unix time at virtual time 0


def engines(count: int, draining: int = -1) -> Rows:
    """The rows of a list of `count` engines, of which one may be draining."""
    return {
        f"s-{number}": (
            f"s-{number}",
            f"127.9.{number // 250}.{number % 250 + 1}",
            7001,
            "east",
            "std",
            number % 4,
            1 if number == draining else 2,
            1.0,
            0,
        )
        for number in range(count)
    }


@dataclass(slots=True, eq=False)
class Node:
    """One dispatcher, its clocks, and its name service.

    Attributes:
        life: Number of its current start; 0 while it is down.
        in_force_since: When each list version came into force.
    """

    name: str
    address: Address
    fleet: Fleet
    life: int = 0
    paused_until: float = 0.0
    clock_offset: float = 0.0  # of its system clock; the clock that stamps are made of does not step
    source_answers: bool = True  # whether the name service answers
    stale_source: Version | None = None  # the version that the name service returns instead of the newest
    waiting: list[tuple[Address, bytes]] = field(default_factory=list)
    in_force_since: dict[Version, float] = field(default_factory=dict)


class World:
    """The simulated dispatchers, the links between them, and the event heap."""

    def __init__(
        self,
        count: int,
        seed: int,
        shared: SharedSettings = SHARED,
        seeds: int = 2,
        engine_count: int = 40,
        fleet_factory: Callable[..., Fleet] = Fleet,
    ) -> None:
        self.chance, self.now, self.shared, self.fleet_factory = (
            random.Random(seed),
            0.0,
            shared,
            fleet_factory,
        )
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.counter = 0
        self.trace = hashlib.sha256()
        self.counts: Counter[str] = Counter()
        self.loss, self.repeat, self.delay = 0.0, 0.0, 1.0
        self.cuts: set[tuple[str, str]] = set()  # (sender, receiver)
        self.engines = engine_count
        self.rows = engines(engine_count)
        self.newest = Version(0, 1, list_digest(self.rows))
        self.lists: dict[Version, Rows] = {self.newest: self.rows}
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[Address, str] = {}
        self.log: list[tuple[float, str, str, dict[str, Any]]] = []
        self.seeds = {f"d{number}": self.address_of(number) for number in range(min(seeds, count))}
        for number in range(count):
            self.add(number)

    @staticmethod
    def address_of(number: int) -> Address:
        """The address of a dispatcher, by its number."""
        return f"127.8.{number // 250}.{number % 250 + 1}", 7114

    def add(self, number: int) -> Node:
        """Add and start a dispatcher."""
        name, address = f"d{number}", self.address_of(number)
        node = Node(name, address, self.fleet(name, address))
        self.nodes[name], self.by_address[address] = node, name
        self.start(node)
        return node

    def fleet(self, name: str, address: Address) -> Fleet:
        """Create the fleet object of a dispatcher that starts now."""
        seeds = {each: at for each, at in self.seeds.items() if each != name}
        return self.fleet_factory(
            FleetSettings(name, address, seeds, self.shared, KEYS),
            random.Random(self.chance.getrandbits(64)),
            lambda version, rows: self.record_bring_up(name, version),
            self.now,
            self.unix(None),
        )

    def start(self, node: Node) -> None:
        """Start a dispatcher: it reads the list and schedules its timers at random offsets."""
        node.life = self.next()
        version = node.stale_source or self.newest
        node.fleet.put_in_force(Artifact.LIST, version, self.lists[version])
        node.in_force_since[version] = self.now
        self.at(self.now + self.chance.uniform(0.0, TICK), self.tick, node, node.life)
        self.at(self.now + self.chance.uniform(0.0, SOURCE_INTERVAL), self.ask_source, node, node.life)

    def unix(self, node: Node | None) -> float:
        """The Unix time in ms; also passes the clock offset on to the dispatcher's fleet object."""
        if node is not None:
            node.fleet.system_time_offset = node.clock_offset
        return UNIX_START + self.now

    # Virtual time.

    def next(self) -> int:
        """The next number of a sequence."""
        self.counter += 1
        return self.counter

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; calls of the same moment run in the order in which they were scheduled."""
        heapq.heappush(self.heap, (when, self.next(), call, arguments))

    def run(self, ms: float) -> None:
        """Advance the virtual time and run the calls that fall due."""
        until = self.now + ms
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.heap)
            call(*arguments)
        self.now = until

    def run_until(self, holds: Callable[[], bool], timeout: float, step: float = 20.0) -> float | None:
        """Run until a condition holds: the time it took, or None if it does not hold within `timeout`."""
        began = self.now
        while not holds():
            if self.now - began >= timeout:
                return None
            self.run(step)
        return self.now - began

    def tick(self, node: Node, life: int) -> None:
        """Run a dispatcher's timer; during a pause, postpone it."""
        if life != node.life:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until, self.tick, node, life)
            return
        node.fleet.tick(self.now, self.unix(node))
        self.flush(node)
        self.at(self.now + TICK, self.tick, node, life)

    def ask_source(self, node: Node, life: int) -> None:
        """Query the name service for a dispatcher, periodically."""
        if life != node.life:
            return
        self.at(self.now + SOURCE_INTERVAL, self.ask_source, node, life)
        if node.source_answers and self.now >= node.paused_until:
            node.fleet.source_answered(self.now)
            version = node.stale_source or self.newest
            if node.fleet.put_in_force(Artifact.LIST, version, self.lists[version]):
                node.in_force_since[version] = self.now

    def record_bring_up(self, name: str, version: Version) -> None:
        """Record that a dispatcher got a list version from a peer."""
        self.nodes[name].in_force_since[version] = self.now
        self.counts["brought_up"] += 1

    # Datagrams.

    def flush(self, node: Node) -> None:
        """Log a dispatcher's events, and put its datagrams on the links."""
        out, node.fleet.out = node.fleet.out, []
        for event in node.fleet.events:
            self.log.append((self.now, node.name, event.what, event.fields))
            self.trace.update(f"{self.now:.6f} {node.name} {event}\n".encode())
        node.fleet.events.clear()
        for address, datagram in out:
            self.counts["datagrams"] += 1
            self.counts["bytes"] += len(datagram)
            self.counts["largest"] = max(self.counts["largest"], len(datagram))
            self.trace.update(datagram)
            to = self.by_address.get(address)
            if to is None or (node.name, to) in self.cuts or self.chance.random() < self.loss:
                continue
            for _ in range(2 if self.chance.random() < self.repeat else 1):
                when = self.now + 0.2 + self.delay * self.chance.random()
                self.at(when, self.deliver, to, node.address, datagram)

    def deliver(self, to: str, sender: Address, datagram: bytes) -> None:
        """Hand a datagram to a dispatcher; after its pause, if it is paused."""
        node = self.nodes[to]
        if not node.life:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until + 0.01, self.deliver, to, sender, datagram)
            return
        node.fleet.receive(self.now, self.unix(node), sender, datagram)
        self.flush(node)

    # Events.

    def release(self, draining: int = -1) -> Version:
        """Release a new list version, which the name service returns from now on."""
        self.rows = engines(self.engines, draining)
        self.newest = Version(0, self.newest.number + 1, list_digest(self.rows))
        self.lists[self.newest] = self.rows
        return self.newest

    def cut(self, one: set[str], two: set[str]) -> None:
        """Cut all links between two sets of dispatchers, in both directions."""
        self.cuts |= {(a, b) for a in one for b in two} | {(b, a) for a in one for b in two}

    def pause(self, name: str, ms: float) -> None:
        """Pause a dispatcher's process."""
        self.nodes[name].paused_until = self.now + ms

    def kill(self, name: str) -> None:
        """Stop a dispatcher without notice."""
        self.nodes[name].life = 0

    def restart(self, name: str) -> None:
        """Start a dispatcher anew, without its memory."""
        node = self.nodes[name]
        node.fleet = self.fleet(name, node.address)
        node.in_force_since.clear()
        self.start(node)

    def leave(self, name: str) -> None:
        """Let a dispatcher leave the fleet and announce it."""
        node = self.nodes[name]
        node.fleet.leave(self.now, self.unix(node))
        self.flush(node)

    def all_have(self, version: Version) -> bool:
        """Whether that list version has come into force on all live dispatchers."""
        return all(version in node.in_force_since for node in self.nodes.values() if node.life)

    def introduce(self) -> None:
        """Make all members known to all, as long after a start, with no gossip pending."""
        records = [node.fleet.members.own for node in self.nodes.values()]
        for node in self.nodes.values():
            members = node.fleet.members
            for record in records:
                if record.name != node.name:
                    members.set_record(self.now, record, node.name)
            members.gossip.clear()
            members.changes.clear()
            node.fleet.synced = True

    def standings(self) -> Counter[str]:
        """The number of live dispatchers by standing."""
        return Counter(node.fleet.tracker.standing.name for node in self.nodes.values() if node.life)
