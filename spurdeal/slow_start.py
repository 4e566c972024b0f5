"""Start times of engines on the dispatcher's clock, from which slow start is counted. Free of I/O.

The list gives start times in Unix ms of another machine. The dispatcher's clock may differ from that one, as
the wall clock may have been stepped before this process began. If it is ahead, an engine that has just
started would look warm. The dispatcher's clock is monotonic, so the difference is constant, and each list
bounds it: no start time lies in the future, so the clock is ahead by at most the age of the latest listed
start. So a start is converted to the reported time plus that bound, but not before the last confirmation of a
list that does not show it, and at most to the present time. With both clocks right, it is taken too late by
at most the propagation delay, or at the dispatcher's own startup by the age of the latest listed start.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

# ms after which a change counts as announced at the latest, whether or not a response arrived. The lease on
# the list uses a shorter bound: list_freshness.PROPAGATION_LIMIT.
MAX_PROPAGATION_DELAY = 7000.0


class Start(NamedTuple):
    """One start of an engine.

    Attributes:
        on_list_clock: Start time in the list, in Unix ms of another machine.
        on_our_clock: The same on the dispatcher's clock.
    """

    on_list_clock: float
    on_our_clock: float


class StartTimes:
    """The starts of the engines in the list in force.

    Attributes:
        starts: By engine, its latest start.
        current_at: When the list in force was last confirmed as the newest; None before the first list.
        max_clock_lead: Upper bound of how far our clock is ahead of the list's clock, in ms.
    """

    def __init__(self) -> None:
        self.starts: dict[str, Start] = {}
        self.current_at: float | None = None
        self.max_clock_lead = float("inf")

    def confirm(self, at: float) -> None:
        """Records that the name server has no newer list than the one in force."""
        self.current_at = at

    def convert_list(self, now: float, reported: Mapping[str, float]) -> dict[str, float]:
        """Converts the start times of a list that comes into force.

        Args:
            now: The time on our clock, in ms.
            reported: By engine, its start in Unix ms; 0 if long ago.

        Returns:
            By engine, its start on our clock; 0 if long ago.
        """
        latest = max(reported.values(), default=0.0)
        if latest:
            self.max_clock_lead = min(self.max_clock_lead, max(0.0, now - latest))
        self.starts = {ident: self.convert_start(ident, start, now) for ident, start in reported.items()}
        self.confirm(now)
        return {ident: start.on_our_clock for ident, start in self.starts.items()}

    def convert_start(self, ident: str, reported: float, now: float) -> Start:
        """Converts one start time; one that was listed before keeps its earlier result."""
        known = self.starts.get(ident)
        if known is not None and known.on_list_clock == reported:
            return known
        if not reported:
            return Start(0.0, 0.0)
        earliest = float("-inf") if self.current_at is None else self.current_at
        return Start(reported, min(now, max(reported + self.max_clock_lead, earliest)))


def connected_before_restart(opened: float, started: float, now: float) -> bool:
    """Whether a connection was opened before its engine restarted, so that its process is gone.

    A start time in our future means that the clocks differ, and is not used; the restart was announced within
    the last MAX_PROPAGATION_DELAY.
    """
    return opened < (started if started <= now else now - MAX_PROPAGATION_DELAY)
