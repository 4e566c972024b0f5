"""Twisted's event loop with timers on the monotonic clock."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    from twisted.internet.epollreactor import EPollReactor


def install_monotonic_reactor() -> EPollReactor:
    """Make the process's reactor one whose timers run on the monotonic clock; to be called once, first.

    Twisted's own goes by time.time: a step of the wall clock back stops each timer until that clock has
    caught up, a step forward ends all of them at once.
    """
    from twisted.internet.epollreactor import EPollReactor
    from twisted.internet.main import installReactor

    class MonotonicReactor(EPollReactor):
        seconds = staticmethod(time.monotonic)

    reactor: EPollReactor = cast(Any, MonotonicReactor)()
    cast(Any, installReactor)(reactor)
    return reactor
