"""Turns: what comes between two of them is gathered, handed over as one batch, decided on and carried out."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from itertools import count
from typing import Any

from .counters import Counters
from .watch import LoopWatch

LATE = 50.0  # ms; a turn later than that is counted
MOST_EVENTS = 128  # in one turn; the rest waits for the next, and sockets are polled between them


class EventBatches:
    """Events, alarms and the turns that take them up; who derives from it says what a turn decides."""

    def __init__(
        self, reactor: Any, clock: Callable[[], float], counters: Counters, log: logging.Logger
    ) -> None:
        self.reactor, self.clock, self.counters, self.logger = reactor, clock, counters, log
        self.loop = LoopWatch(clock, counters, log)
        self.loop.install(reactor)
        self.order = count()
        self.pending_events: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.asked: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.alarms: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.in_batch = False
        self.scheduled: Any = None
        self.alarm: Any = None

    def batch_begins(self, now: float) -> None:
        """Before anything of a turn is handed over."""

    def decide(self, now: float) -> None:
        """All of a turn has been handed over; what is asked for goes to `asked`."""

    def batch_ends(self) -> None:
        """What was asked for is carried out."""

    def write_out(self) -> None:
        """The turn is over: what it held back leaves. What that brings waits for the next turn."""

    def enqueue(self, call: Callable[..., None], *words: Any) -> None:
        """An event waits for the next turn."""
        self.pending_events.append((call, words))
        if self.scheduled is None and not self.in_batch:
            self.scheduled = self.reactor.callLater(0, self.run_batch)

    def at(self, when: float, call: Callable[..., None], *words: Any) -> None:
        heapq.heappush(self.alarms, (when, next(self.order), call, words))

    def run_batch(self) -> None:
        began = self.clock()
        for delayed in (self.scheduled, self.alarm):
            if delayed is not None and delayed.active():
                delayed.cancel()
        self.scheduled = self.alarm = None
        self.in_batch = True
        self.batch_begins(began)
        self.call_alarms(began)
        handed = self.hand_over(began)
        self.guarded(self.decide, began)
        asked, self.asked = self.asked, []
        for act, words in asked:
            self.guarded(act, *words)
        self.batch_ends()
        self.in_batch = False
        self.guarded(self.write_out)
        took = self.clock() - began
        self.counters.record_max("longest_turn_ms", took)
        self.loop.batch_ended(took, handed)
        if self.scheduled is not None:
            return  # what was written has brought the next one on
        if self.pending_events:
            self.scheduled = self.reactor.callLater(0, self.run_batch)
        elif self.alarms:
            self.alarm = self.reactor.callLater(
                max(0.0, self.alarms[0][0] - self.clock()) / 1000, self.run_batch
            )

    def call_alarms(self, now: float) -> None:
        while self.alarms and self.alarms[0][0] <= now:
            due, _, call, words = heapq.heappop(self.alarms)
            self.counters.record_max("latest_turn_ms", now - due)
            self.counters.add("turns_late", now - due > LATE)
            self.guarded(call, *words)

    def hand_over(self, now: float) -> int:
        """The events that have waited longest; how many."""
        events = self.pending_events[:MOST_EVENTS]
        del self.pending_events[:MOST_EVENTS]
        self.counters.add("turns")
        self.counters.add("events", len(events))
        for event, words in events:
            self.guarded(event, now, *words)
        return len(events)

    def guarded(self, call: Callable[..., None], *words: Any) -> None:
        """A fault in one call must not take the others' answers with it; it is logged whole and counted."""
        try:
            call(*words)
        except Exception:
            self.counters.add("faults")
            self.logger.exception("fault", extra={"figures": {"call": getattr(call, "__name__", "?")}})
