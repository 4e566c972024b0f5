"""Model checks of the fleet: the very classes that run, not a copy of them.

The lease and the inquiry are enumerated and walked (`lease_model`), whole fleets are walked by failures
(`fleet_walk`). Faults planted in subclasses must each be found, or the checks are worth nothing."""

from __future__ import annotations

from typing import Any

from ..fleet.fleet import Fleet
from ..fleet.versions import Artifact, Version, VersionRegistry
from .fleet_walk import IN_FLEETS, walks
from .lease_faults import IN_THE_LEASE
from .lease_model import Kinds, Stops, stops_walked

__all__ = ["IN_FLEETS", "IN_THE_LEASE", "Kinds", "Stops", "backwards", "figures", "stops_walked", "walks"]

QUICK_STATES, FULL_STATES = 15_000, 150_000
QUICK_STOP_WALKS, FULL_STOP_WALKS = 400, 12_000
QUICK_FLEETS, FULL_FLEETS = range(2), range(24)  # seeds
FLEET_SIZE, FAILURES = 4, 6
PLANTED_STOP_WALKS, PLANTED_FLEETS = 20_000, range(40)


class Backwards(VersionRegistry):
    """A book that takes what is older."""

    def put_in_force(self, artifact: Artifact, version: Version, by_source: bool = True) -> bool:
        self.in_force[artifact] = version
        return True


def backwards() -> bool:
    """Whether the check of versions sees a book that takes what is older."""
    found = []
    for kind in (VersionRegistry, Backwards):
        registry = kind("d")
        registry.put_in_force(Artifact.LIST, Version(0, 5, "aa"))
        registry.put_in_force(Artifact.LIST, Version(0, 4, "bb"))
        found.append(registry.in_force[Artifact.LIST].number)
    return found == [5, 4]


def figures(quick: bool) -> dict[str, Any]:
    """States looked at, violations, planted faults and how many were found; ready for JSON."""
    stops = Stops(Kinds(), 3).search(QUICK_STATES if quick else FULL_STATES)
    walked, broken = stops_walked(Kinds(), QUICK_STOP_WALKS if quick else FULL_STOP_WALKS)
    seen, wrong = walks(Fleet, QUICK_FLEETS if quick else FULL_FLEETS, FLEET_SIZE, FAILURES)
    in_fleets = IN_FLEETS[:1] if quick else IN_FLEETS
    missed = missed_in_the_lease() + missed_in_fleets(in_fleets)
    missed += [] if backwards() else [Backwards.__name__]
    planted = len(IN_THE_LEASE) + len(in_fleets) + 1
    return {
        "states": stops.states + walked + seen,
        "violations": len(stops.violated) + bool(broken) + sum(wrong.values()),
        "planted": planted,
        "planted_found": planted - len(missed),
        "depth": stops.depth,
        "walks": dict(wrong),
        "missed": missed,
    }


def missed_in_the_lease() -> list[str]:
    """Planted faults of the lease that no walk finds."""
    missed = [kinds for kinds in IN_THE_LEASE if not stops_walked(kinds, PLANTED_STOP_WALKS)[1]]
    return [
        next(kind.__name__ for kind, usual in zip(kinds, Kinds(), strict=True) if kind is not usual)
        for kinds in missed
    ]


def missed_in_fleets(in_fleets: tuple[type[Fleet], ...]) -> list[str]:
    """Planted faults of whole fleets that no walk finds."""
    return [made.__name__ for made in in_fleets if not walks(made, PLANTED_FLEETS, FLEET_SIZE, FAILURES)[1]]
