"""Signals from the program's first line on. What comes before the loop can take it is kept until then."""

from __future__ import annotations

import signal
from collections.abc import Callable


class Signals:
    """SIGHUP, SIGTERM and SIGINT: kept in order, then handed over one by one."""

    def __init__(self) -> None:
        self.kept: list[int] = []
        self.act: Callable[[int], object] = self.kept.append

    def catch(self) -> None:
        """Take the three signals from here on; to be called again once another handler was set."""
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda number, _: self.act(number))

    def end_asked(self) -> bool:
        """Whether one of those kept asks the process to end."""
        return any(number != signal.SIGHUP for number in self.kept)

    def hand_over(self, act: Callable[[int], object]) -> None:
        """From here on each goes to `act`, those kept first."""
        self.catch()
        self.act = act
        while self.kept:
            act(self.kept.pop(0))


SIGNALS = Signals()
