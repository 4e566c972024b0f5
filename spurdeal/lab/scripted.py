"""Runs a script on Twisted's reactor: a generator that yields the seconds to wait until its next step."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

from twisted.internet.task import LoopingCall

SAMPLE_INTERVAL = 0.01  # seconds between two samples of the timer lag


class TimerLag:
    """The maximum lag of the laboratory's own timers, which limits the accuracy of its figures."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.max_ms, self.last_sample = reactor, 0.0, time.monotonic()
        self.loop = LoopingCall(self.sample)
        self.loop.start(SAMPLE_INTERVAL, now=False)

    def sample(self) -> None:
        """Compare the time of this call with the time it was due."""
        now = time.monotonic()
        self.max_ms, self.last_sample = (
            max(self.max_ms, (now - self.last_sample - SAMPLE_INTERVAL) * 1000),
            now,
        )


class ScriptRunner:
    """Runs one script from the reactor's start to the script's end, and stops the reactor then.

    Attributes:
        fault: The exception that the script raised, if any.
        lag: The maximum lag of timers during the run.
    """

    def __init__(self, reactor: Any, script: Iterator[float]) -> None:
        self.reactor, self.script = reactor, script
        self.fault: Exception | None = None
        self.lag = TimerLag(reactor)

    def run(self) -> None:
        """Return once the script has ended or raised. The reactor cannot be run again in this process."""
        self.reactor.callWhenRunning(self.step)
        self.reactor.run()

    def step(self) -> None:
        """Resume the script up to its next wait."""
        try:
            self.reactor.callLater(next(self.script), self.step)
        except StopIteration:
            self.reactor.stop()
        except Exception as fault:
            self.fault = fault
            self.reactor.stop()
