"""Capacity: what each role costs by size, worked out for the design size, and the page that tells it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from . import engine_links, engine_list, membership, recorded, request_path, sockets, storms
from .fit import LEAST_SIZES
from .measure import MeasurementRefused
from .records import Role
from .report import ranking
from .unserved import UNSERVED

Say = Callable[[str], None]
STORMS = "storms"


@dataclass(frozen=True, slots=True)
class Section:
    """Roles that are measured together, over these sizes."""

    roles: Callable[[Sequence[int], Say], list[Role]]
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]
    quick_roles: Callable[[Sequence[int], Say], list[Role]] | None = None  # where it differs in more


SECTIONS = {
    "request-path": Section(request_path.roles, request_path.SIZES, request_path.QUICK_SIZES),
    "requests": Section(
        sockets.request_roles,
        sockets.REQUEST_SIZES,
        sockets.QUICK_REQUEST_SIZES,
        partial(sockets.request_roles, per_try=sockets.QUICK_REQUESTS_PER_TRY),
    ),
    "clients": Section(sockets.idle_roles, sockets.IDLE_SIZES, sockets.QUICK_IDLE_SIZES),
    "links": Section(engine_links.roles, engine_links.SIZES, engine_links.QUICK_SIZES),
    "membership": Section(membership.roles, membership.SIZES, membership.QUICK_SIZES),
    "list": Section(engine_list.roles, engine_list.SIZES, engine_list.QUICK_SIZES),
    "recorded": Section(recorded.roles, recorded.SIZES, recorded.QUICK_SIZES),
}


def chosen(names: Sequence[str], sizes: Sequence[int]) -> list[str]:
    """The sections asked for, all where none are; Refused for what there is not."""
    known = [*SECTIONS, STORMS]
    for name in names:
        if name not in known:
            raise MeasurementRefused(f"no section {name!r}; there are {', '.join(known)}")
    if sizes and len(names) != 1:
        raise MeasurementRefused("sizes go with one section")
    least = 1 if list(names) == [STORMS] else LEAST_SIZES + 1
    if sizes and (len(set(sizes)) < least or list(sizes) != sorted(set(sizes)) or sizes[0] < 1):
        raise MeasurementRefused(f"sizes must be {least} or more, rising, the last beyond the fitted range")
    return list(names) or known


def figures(quick: bool, say: Say, sections: Sequence[str] = (), sizes: Sequence[int] = ()) -> dict[str, Any]:
    """Runs the sections and gives the JSON that docs/CAPACITY.md is written from."""
    names = chosen(sections, sizes)
    roles: list[Role] = []
    for name, section in SECTIONS.items():
        if name in names:
            usual = section.quick_sizes if quick else section.sizes
            measured = section.quick_roles or section.roles if quick else section.roles
            roles += measured(tuple(sizes) or usual, say)
    found: list[dict[str, Any]] = []
    if STORMS in names:
        usual = (storms.QUICK_SIZE if quick else storms.SIZE,)
        found = storms.storms(tuple(sizes) or usual, say)
    if not sections:
        roles += UNSERVED
    return {
        "quick": quick,
        "sections": names,
        "roles": {role.name: role.told() for role in roles},
        "storms": found,
        "ranking": ranking(roles),
    }
