"""What needs no processes: the fleet in virtual time, malformed datagrams, and the cost of a stamp."""

from __future__ import annotations

import math
import random
import shutil
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Any

from ...fleet.audit import PageBuilder
from ...fleet.fleet import Fleet
from ...fleet.hybrid import HybridClock
from ...fleet.messenger import RequestKind
from ...vrrp.sealed import Session
from ..fleet_world import KEYS, World
from ..spread import spread

LARGE = 100  # dispatchers: with more, all know all at first
JOIN_MOST, SPREAD_MOST = 20_000.0, 10_000.0  # ms
MEASURED = 2.0  # seconds
KINDS_OF_MALFORMED = 5
LONGEST_NOISE = 1400  # bytes


def in_virtual_time(size: int, quick: bool) -> dict[str, Any]:
    """One size: how fast a list spreads that one alone was told, and what the datagrams cost."""
    world = World(size, 17)
    large = size > LARGE
    if large:  # the news of so many starts would be told for a quarter of a minute
        world.introduce()
    joined = world.run_until(lambda: world.standings() == {"CURRENT": size}, JOIN_MOST)
    world.run(1000.0 if large else 8000.0)
    before, began = world.counts["bytes"], time.process_time()
    world.run(MEASURED * 1000)
    used = time.process_time() - began
    sent = world.counts["bytes"] - before
    times = [ms for change in range(1 if large else 3) for ms in spread_times(world, change)]
    return {
        "dispatchers": size,
        "all_know_all_at_first": large,
        "current_ms": joined,
        "bytes_per_s": round(sent / MEASURED / size),
        "cpu_share": round(used / MEASURED / size, 5),
        "largest_datagram": world.counts["largest"],
        "spread_ms": spread([max(0.1, each) for each in times]),
    }


def spread_times(world: World, teller: int) -> list[float]:
    """For each dispatcher, ms until it has a new list that the name service tells one of them alone."""
    version = world.release(teller + 1)
    for place, node in enumerate(world.nodes.values()):
        node.source_answers = place == teller
    at = world.now
    world.run_until(partial(world.all_have, version), SPREAD_MOST)
    return [node.in_force_since.get(version, math.inf) - at for node in world.nodes.values()]


def same_twice() -> bool:
    """Whether two runs of one seed send the same bytes."""
    traces = set()
    for _ in range(2):
        world = World(24, 5)
        world.loss, world.delay = 0.05, 20.0
        world.run(5000.0)
        traces.add(world.trace.hexdigest())
    return len(traces) == 1


def malformed(tries: int) -> dict[str, int]:
    """Datagrams that nobody should take: cut, spoilt, replayed, random and forged ones."""
    world = World(4, 3)
    world.run(4000.0)
    fleet, peer, chance = world.nodes["d0"].fleet, world.nodes["d1"].fleet, random.Random(9)
    good: list[bytes] = []
    for _ in range(40):
        peer.messenger.ping(world.now, world.unix(None), "d0", RequestKind.RENEW)
        _, datagram = peer.out[-1]
        good.append(datagram)
        fleet.receive(world.now, world.unix(None), peer.address, datagram)
    fleet.out.clear()
    forger = Session("d1", "d0", 5, type(KEYS)({1: b"x" * 16}))
    before, dropped = state_of(fleet), drops(fleet)
    for number in range(tries):
        datagram = spoilt(number, chance.choice(good), forger, chance)
        fleet.receive(world.now, world.unix(None), peer.address, datagram)
        fleet.out.clear()
    refused = drops(fleet) - dropped
    return {"malformed_tried": tries, "malformed_accepted": tries - refused + (before != state_of(fleet))}


def state_of(fleet: Fleet) -> tuple[object, ...]:
    """What no malformed datagram may change."""
    return fleet.tracker.standing, dict(fleet.members.others), dict(fleet.registry.claims)


def drops(fleet: Fleet) -> int:
    """How many datagrams it has refused."""
    return sum(count for name, count in fleet.counts.items() if name.startswith("drop_"))


def spoilt(number: int, good: bytes, forger: Session, chance: random.Random) -> bytes:
    """A datagram that is not to be taken, of each kind in turn; each fifth is a replay."""
    kind = number % KINDS_OF_MALFORMED
    if kind == 0:
        return good[: chance.randrange(len(good))]
    if kind == 1:
        flipped = bytearray(good)
        flipped[chance.randrange(len(flipped))] ^= 1 << chance.randrange(8)
        return bytes(flipped)
    if kind == 3:
        return chance.randbytes(number % LONGEST_NOISE)
    if kind == 4:
        return forger.write(0.0, {"k": "p", "q": number})
    return good


def stamping(times: int = 20_000) -> float:
    """us of CPU for what a request's send adds: its record, and its turn's frame with one write."""
    folder = Path(tempfile.mkdtemp(prefix="spurdeal-lab-"))
    pages, clock = PageBuilder(), HybridClock(0.0)
    with open(folder / "stamped", "wb", buffering=0) as file:
        began = time.process_time()
        for number in range(times):
            pages.add_attempt(b"0123456789abcdef", 0, "s-7", 2)
            data = pages.frame(clock.stamp(float(number)), 3)
            file.write(data)
            pages.on_written(data, True)
        used = time.process_time() - began
    shutil.rmtree(folder)
    return round(used / times * 1e6, 2)
