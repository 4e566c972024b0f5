"""Arrival times of a connection's bytes, by their offset in its stream."""

from __future__ import annotations

from collections import deque

from .poll_watch import LoopWatch, Unpolled

MAX_ARRIVALS = 32  # kept per connection


class ArrivalTimes:
    """Arrival times, in ms of the dispatcher's clock, of the bytes that were not consumed yet.

    unpolled: Since when the connection had not been polled before its first read.
    """

    def __init__(self, loop: LoopWatch, unpolled: Unpolled) -> None:
        self.loop, self.unpolled = loop, unpolled
        self.received = 0  # bytes so far
        self.times = deque[tuple[int, float]]()  # (offset of the end, time) of each read

    def add(self, size: int) -> None:
        """Records a read of this many bytes."""
        self.received += size
        arrived_at = self.loop.arrival(self.unpolled)
        if len(self.times) >= MAX_ARRIVALS:  # many small reads: merged into the last entry, with its time
            arrived_at = self.times.pop()[1]
        self.times.append((self.received, arrived_at))

    def resume(self, paused_at: float) -> None:
        """Reading resumes after a pause: what the next round reads may have arrived during it."""
        self.unpolled = Unpolled(paused_at, self.loop.round + 1)

    def forget_consumed(self, unconsumed_bytes: int) -> None:
        """Drops the times of consumed bytes, except that of the last one; the others are still unconsumed."""
        while self.times and self.times[0][0] < self.received - unconsumed_bytes:
            self.times.popleft()

    def clear(self) -> None:
        """Drops all times: bytes received so far count from the arrival of the next ones."""
        self.times.clear()

    def waited(self, now: float) -> float:
        """Time since the last consumed byte arrived, in ms."""
        return max(0.0, now - self.times[0][1]) if self.times else 0.0
