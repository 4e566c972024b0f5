"""Watches the system's wall clock for steps, which nothing but the log's times should follow."""

from __future__ import annotations

import logging
from collections.abc import Callable

from .counters import Counters

LEAST_STEP = 100.0  # ms between two looks beyond what passed on the monotonic clock


class WallClockWatch:
    """Compares the wall clock with the monotonic one, and tells of each step in the log and the counters.

    Attributes:
        offset: The wall clock less the monotonic one at the last look, in ms.
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

    def look(self) -> None:
        """Log a step since the last look; slow corrections are none."""
        offset = self.wall() - self.monotonic()
        step, self.offset = offset - self.offset, offset
        if abs(step) < LEAST_STEP:
            return
        self.counters.add("wall_clock_steps")
        self.counters.record_max("wall_clock_largest_step_ms", abs(step))
        figures = {"ms": step, "since_start_ms": offset - self.offset_at_start}
        self.log.warning("wall_clock_stepped", extra={"figures": figures})
