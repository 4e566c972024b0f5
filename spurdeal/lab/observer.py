"""Checks the seven rules from what crosses the wire, apart from the code under test. Free of I/O; times are
ms.

It is told of lists, requests, sends, ends and answers as they happen, and keeps what is broken: the rule's
number and a line of what was seen. It knows each workload's terms and nothing of how a choice came about."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..interface import NEVER_RAN, Deployment, Effect, Ending, Life, ListedEngine, Reach

UNSURE = (Ending.TIME_OUT, Ending.RESET, Ending.CALLED_OFF)
SLACK = 1.0  # ms: two ends of one event
MOST_KEPT = 20  # lines of what was seen, for each rule


@dataclass(slots=True)
class Attempt:
    engine: int
    sent: float
    ending: Ending | None = None


@dataclass(slots=True)
class Seen:
    """One request at one dispatcher."""

    kind: int
    key: int
    taken: float
    deadline: float
    attempts: dict[int, Attempt] = field(default_factory=dict)
    answers: int = 0


class Observer:
    """One for a whole fleet."""

    def __init__(self, site: Deployment, budget: float) -> None:
        self.site, self.budget = site, budget  # what a cold engine bears in a window, in ms of work, by all
        self.open: dict[tuple[int, int], Seen] = {}
        self.lists: dict[int, dict[int, ListedEngine]] = {}
        self.places: dict[
            int, ListedEngine
        ] = {}  # of every engine ever listed: those that left have places, too
        self.left: dict[tuple[int, int], float] = {}  # when this dispatcher was told so
        self.pressure: dict[int, deque[tuple[float, float]]] = {}
        self.cold_until: dict[int, float] = {}
        self.lines: dict[tuple[int, int], list[int]] = {}  # of one key: who is in it, in order
        self.rests: dict[tuple[int, int], float] = {}
        self.taken_at: dict[int, deque[float]] = {}
        self.further_at: dict[int, deque[float]] = {}
        self.violations: Counter[int] = Counter()
        self.violation_lines: dict[int, list[str]] = {}
        self.max_budget_used = 0.0

    def breaks(self, rule: int, now: float, what: str) -> None:
        self.violations[rule] += 1
        lines = self.violation_lines.setdefault(rule, [])
        if len(lines) < MOST_KEPT:
            lines.append(f"{now:.1f} {what}")

    # What is told.

    def listed(self, now: float, dispatcher: int, lines: Sequence[ListedEngine]) -> None:
        """The whole list, as this dispatcher was told it now."""
        told = {line.engine: line for line in lines}
        self.places.update(told)
        for engine, line in (self.lists.get(dispatcher, {}) | told).items():
            ready = engine in told and line.life == Life.READY
            if ready:
                self.left.pop((dispatcher, engine), None)
            else:
                self.left.setdefault((dispatcher, engine), now)
        self.lists[dispatcher] = told

    def restarted(self, dispatcher: int) -> None:
        """What it held is no longer its duty, and its counts begin anew."""
        self.open = {key: seen for key, seen in self.open.items() if key[0] != dispatcher}
        self.lines = {key: line for key, line in self.lines.items() if key[0] != dispatcher}
        for kept in (self.taken_at, self.further_at):
            kept.pop(dispatcher, None)

    def started(self, engine: int, until: float) -> None:
        self.cold_until[engine] = until

    def taken(self, now: float, dispatcher: int, number: int, kind: int, key: int, deadline: float) -> None:
        ordered = key if self.site.workloads[kind].in_order else 0
        self.open[dispatcher, number] = Seen(kind, ordered, now, deadline)
        self.taken_at.setdefault(dispatcher, deque()).append(now)
        if ordered:
            self.lines.setdefault((dispatcher, ordered), []).append(number)

    def withdrawn(self, dispatcher: int, number: int) -> None:
        seen = self.open.get((dispatcher, number))
        if seen is not None:
            seen.answers += 1
            self.settled(dispatcher, number, seen)

    def sent(self, now: float, dispatcher: int, number: int, attempt: int, engine: int) -> None:
        what = f"dispatcher {dispatcher} submission {number} trip {attempt} engine {engine}"
        seen = self.open.get((dispatcher, number))
        if seen is None or seen.answers:
            self.breaks(1, now, f"{what}: sent after its answer")
            return
        w = self.site.workloads[seen.kind]
        line = self.lists.get(dispatcher, {}).get(engine)
        self.repeated(now, what, dispatcher, seen, engine)
        told = self.left.get((dispatcher, engine))
        if line is None or (told is not None and now > told + self.site.drain_grace + SLACK):
            self.breaks(3, now, f"{what}: told {told} that it drains or is gone")
        if line is not None and (
            (w.zones is not None and line.zone not in w.zones)
            or (w.kinds is not None and line.kind not in w.kinds)
        ):
            self.breaks(6, now, f"{what}: not among its places")
        if seen.key:
            self.ordered(now, what, dispatcher, number, seen)
        if seen.attempts:
            self.further(now, what, dispatcher)
        seen.attempts[attempt] = Attempt(engine, now)

    def repeated(self, now: float, what: str, dispatcher: int, seen: Seen, engine: int) -> None:
        """Rule 2, before a further send."""
        w = self.site.workloads[seen.kind]
        if not self.site.second_copies and any(attempt.ending is None for attempt in seen.attempts.values()):
            self.breaks(2, now, f"{what}: a second copy")
        ran = [attempt for attempt in seen.attempts.values() if attempt.ending not in NEVER_RAN]
        if not ran or w.effect == Effect.IDEMPOTENT:
            return
        if w.effect == Effect.NON_IDEMPOTENT:
            self.breaks(2, now, f"{what}: irreversible, and it may have run")
            return
        first = ran[0]
        before, after = self.places.get(first.engine), self.places.get(engine)
        same = w.reach == Reach.ALL or (
            before is not None
            and after is not None
            and (before.zone == after.zone if w.reach == Reach.ZONE else before.cell == after.cell)
        )
        if not same or now > first.sent + w.key_retention + SLACK:
            self.breaks(2, now, f"{what}: labelled, and its mark is not known there")

    def ordered(self, now: float, what: str, dispatcher: int, number: int, seen: Seen) -> None:
        line = self.lines.get((dispatcher, seen.key), [])
        if line and line[0] != number:
            self.breaks(5, now, f"{what}: {line[0]} of its key is not over")
        elif now < self.rests.get((dispatcher, seen.key), 0.0) - SLACK and not seen.attempts:
            self.breaks(5, now, f"{what}: its key rests")

    def further(self, now: float, what: str, dispatcher: int) -> None:
        window = self.site.retry_window
        if not window:
            return
        times, taken = self.further_at.setdefault(dispatcher, deque()), self.taken_at.get(dispatcher, deque())
        times.append(now)
        for kept in (times, taken):
            while kept and kept[0] <= now - window:
                kept.popleft()
        most = (self.site.retry_floor or 0.0) + (self.site.retry_ratio or 0.0) * len(taken)
        if len(times) > most:
            self.breaks(7, now, f"{what}: {len(times)} further trips of {most:.1f}")

    def ended(self, now: float, dispatcher: int, number: int, attempt: int, ending: Ending) -> None:
        seen = self.open.get((dispatcher, number))
        if seen is None or attempt not in seen.attempts:
            return
        seen.attempts[attempt].ending = ending
        if ending == Ending.MOOT and self.further_at.get(dispatcher) and attempt:
            self.further_at[dispatcher].pop()  # it was never sent, and does not count
        if seen.key and ending in UNSURE:
            self.rests[dispatcher, seen.key] = now + (self.site.order_pause or 0.0)
        self.settled(dispatcher, number, seen)

    def answered(self, now: float, dispatcher: int, number: int, shed: bool) -> None:
        what = f"dispatcher {dispatcher} submission {number}"
        seen = self.open.get((dispatcher, number))
        if seen is None or seen.answers:
            self.breaks(1, now, f"{what}: a second answer")
            return
        seen.answers += 1
        if now > seen.deadline + SLACK:
            self.breaks(1, now, f"{what}: answered {now - seen.deadline:.0f} ms after its expiry")
        w = self.site.workloads[seen.kind]
        ran = any(attempt.ending not in NEVER_RAN for attempt in seen.attempts.values())
        harmless = w.effect == Effect.IDEMPOTENT or (
            w.effect == Effect.IDEMPOTENT_BY_KEY and w.reach == Reach.ALL
        )
        if shed and ran and not harmless:
            self.breaks(2, now, f"{what}: shed, and it may have run")
        self.settled(dispatcher, number, seen)

    def settled(self, dispatcher: int, number: int, seen: Seen) -> None:
        """Over and without an attempt that is out: nothing is kept of it."""
        if not seen.answers or any(attempt.ending is None for attempt in seen.attempts.values()):
            return
        self.open.pop((dispatcher, number), None)
        line = self.lines.get((dispatcher, seen.key))
        if line is not None and number in line:
            line.remove(number)
            if not line:
                del self.lines[dispatcher, seen.key]

    def reached(self, now: float, engine: int, work: float) -> None:
        """Rule 4: work that reaches an engine, from whomever."""
        if now >= self.cold_until.get(engine, 0.0):
            return
        times = self.pressure.setdefault(engine, deque())
        times.append((now, work))
        while times[0][0] <= now - self.site.cold_window:
            times.popleft()
        used = sum(each for _, each in times) / self.budget
        self.max_budget_used = max(self.max_budget_used, used)
        if used > 1.0:
            self.breaks(4, now, f"engine {engine}: {used:.2f} of what it bears")

    def overdue(self, now: float) -> None:
        """At the end of a run: what should have been answered by now."""
        for (dispatcher, number), seen in self.open.items():
            if not seen.answers and now > seen.deadline + SLACK:
                self.breaks(1, now, f"dispatcher {dispatcher} submission {number}: never answered")
