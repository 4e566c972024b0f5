"""A fleet in virtual time: the modules of `spurdeal.fleet` as they run, on links that lose, delay, repeat and
are cut.

Everything comes from one heap of moments and one seed, so that a run is the same to the byte each time. Times
are ms."""

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
ASK_EVERY = 200.0  # ms between two questions to the name service
TERMS = SharedSettings()
UNIX = 1_790_000_000_000.0


def engines(count: int, draining: int = -1) -> Rows:
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
    """One dispatcher, its clocks, and its name service."""

    name: str
    address: Address
    fleet: Fleet
    life: int = 0
    paused_until: float = 0.0
    unix_off: float = 0.0  # of its system's clock; what stamps are made of does not step
    source: bool = True  # the name service answers it
    source_old: Version | None = None  # and says this, whatever is new
    waiting: list[tuple[Address, bytes]] = field(default_factory=list)
    had: dict[Version, float] = field(default_factory=dict)  # when each list came into force


class World:
    """Dispatchers and what lies between them."""

    def __init__(
        self,
        count: int,
        seed: int,
        terms: SharedSettings = TERMS,
        seeds: int = 2,
        engine_count: int = 40,
        made: Callable[..., Fleet] = Fleet,
    ) -> None:
        self.chance, self.now, self.terms, self.made = random.Random(seed), 0.0, terms, made
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.counter = 0
        self.trace = hashlib.sha256()
        self.counts: Counter[str] = Counter()
        self.loss, self.repeat, self.delay = 0.0, 0.0, 1.0
        self.cuts: set[tuple[str, str]] = set()  # from, to
        self.engines = engine_count
        self.rows = engines(engine_count)
        self.newest = Version(0, 1, list_digest(self.rows))
        self.lists: dict[Version, Rows] = {self.newest: self.rows}
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[Address, str] = {}
        self.log: list[tuple[float, str, str, dict[str, Any]]] = []
        self.seeds = {f"d{number}": self.place(number) for number in range(min(seeds, count))}
        for number in range(count):
            self.add(number)

    @staticmethod
    def place(number: int) -> Address:
        return f"127.8.{number // 250}.{number % 250 + 1}", 7114

    def add(self, number: int) -> Node:
        name, address = f"d{number}", self.place(number)
        node = Node(name, address, self.fleet(name, address))
        self.nodes[name], self.by_address[address] = node, name
        self.start(node)
        return node

    def fleet(self, name: str, address: Address) -> Fleet:
        seeds = {each: at for each, at in self.seeds.items() if each != name}
        return self.made(
            FleetSettings(name, address, seeds, self.terms, KEYS),
            random.Random(self.chance.getrandbits(64)),
            lambda version, rows: self.brought(name, version),
            self.now,
            self.unix(None),
        )

    def start(self, node: Node) -> None:
        node.life = self.next()
        version = node.source_old or self.newest
        node.fleet.put_in_force(Artifact.LIST, version, self.lists[version])
        node.had[version] = self.now
        self.at(self.now + self.chance.uniform(0.0, TICK), self.tick, node, node.life)
        self.at(self.now + self.chance.uniform(0.0, ASK_EVERY), self.ask_source, node, node.life)

    def unix(self, node: Node | None) -> float:
        if node is not None:
            node.fleet.system_time_offset = node.unix_off
        return UNIX + self.now

    # Time.

    def next(self) -> int:
        self.counter += 1
        return self.counter

    def at(self, when: float, call: Callable[..., None], *words: Any) -> None:
        heapq.heappush(self.heap, (when, self.next(), call, words))

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, words = heapq.heappop(self.heap)
            call(*words)
        self.now = until

    def run_until(self, holds: Callable[[], bool], most: float, step: float = 20.0) -> float | None:
        """How long until it holds; None where it does not within `most`."""
        began = self.now
        while not holds():
            if self.now - began >= most:
                return None
            self.run(step)
        return self.now - began

    def tick(self, node: Node, life: int) -> None:
        if life != node.life:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until, self.tick, node, life)
            return
        node.fleet.tick(self.now, self.unix(node))
        self.sent(node)
        self.at(self.now + TICK, self.tick, node, life)

    def ask_source(self, node: Node, life: int) -> None:
        """The name service, asked as the dispatcher does."""
        if life != node.life:
            return
        self.at(self.now + ASK_EVERY, self.ask_source, node, life)
        if node.source and self.now >= node.paused_until:
            node.fleet.source_answered(self.now)
            version = node.source_old or self.newest
            if node.fleet.put_in_force(Artifact.LIST, version, self.lists[version]):
                node.had[version] = self.now

    def brought(self, name: str, version: Version) -> None:
        self.nodes[name].had[version] = self.now
        self.counts["brought_up"] += 1

    # Datagrams.

    def sent(self, node: Node) -> None:
        out, node.fleet.out = node.fleet.out, []
        for told in node.fleet.events:
            self.log.append((self.now, node.name, told.what, told.fields))
            self.trace.update(f"{self.now:.6f} {node.name} {told}\n".encode())
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
                self.at(when, self.arrives, to, node.address, datagram)

    def arrives(self, to: str, source: Address, datagram: bytes) -> None:
        node = self.nodes[to]
        if not node.life:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until + 0.01, self.arrives, to, source, datagram)
            return
        node.fleet.receive(self.now, self.unix(node), source, datagram)
        self.sent(node)

    # What happens to them.

    def release(self, draining: int = -1) -> Version:
        """The list changes; the name service tells it to whom it answers."""
        self.rows = engines(self.engines, draining)
        self.newest = Version(0, self.newest.number + 1, list_digest(self.rows))
        self.lists[self.newest] = self.rows
        return self.newest

    def cut(self, one: set[str], two: set[str]) -> None:
        self.cuts |= {(a, b) for a in one for b in two} | {(b, a) for a in one for b in two}

    def pause(self, name: str, ms: float) -> None:
        self.nodes[name].paused_until = self.now + ms

    def kill(self, name: str) -> None:
        self.nodes[name].life = 0

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        node.fleet = self.fleet(name, node.address)
        node.had.clear()
        self.start(node)

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        node.fleet.leave(self.now, self.unix(node))
        self.sent(node)

    def all_have(self, version: Version) -> bool:
        """Is that list in force at all?"""
        return all(version in node.had for node in self.nodes.values() if node.life)

    def introduce(self) -> None:
        """All know all, as long after a start: no news is left of it."""
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
        return Counter(node.fleet.tracker.standing.name for node in self.nodes.values() if node.life)
