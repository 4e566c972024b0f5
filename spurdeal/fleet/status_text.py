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


def status_lines(status: Mapping[str, Any]) -> Iterator[str]:
    """Lines on the dispatcher itself, its versions, and each member."""
    grantors = status["grantors"] if "grantors" in status else status["wardens"]  # from an older dispatcher
    yield (
        f"{status['name']} start {status['boot'][:8]}: {status['standing']} for {ago(status['for_ms'])} "
        f"({status['why']}); lease {'held' if status['lease'] else 'not held'}, term {status['term']}, "
        f"grantors {' '.join(grantors) or 'none'}"
    )
    for artifact, version in status["versions"].items():
        yield f"  {artifact}: {version}"
    if status["behind"]:
        yield f"  behind by {status['behind']}: the newest list is {status['newest_list']}"
    if abs(status["clock_shift_ms"]) > SHOWN_CLOCK_SHIFT:
        yield f"  its clock is {status['clock_shift_ms']} ms ahead of the median of the others'"
    yield f"fleet of {status['size']}:"
    for member in status["members"]:
        text = f"  {member['name']:<12} {member['life']:<8} for {ago(member['for_ms']):<7}"
        if "standing" in member:
            text += f" {member['standing']:<8} heard {ago(member['heard_ms_ago'])} ago"
        if "list" in member:
            text += f", list {member['list'].partition('/')[0]}"
            text += f" ({member['behind']} behind)" if member["behind"] else ""
        yield text + (", known to have stopped" if member["stopped"] else "")
    for clash in status["clashes"]:
        yield f"clash: {clash}"
    for name, count in status["implausible"].items():
        yield f"{name} made implausible claims, {count} times"
