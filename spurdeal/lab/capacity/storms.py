"""Storms of the fleet in virtual time: restarts, a zone that returns, two halves that heal."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from ..fleet_world import World
from .measure import require_memory
from .membership import KB_PER_RECORD, settled
from .records import rounded
from .workers import WORKERS, each_in_its_own

SIZE, QUICK_SIZE = 60, 6
ZONE_PART, QUARTER = 9, 4  # one member in nine is of the zone, one in four restarts
CUT_FOR, AWAY_FOR = 15_000.0, 5_000.0  # ms
STEP, WATCH_FOR = 500.0, 15_000.0  # ms; leases are renewed once a step
IDLE_STEPS = 3
QUIET = 1.5  # times the bytes before the storm


@dataclass(frozen=True, slots=True)
class Storm:
    """What was seen of one. Bytes are a second and member; times are ms of virtual time."""

    kind: str
    members: int
    hit: int
    idle_bytes: float
    peak_bytes: float
    mean_bytes: float
    agree_ms: float | None  # None: not within the time that was watched
    quiet_ms: float | None
    not_current_most: int

    def told(self) -> dict[str, Any]:
        """As JSON."""
        return {
            key: rounded(value) if isinstance(value, float) else value for key, value in asdict(self).items()
        }


def agree(world: World) -> bool:
    """All that live hold each other for alive, have one list, and hold their leases."""
    living = {name for name, node in world.nodes.items() if node.life}
    return (
        all(world.nodes[name].fleet.members.live_names == living - {name} for name in living)
        and world.all_have(world.newest)
        and world.standings() == {"CURRENT": len(living)}
    )


def bytes_of_step(world: World) -> float:
    """Runs on by STEP; bytes a second and member meanwhile."""
    before = world.counts["bytes"]
    world.run(STEP)
    return (world.counts["bytes"] - before) / (STEP / 1000) / len(world.nodes)


def idle_of(world: World) -> float:
    """Bytes a second and member while nothing happens."""
    return sum(bytes_of_step(world) for _ in range(IDLE_STEPS)) / IDLE_STEPS


def watch(world: World, kind: str, hit: int, idle_bytes: float) -> Storm:
    """From the moment that the storm begins."""
    began, seen, agreed, quiet, worst = world.now, list[float](), None, None, 0
    while world.now - began < WATCH_FOR and (agreed is None or quiet is None):
        seen.append(bytes_of_step(world))
        worst = max(worst, len(world.nodes) - world.standings()["CURRENT"])
        if agreed is None and agree(world):
            agreed = world.now - began
        if seen[-1] > QUIET * idle_bytes:
            quiet = None
        elif quiet is None:
            quiet = world.now - began
    return Storm(
        kind, len(world.nodes), hit, idle_bytes, max(seen), sum(seen) / len(seen), agreed, quiet, worst
    )


def halves_heal(members: int) -> Storm:
    """Two halves hold each other for gone, and hear each other again."""
    world = settled(members)
    idle_bytes = idle_of(world)
    names = list(world.nodes)
    one, two = set(names[: members // 2]), set(names[members // 2 :])
    world.cut(one, two)
    world.run(CUT_FOR)
    world.cuts.clear()
    return watch(world, "two halves heal", members, idle_bytes)


def restart(members: int, part: int, kind: str, away: float) -> Storm:
    """One member in `part` is killed, away for some time, and started again at one moment."""
    world = settled(members)
    idle_bytes = idle_of(world)
    whom = list(world.nodes)[part - 1 :: part]
    for name in whom:
        world.kill(name)
    world.run(away)
    for name in whom:
        world.restart(name)
    return watch(world, kind, len(whom), idle_bytes)


def storm(kind: str, members: int) -> Storm:
    """One storm by its name."""
    if kind == "two halves heal":
        return halves_heal(members)
    if kind == "one member restarts":
        return restart(members, members, kind, AWAY_FOR)
    if kind == "a zone returns":
        return restart(members, ZONE_PART, kind, AWAY_FOR)
    return restart(members, QUARTER, kind, 0.0)


KINDS = ("two halves heal", "a zone returns", "a quarter restarts at once", "one member restarts")


def storms(sizes: Sequence[int], say: Callable[[str], None]) -> list[dict[str, Any]]:
    """All kinds at each size."""
    require_memory(WORKERS * max(sizes) ** 2 * KB_PER_RECORD, f"a storm of {max(sizes)} members")
    say(f"storms: {sizes} members, virtual time")
    found = each_in_its_own(storm, [(kind, size) for size in sizes for kind in KINDS])
    return [each.told() for each in found]
