"""Watches the event loop: how long it went without polling its sockets, and since when what it now reads may
have waited there.

Level-triggered polling reports each readable socket each time. So bytes that one round of the loop reads were
not there when the poll of the round before returned."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from .counters import Counters
from .limited_log import LimitedLog
from .retrying_poller import RetryingPoller
from .transient_errors import name_of

COUNTED_GAP = 100.0  # ms between two polls from which on waiting bytes are dated back; timers come every 50
LOGGED_GAP = 200.0  # ms
MOST_DELAY = 3000.0  # ms by which failing reads date back at most; nothing waits longer for an answer then
LOG_INTERVAL = 1000.0  # ms between two log lines


class Unpolled(NamedTuple):
    """A socket was not polled from this time on; it is first read in this round of the loop, or was empty."""

    since: float
    last_round: int


class LoopWatch:
    """Dates what is read. Without an instrumented reactor, bytes count as come when they are read."""

    def __init__(self, clock: Callable[[], float], counters: Counters, log: logging.Logger) -> None:
        self.clock, self.counters, self.log = clock, counters, log
        self.installed, self.round = False, 0
        self.polled_at = self.readable_since = clock()
        self.next_log = 0.0
        self.lines = LimitedLog(log, clock)
        self.batch_time, self.batch_events = 0.0, 0  # of the turns since the last poll
        self.poller: RetryingPoller | None = None
        self.delays: dict[object, float] = {}  # since when reading from each source fails
        self.over: set[object] = set()  # those that were read in this round
        self.gap_since: float | None = None  # the beginning of a gap that ended with the last poll

    def install(self, reactor: Any) -> None:
        """Times each poll of Twisted's epoll reactor, and outlives calls on it that fail for a moment.

        Other reactors are left as they are."""
        if hasattr(reactor, "_poller"):
            reactor._poller = self.poller = RetryingPoller(TimedPoller(reactor._poller, self), self.clock)
            self.installed, self.polled_at = True, self.clock()

    def polled(self) -> None:
        """A poll has returned.

        On a busy machine the process may have lost its core behind the system's look, before Python returns.
        So what came in a gap may be found by the next poll only."""
        now = self.clock()
        gap = now - self.polled_at
        before, self.gap_since = self.gap_since, self.polled_at if gap > COUNTED_GAP else None
        known = [since for since in (before, self.gap_since) if since is not None]
        self.readable_since = min(known, default=now)
        self.date_back()
        self.polled_at = now
        self.round += 1
        if gap > COUNTED_GAP:
            self.report(now, gap)
        self.batch_time, self.batch_events = 0.0, 0

    def delayed(self, source: object) -> None:
        """Reading from a source fails: what comes there waits since the poll of this round."""
        self.delays.setdefault(source, self.readable_since)
        self.over.discard(source)

    def caught_up(self, source: object) -> None:
        """Reading from a source works again: what is read after this round did not wait."""
        if source in self.delays:
            self.over.add(source)

    def date_back(self) -> None:
        """Which source is read next is not known: while one is delayed, all that is read counts from then."""
        for source in self.over:
            del self.delays[source]
        self.over.clear()
        if self.poller is not None and self.poller.refused:
            self.delayed(self.poller)
        elif self.poller in self.delays:
            self.over.add(self.poller)
        oldest = self.polled_at - MOST_DELAY
        self.delays = {source: since for source, since in self.delays.items() if since > oldest}
        self.over &= self.delays.keys()
        if self.delays:
            self.readable_since = min(self.readable_since, *self.delays.values())

    def batch_ended(self, took: float, events: int) -> None:
        """A turn of the dispatcher is over."""
        self.batch_time += took
        self.batch_events += events

    def report(self, now: float, gap: float) -> None:
        self.counters.add("poll_gaps")
        self.counters.record_max("longest_poll_gap_ms", gap)
        if gap > LOGGED_GAP and now >= self.next_log:
            self.next_log = now + LOG_INTERVAL
            figures = {"ms": gap, "turns_ms": self.batch_time, "events": self.batch_events}
            self.log.warning("poll_gap", extra={"figures": figures})

    def refused(self, call: str, descriptor: int, fault: OSError) -> None:
        """A call on the poller has failed."""
        self.counters.add(f"{call}_failed_errno_{fault.errno}")
        self.lines.write("poller_call_failed", call=call, descriptor=descriptor, error=name_of(fault))

    def arrival(self, unpolled: Unpolled | None = None) -> float:
        """The earliest time at which bytes that are read now can have come, on a socket that was not always
        polled before."""
        if not self.installed:
            return self.clock()
        if unpolled is not None and self.round <= unpolled.last_round:
            return min(unpolled.since, self.readable_since)
        return self.readable_since


class TimedPoller:
    """A reactor's poller that tells the watch when it was asked."""

    def __init__(self, poller: Any, watch: LoopWatch) -> None:
        self.poller, self.watch = poller, watch
        self.close = poller.close

    def register(self, descriptor: int, events: int) -> None:
        """Watch a descriptor."""
        self.control("add", descriptor, self.poller.register, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Change what a descriptor is watched for."""
        self.control("mod", descriptor, self.poller.modify, events)

    def unregister(self, descriptor: int) -> None:
        """Watch a descriptor no more."""
        self.control("del", descriptor, self.poller.unregister)

    def control(self, call: str, descriptor: int, change: Callable[..., None], *events: int) -> None:
        """Make a change; an error is counted and told, then raised as it came.

        Raises:
            OSError: The system has refused it.
        """
        try:
            change(descriptor, *events)
        except OSError as fault:
            self.watch.refused(f"epoll_{call}", descriptor, fault)
            raise

    def poll(self, timeout: float, most: int) -> list[tuple[int, int]]:
        try:
            found: list[tuple[int, int]] = self.poller.poll(timeout, most)
        except OSError as fault:
            self.watch.refused("epoll_wait", -1, fault)
            raise
        self.watch.polled()
        return found


class QueueLook(NamedTuple):
    """A look at the accept queue: what is accepted later than `newer_from` entered the queue after `at`."""

    at: float
    newer_from: int  # the first connection of which that is known, counted from the first accepted as 0


class AcceptWatch:
    """Dates connections: since when one that is accepted now may have waited, with bytes of its own.

    The accept queue is first in, first out. So a connection entered it after it was last empty, and after any
    look at it once as many were accepted as waited then. Where the system does not tell how many wait, a full
    queue is assumed.

    waiting: tells how many connections the queue holds, or None.
    queue_length: How many it holds at most.
    """

    def __init__(
        self, loop: LoopWatch, queue_length: int, waiting: Callable[[], int | None] = lambda: None
    ) -> None:
        self.loop, self.queue_length, self.waiting = loop, queue_length, waiting
        self.round, self.since = -1, 0.0
        self.count, self.most = 0, 0  # accepted in that round, and how many could be
        self.total = 0
        self.looks = deque[QueueLook]()  # since the queue was last empty, those that date nothing yet
        self.is_told = False  # whether the system has told of a connection that waits

    def accepted(self, most: int) -> Unpolled:
        """One more, of so many at most in this round."""
        if self.loop.round != self.round:
            self.begin_round(most)
            self.look(self.total + 1)
        while self.looks and self.total >= self.looks[0].newer_from:
            self.since = max(self.since, self.looks.popleft().at)
        self.count += 1
        self.total += 1
        return Unpolled(self.since, self.round + 1)

    def begin_round(self, most: int) -> None:
        """The first accept of a round of the loop, or the first that failed in it."""
        if self.loop.round > self.round + 1 or self.count < self.most:
            self.since = self.loop.arrival()
            self.looks.clear()
        self.round, self.count, self.most = self.loop.round, 0, most

    def look(self, taken: int) -> None:
        """Notes how many connections wait now that so many were taken off the queue.

        A count of 0 is believed only where a system has told of more before: it may not count them."""
        at, waiting = self.loop.clock(), self.waiting()
        self.is_told = self.is_told or bool(waiting)
        if waiting is None or not self.is_told:
            at, taken, waiting = self.loop.arrival(), self.total, self.queue_length
        while self.looks and self.looks[-1].newer_from >= taken + waiting:
            self.looks.pop()  # the new one dates all of its connections, and dates them later
        self.looks.append(QueueLook(at, taken + waiting))

    def failed(self) -> None:
        """An accept has failed: the queue is not empty."""
        if self.loop.round != self.round:
            self.begin_round(0)
            self.look(self.total)
        self.count = self.most = 0

    def resumed(self) -> None:
        """Accepting goes on after a pause: what waits may have done so since the last was accepted."""
        self.round, self.count, self.most = self.loop.round, 0, 0
