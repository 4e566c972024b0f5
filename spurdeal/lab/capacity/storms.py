"""Storms of membership traffic in virtual time: restarts, a zone that returns, a partition that heals."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from ..fleet_world import World
from .measure import require_memory
from .membership import KB_PER_RECORD, settled_world
from .records import rounded
from .workers import WORKERS, run_in_fresh_processes

SIZE, QUICK_SIZE = 60, 6
ZONE_DIVISOR, QUARTER = 9, 4  # one member in nine belongs to the zone, one in four restarts
CUT_MS, DOWN_MS = 15_000.0, 5_000.0
STEP_MS, OBSERVE_MS = 500.0, 15_000.0  # leases are renewed once per step
IDLE_STEPS = 3
QUIET_FACTOR = 1.5  # traffic up to this multiple of the idle traffic counts as settled


@dataclass(frozen=True, slots=True)
class Storm:
    """The measurement of a storm.

    Attributes:
        kind: The kind of storm.
        members: Number of members.
        hit: Number of members that the fault affects.
        idle_bytes: Bytes per second and member before the storm.
        peak_bytes: Highest bytes per second and member.
        mean_bytes: Mean bytes per second and member.
        agree_ms: Virtual time until the fleet has converged; None if it did not while observed.
        quiet_ms: Virtual time until the traffic has settled; None if it did not while observed.
        not_current_most: Highest number of members without a current lease.
    """

    kind: str
    members: int
    hit: int
    idle_bytes: float
    peak_bytes: float
    mean_bytes: float
    agree_ms: float | None
    quiet_ms: float | None
    not_current_most: int

    def to_json(self) -> dict[str, Any]:
        """Return the storm as a JSON object."""
        return {
            key: rounded(value) if isinstance(value, float) else value for key, value in asdict(self).items()
        }


def has_converged(world: World) -> bool:
    """Return whether all live members see each other alive, have the newest list and hold their leases."""
    living = {name for name, node in world.nodes.items() if node.life}
    return (
        all(world.nodes[name].fleet.members.live_names == living - {name} for name in living)
        and world.all_have(world.newest)
        and world.standings() == {"CURRENT": len(living)}
    )


def run_step(world: World) -> float:
    """Run the fleet for STEP_MS and return the bytes per second and member."""
    before = world.counts["bytes"]
    world.run(STEP_MS)
    return (world.counts["bytes"] - before) / (STEP_MS / 1000) / len(world.nodes)


def measure_idle_bytes(world: World) -> float:
    """Return the bytes per second and member of the idle fleet."""
    return sum(run_step(world) for _ in range(IDLE_STEPS)) / IDLE_STEPS


def observe(world: World, kind: str, hit: int, idle_bytes: float) -> Storm:
    """Observe the fleet from the start of a storm until it has converged and settled, or for OBSERVE_MS."""
    started_at, step_bytes, agree_ms, quiet_ms, most_not_current = world.now, list[float](), None, None, 0
    while world.now - started_at < OBSERVE_MS and (agree_ms is None or quiet_ms is None):
        step_bytes.append(run_step(world))
        most_not_current = max(most_not_current, len(world.nodes) - world.standings()["CURRENT"])
        if agree_ms is None and has_converged(world):
            agree_ms = world.now - started_at
        if step_bytes[-1] > QUIET_FACTOR * idle_bytes:
            quiet_ms = None
        elif quiet_ms is None:
            quiet_ms = world.now - started_at
    return Storm(
        kind,
        len(world.nodes),
        hit,
        idle_bytes,
        max(step_bytes),
        sum(step_bytes) / len(step_bytes),
        agree_ms,
        quiet_ms,
        most_not_current,
    )


def heal_partition(members: int) -> Storm:
    """Cut the fleet into two halves until each holds the other for gone, then heal the partition."""
    world = settled_world(members)
    idle_bytes = measure_idle_bytes(world)
    names = list(world.nodes)
    first_half, second_half = set(names[: members // 2]), set(names[members // 2 :])
    world.cut(first_half, second_half)
    world.run(CUT_MS)
    world.cuts.clear()
    return observe(world, "two halves heal", members, idle_bytes)


def restart(members: int, one_in: int, kind: str, down_ms: float) -> Storm:
    """Kill one member in `one_in`, and restart all killed members at the same moment after `down_ms`."""
    world = settled_world(members)
    idle_bytes = measure_idle_bytes(world)
    restarted = list(world.nodes)[one_in - 1 :: one_in]
    for name in restarted:
        world.kill(name)
    world.run(down_ms)
    for name in restarted:
        world.restart(name)
    return observe(world, kind, len(restarted), idle_bytes)


def run_storm(kind: str, members: int) -> Storm:
    """Run one storm, by its kind."""
    if kind == "two halves heal":
        return heal_partition(members)
    if kind == "one member restarts":
        return restart(members, members, kind, DOWN_MS)
    if kind == "a zone returns":
        return restart(members, ZONE_DIVISOR, kind, DOWN_MS)
    return restart(members, QUARTER, kind, 0.0)


KINDS = ("two halves heal", "a zone returns", "a quarter restarts at once", "one member restarts")


def run_storms(sizes: Sequence[int], report_progress: Callable[[str], None]) -> list[dict[str, Any]]:
    """Run storms of all kinds at each size."""
    require_memory(WORKERS * max(sizes) ** 2 * KB_PER_RECORD, f"a storm of {max(sizes)} members")
    report_progress(f"storms: {sizes} members, virtual time")
    results = run_in_fresh_processes(run_storm, [(kind, size) for size in sizes for kind in KINDS])
    return [each.to_json() for each in results]
