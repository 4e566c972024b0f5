"""Twisted's event loop with timers on the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from .transient_errors import TRANSIENT

if TYPE_CHECKING:
    from twisted.internet.epollreactor import EPollReactor

MAKE_WITHIN, MAKE_EVERY = 5.0, 0.02  # seconds; while memory or descriptors are short


def install_monotonic_reactor() -> EPollReactor:
    """Installs a reactor whose timers use the monotonic clock; to be called once, before any other use.

    Twisted's default reactor uses time.time: if the wall clock is stepped back, all timers stall until it has
    caught up; if it is stepped forward, all of them fire at once.
    """
    from twisted.internet.epollreactor import EPollReactor
    from twisted.internet.main import installReactor

    class MonotonicReactor(EPollReactor):
        seconds = staticmethod(time.monotonic)

    reactor: EPollReactor = made_within(MAKE_WITHIN, MonotonicReactor)
    cast(Any, installReactor)(reactor)
    return reactor


def made_within(seconds: float, make: Callable[[], Any]) -> Any:
    """Calls `make` and returns its result; retries transient errors for so many seconds.

    Raises:
        OSError: A permanent error, or the last transient one.
    """
    until = time.monotonic() + seconds
    while True:
        try:
            return make()
        except OSError as fault:
            if fault.errno not in TRANSIENT or time.monotonic() >= until:
                raise
        time.sleep(MAKE_EVERY)
