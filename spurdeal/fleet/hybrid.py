"""Hybrid logical clocks: an order of events over machines that is true to cause, and close to Unix time.

Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks" (2014), figure 5. Weighed: hlcpy from
the registry (last release 2021, reads the clock itself); the algorithm is a few lines, so it is written here,
free of clocks. A stamp never falls behind what was seen, also when Unix time steps back; and a stamp from
outside that is far ahead is not taken, or one clock an hour off would drag all others along.
"""

from __future__ import annotations

from typing import NamedTuple

MOST_AHEAD = 5000.0  # ms a stamp from outside may lie before our Unix time
MOST_COUNT = 0xFFFF  # events of one ms; past it the ms moves on


class Stamp(NamedTuple):
    """Unix ms, and which of the events with that ms; they compare as pairs."""

    ms: int
    tally: int

    def __str__(self) -> str:
        """The form that logs and events have: ms.tally."""
        return f"{self.ms}.{self.tally}"


class HybridClock:
    """One dispatcher's clock. Each call names its Unix time in ms."""

    def __init__(self, unix: float) -> None:
        self.last = Stamp(int(unix), 0)
        self.refused = 0

    def stamp(self, unix: float) -> Stamp:
        """For an event here, or a datagram that leaves: later than all that was stamped or seen."""
        if int(unix) > self.last.ms:
            self.last = Stamp(int(unix), 0)
        else:
            self.last = self.after(self.last.ms, self.last.tally + 1)
        return self.last

    def receive(self, unix: float, other: Stamp) -> bool:
        """A datagram has come with this stamp; False, and nothing taken of it, where it is too far ahead."""
        if other.ms > unix + MOST_AHEAD:
            self.refused += 1
            return False
        ms = max(int(unix), self.last.ms, other.ms)
        count = max(self.last.tally if ms == self.last.ms else -1, other.tally if ms == other.ms else -1)
        self.last = self.after(ms, count + 1)
        return True

    @staticmethod
    def after(ms: int, count: int) -> Stamp:
        """The stamp with this tally, or the first of the next ms where the tally is used up."""
        return Stamp(ms, count) if count <= MOST_COUNT else Stamp(ms + 1, 0)
