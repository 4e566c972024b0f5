"""When engines were started, on our own clock: since when slow start limits what they get. Free of I/O.

The list tells starts in Unix ms of some other machine's wall clock. Ours may have been stepped before this
process began, theirs too, so a start that is told bounds nothing by itself: with our clock ahead, an engine
that has just started looks warm. What we know for certain is when a list did not name that start yet, and
when one did. So a start is never taken to lie before the last list without it, nor in the future. Where both
clocks are right, that makes it later than it was by the way of the news at most, which is on the safe side.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

NEWS_DELAY = 7000.0  # ms after which news of the list counts as told at the latest, by the protocol


class Start(NamedTuple):
    """A start as the list tells it, and since when it counts on our clock."""

    told: float
    began: float


class StartTimes:
    """The starts of the engines in the list in force.

    Attributes:
        current_at: When the list in force was last told to be the newest; None before the first.
    """

    def __init__(self) -> None:
        self.starts: dict[str, Start] = {}
        self.current_at: float | None = None

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
        earliest = now if self.current_at is None else min(now, self.current_at)
        self.starts = {
            ident: known
            if (known := self.starts.get(ident)) and known.told == start
            else Start(start, began(start, earliest, now))
            for ident, start in told.items()
        }
        self.confirm(now)
        return {ident: start.began for ident, start in self.starts.items()}


def began(told: float, earliest: float, now: float) -> float:
    """A start that is new to us, on our clock: as told, but not before `earliest` nor after now."""
    return min(now, max(told, earliest)) if told else 0.0


def leads_to_predecessor(opened: float, told: float, now: float) -> bool:
    """Whether a connection was opened before its engine was started anew: its process is gone.

    Where the start lies in our future, the clocks differ and its time says nothing; the news of it is no
    older than NEWS_DELAY.
    """
    return opened < (told if told <= now else now - NEWS_DELAY)
