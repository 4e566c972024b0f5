"""Operational events: what is observed of each, what is not served meanwhile, and which test covers it.

The texts are printed as a table of docs/CAPACITY.md.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

NOT_SHOWN = "not shown"


@dataclass(frozen=True, slots=True)
class Event:
    """A row of the table of events.

    Attributes:
        name: The event.
        observed: What the members and the dispatchers notice.
        not_served: What is not served during the event.
        evidence: The test or measurement that covers it.
        storm: The kind of measured storm that comes closest to it, if any.
    """

    name: str
    observed: str
    not_served: str
    evidence: str
    storm: str = ""


EVENTS = (
    Event(
        "one machine",
        "suspected, then gone; its grantors know when its lease has ended",
        "what it held; its clients ask another",
        "tests/test_fleet.py; `spurdeal lab audit`, kill",
    ),
    Event(
        "2,100 restarts a day",
        "one start every 41 s; each is joining until it has a lease",
        "at the one that starts: what must run at most once, until it has a lease",
        "this command, storms, one restart at a time; 2,100 a day not run",
        "one member restarts",
    ),
    Event(
        "a rack or a switch",
        "some members gone at one moment; engines of the rack set aside by refusals or silence",
        "what those dispatchers held",
        "`spurdeal lab audit`, kill, with one at a time; a whole rack not run",
    ),
    Event(
        "a zone",
        "a ninth of the members gone",
        "what those dispatchers held",
        "loss of a zone not watched by itself; its return is the row below",
    ),
    Event(
        "all dispatchers of a zone return at once",
        "joining, then current",
        "at those that return: what must run at most once, until they have leases",
        "this command, storms; 220 members not run",
        "a zone returns",
    ),
    Event(
        "a region cut for minutes and healed",
        "each part holds the other for gone; both go on",
        "at members whose grantors lie beyond the cut: what must run at most once, until grantors change",
        "this command, storms, a cut of 15 s into halves; 5 minutes and a region not run",
        "two halves heal",
    ),
    Event(
        "500 dispatchers restart at once",
        "joining, then current",
        "at those that start: what must run at most once, until they have leases",
        "this command, storms, a quarter of the members; 500 not run",
        "a quarter restarts at once",
    ),
    Event(
        "a bad configuration released",
        "a dispatcher that cannot read it keeps its own and logs `configuration_kept`; nobody collects it",
        "nothing where it cannot be read; what one that can be read spoils is not held back anywhere",
        "tests on SIGHUP with one dispatcher; a release to many " + NOT_SHOWN,
    ),
    Event("a control machine lost", "nothing: nothing of ours runs there", "nothing", NOT_SHOWN),
    Event(
        "all control machines lost",
        "nothing of ours; a name service that stood there answers no more, and the last list stays in force",
        "engines that come or go are not known of",
        "`spurdeal lab audit`, away: the name service silent for 2 s; longer " + NOT_SHOWN,
    ),
)


def storm_summary(storms: Sequence[Mapping[str, Any]], kind: str) -> str:
    """Describe the largest measured storm of this kind: traffic, convergence time and settling time."""
    matching = [each for each in storms if each["kind"] == kind]
    if not matching:
        return "not run"
    largest = max(matching, key=lambda each: int(each["members"]))

    def ms(value: object) -> str:
        return "not within the watch" if value is None else f"{value} ms"

    return (
        f"measured with {largest['members']} members, {largest['hit']} hit: all agree after "
        f"{ms(largest['agree_ms'])}, quiet after {ms(largest['quiet_ms'])}, peak {largest['peak_bytes']} and "
        f"mean {largest['mean_bytes']} bytes/s each (idle {largest['idle_bytes']})"
    )
