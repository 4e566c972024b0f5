"""Running a script on Twisted's reactor: a generator that yields the seconds to wait."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

from twisted.internet.task import LoopingCall

LOOK_EVERY = 0.01  # seconds between two looks at how late timers are


class TimerLag:
    """How late the laboratory's own timers were: its figures are no better than that."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.max_ms, self.before = reactor, 0.0, time.monotonic()
        self.loop = LoopingCall(self.look)
        self.loop.start(LOOK_EVERY, now=False)

    def look(self) -> None:
        """Compare this call's moment with the one it was due at."""
        now = time.monotonic()
        self.max_ms, self.before = max(self.max_ms, (now - self.before - LOOK_EVERY) * 1000), now


class ScriptRunner:
    """Runs one script from the reactor's start to the script's end, and stops the reactor then.

    Attributes:
        fault: What the script raised, if it did.
        lag: How late timers were meanwhile.
    """

    def __init__(self, reactor: Any, script: Iterator[float]) -> None:
        self.reactor, self.script = reactor, script
        self.fault: Exception | None = None
        self.lag = TimerLag(reactor)

    def run(self) -> None:
        """Returns once the script has ended or raised. The reactor cannot be run again in this process."""
        self.reactor.callWhenRunning(self.step)
        self.reactor.run()

    def step(self) -> None:
        """On to the script's next wait."""
        try:
            self.reactor.callLater(next(self.script), self.step)
        except StopIteration:
            self.reactor.stop()
        except Exception as fault:
            self.fault = fault
            self.reactor.stop()
