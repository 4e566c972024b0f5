"""Signal handling from the start of the process. Signals before the event loop runs are queued."""

from __future__ import annotations

import signal
from collections.abc import Callable


class Signals:
    """Handles SIGHUP, SIGTERM and SIGINT: queues them in order until hand_over().

    Attributes:
        queued: Signal numbers that are queued.
        act: Called with each signal number, in the signal handler.
    """

    def __init__(self) -> None:
        self.queued: list[int] = []
        self.act: Callable[[int], object] = self.queued.append

    def catch(self) -> None:
        """Install the handlers. To be called again after other code has installed its own."""
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda number, _: self.act(number))

    def termination_requested(self) -> bool:
        """Whether a queued signal asks the process to end."""
        return any(number != signal.SIGHUP for number in self.queued)

    def hand_over(self, handler: Callable[[int], object]) -> None:
        """Pass the queued signals, and each later one, to `handler`."""
        self.catch()
        self.act = handler
        while self.queued:
            handler(self.queued.pop(0))


SIGNALS = Signals()
