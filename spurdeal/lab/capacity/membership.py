"""Membership and leases: what a member costs while nothing happens, by members, in virtual time.

The fleet's modules run as they are. Processor time is that of the process that runs all members, the world
between them with it."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ...fleet.members import MAX_MEMBERS
from ..fleet_world import World
from . import design
from .fit import Form
from .measure import TRIES, require_memory, resident_kb, sample
from .records import Limit, Measure, Role, Sample, quantity
from .workers import WORKERS, each_in_its_own

SIZES = (50, 100, 200, 400, 500)
QUICK_SIZES = (6, 8, 10, 12, 16)
SEED = 17
JOIN_WITHIN = 20_000.0  # ms
SETTLE, WINDOW = 1_000.0, 500.0  # ms
KB_PER_RECORD = 2.5  # of one member's view of another: a generous bound, for the refusal


@dataclass(frozen=True, slots=True)
class Idle:
    """What one member costs at one size."""

    cpu: Sample
    sent: Sample
    memory: Sample


class NeverJoined(Exception):
    """Not all members held a lease in time."""


def settled(members: int) -> World:
    """A fleet in which all know all and each holds its lease."""
    world = World(members, SEED)
    world.introduce()
    if world.run_until(lambda: world.standings() == {"CURRENT": members}, JOIN_WITHIN) is None:
        raise NeverJoined(f"{members} members: {dict(world.standings())}")
    world.run(SETTLE)
    return world


def idle(members: int) -> Idle:
    """Medians of several windows, a member's part of each."""
    before = resident_kb()
    world = settled(members)
    memory = (resident_kb() - before) / members
    cpu, sent = [], []
    for _ in range(TRIES):
        began, bytes_before = time.process_time_ns(), world.counts["bytes"]
        world.run(WINDOW)
        seconds = WINDOW / 1000 * members
        cpu.append((time.process_time_ns() - began) / 1000 / seconds)
        sent.append((world.counts["bytes"] - bytes_before) / seconds)
    return Idle(sample(cpu), sample(sent), Sample(memory))


def roles(sizes: Sequence[int], say: Callable[[str], None]) -> list[Role]:
    """Membership and leases."""
    require_memory(WORKERS * max(sizes) ** 2 * KB_PER_RECORD, f"a fleet of {max(sizes)} members")
    say(f"membership: {sizes} members, virtual time")
    found = each_in_its_own(idle, [(size,) for size in sizes])
    return [
        Role(
            "membership and leases",
            "members",
            "Fleet, spurdeal/fleet/fleet.py; Members, members.py; Lease and Grantor, lease.py",
            "a record, a claim and a session of each member",
            "a probe and its answer each period, three renewals a lease with each grantor, tables compared "
            "every ten periods",
            (
                quantity(
                    Measure.CPU,
                    "us a second",
                    Form.LOG,
                    sizes,
                    [each.cpu for each in found],
                    design.DISPATCHERS,
                    design.CONTROL_CPU_US_PER_S,
                ),
                quantity(
                    Measure.BYTES,
                    "bytes a second",
                    Form.LOG,
                    sizes,
                    [each.sent for each in found],
                    design.DISPATCHERS,
                    design.CONTROL_BYTES_PER_S,
                ),
                quantity(
                    Measure.MEMORY,
                    "KB a member",
                    Form.LINEAR,
                    sizes,
                    [each.memory for each in found],
                    design.DISPATCHERS,
                    design.CONTROL_MEMORY_KB,
                ),
            ),
            (Limit("members within MOST_MEMBERS", MAX_MEMBERS, design.DISPATCHERS),),
            (
                "the design's size lies past MOST_MEMBERS: its figures are extrapolated and could not be run",
                "virtual time; bytes are payload, without IP and UDP headers",
            ),
        )
    ]
