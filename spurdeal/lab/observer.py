"""Checks the seven rules of a deployment from the events on the wire, independently of the code under test.

The harness reports lists, requests, sends, attempt ends and answers as they happen; the observer records each
violation: the rule's number and a line that describes the event. It knows each workload's settings and
nothing about how the rules choose. No I/O; times are ms.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..interface import NEVER_RAN, Deployment, Effect, Ending, Life, ListedEngine, Reach

MAY_STILL_RUN = (Ending.TIME_OUT, Ending.RESET, Ending.CALLED_OFF)
TOLERANCE = 1.0  # ms: an event may be timed differently at its two ends
MAX_LINES = 20  # lines kept for each rule


@dataclass(slots=True)
class Attempt:
    """One send of a request to an engine; its ending is None while it is in flight."""

    engine: int
    sent: float
    ending: Ending | None = None


@dataclass(slots=True)
class ObservedRequest:
    """One request at one dispatcher, kept until it is answered and none of its attempts is in flight.

    Attributes:
        kind: The index of its workload.
        key: Its ordering key; 0 where the workload is unordered.
    """

    kind: int
    key: int
    taken: float
    deadline: float
    attempts: dict[int, Attempt] = field(default_factory=dict)
    answers: int = 0


class Observer:
    """Checks all dispatchers and engines of a fleet together.

    Attributes:
        budget: The most work, in ms, that a cold engine may get from all dispatchers in one window.
        left: Since when a dispatcher has known that an engine drains or is gone.
        recent_work: The time and ms of work of what reached a cold engine in the current window.
        lines: For each dispatcher and ordering key, the unfinished requests in order.
        key_paused_until: For each dispatcher and ordering key, the end of the pause after an attempt that
            may still run.
        violations: The number of violations of each rule.
        violation_lines: The first descriptions for each rule.
        max_budget_used: The largest share of the budget that was used in any window.
    """

    def __init__(self, site: Deployment, budget: float) -> None:
        self.site, self.budget = site, budget
        self.open: dict[tuple[int, int], ObservedRequest] = {}
        self.lists: dict[int, dict[int, ListedEngine]] = {}
        self.listed_engines: dict[
            int, ListedEngine
        ] = {}  # every engine ever listed: rule 2 also needs the zone and cell of one that has left
        self.left: dict[tuple[int, int], float] = {}
        self.recent_work: dict[int, deque[tuple[float, float]]] = {}
        self.cold_until: dict[int, float] = {}
        self.lines: dict[tuple[int, int], list[int]] = {}
        self.key_paused_until: dict[tuple[int, int], float] = {}
        self.received_at: dict[int, deque[float]] = {}
        self.retried_at: dict[int, deque[float]] = {}
        self.violations: Counter[int] = Counter()
        self.violation_lines: dict[int, list[str]] = {}
        self.max_budget_used = 0.0

    def report_violation(self, rule: int, now: float, what: str) -> None:
        """Count a violation and keep its description, up to MAX_LINES for each rule."""
        self.violations[rule] += 1
        lines = self.violation_lines.setdefault(rule, [])
        if len(lines) < MAX_LINES:
            lines.append(f"{now:.1f} {what}")

    # Events.

    def listed(self, now: float, dispatcher: int, lines: Sequence[ListedEngine]) -> None:
        """A dispatcher has received this list; it is complete."""
        listed = {line.engine: line for line in lines}
        self.listed_engines.update(listed)
        for engine, line in (self.lists.get(dispatcher, {}) | listed).items():
            ready = engine in listed and line.life == Life.READY
            if ready:
                self.left.pop((dispatcher, engine), None)
            else:
                self.left.setdefault((dispatcher, engine), now)
        self.lists[dispatcher] = listed

    def restarted(self, dispatcher: int) -> None:
        """A dispatcher has restarted: its open requests and its retry counts are void."""
        self.open = {key: request for key, request in self.open.items() if key[0] != dispatcher}
        self.lines = {key: line for key, line in self.lines.items() if key[0] != dispatcher}
        for kept in (self.received_at, self.retried_at):
            kept.pop(dispatcher, None)

    def started(self, engine: int, until: float) -> None:
        """An engine has started; it is cold until then."""
        self.cold_until[engine] = until

    def taken(self, now: float, dispatcher: int, number: int, kind: int, key: int, deadline: float) -> None:
        """A dispatcher has received a request."""
        ordered = key if self.site.workloads[kind].in_order else 0
        self.open[dispatcher, number] = ObservedRequest(kind, ordered, now, deadline)
        self.received_at.setdefault(dispatcher, deque()).append(now)
        if ordered:
            self.lines.setdefault((dispatcher, ordered), []).append(number)

    def withdrawn(self, dispatcher: int, number: int) -> None:
        """The client has cancelled its request, which needs no answer any more."""
        request = self.open.get((dispatcher, number))
        if request is not None:
            request.answers += 1
            self.forget_if_finished(dispatcher, number, request)

    def sent(self, now: float, dispatcher: int, number: int, attempt: int, engine: int) -> None:
        """A dispatcher has sent a request to an engine: check rules 1, 2, 3, 5, 6 and 7."""
        what = f"dispatcher {dispatcher} request {number} attempt {attempt} engine {engine}"
        request = self.open.get((dispatcher, number))
        if request is None or request.answers:
            self.report_violation(1, now, f"{what}: sent after its answer")
            return
        w = self.site.workloads[request.kind]
        line = self.lists.get(dispatcher, {}).get(engine)
        self.check_repeat(now, what, dispatcher, request, engine)
        left = self.left.get((dispatcher, engine))
        if line is None or (left is not None and now > left + self.site.drain_grace + TOLERANCE):
            self.report_violation(3, now, f"{what}: not listed, or draining or gone since {left}")
        if line is not None and (
            (w.zones is not None and line.zone not in w.zones)
            or (w.kinds is not None and line.kind not in w.kinds)
        ):
            self.report_violation(6, now, f"{what}: not among the engines allowed for its workload")
        if request.key:
            self.check_order(now, what, dispatcher, number, request)
        if request.attempts:
            self.check_retry_budget(now, what, dispatcher)
        request.attempts[attempt] = Attempt(engine, now)

    def check_repeat(
        self, now: float, what: str, dispatcher: int, request: ObservedRequest, engine: int
    ) -> None:
        """Rule 2: whether the request may be sent again, to this engine."""
        w = self.site.workloads[request.kind]
        if not self.site.second_copies and any(
            attempt.ending is None for attempt in request.attempts.values()
        ):
            self.report_violation(2, now, f"{what}: another attempt is in flight")
        ran = [attempt for attempt in request.attempts.values() if attempt.ending not in NEVER_RAN]
        if not ran or w.effect == Effect.IDEMPOTENT:
            return
        if w.effect == Effect.NON_IDEMPOTENT:
            self.report_violation(2, now, f"{what}: non-idempotent, and it may have run")
            return
        first = ran[0]
        before, after = self.listed_engines.get(first.engine), self.listed_engines.get(engine)
        same = w.reach == Reach.ALL or (
            before is not None
            and after is not None
            and (before.zone == after.zone if w.reach == Reach.ZONE else before.cell == after.cell)
        )
        if not same or now > first.sent + w.key_retention + TOLERANCE:
            self.report_violation(2, now, f"{what}: idempotent by key, and the engine does not know its key")

    def check_order(
        self, now: float, what: str, dispatcher: int, number: int, request: ObservedRequest
    ) -> None:
        """Rule 5: requests with one key go in order, with a pause after an attempt that may still run."""
        line = self.lines.get((dispatcher, request.key), [])
        if line and line[0] != number:
            self.report_violation(5, now, f"{what}: request {line[0]} with the same key is unfinished")
        elif (
            now < self.key_paused_until.get((dispatcher, request.key), 0.0) - TOLERANCE
            and not request.attempts
        ):
            self.report_violation(5, now, f"{what}: sent within the pause of its key")

    def check_retry_budget(self, now: float, what: str, dispatcher: int) -> None:
        """Rule 7: retries in the window are at most the floor plus a share of the requests received in it."""
        window = self.site.retry_window
        if not window:
            return
        times, taken = (
            self.retried_at.setdefault(dispatcher, deque()),
            self.received_at.get(dispatcher, deque()),
        )
        times.append(now)
        for kept in (times, taken):
            while kept and kept[0] <= now - window:
                kept.popleft()
        most = (self.site.retry_floor or 0.0) + (self.site.retry_ratio or 0.0) * len(taken)
        if len(times) > most:
            self.report_violation(7, now, f"{what}: {len(times)} retries, {most:.1f} allowed")

    def ended(self, now: float, dispatcher: int, number: int, attempt: int, ending: Ending) -> None:
        """An attempt has ended."""
        request = self.open.get((dispatcher, number))
        if request is None or attempt not in request.attempts:
            return
        request.attempts[attempt].ending = ending
        if ending == Ending.MOOT and self.retried_at.get(dispatcher) and attempt:
            self.retried_at[dispatcher].pop()  # it was never sent, so it is no retry
        if request.key and ending in MAY_STILL_RUN:
            self.key_paused_until[dispatcher, request.key] = now + (self.site.order_pause or 0.0)
        self.forget_if_finished(dispatcher, number, request)

    def answered(self, now: float, dispatcher: int, number: int, shed: bool) -> None:
        """A dispatcher has answered a request: check rule 1, and rule 2 for a rejection."""
        what = f"dispatcher {dispatcher} request {number}"
        request = self.open.get((dispatcher, number))
        if request is None or request.answers:
            self.report_violation(1, now, f"{what}: a second answer")
            return
        request.answers += 1
        if now > request.deadline + TOLERANCE:
            self.report_violation(
                1, now, f"{what}: answered {now - request.deadline:.0f} ms after its deadline"
            )
        w = self.site.workloads[request.kind]
        ran = any(attempt.ending not in NEVER_RAN for attempt in request.attempts.values())
        harmless = w.effect == Effect.IDEMPOTENT or (
            w.effect == Effect.IDEMPOTENT_BY_KEY and w.reach == Reach.ALL
        )
        if shed and ran and not harmless:
            self.report_violation(2, now, f"{what}: shed, and it may have run")
        self.forget_if_finished(dispatcher, number, request)

    def forget_if_finished(self, dispatcher: int, number: int, request: ObservedRequest) -> None:
        """Forget a request that is answered and has no attempt in flight."""
        if not request.answers or any(attempt.ending is None for attempt in request.attempts.values()):
            return
        self.open.pop((dispatcher, number), None)
        line = self.lines.get((dispatcher, request.key))
        if line is not None and number in line:
            line.remove(number)
            if not line:
                del self.lines[dispatcher, request.key]

    def reached(self, now: float, engine: int, work: float) -> None:
        """Rule 4: work from any dispatcher has reached an engine; a cold one has a budget for each window."""
        if now >= self.cold_until.get(engine, 0.0):
            return
        times = self.recent_work.setdefault(engine, deque())
        times.append((now, work))
        while times[0][0] <= now - self.site.cold_window:
            times.popleft()
        used = sum(each for _, each in times) / self.budget
        self.max_budget_used = max(self.max_budget_used, used)
        if used > 1.0:
            self.report_violation(4, now, f"engine {engine}: {used:.2f} of its slow-start budget")

    def overdue(self, now: float) -> None:
        """At the end of a run: report requests whose deadline has passed unanswered."""
        for (dispatcher, number), request in self.open.items():
            if not request.answers and now > request.deadline + TOLERANCE:
                self.report_violation(1, now, f"dispatcher {dispatcher} request {number}: never answered")
