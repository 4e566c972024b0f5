"""Text output of `spurdeal fleet status`: a dispatcher's view of its fleet."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

SECOND, MINUTE = 1000.0, 60_000.0  # ms
SHOWN_IN_SECONDS = 2 * MINUTE  # shorter times are shown in seconds
SHOWN_CLOCK_SHIFT = 100.0  # ms; a smaller shift is not shown


def ago(ms: float) -> str:
    """A duration in ms, formatted in a readable unit."""
    if ms < SECOND:
        return f"{ms:.0f}ms"
    if ms < SHOWN_IN_SECONDS:
        return f"{ms / SECOND:.1f}s"
    return f"{ms / MINUTE:.0f}min"


def status_words(found: Mapping[str, Any]) -> Iterator[str]:
    """Lines on the dispatcher itself, its versions, and each member."""
    grantors = found["grantors"] if "grantors" in found else found["wardens"]  # from an older dispatcher
    yield (
        f"{found['name']} start {found['boot'][:8]}: {found['standing']} for {ago(found['for_ms'])} "
        f"({found['why']}); lease {'held' if found['lease'] else 'not held'}, term {found['term']}, "
        f"grantors {' '.join(grantors) or 'none'}"
    )
    for line, version in found["versions"].items():
        yield f"  {line}: {version}"
    if found["behind"]:
        yield f"  behind by {found['behind']}: the newest list is {found['newest_list']}"
    if abs(found["clock_shift_ms"]) > SHOWN_CLOCK_SHIFT:
        yield f"  its clock is {found['clock_shift_ms']} ms ahead of the median of the others'"
    yield f"fleet of {found['size']}:"
    for member in found["members"]:
        words = f"  {member['name']:<12} {member['life']:<8} for {ago(member['for_ms']):<7}"
        if "standing" in member:
            words += f" {member['standing']:<8} heard {ago(member['heard_ms_ago'])} ago"
        if "list" in member:
            words += f", list {member['list'].partition('/')[0]}"
            words += f" ({member['behind']} behind)" if member["behind"] else ""
        yield words + (", known to have stopped" if member["stopped"] else "")
    for clash in found["clashes"]:
        yield f"clash: {clash}"
    for name, count in found["implausible"].items():
        yield f"{name} made implausible claims, {count} times"
