"""When the bytes of a connection came, by their place in all that it has sent."""

from __future__ import annotations

from collections import deque

from .watch import LoopWatch, Unpolled

MOST_ARRIVALS = 32  # times kept of what one connection has sent ahead


class ArrivalTimes:
    """The times, in ms of the dispatcher's clock, at which the bytes came that are not taken yet.

    unpolled: Since when the connection was not polled before its first read.
    """

    def __init__(self, loop: LoopWatch, unpolled: Unpolled) -> None:
        self.loop, self.unpolled = loop, unpolled
        self.received = 0  # bytes
        self.times = deque[tuple[int, float]]()  # bytes received by then

    def add(self, size: int) -> None:
        """So many bytes more were read."""
        self.received += size
        came_at = self.loop.arrival(self.unpolled)
        if len(self.times) >= MOST_ARRIVALS:  # in ever smaller pieces: the last counts from its first
            came_at = self.times.pop()[1]
        self.times.append((self.received, came_at))

    def resume(self, paused_at: float) -> None:
        """Reading goes on after a pause: what the next round of the loop reads may have come in it."""
        self.unpolled = Unpolled(paused_at, self.loop.round + 1)

    def forget_before(self, left: int) -> None:
        """All bytes but the last so many are taken; the time of the last one taken is kept."""
        while self.times and self.times[0][0] < self.received - left:
            self.times.popleft()

    def clear(self) -> None:
        """What has come so far counts from when the next bytes come."""
        self.times.clear()

    def waited(self, now: float) -> float:
        """How long ago the last byte taken came, in ms."""
        return max(0.0, now - self.times[0][1]) if self.times else 0.0
