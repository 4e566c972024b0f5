"""Measures gaps between polls of the event loop, and estimates the earliest arrival time of input.

Polling is level-triggered: each poll reports every readable socket. So bytes that are read in one round of
the loop arrived after the poll of the previous round had returned.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from .counters import Counters
from .limited_log import LimitedLog
from .retrying_poller import RetryingPoller
from .transient_errors import errno_name

MIN_GAP = 100.0  # ms between two polls from which input is backdated; timers wake the loop every 50 ms
MIN_LOGGED_GAP = 200.0  # ms between two polls from which the gap is logged
# ms by which failing reads backdate input at most; no request waits longer for its answer then.
MAX_BACKDATING = 3000.0
LOG_INTERVAL = 1000.0  # ms between two log lines


class Unpolled(NamedTuple):
    """A time without polling a socket: input read up to round `last_round` may date back to `since`."""

    since: float
    last_round: int


class LoopWatch:
    """Estimates when input arrived. Without an instrumented reactor, it counts as arrived when it is read.

    Attributes:
        round: The number of polls so far.
        polled_at: When the last poll returned.
        readable_since: The earliest arrival time of input that is read in this round.
    """

    def __init__(self, clock: Callable[[], float], counters: Counters, log: logging.Logger) -> None:
        self.clock, self.counters, self.log = clock, counters, log
        self.installed, self.round = False, 0
        self.polled_at = self.readable_since = clock()
        self.next_log = 0.0
        self.lines = LimitedLog(log, clock)
        self.batch_time, self.batch_events = 0.0, 0  # of the batches since the last poll
        self.poller: RetryingPoller | None = None
        self.failing_since: dict[object, float] = {}  # by source: since when reading from it fails
        self.recovered: set[object] = set()  # failing sources that were read again in this round
        self.gap_since: float | None = None  # the start of a gap that ended with the last poll

    def install(self, reactor: Any) -> None:
        """Instruments the poller of Twisted's epoll reactor, and makes it retry calls that fail transiently.

        Other reactors are left as they are.
        """
        if hasattr(reactor, "_poller"):
            reactor._poller = self.poller = RetryingPoller(TimedPoller(reactor._poller, self), self.clock)
            self.installed, self.polled_at = True, self.clock()

    def record_poll(self) -> None:
        """Records the return of a poll.

        On a busy machine the process may be descheduled after the system has checked the sockets and before
        Python returns. So input that arrived in a gap may be reported only by the following poll.
        """
        now = self.clock()
        gap = now - self.polled_at
        before, self.gap_since = self.gap_since, self.polled_at if gap > MIN_GAP else None
        known = [since for since in (before, self.gap_since) if since is not None]
        self.readable_since = min(known, default=now)
        self.apply_backdating()
        self.polled_at = now
        self.round += 1
        if gap > MIN_GAP:
            self.report(now, gap)
        self.batch_time, self.batch_events = 0.0, 0

    def read_failed(self, source: object) -> None:
        """Reading from a source has failed: its input counts as arrived since the poll of this round."""
        self.failing_since.setdefault(source, self.readable_since)
        self.recovered.discard(source)

    def read_recovered(self, source: object) -> None:
        """Reading from a source works again: input that is read after this round is not backdated."""
        if source in self.failing_since:
            self.recovered.add(source)

    def apply_backdating(self) -> None:
        """Backdates all input while any source fails, as it is not known which source is read next."""
        for source in self.recovered:
            del self.failing_since[source]
        self.recovered.clear()
        if self.poller is not None and self.poller.pending_changes:
            self.read_failed(self.poller)
        elif self.poller in self.failing_since:
            self.recovered.add(self.poller)
        oldest = self.polled_at - MAX_BACKDATING
        self.failing_since = {source: since for source, since in self.failing_since.items() if since > oldest}
        self.recovered &= self.failing_since.keys()
        if self.failing_since:
            self.readable_since = min(self.readable_since, *self.failing_since.values())

    def batch_ended(self, duration: float, events: int) -> None:
        """Records a batch: its duration in ms and its number of events."""
        self.batch_time += duration
        self.batch_events += events

    def report(self, now: float, gap: float) -> None:
        """Counts a gap, and logs it if it is long, at most once per LOG_INTERVAL."""
        self.counters.add("poll_gaps")
        self.counters.record_max("longest_poll_gap_ms", gap)
        if gap > MIN_LOGGED_GAP and now >= self.next_log:
            self.next_log = now + LOG_INTERVAL
            figures = {"ms": gap, "turns_ms": self.batch_time, "events": self.batch_events}
            self.log.warning("poll_gap", extra={"figures": figures})

    def record_error(self, call: str, descriptor: int, error: OSError) -> None:
        """Counts and logs a failed call on the poller."""
        self.counters.add(f"{call}_failed_errno_{error.errno}")
        self.lines.write("poller_call_failed", call=call, descriptor=descriptor, error=errno_name(error))

    def arrival(self, unpolled: Unpolled | None = None) -> float:
        """The earliest time at which bytes that are read now can have arrived.

        unpolled: Given for a socket that was not polled for some time before.
        """
        if not self.installed:
            return self.clock()
        if unpolled is not None and self.round <= unpolled.last_round:
            return min(unpolled.since, self.readable_since)
        return self.readable_since


class TimedPoller:
    """Wraps a reactor's poller, and reports its polls and errors to the watch."""

    def __init__(self, poller: Any, watch: LoopWatch) -> None:
        self.poller, self.watch = poller, watch
        self.close = poller.close

    def register(self, descriptor: int, events: int) -> None:
        """Starts to watch a descriptor."""
        self.control("add", descriptor, self.poller.register, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Changes the events for which a descriptor is watched."""
        self.control("mod", descriptor, self.poller.modify, events)

    def unregister(self, descriptor: int) -> None:
        """Stops watching a descriptor."""
        self.control("del", descriptor, self.poller.unregister)

    def control(self, call: str, descriptor: int, change: Callable[..., None], *events: int) -> None:
        """Makes a change; counts and logs an error before raising it unchanged.

        Raises:
            OSError: The system has rejected it.
        """
        try:
            change(descriptor, *events)
        except OSError as error:
            self.watch.record_error(f"epoll_{call}", descriptor, error)
            raise

    def poll(self, timeout: float, limit: int) -> list[tuple[int, int]]:
        """Waits for events, and records the return of the poll."""
        try:
            found: list[tuple[int, int]] = self.poller.poll(timeout, limit)
        except OSError as error:
            self.watch.record_error("epoll_wait", -1, error)
            raise
        self.watch.record_poll()
        return found


class QueueSample(NamedTuple):
    """A sample of the accept queue: connections from `first_newer` on entered the queue after `at`."""

    at: float
    first_newer: int  # index of a connection, in the order of accepting, from 0


class AcceptWatch:
    """Estimates since when a connection that is accepted now may have been waiting, with input of its own.

    The accept queue is first in, first out. So a connection entered it after it was last empty, and after any
    sample of its length once that many connections were accepted. If the system does not report the length,
    the queue is assumed to be full.

    waiting: Returns the present length of the queue, or None.
    queue_length: Its maximum length.

    Attributes:
        accept_round: The round of the loop of the latest accept.
        waiting_since: Since when a connection accepted in that round may have been waiting.
        accepted_in_round: Connections accepted in that round.
        round_limit: The limit on them.
        total_accepted: Connections accepted so far.
    """

    def __init__(
        self, loop: LoopWatch, queue_length: int, waiting: Callable[[], int | None] = lambda: None
    ) -> None:
        self.loop, self.queue_length, self.waiting = loop, queue_length, waiting
        self.accept_round, self.waiting_since = -1, 0.0
        self.accepted_in_round, self.round_limit = 0, 0
        self.total_accepted = 0
        # Taken since the queue was last empty, and not used by an accept yet.
        self.samples = deque[QueueSample]()
        self.count_supported = False  # whether the system has ever reported a waiting connection

    def record_accept(self, limit: int) -> Unpolled:
        """Records an accept, of at most `limit` in this round; returns since when the connection may wait."""
        if self.loop.round != self.accept_round:
            self.begin_round(limit)
            self.sample_queue(self.total_accepted + 1)
        while self.samples and self.total_accepted >= self.samples[0].first_newer:
            self.waiting_since = max(self.waiting_since, self.samples.popleft().at)
        self.accepted_in_round += 1
        self.total_accepted += 1
        return Unpolled(self.waiting_since, self.accept_round + 1)

    def begin_round(self, limit: int) -> None:
        """Starts a round of the loop, at its first accept, whether that succeeded or failed."""
        if self.loop.round > self.accept_round + 1 or self.accepted_in_round < self.round_limit:
            self.waiting_since = self.loop.arrival()
            self.samples.clear()
        self.accept_round, self.accepted_in_round, self.round_limit = self.loop.round, 0, limit

    def sample_queue(self, removed: int) -> None:
        """Samples the queue's length after `removed` connections left it.

        A length of 0 is trusted only if the system has reported more before, as some do not count at all.
        """
        at, waiting = self.loop.clock(), self.waiting()
        self.count_supported = self.count_supported or bool(waiting)
        if waiting is None or not self.count_supported:
            at, removed, waiting = self.loop.arrival(), self.total_accepted, self.queue_length
        while self.samples and self.samples[-1].first_newer >= removed + waiting:
            self.samples.pop()  # the new one gives a later bound for all of its connections
        self.samples.append(QueueSample(at, removed + waiting))

    def record_failure(self) -> None:
        """Records a failed accept: the queue is not empty."""
        if self.loop.round != self.accept_round:
            self.begin_round(0)
            self.sample_queue(self.total_accepted)
        self.accepted_in_round = self.round_limit = 0

    def record_resumption(self) -> None:
        """Accepting resumes after a pause: connections may have been waiting since the last accept."""
        self.accept_round, self.accepted_in_round, self.round_limit = self.loop.round, 0, 0
