"""The system's clocks, and the one that everything here goes by. Times are in ms."""

from __future__ import annotations

import time
from collections.abc import Callable


def unix_ms() -> float:
    """The wall clock: Unix time, which may be stepped either way at any moment."""
    return time.time() * 1000


def monotonic_ms() -> float:
    """Time that runs on evenly, from an arbitrary origin."""
    return time.monotonic() * 1000


class SteadyClock:
    """The time of one process: Unix time at its start, carried on by the monotonic clock alone.

    Deadlines, windows, waits and graces are spans of real time, so no step or correction of the wall clock is
    ever followed. How far the two are apart is `net.wall_clock`'s to tell.
    """

    def __init__(
        self, unix: Callable[[], float] = unix_ms, monotonic: Callable[[], float] = monotonic_ms
    ) -> None:
        self.monotonic = monotonic
        self.origin = unix() - monotonic()

    def now(self) -> float:
        """Unix ms as of the start, and what has passed since."""
        return self.origin + self.monotonic()
