"""Who was shut out during a run, and whether more were than may be."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from ..rig import Rig
from .faults import Span


class Moment(NamedTuple):
    """A dispatcher's standing has changed. at: Unix s."""

    at: float
    name: str
    out: bool


def shut_out(rig: Rig, allowed: Sequence[Span]) -> dict[str, Any]:
    """How many were shut out, how many without need, and the greatest share of the fleet at one moment.

    Args:
        rig: The processes whose logs are read.
        allowed: When a dispatcher may be out.
    """
    moments = [
        Moment(at, name, pairs["standing"] == "shut")
        for name in rig.processes
        for at, pairs in rig.lines(name, "fleet_standing")
    ]
    out = [moment for moment in moments if moment.out]
    return {
        "shut_out": len(out),
        "shut_out_wrongly": sum(not within(moment, allowed) for moment in out),
        "mass_shut_out_most": round(most_at_once(moments) / rig.count, 3),
    }


def within(moment: Moment, spans: Sequence[Span]) -> bool:
    """Whether it lies in one of that dispatcher's spans."""
    return any(moment.name == name and began <= moment.at <= ended for name, began, ended in spans)


def most_at_once(moments: Sequence[Moment]) -> int:
    """How many were out at once, at the most."""
    now_out: set[str] = set()
    most = 0
    for _, name, out in sorted(moments):
        (now_out.add if out else now_out.discard)(name)
        most = max(most, len(now_out))
    return most
