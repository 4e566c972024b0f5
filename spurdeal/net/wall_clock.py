"""Detects steps of the wall clock, which should affect only the times of log lines."""

from __future__ import annotations

import logging
from collections.abc import Callable

from .counters import Counters

MIN_STEP = 100.0  # ms of difference from the monotonic clock between two checks


class WallClockWatch:
    """Compares the wall clock with the monotonic clock; logs and counts each step.

    Attributes:
        offset: Wall clock minus monotonic clock at the last check, in ms.
        offset_at_start: The same at startup.
    """

    def __init__(
        self,
        wall: Callable[[], float],
        monotonic: Callable[[], float],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.wall, self.monotonic, self.counters, self.log = wall, monotonic, counters, log
        self.offset = self.offset_at_start = wall() - monotonic()

    def check(self) -> None:
        """Logs a step since the last check; gradual corrections do not count."""
        offset = self.wall() - self.monotonic()
        step, self.offset = offset - self.offset, offset
        if abs(step) < MIN_STEP:
            return
        self.counters.add("wall_clock_steps")
        self.counters.record_max("wall_clock_largest_step_ms", abs(step))
        figures = {"ms": step, "since_start_ms": offset - self.offset_at_start}
        self.log.warning("wall_clock_stepped", extra={"figures": figures})
