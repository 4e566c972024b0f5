"""docs/CAPACITY.md's tables, written between markers from the JSON of a run, and the ranking in it."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from .events import EVENTS, storm_words
from .records import Measure, Role

MARKER = "<!-- capacity: {} {} -->"
COLUMNS = {Measure.CPU: "CPU", Measure.BYTES: "bytes", Measure.MEMORY: "memory"}


class UnusablePage(Exception):
    """A page without the markers, or JSON that is not of this command; the text says why."""


def ranking(roles: Sequence[Role]) -> list[dict[str, Any]]:
    """By how far a role's worst figure is over its budget or bound; then those that nothing carries.

    A role without a mechanism has no figure to compare: it is ranked behind those that stop the design's size
    by a measured one, and named beside the mechanism that would carry it."""
    over = sorted((role for role in roles if role.mechanism), key=lambda role: -role.worst()[0])
    unserved = [role for role in roles if not role.mechanism]
    return [
        {
            "role": role.name,
            "ratio": role.told()["worst_ratio"] if role.mechanism else None,
            "verdict": role.verdict(),
        }
        for role in [*(role for role in over if role.worst()[0] > 1), *unserved]
    ]


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """A Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(str(cell).replace("|", "/") for cell in line) + " |" for line in lines)


def number(value: float) -> str:
    """Thousands apart, no more digits than were kept."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:g}"


def roles_table(found: Mapping[str, Any]) -> str:
    """Each role's budget, figure at the design size and verdict."""
    rows = []
    for name, role in found["roles"].items():
        figures = [
            f"{number(value)} {role['units'][key]}" + ("" if measured(role, key) else " (extrapolated)")
            for key, value in role["at_size"].items()
        ]
        budgets = [f"{number(value)} {role['units'][key]}" for key, value in role["budget"].items()]
        budgets += [f"{limit['holds']:,} {limit['name']}" for limit in role["limits"]]
        rows.append(
            (name, "; ".join(figures) or "-", "; ".join(budgets) or "none stated", f"**{role['verdict']}**")
        )
    return table(("role", "at the design size, a dispatcher", "budget or bound", "verdict"), rows)


def measured(role: Mapping[str, Any], key: str) -> bool:
    """Whether the design size itself was run."""
    return role["design_size"][key] in role["sizes"]


def mechanisms_table(found: Mapping[str, Any]) -> str:
    """What carries each role."""
    rows = [
        (name, role["mechanism"] or "none", role["state"], role["messages"], "; ".join(role["notes"]) or "-")
        for name, role in found["roles"].items()
    ]
    return table(("role", "mechanism", "state", "messages", "notes"), rows)


def slopes_table(found: Mapping[str, Any]) -> str:
    """Each measured series, its fit and the check beyond its range."""
    rows = []
    for name, role in found["roles"].items():
        for measure, column in COLUMNS.items():
            key = measure.value
            if not role[key]:
                continue
            series = ", ".join(
                f"{number(size)}: {number(value)}"
                for size, value in zip(role["sizes"], role[key], strict=True)
            )
            rows.append(
                (
                    f"{name}, {column} ({role['units'][key]} by {role['counts']})",
                    series,
                    f"{role['spread'][key]:.0%}",
                    f"`{role['fit'][key]}`",
                    f"{role['residual'][key]:.1%}",
                    f"{number(role['beyond_predicted'][key])}; {number(role['beyond_measured'][key])}",
                )
            )
    head = (
        "series",
        "size: value",
        "spread",
        "fit without the last",
        "residual",
        "last: predicted; measured",
    )
    return table(head, rows)


def events_table(found: Mapping[str, Any]) -> str:
    """The operators' events."""
    rows = [
        (
            event.name,
            event.seen,
            storm_words(found["storms"], event.storm) if event.storm else "not run",
            event.not_served,
            event.shown_by,
        )
        for event in EVENTS
    ]
    head = ("event", "seen", "messages, time until quiet", "not served meanwhile", "shown by")
    return table(head, rows)


def ranking_table(found: Mapping[str, Any]) -> str:
    """Furthest over first."""
    rows = [(place, row["role"], row["verdict"]) for place, row in enumerate(found["ranking"], 1)]
    return table(("rank", "role", "verdict"), rows)


TABLES = {
    "roles": roles_table,
    "mechanisms": mechanisms_table,
    "slopes": slopes_table,
    "events": events_table,
    "ranking": ranking_table,
}


def written(page: str, found: Mapping[str, Any]) -> str:
    """The page with all its tables written anew."""
    for name, make in TABLES.items():
        begin, end = MARKER.format("begin", name), MARKER.format("end", name)
        blocks = re.findall(re.escape(begin) + ".*?" + re.escape(end), page, re.DOTALL)
        if len(blocks) != 1:
            raise UnusablePage(f"the page has not one place for the table {name!r}: {begin} ... {end}")
        try:
            page = page.replace(blocks[0], f"{begin}\n{make(found)}\n{end}")
        except (KeyError, TypeError, AttributeError, IndexError) as fault:
            raise UnusablePage(f"the JSON is not of `spurdeal lab capacity`: {fault!r}") from None
    return page


def write_page(path: Path, found: Mapping[str, Any]) -> None:
    """Writes the tables of a page in place."""
    path.write_text(written(path.read_text(), found))
