"""How much callers may hold and send: decisions alone, free of I/O and clocks. Times are ms."""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple


class Bounds(NamedTuple):
    """What the operator allows, for each connection and for all together."""

    connections: int = 64
    calls: int = 2048  # in hand, over all connections
    calls_each: int = 512
    bytes_each: int = 1_048_576  # unread or unfinished, on one connection
    message: int = 65_536  # the largest message
    resets: int = 1000  # in SPAN on one connection: a caller whose time is up resets all that it has in hand
    controls: int = 400  # SETTINGS, PING and the like in it
    idle: float = 60_000.0  # a connection with no call
    silent: float = 2000.0  # a stream that says nothing
    unread: float = 5000.0  # what we have written and nobody reads


SPAN = 1000.0  # ms in which resets and controls are counted


class Meter:
    """One connection: what it has in hand, and how fast it wears us out."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.calls = 0
        self.resets: deque[float] = deque()
        self.controls: deque[float] = deque()

    def too_many(self, now: float, times: deque[float], most: int) -> bool:
        """Note that it happened once more; whether it has happened more than `most` times within SPAN."""
        times.append(now)
        while times and times[0] <= now - SPAN:
            times.popleft()
        if len(times) > most + 1:
            times.popleft()  # as many as are needed to tell, and no more
        return len(times) > most

    def reset(self, now: float) -> bool:
        """A stream was reset by its caller; True where the connection is to end (rapid resets)."""
        return self.too_many(now, self.resets, self.bounds.resets)

    def control(self, now: float) -> bool:
        """SETTINGS, PING or the like; True where the connection is to end (floods of them)."""
        return self.too_many(now, self.controls, self.bounds.controls)


class Door:
    """All connections together."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds, self.connections, self.calls = bounds, 0, 0
        self.refused: Counter[str] = Counter()

    def connect(self) -> bool:
        """Another connection; False where it is refused."""
        if self.connections >= self.bounds.connections:
            self.refused["connections"] += 1
            return False
        self.connections += 1
        return True

    def left(self, meter: Meter) -> None:
        """A connection is over, and with it all that it had in hand."""
        self.connections -= 1
        self.calls -= meter.calls
        meter.calls = 0

    def call(self, meter: Meter) -> bool:
        """Another call; False where it is refused, with a time to come back."""
        if meter.calls >= self.bounds.calls_each or self.calls >= self.bounds.calls:
            self.refused["calls"] += 1
            return False
        meter.calls += 1
        self.calls += 1
        return True

    def ended(self, meter: Meter) -> None:
        """A call is over."""
        meter.calls -= 1
        self.calls -= 1
