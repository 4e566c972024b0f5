"""Twisted's event loop with timers on the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from .transient_errors import TRANSIENT

if TYPE_CHECKING:
    from twisted.internet.epollreactor import EPollReactor

MAKE_WITHIN, MAKE_EVERY = 5.0, 0.02  # seconds; for want of memory or descriptors


def install_monotonic_reactor() -> EPollReactor:
    """Make the process's reactor one whose timers run on the monotonic clock; to be called once, first.

    Twisted's own goes by time.time: a step of the wall clock back stops each timer until that clock has
    caught up, a step forward ends all of them at once.
    """
    from twisted.internet.epollreactor import EPollReactor
    from twisted.internet.main import installReactor

    class MonotonicReactor(EPollReactor):
        seconds = staticmethod(time.monotonic)

    reactor: EPollReactor = made_within(MAKE_WITHIN, MonotonicReactor)
    cast(Any, installReactor)(reactor)
    return reactor


def made_within(seconds: float, make: Callable[[], Any]) -> Any:
    """What `make` returns, tried again while the system refuses it for a moment.

    Raises:
        OSError: It cannot be made, or could not within that time.
    """
    until = time.monotonic() + seconds
    while True:
        try:
            return make()
        except OSError as fault:
            if fault.errno not in TRANSIENT or time.monotonic() >= until:
                raise
        time.sleep(MAKE_EVERY)
