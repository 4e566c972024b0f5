"""Event batches: events are queued, delivered together, decided on, and the decisions executed."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from itertools import count
from typing import Any

from .counters import Counters
from .poll_watch import LoopWatch

LATE_TIMER = 50.0  # ms; a timer that fires later than this is counted
MAX_EVENTS = 128  # per batch; the rest waits for the next, and sockets are polled in between


class EventBatches:
    """Queues of events and timers, processed in batches; subclasses define what a batch decides."""

    def __init__(
        self, reactor: Any, clock: Callable[[], float], counters: Counters, log: logging.Logger
    ) -> None:
        self.reactor, self.clock, self.counters, self.logger = reactor, clock, counters, log
        self.loop = LoopWatch(clock, counters, log)
        self.loop.install(reactor)
        self.timer_numbers = count()
        self.pending_events: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.actions: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.in_batch = False
        self.scheduled: Any = None
        self.timer_call: Any = None

    def batch_begins(self, now: float) -> None:
        """Called before the first event of a batch is delivered."""

    def decide(self, now: float) -> None:
        """Called after all events of a batch; appends the resulting actions to `actions`."""

    def batch_ends(self) -> None:
        """Called after the actions of a batch have been executed."""

    def write_out(self) -> None:
        """Called after the batch to write deferred output; events that this causes go to the next batch."""

    def enqueue(self, call: Callable[..., None], *args: Any) -> None:
        """Queue an event for the next batch."""
        self.pending_events.append((call, args))
        if self.scheduled is None and not self.in_batch:
            self.scheduled = self.reactor.callLater(0, self.run_batch)

    def call_at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Set a timer; it fires in the first batch at or after `when`."""
        heapq.heappush(self.timers, (when, next(self.timer_numbers), call, args))

    def run_batch(self) -> None:
        """Process due timers and queued events as one batch, and schedule the next one."""
        began = self.clock()
        for delayed in (self.scheduled, self.timer_call):
            if delayed is not None and delayed.active():
                delayed.cancel()
        self.scheduled = self.timer_call = None
        self.in_batch = True
        self.batch_begins(began)
        self.fire_timers(began)
        delivered = self.deliver_events(began)
        self.call_safely(self.decide, began)
        actions, self.actions = self.actions, []
        for action, args in actions:
            self.call_safely(action, *args)
        self.batch_ends()
        self.in_batch = False
        self.call_safely(self.write_out)
        took = self.clock() - began
        self.counters.record_max("longest_turn_ms", took)
        self.loop.batch_ended(took, delivered)
        if self.scheduled is not None:
            return  # writing has already scheduled the next batch
        if self.pending_events:
            self.scheduled = self.reactor.callLater(0, self.run_batch)
        elif self.timers:
            self.timer_call = self.reactor.callLater(
                max(0.0, self.timers[0][0] - self.clock()) / 1000, self.run_batch
            )

    def fire_timers(self, now: float) -> None:
        """Call all timers that are due."""
        while self.timers and self.timers[0][0] <= now:
            due, _, call, args = heapq.heappop(self.timers)
            self.counters.record_max("latest_turn_ms", now - due)
            self.counters.add("turns_late", now - due > LATE_TIMER)
            self.call_safely(call, *args)

    def deliver_events(self, now: float) -> int:
        """Deliver the oldest events, at most MAX_EVENTS; returns how many."""
        events = self.pending_events[:MAX_EVENTS]
        del self.pending_events[:MAX_EVENTS]
        self.counters.add("turns")
        self.counters.add("events", len(events))
        for event, args in events:
            self.call_safely(event, now, *args)
        return len(events)

    def call_safely(self, call: Callable[..., None], *args: Any) -> None:
        """Make a call; an exception is logged and counted, and does not affect other requests."""
        try:
            call(*args)
        except Exception:
            self.counters.add("faults")
            self.logger.exception("fault", extra={"figures": {"call": getattr(call, "__name__", "?")}})
