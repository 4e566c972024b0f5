"""Signal handling from the start of the process. Signals before the event loop runs are queued."""

from __future__ import annotations

import signal
from collections.abc import Callable


class Signals:
    """Handles SIGHUP, SIGTERM and SIGINT: queues them in order until hand_over().

    Attributes:
        kept: Signal numbers that are queued.
        act: Called with each signal number, in the signal handler.
    """

    def __init__(self) -> None:
        self.kept: list[int] = []
        self.act: Callable[[int], object] = self.kept.append

    def catch(self) -> None:
        """Install the handlers. To be called again after other code has installed its own."""
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda number, _: self.act(number))

    def termination_requested(self) -> bool:
        """Whether a queued signal asks the process to end."""
        return any(number != signal.SIGHUP for number in self.kept)

    def hand_over(self, act: Callable[[int], object]) -> None:
        """Pass the queued signals, and each later one, to `act`."""
        self.catch()
        self.act = act
        while self.kept:
            act(self.kept.pop(0))


SIGNALS = Signals()
