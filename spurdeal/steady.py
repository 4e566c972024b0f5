"""The system's Unix time without its steps. Free of I/O: both clocks are passed in."""

from collections.abc import Callable

SLEW = 0.005  # of the time that passes: a step is followed this slowly
STEP = 100.0  # ms between two readings beyond what passed: told as a step


class Steady:
    """Unix ms that never jump.

    They are anchored at the start, carried on by the monotonic clock, and drawn to the Unix one. A step of
    the system's clock would end each open submission at once, or none for an hour. What others tell in Unix
    ms (an engine's start) is then off by the rest of the step for a while, which `behind` tells.
    """

    def __init__(self, unix: Callable[[], float], monotonic: Callable[[], float]) -> None:
        self.unix, self.monotonic = unix, monotonic
        self.shown, self.at = unix(), monotonic()
        self.behind, self.steps = 0.0, 0

    def now(self) -> float:
        """Unix ms with fractions."""
        at, passed = self.monotonic(), 0.0
        passed, self.at = at - self.at, at
        behind = self.unix() - (self.shown + passed)
        if abs(behind - self.behind) > STEP + SLEW * passed:
            self.steps += 1
        most = SLEW * passed
        self.shown += passed + max(-most, min(most, behind))
        self.behind = behind
        return self.shown
