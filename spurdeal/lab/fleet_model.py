"""Model checks of the fleet, run on the production classes themselves.

The lease and the inquiry are enumerated and explored by random schedules (`lease_model`); whole fleets are
run through random failures (`fleet_walk`). Every planted fault (a deliberately broken subclass) must be
found, or the checks prove nothing.
"""

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
    """Planted fault: a registry that accepts older versions."""

    def put_in_force(self, artifact: Artifact, version: Version, by_source: bool = True) -> bool:
        self.in_force[artifact] = version
        return True


def backwards() -> bool:
    """Whether the check tells a registry that accepts older versions from the production class."""
    found = []
    for kind in (VersionRegistry, Backwards):
        registry = kind("d")
        registry.put_in_force(Artifact.LIST, Version(0, 5, "aa"))
        registry.put_in_force(Artifact.LIST, Version(0, 4, "bb"))
        found.append(registry.in_force[Artifact.LIST].number)
    return found == [5, 4]


def figures(quick: bool) -> dict[str, Any]:
    """Run all checks and return states, violations and planted faults found, ready for JSON."""
    stops = Stops(Kinds(), 3).search(QUICK_STATES if quick else FULL_STATES)
    walk_steps, lease_trace = stops_walked(Kinds(), QUICK_STOP_WALKS if quick else FULL_STOP_WALKS)
    fleet_states, fleet_violations = walks(
        Fleet, QUICK_FLEETS if quick else FULL_FLEETS, FLEET_SIZE, FAILURES
    )
    in_fleets = IN_FLEETS[:1] if quick else IN_FLEETS
    missed = missed_in_the_lease() + missed_in_fleets(in_fleets)
    missed += [] if backwards() else [Backwards.__name__]
    planted = len(IN_THE_LEASE) + len(in_fleets) + 1
    return {
        "states": stops.states + walk_steps + fleet_states,
        "violations": len(stops.violated) + bool(lease_trace) + sum(fleet_violations.values()),
        "planted": planted,
        "planted_found": planted - len(missed),
        "depth": stops.depth,
        "walks": dict(fleet_violations),
        "missed": missed,
    }


def missed_in_the_lease() -> list[str]:
    """Names of the planted faults of the lease that no schedule finds."""
    missed = [kinds for kinds in IN_THE_LEASE if not stops_walked(kinds, PLANTED_STOP_WALKS)[1]]
    return [
        next(kind.__name__ for kind, default in zip(kinds, Kinds(), strict=True) if kind is not default)
        for kinds in missed
    ]


def missed_in_fleets(in_fleets: tuple[type[Fleet], ...]) -> list[str]:
    """Names of the planted faults of whole fleets that no schedule finds."""
    return [
        fleet_type.__name__
        for fleet_type in in_fleets
        if not walks(fleet_type, PLANTED_FLEETS, FLEET_SIZE, FAILURES)[1]
    ]
