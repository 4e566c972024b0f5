"""Clocks beside an operator's file: one that never steps back, and Unix time that tests can shift."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

from ..clocks import monotonic_ms, unix_ms

if TYPE_CHECKING:
    from twisted.internet.epollreactor import EPollReactor

CLOCK_FILE_EVERY = 50.0  # ms between two looks at a file that shifts the clock


def steady_reactor() -> EPollReactor:
    """Twisted's reactor on the monotonic clock.

    Its own counts Unix time, and a step back would stop each timer.
    """
    from twisted.internet.epollreactor import EPollReactor
    from twisted.internet.main import installReactor

    class SteadyReactor(EPollReactor):
        seconds = staticmethod(time.monotonic)

    reactor: EPollReactor = cast(Any, SteadyReactor)()
    cast(Any, installReactor)(reactor)
    return reactor


def shifted_unix_ms(path: str) -> Callable[[], float]:
    """For tests: Unix time with the ms added that a file holds; it is looked at every 50 ms."""
    looked, shift = float("-inf"), 0.0

    def unix() -> float:
        nonlocal looked, shift
        if monotonic_ms() - looked >= CLOCK_FILE_EVERY:
            looked = monotonic_ms()
            try:
                shift = float(Path(path).read_text("ascii"))
            except (OSError, ValueError):
                shift = 0.0
        return unix_ms() + shift

    return unix
