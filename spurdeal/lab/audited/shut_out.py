"""Figures of dispatchers that were shut out during a run."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from ..rig import Rig
from .faults import TimeSpan


class StandingChange(NamedTuple):
    """A change of a dispatcher's standing.

    Attributes:
        at: Time in Unix s.
        name: The dispatcher.
        out: Whether it is shut out from then on.
    """

    at: float
    name: str
    out: bool


def shut_out_figures(rig: Rig, allowed: Sequence[TimeSpan]) -> dict[str, Any]:
    """Count the times that dispatchers were shut out, unexpectedly, and at once as a share of the fleet.

    Args:
        rig: The processes whose logs are read.
        allowed: When dispatchers may be shut out.
    """
    changes = [
        StandingChange(at, name, pairs["standing"] == "shut")
        for name in rig.processes
        for at, pairs in rig.lines(name, "fleet_standing")
    ]
    out = [change for change in changes if change.out]
    return {
        "shut_out": len(out),
        "shut_out_wrongly": sum(not is_allowed(change, allowed) for change in out),
        "mass_shut_out_most": round(max_at_once(changes) / rig.count, 3),
    }


def is_allowed(change: StandingChange, spans: Sequence[TimeSpan]) -> bool:
    """Tell whether a change is within one of its dispatcher's spans."""
    return any(
        change.name == name and started_at <= change.at <= ended_at for name, started_at, ended_at in spans
    )


def max_at_once(changes: Sequence[StandingChange]) -> int:
    """Return the greatest number of dispatchers that were shut out at once."""
    currently_out: set[str] = set()
    greatest = 0
    for _, name, out in sorted(changes):
        (currently_out.add if out else currently_out.discard)(name)
        greatest = max(greatest, len(currently_out))
    return greatest
