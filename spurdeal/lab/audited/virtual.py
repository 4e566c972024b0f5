"""Measurements without processes: the fleet in virtual time, malformed datagrams, and the cost of a stamp."""

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
from ..percentiles import spread

LARGE = 100  # dispatchers above which all members know each other from the start
MAX_JOIN_TIME, MAX_SPREAD_TIME = 20_000.0, 10_000.0  # ms
MEASURED_TIME = 2.0  # s over which traffic and CPU use are measured
KINDS_OF_MALFORMED = 5
MAX_NOISE_LENGTH = 1400  # bytes


def simulate_spread(size: int, quick: bool) -> dict[str, Any]:
    """Measure how fast a list spreads from one dispatcher, and the traffic and CPU use of the fleet."""
    world = World(size, 17)
    large = size > LARGE
    if large:  # gossip about so many starts would take a quarter of a minute
        world.introduce()
    joined = world.run_until(lambda: world.standings() == {"CURRENT": size}, MAX_JOIN_TIME)
    world.run(1000.0 if large else 8000.0)
    before, started_at = world.counts["bytes"], time.process_time()
    world.run(MEASURED_TIME * 1000)
    used = time.process_time() - started_at
    sent = world.counts["bytes"] - before
    times = [ms for change in range(1 if large else 3) for ms in spread_times(world, change)]
    return {
        "dispatchers": size,
        "all_know_all_at_first": large,
        "current_ms": joined,
        "bytes_per_s": round(sent / MEASURED_TIME / size),
        "cpu_share": round(used / MEASURED_TIME / size, 5),
        "largest_datagram": world.counts["largest"],
        "spread_ms": spread([max(0.1, each) for each in times]),
    }


def spread_times(world: World, informed: int) -> list[float]:
    """Return for each dispatcher the ms until it has a new list that only one gets from the name server."""
    version = world.release(informed + 1)
    for place, node in enumerate(world.nodes.values()):
        node.source_answers = place == informed
    at = world.now
    world.run_until(partial(world.all_have, version), MAX_SPREAD_TIME)
    return [node.in_force_since.get(version, math.inf) - at for node in world.nodes.values()]


def is_reproducible() -> bool:
    """Tell whether two runs with one seed send the same bytes."""
    traces = set()
    for _ in range(2):
        world = World(24, 5)
        world.loss, world.delay = 0.05, 20.0
        world.run(5000.0)
        traces.add(world.trace.hexdigest())
    return len(traces) == 1


def try_malformed(count: int) -> dict[str, int]:
    """Send truncated, corrupted, replayed, random and forged datagrams, and count those accepted."""
    world = World(4, 3)
    world.run(4000.0)
    fleet, peer, chance = world.nodes["d0"].fleet, world.nodes["d1"].fleet, random.Random(9)
    valid: list[bytes] = []
    for _ in range(40):
        peer.messenger.ping(world.now, world.unix(None), "d0", RequestKind.RENEW)
        _, datagram = peer.out[-1]
        valid.append(datagram)
        fleet.receive(world.now, world.unix(None), peer.address, datagram)
    fleet.out.clear()
    forger = Session("d1", "d0", 5, type(KEYS)({1: b"x" * 16}))
    before, refused_before = protected_state(fleet), refused_count(fleet)
    for number in range(count):
        datagram = make_malformed(number, chance.choice(valid), forger, chance)
        fleet.receive(world.now, world.unix(None), peer.address, datagram)
        fleet.out.clear()
    refused = refused_count(fleet) - refused_before
    return {
        "malformed_tried": count,
        "malformed_accepted": count - refused + (before != protected_state(fleet)),
    }


def protected_state(fleet: Fleet) -> tuple[object, ...]:
    """Return the state that no malformed datagram may change."""
    return fleet.tracker.standing, dict(fleet.members.others), dict(fleet.registry.claims)


def refused_count(fleet: Fleet) -> int:
    """Return the number of datagrams refused."""
    return sum(count for name, count in fleet.counts.items() if name.startswith("drop_"))


def make_malformed(number: int, valid: bytes, forger: Session, chance: random.Random) -> bytes:
    """Make a datagram that must be refused, of each kind in turn; every fifth is a replay."""
    kind = number % KINDS_OF_MALFORMED
    if kind == 0:
        return valid[: chance.randrange(len(valid))]
    if kind == 1:
        flipped = bytearray(valid)
        flipped[chance.randrange(len(flipped))] ^= 1 << chance.randrange(8)
        return bytes(flipped)
    if kind == 3:
        return chance.randbytes(number % MAX_NOISE_LENGTH)
    if kind == 4:
        return forger.write(0.0, {"k": "p", "q": number})
    return valid


def stamp_cost(times: int = 20_000) -> float:
    """Return the CPU time in us that auditing adds to a send: its record, and its batch's frame and write."""
    folder = Path(tempfile.mkdtemp(prefix="spurdeal-lab-"))
    pages, clock = PageBuilder(), HybridClock(0.0)
    with open(folder / "stamped", "wb", buffering=0) as file:
        started_at = time.process_time()
        for number in range(times):
            pages.add_attempt(b"0123456789abcdef", 0, "s-7", 2)
            data = pages.frame(clock.stamp(float(number)), 3)
            file.write(data)
            pages.on_written(data, True)
        used = time.process_time() - started_at
    shutil.rmtree(folder)
    return round(used / times * 1e6, 2)
