"""Log lines of which there may be very many: a bound on each event's lines in a second."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

WINDOW = 1000.0  # ms
MOST_LINES = 20  # of one event in a window


@dataclass(slots=True)
class Window:
    """The lines of one event since `began`: written, and left out."""

    began: float
    written: int = 0
    left_out: int = 0


class LimitedLog:
    """Writes the first lines of each event in a second, and with the next how many were left out since."""

    def __init__(self, log: logging.Logger, clock: Callable[[], float]) -> None:
        self.log, self.clock = log, clock
        self.windows: dict[str, Window] = {}

    def write(self, event: str, **figures: object) -> None:
        """Write a line at level info. The names of events are a fixed set, as a window is kept for each."""
        now = self.clock()
        window = self.windows.get(event)
        if window is None or not 0.0 <= now - window.began < WINDOW:
            if window is not None and window.left_out:
                figures |= {"lines_left_out": window.left_out}
            window = self.windows[event] = Window(now)
        if window.written >= MOST_LINES:
            window.left_out += 1
            return
        window.written += 1
        self.log.info(event, extra={"figures": figures})
