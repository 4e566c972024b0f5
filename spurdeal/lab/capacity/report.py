"""The tables of docs/CAPACITY.md, written between markers from a run's JSON, and the ranking of roles."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from .events import EVENTS, storm_summary
from .records import Measure, Role

MARKER = "<!-- capacity: {} {} -->"
COLUMNS = {Measure.CPU: "CPU", Measure.BYTES: "bytes", Measure.MEMORY: "memory"}


class UnusablePage(Exception):
    """Raised for a page without the markers, or for JSON that this command did not write."""


def ranking(roles: Sequence[Role]) -> list[dict[str, Any]]:
    """Rank the roles that exceed a budget or limit by their worst ratio; roles without a mechanism follow.

    A role without a mechanism has no figure to compare, so it ranks behind those whose measured figure rules
    out the design size.
    """
    over = sorted((role for role in roles if role.mechanism), key=lambda role: -role.worst()[0])
    unserved = [role for role in roles if not role.mechanism]
    return [
        {
            "role": role.name,
            "ratio": role.to_json()["worst_ratio"] if role.mechanism else None,
            "verdict": role.verdict(),
        }
        for role in [*(role for role in over if role.worst()[0] > 1), *unserved]
    ]


def markdown_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(str(cell).replace("|", "/") for cell in line) + " |" for line in lines)


def formatted(value: float) -> str:
    """Format a number, with separators from 1,000 on."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:g}"


def roles_table(results: Mapping[str, Any]) -> str:
    """Return the table of figures at the design size, budgets and verdicts."""
    rows = []
    for name, role in results["roles"].items():
        figures = [
            f"{formatted(value)} {role['units'][key]}" + ("" if is_measured(role, key) else " (extrapolated)")
            for key, value in role["at_size"].items()
        ]
        budgets = [f"{formatted(value)} {role['units'][key]}" for key, value in role["budget"].items()]
        budgets += [f"{limit['holds']:,} {limit['name']}" for limit in role["limits"]]
        rows.append(
            (name, "; ".join(figures) or "-", "; ".join(budgets) or "none stated", f"**{role['verdict']}**")
        )
    return markdown_table(("role", "at the design size, a dispatcher", "budget or bound", "verdict"), rows)


def is_measured(role: Mapping[str, Any], key: str) -> bool:
    """Return whether the design size itself was run."""
    return role["design_size"][key] in role["sizes"]


def mechanisms_table(results: Mapping[str, Any]) -> str:
    """Return the table of mechanisms."""
    rows = [
        (name, role["mechanism"] or "none", role["state"], role["messages"], "; ".join(role["notes"]) or "-")
        for name, role in results["roles"].items()
    ]
    return markdown_table(("role", "mechanism", "state", "messages", "notes"), rows)


def scaling_laws_table(results: Mapping[str, Any]) -> str:
    """Return the table of measured series, their scaling laws and the check at the last size."""
    rows = []
    for name, role in results["roles"].items():
        for measure, column in COLUMNS.items():
            key = measure.value
            if not role[key]:
                continue
            series = ", ".join(
                f"{formatted(size)}: {formatted(value)}"
                for size, value in zip(role["sizes"], role[key], strict=True)
            )
            rows.append(
                (
                    f"{name}, {column} ({role['units'][key]} by {role['counts']})",
                    series,
                    f"{role['spread'][key]:.0%}",
                    f"`{role['fit'][key]}`",
                    f"{role['residual'][key]:.1%}",
                    f"{formatted(role['beyond_predicted'][key])}; {formatted(role['beyond_measured'][key])}",
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
    return markdown_table(head, rows)


def events_table(results: Mapping[str, Any]) -> str:
    """Return the table of operational events."""
    rows = [
        (
            event.name,
            event.observed,
            storm_summary(results["storms"], event.storm) if event.storm else "not run",
            event.not_served,
            event.evidence,
        )
        for event in EVENTS
    ]
    head = ("event", "seen", "messages, time until quiet", "not served meanwhile", "shown by")
    return markdown_table(head, rows)


def ranking_table(results: Mapping[str, Any]) -> str:
    """Return the table of the ranking."""
    rows = [(rank, row["role"], row["verdict"]) for rank, row in enumerate(results["ranking"], 1)]
    return markdown_table(("rank", "role", "verdict"), rows)


TABLES = {
    "roles": roles_table,
    "mechanisms": mechanisms_table,
    "slopes": scaling_laws_table,
    "events": events_table,
    "ranking": ranking_table,
}


def render_page(page: str, results: Mapping[str, Any]) -> str:
    """Return the page with all its tables replaced."""
    for name, render in TABLES.items():
        begin, end = MARKER.format("begin", name), MARKER.format("end", name)
        blocks = re.findall(re.escape(begin) + ".*?" + re.escape(end), page, re.DOTALL)
        if len(blocks) != 1:
            raise UnusablePage(f"the page needs exactly one place for the table {name!r}: {begin} ... {end}")
        try:
            page = page.replace(blocks[0], f"{begin}\n{render(results)}\n{end}")
        except (KeyError, TypeError, AttributeError, IndexError) as error:
            raise UnusablePage(f"the JSON was not written by `spurdeal lab capacity`: {error!r}") from None
    return page


def write_page(path: Path, results: Mapping[str, Any]) -> None:
    """Replace the tables of a page in place."""
    path.write_text(render_page(path.read_text(), results))
