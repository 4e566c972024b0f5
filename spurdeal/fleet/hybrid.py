"""Hybrid logical clocks: timestamps that respect causality across machines and stay close to Unix time.

Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks" (2014), figure 5. The package hlcpy
(last release 2021) reads the clock itself; the algorithm is a few lines, so it is implemented here without
access to clocks. A stamp never falls behind those seen before, even if Unix time steps back. A received
stamp far ahead is ignored, or one clock that is an hour off would drag all others along.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_AHEAD = 5000.0  # ms by which a received stamp may be ahead of our Unix time
MAX_TALLY = 0xFFFF  # events in one ms; beyond it the ms advances


class Stamp(NamedTuple):
    """Unix ms, and a counter (tally) of the events in that ms; compared as pairs."""

    ms: int
    tally: int

    def __str__(self) -> str:
        """The form in logs and events: ms.tally."""
        return f"{self.ms}.{self.tally}"


class HybridClock:
    """One dispatcher's clock. Its Unix time in ms is passed with each call."""

    def __init__(self, unix: float) -> None:
        self.last = Stamp(int(unix), 0)
        self.refused = 0

    def stamp(self, unix: float) -> Stamp:
        """A stamp for a local event or an outgoing datagram, later than all stamps given or accepted."""
        if int(unix) > self.last.ms:
            self.last = Stamp(int(unix), 0)
        else:
            self.last = self.after(self.last.ms, self.last.tally + 1)
        return self.last

    def receive(self, unix: float, other: Stamp) -> bool:
        """Advance past a received stamp; False, without effect, if it is too far ahead."""
        if other.ms > unix + MAX_AHEAD:
            self.refused += 1
            return False
        ms = max(int(unix), self.last.ms, other.ms)
        tally = max(self.last.tally if ms == self.last.ms else -1, other.tally if ms == other.ms else -1)
        self.last = self.after(ms, tally + 1)
        return True

    @staticmethod
    def after(ms: int, tally: int) -> Stamp:
        """The stamp with this tally, or the first of the next ms if the tally is exhausted."""
        return Stamp(ms, tally) if tally <= MAX_TALLY else Stamp(ms + 1, 0)
