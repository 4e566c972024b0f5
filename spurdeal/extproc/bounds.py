"""Limits on callers' connections, calls and frame rates; no I/O and no clock. Times are ms."""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple


class Bounds(NamedTuple):
    """Limits for each connection and for all connections together."""

    max_connections: int = 64  # over all callers
    max_calls: int = 2048  # open calls, over all connections
    max_calls_each: int = 512  # open calls on one connection
    max_bytes_each: int = 1_048_576  # received and not yet processed, on one connection; not enforced
    max_message: int = 65_536  # bytes of the largest message
    # Stream resets per RATE_WINDOW on one connection; a caller that times out resets all its open streams.
    max_resets: int = 1000
    max_controls: int = 400  # SETTINGS, PING and PRIORITY_UPDATE frames per RATE_WINDOW on one connection
    idle_after: float = 60_000.0  # ms after which a connection without a call is closed
    silent_after: float = 2000.0  # ms after which a stream without request_headers is ended
    unread_after: float = 5000.0  # ms after which a connection that does not read its responses is aborted


RATE_WINDOW = 1000.0  # ms in which resets and controls are counted


class ConnectionUsage:
    """One connection's open calls, and the times of its recent resets and control frames."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.calls = 0
        self.resets: deque[float] = deque()
        self.controls: deque[float] = deque()

    def exceeds_rate(self, now: float, times: deque[float], limit: int) -> bool:
        """Record an event at `now`; return whether more than `limit` events lie within RATE_WINDOW."""
        times.append(now)
        while times and times[0] <= now - RATE_WINDOW:
            times.popleft()
        if len(times) > limit + 1:
            times.popleft()  # limit + 1 entries suffice to detect an excess
        return len(times) > limit

    def count_reset(self, now: float) -> bool:
        """Count a stream reset by the caller; True if the connection must be closed (rapid reset attack)."""
        return self.exceeds_rate(now, self.resets, self.bounds.max_resets)

    def count_control(self, now: float) -> bool:
        """Count a control frame; True if the connection must be closed (control frame flood)."""
        return self.exceeds_rate(now, self.controls, self.bounds.max_controls)


class ConnectionLimits:
    """Admits connections and calls within the limits for all connections together."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds, self.connections, self.calls = bounds, 0, 0
        self.refused: Counter[str] = Counter()

    def admit_connection(self) -> bool:
        """Count a new connection; False if the limit is reached and it is refused."""
        if self.connections >= self.bounds.max_connections:
            self.refused["connections"] += 1
            return False
        self.connections += 1
        return True

    def connection_closed(self, usage: ConnectionUsage) -> None:
        """Release a closed connection and all its open calls."""
        self.connections -= 1
        self.calls -= usage.calls
        usage.calls = 0

    def admit_call(self, usage: ConnectionUsage) -> bool:
        """Count a new call; False if a limit is reached and the call is refused."""
        if usage.calls >= self.bounds.max_calls_each or self.calls >= self.bounds.max_calls:
            self.refused["calls"] += 1
            return False
        usage.calls += 1
        self.calls += 1
        return True

    def call_ended(self, usage: ConnectionUsage) -> None:
        """Release a finished call."""
        usage.calls -= 1
        self.calls -= 1
