"""Membership protocol and leases: the cost per member of an idle fleet, by its size, in virtual time.

The modules of the fleet run unchanged. The CPU time is that of the process that runs all members, the
simulated network included.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ...fleet.members import MAX_MEMBERS
from ..fleet_world import World
from . import design
from .fit import Form
from .measure import REPETITIONS, require_memory, resident_kb, sample
from .records import Limit, Measure, Role, Sample, quantity
from .workers import WORKERS, run_in_fresh_processes

SIZES = (50, 100, 200, 400, 500)
QUICK_SIZES = (6, 8, 10, 12, 16)
SEED = 17
JOIN_TIMEOUT_MS = 20_000.0
SETTLE_MS, WINDOW_MS = 1_000.0, 500.0
KB_PER_RECORD = 2.5  # of one member's record of another: an upper bound, for the check of the memory


@dataclass(frozen=True, slots=True)
class IdleCost:
    """The cost per member at one size: CPU time and bytes sent per second, and memory."""

    cpu: Sample
    sent: Sample
    memory: Sample


class JoinTimeout(Exception):
    """Raised if not all members hold a lease within JOIN_TIMEOUT_MS."""


def settled_world(members: int) -> World:
    """Return a fleet in which all members know each other and hold their leases."""
    world = World(members, SEED)
    world.introduce()
    if world.run_until(lambda: world.standings() == {"CURRENT": members}, JOIN_TIMEOUT_MS) is None:
        raise JoinTimeout(f"{members} members: {dict(world.standings())}")
    world.run(SETTLE_MS)
    return world


def measure_idle(members: int) -> IdleCost:
    """Measure the cost per member of an idle fleet; medians of several windows."""
    resident_before = resident_kb()
    world = settled_world(members)
    memory = (resident_kb() - resident_before) / members
    cpu, sent = [], []
    for _ in range(REPETITIONS):
        cpu_before, bytes_before = time.process_time_ns(), world.counts["bytes"]
        world.run(WINDOW_MS)
        seconds = WINDOW_MS / 1000 * members
        cpu.append((time.process_time_ns() - cpu_before) / 1000 / seconds)
        sent.append((world.counts["bytes"] - bytes_before) / seconds)
    return IdleCost(sample(cpu), sample(sent), Sample(memory))


def roles(sizes: Sequence[int], report_progress: Callable[[str], None]) -> list[Role]:
    """Measure membership and leases."""
    require_memory(WORKERS * max(sizes) ** 2 * KB_PER_RECORD, f"a fleet of {max(sizes)} members")
    report_progress(f"membership: {sizes} members, virtual time")
    costs = run_in_fresh_processes(measure_idle, [(size,) for size in sizes])
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
                    [each.cpu for each in costs],
                    design.DISPATCHERS,
                    design.CONTROL_CPU_US_PER_S,
                ),
                quantity(
                    Measure.BYTES,
                    "bytes a second",
                    Form.LOG,
                    sizes,
                    [each.sent for each in costs],
                    design.DISPATCHERS,
                    design.CONTROL_BYTES_PER_S,
                ),
                quantity(
                    Measure.MEMORY,
                    "KB a member",
                    Form.LINEAR,
                    sizes,
                    [each.memory for each in costs],
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
