"""Capacity benchmark: the cost of each role by size, extrapolated to the design size, and its report.

A role is one job of the system, such as choosing an engine or renewing leases. Each is measured at several
sizes, a scaling law is fitted, and its value at the size of the design is compared with a budget.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from . import engine_links, engine_list, membership, recorded, request_path, sockets, storms
from .fit import MIN_SIZES
from .measure import MeasurementRefused
from .records import Role
from .report import ranking
from .unserved import UNSERVED

ProgressCallback = Callable[[str], None]
STORMS = "storms"


@dataclass(frozen=True, slots=True)
class Section:
    """Roles that are measured together, and the sizes at which they are measured.

    Attributes:
        roles: Measures the roles at the given sizes.
        sizes: The sizes of a full run.
        quick_sizes: The sizes of a quick run.
        quick_roles: Replaces `roles` in a quick run that differs in more than its sizes.
    """

    roles: Callable[[Sequence[int], ProgressCallback], list[Role]]
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]
    quick_roles: Callable[[Sequence[int], ProgressCallback], list[Role]] | None = None


SECTIONS = {
    "request-path": Section(request_path.roles, request_path.SIZES, request_path.QUICK_SIZES),
    "requests": Section(
        sockets.request_roles,
        sockets.REQUEST_SIZES,
        sockets.QUICK_REQUEST_SIZES,
        partial(sockets.request_roles, requests_per_repetition=sockets.QUICK_REQUESTS_PER_REPETITION),
    ),
    "clients": Section(sockets.idle_roles, sockets.IDLE_SIZES, sockets.QUICK_IDLE_SIZES),
    "links": Section(engine_links.roles, engine_links.SIZES, engine_links.QUICK_SIZES),
    "membership": Section(membership.roles, membership.SIZES, membership.QUICK_SIZES),
    "list": Section(engine_list.roles, engine_list.SIZES, engine_list.QUICK_SIZES),
    "recorded": Section(recorded.roles, recorded.SIZES, recorded.QUICK_SIZES),
}


def select_sections(names: Sequence[str], sizes: Sequence[int]) -> list[str]:
    """Return the sections to run: those named, or all if none are.

    Raises MeasurementRefused for unknown sections and unusable sizes.
    """
    known = [*SECTIONS, STORMS]
    for name in names:
        if name not in known:
            raise MeasurementRefused(f"unknown section {name!r}; the sections are {', '.join(known)}")
    if sizes and len(names) != 1:
        raise MeasurementRefused("sizes can be given for exactly one section")
    min_sizes = 1 if list(names) == [STORMS] else MIN_SIZES + 1
    if sizes and (len(set(sizes)) < min_sizes or list(sizes) != sorted(set(sizes)) or sizes[0] < 1):
        raise MeasurementRefused(
            f"at least {min_sizes} positive sizes in ascending order are needed; the last one checks the fit"
        )
    return list(names) or known


def figures(
    quick: bool, report_progress: ProgressCallback, sections: Sequence[str] = (), sizes: Sequence[int] = ()
) -> dict[str, Any]:
    """Run the sections and return the JSON from which the tables of docs/CAPACITY.md are written."""
    names = select_sections(sections, sizes)
    roles: list[Role] = []
    for name, section in SECTIONS.items():
        if name in names:
            section_sizes = section.quick_sizes if quick else section.sizes
            measured = section.quick_roles or section.roles if quick else section.roles
            roles += measured(tuple(sizes) or section_sizes, report_progress)
    storm_results: list[dict[str, Any]] = []
    if STORMS in names:
        section_sizes = (storms.QUICK_SIZE if quick else storms.SIZE,)
        storm_results = storms.run_storms(tuple(sizes) or section_sizes, report_progress)
    if not sections:
        roles += UNSERVED
    return {
        "quick": quick,
        "sections": names,
        "roles": {role.name: role.to_json() for role in roles},
        "storms": storm_results,
        "ranking": ranking(roles),
    }
