"""Rate limit for log lines: a maximum per event and second."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

WINDOW = 1000.0  # ms
MAX_LINES = 20  # per event and window


@dataclass(slots=True)
class Window:
    """Lines of one event since `began`: written, and dropped."""

    began: float
    written: int = 0
    left_out: int = 0


class LimitedLog:
    """Writes the first lines of each event per second, and counts the dropped ones in the next line."""

    def __init__(self, log: logging.Logger, clock: Callable[[], float]) -> None:
        self.log, self.clock = log, clock
        self.windows: dict[str, Window] = {}

    def write(self, event: str, **figures: object) -> None:
        """Write a line at level info. Event names must be a fixed set, since a window is kept for each."""
        now = self.clock()
        window = self.windows.get(event)
        if window is None or not 0.0 <= now - window.began < WINDOW:
            if window is not None and window.left_out:
                figures |= {"lines_left_out": window.left_out}
            window = self.windows[event] = Window(now)
        if window.written >= MAX_LINES:
            window.left_out += 1
            return
        window.written += 1
        self.log.info(event, extra={"figures": figures})
