"""What clients, engines and the name service saw of a run, and which rules that breaks. Free of I/O.

All times are in seconds of the observer's own steady clock. How far the observer itself ran late at a time is
added to what the rules allow there.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum

TOLD_WITHIN = 1.5  # after an event, to a dispatcher that could have asked
NEWS_WITHIN = 7.0  # after an event, whether or not an answer arrived
GRACE = 0.25  # of a drain, as the settings have it
SLACK = 0.05  # on each limit
ANSWER_SLACK = 0.5  # after a request's time: later is lost
WAIT_SLACK = 0.15  # of the time that is passed to an engine
LEFT_SLACK = 0.1  # after a client's leaving until which attempts may begin
CROSSING = 0.05  # a request may cross the end of its connection by so much
STOP_TO_KILL = 3.7  # the longest deadline, 3 s at most, and 0.7 s


class End(Enum):
    """How a request ended, as its client saw it."""

    OPEN = "not at all"
    SERVED = "all rows"
    REFUSED = "with a promise that nothing ran"
    FAILED = "without one"
    SPOILT = "an answer that is not its own, or none that can be read"
    CLOSED = "its connection ended with no answer"
    LEFT = "the client left"


@dataclass
class Request:
    """One request of a client."""

    ident: str
    dispatcher: int
    once: bool
    wait: float
    sent_at: float = 0.0
    ended_at: float = 0.0
    end: End = End.OPEN


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at an engine; `ran` is False where the engine turned it away."""

    at: float
    ident: str
    engine: str
    wait: float
    ran: bool


@dataclass(frozen=True, slots=True)
class Change:
    """From `at` on an engine drains or is gone; `told` is when each dispatcher's answer with it left.

    It counts also where that answer was lost on its way.
    """

    at: float
    engine: str
    number: int
    told: dict[int, float]


@dataclass(frozen=True, slots=True)
class Outage:
    """A time in which the name service answered nobody, or questions were lost.

    Attributes:
        dispatchers: Whom it concerned; None: all of them.
    """

    began: float
    ended: float
    dispatchers: frozenset[int] | None = None

    def concerns(self, dispatcher: int) -> bool:
        """Whether this dispatcher could not ask."""
        return self.dispatchers is None or dispatcher in self.dispatchers


@dataclass(frozen=True, slots=True)
class Datagram:
    """A question as it came to the name service, an answer as it left, or its arrival.

    Attributes:
        start: Which start of the dispatcher it belongs to, from 1.
        event: `question`, `answer` or `arrival`.
        ident: The id as the datagram has it.
        number: That of the list in an answer.
        newest: That of the newest list.
        fault: What befell it; none: an empty text.
    """

    at: float
    dispatcher: int
    start: int
    event: str
    ident: int
    number: int
    newest: int
    fault: str

    def __str__(self) -> str:
        """One line of the records."""
        told = f"list {self.number} of {self.newest} " if self.number else ""
        return f"{self.at:.3f} n{self.dispatcher} {self.event} {self.ident:#06x} {told}{self.fault}".rstrip()


@dataclass
class Records:
    """All that was seen in a run.

    Attributes:
        kills: By dispatcher, when it was killed, and whether that was the end of a planned stop.
        outages: When dispatchers could not ask.
        late: When the observer ran late, and by how much.
        notes: What was done to the dispatchers, and when; for those who read the records.
        datagrams: Each question and each answer, by time; for those who trace a break.
    """

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    kills: dict[int, list[tuple[float, bool]]] = field(default_factory=lambda: defaultdict(list))
    outages: list[Outage] = field(default_factory=list)
    late: list[tuple[float, float]] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    notes: list[tuple[float, str]] = field(default_factory=list)
    datagrams: list[Datagram] = field(default_factory=list)

    def lateness(self, at: float) -> float:
        """By how much the observer ran late around a time."""
        return max((lag for when, lag in self.late if abs(when - at) < 1.0), default=0.0)


@dataclass(frozen=True, slots=True)
class Break:
    """One break of a rule."""

    rule: str
    at: float
    why: str


class Judge:
    """Finds each break in the records of one run."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in records.attempts:
            self.attempts[attempt.ident].append(attempt)

    def breaks(self) -> list[Break]:
        """All of them, by time."""
        found = [Break("crash", 0.0, why) for why in self.records.crashes]
        for request in self.records.requests.values():
            found += self.of_request(request)
        for attempt in self.records.attempts:
            found += self.of_attempt(attempt)
        return sorted(found, key=lambda each: each.at)

    def served(self) -> Counter[str]:
        """How many requests ended in each way."""
        return Counter(request.end.name.lower() for request in self.records.requests.values())

    def of_request(self, request: Request) -> list[Break]:
        """What its end, and its attempts together, break."""
        found, ran = [], sum(attempt.ran for attempt in self.attempts[request.ident])
        what = f"{request.ident} of dispatcher {request.dispatcher}, {request.end.name}, attempts {ran}"
        if request.once and ran > 1:
            found.append(Break("duplicate", request.sent_at, what))
        if request.once and ran and request.end is End.REFUSED:
            found.append(Break("duplicate", request.sent_at, f"{what}: refused as if nothing had run"))
        if request.end is End.SPOILT or (request.end is End.SERVED and not ran):
            found.append(Break("spoilt", request.ended_at, what))
        if self.is_lost(request, ran):
            found.append(Break("lost", request.sent_at, f"{what}, after {self.taken(request):.3f} s"))
        return found

    def taken(self, request: Request) -> float:
        return request.ended_at - request.sent_at

    def is_lost(self, request: Request, ran: int) -> bool:
        """No final answer, or one that came too late, for no reason that the rules allow."""
        if request.end is End.LEFT or self.is_excused(request):
            return False
        if request.end is End.OPEN:
            return True
        lateness = self.records.lateness(request.ended_at)
        if request.end is End.CLOSED:
            return self.taken(request) > CROSSING + lateness or bool(self.attempts[request.ident])
        return self.taken(request) > request.wait + ANSWER_SLACK + SLACK + lateness

    def is_excused(self, request: Request) -> bool:
        """Its dispatcher was killed without notice while it was open."""
        end = request.ended_at or float("inf")
        for at, planned in self.records.kills[request.dispatcher]:
            if not planned and request.sent_at - CROSSING <= at <= end:
                return True
        return False

    def of_attempt(self, attempt: Attempt) -> list[Break]:
        """What one attempt breaks by itself."""
        request = self.records.requests.get(attempt.ident)
        if request is None:
            return [Break("spoilt", attempt.at, f"an attempt of nobody's request {attempt.ident}")]
        found, slack = [], SLACK + self.records.lateness(attempt.at)
        left = request.sent_at + request.wait - attempt.at
        if attempt.wait > left + WAIT_SLACK + slack:
            found.append(Break("wait", attempt.at, f"{attempt.ident}: {attempt.wait:.3f} of {left:.3f} s"))
        gone = request.end is End.LEFT and attempt.at > request.ended_at + LEFT_SLACK + slack
        if gone:
            found.append(Break("left", attempt.at, f"{attempt.ident}: its client had left"))
        for change in self.records.changes:
            if change.engine == attempt.engine:
                told = self.told_at(change, request.dispatcher)
                if attempt.at > told + GRACE + slack:
                    where = f"{attempt.ident} of dispatcher {request.dispatcher} to {attempt.engine}"
                    found.append(Break("drain", attempt.at, f"{where}, {attempt.at - told:.3f} s after told"))
                    break
        return found

    def told_at(self, change: Change, dispatcher: int) -> float:
        """When a dispatcher counts as told of a change."""
        due = change.at
        for outage in sorted(self.records.outages, key=lambda each: each.began):
            if outage.concerns(dispatcher) and outage.began <= due + TOLD_WITHIN and outage.ended > due:
                due = outage.ended
        return min(change.told.get(dispatcher, float("inf")), due + TOLD_WITHIN, change.at + NEWS_WITHIN)
