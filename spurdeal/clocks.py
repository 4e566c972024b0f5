"""The system clocks, and the process clock that all other modules use. Times are in ms."""

from __future__ import annotations

import time
from collections.abc import Callable


def unix_ms() -> float:
    """The wall clock: Unix time in ms, which may step forward or back at any moment."""
    return time.time() * 1000


def monotonic_ms() -> float:
    """The monotonic clock in ms, from an arbitrary origin. It never steps."""
    return time.monotonic() * 1000


class SteadyClock:
    """The clock of one process: Unix time at its start, advanced by the monotonic clock alone.

    Deadlines, windows, waits and grace periods are spans of real time, so steps and corrections of the wall
    clock are never followed. `net.wall_clock` reports how far the two are apart.
    """

    def __init__(
        self, unix: Callable[[], float] = unix_ms, monotonic: Callable[[], float] = monotonic_ms
    ) -> None:
        self.monotonic = monotonic
        self.origin = unix() - monotonic()

    def now(self) -> float:
        """Unix ms at the start of the process, plus the ms that have passed since."""
        return self.origin + self.monotonic()
