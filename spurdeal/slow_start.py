"""When engines were started, on our own clock: since when slow start limits what they get. Free of I/O.

The list tells starts in Unix ms of another machine. Our clock may be off from that, as the wall clock may
have been stepped before this process began: with ours ahead, an engine that has just started would look warm.
Ours is a steady clock, so what it is off by stays the same, and each list bounds it: no start lies in the
future, so our clock is not further ahead than the latest start that is told lies in our past. A start counts
as late as that allows, and not before the last list without it. Where both clocks are right, that makes it
later than it was by the way of the news at most, or at our own start by the age of the latest one.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

MAX_PROPAGATION_DELAY = (
    7000.0  # ms after which news of the list counts as told at the latest, by the protocol
)


class Start(NamedTuple):
    """A start as the list tells it, and since when it counts on our clock."""

    told: float
    began: float


class StartTimes:
    """The starts of the engines in the list in force.

    Attributes:
        current_at: When the list in force was last told to be the newest; None before the first.
        most_ahead: By how much our clock may be ahead of the list's at most, in ms.
    """

    def __init__(self) -> None:
        self.starts: dict[str, Start] = {}
        self.current_at: float | None = None
        self.max_clock_lead = float("inf")

    def confirm(self, at: float) -> None:
        """The name service has told, by now, no newer list than the one in force."""
        self.current_at = at

    def listed(self, now: float, told: Mapping[str, float]) -> dict[str, float]:
        """A list is put in force.

        Args:
            now: The time, on our clock in ms.
            told: By engine, its start in Unix ms; 0 for long ago.

        Returns:
            By engine, its start on our clock; 0 for long ago.
        """
        latest = max(told.values(), default=0.0)
        if latest:
            self.max_clock_lead = min(self.max_clock_lead, max(0.0, now - latest))
        self.starts = {ident: self.start(ident, start, now) for ident, start in told.items()}
        self.confirm(now)
        return {ident: start.began for ident, start in self.starts.items()}

    def start(self, ident: str, told: float, now: float) -> Start:
        """One engine's start: as it was taken when it was first told."""
        known = self.starts.get(ident)
        if known is not None and known.told == told:
            return known
        if not told:
            return Start(0.0, 0.0)
        earliest = float("-inf") if self.current_at is None else self.current_at
        return Start(told, min(now, max(told + self.max_clock_lead, earliest)))


def leads_to_predecessor(opened: float, told: float, now: float) -> bool:
    """Whether a connection was opened before its engine was started anew: its process is gone.

    Where the start lies in our future, the clocks differ and its time says nothing; the news of it is no
    older than NEWS_DELAY.
    """
    return opened < (told if told <= now else now - MAX_PROPAGATION_DELAY)
