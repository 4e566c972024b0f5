"""What clients, engines and the name service observed in a run, and the rules that it violates. No I/O.

All times are in seconds of the test process's monotonic clock. The delay of the test process itself around a
time is added to the limits there.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum

INFORMED_WITHIN = 1.5  # of a change, where the dispatcher could query the name service
PROPAGATION_LIMIT = 7.0  # of a change, whether or not an answer arrived
DRAIN_GRACE = 0.25  # drain grace period, as in the settings
SLACK = 0.05  # added to each limit
ANSWER_SLACK = 0.5  # after a request's deadline; a later answer counts as lost
WAIT_SLACK = 0.15  # on the time limit that is passed to an engine
LEFT_SLACK = 0.1  # attempts may start so long after their client left
CLOSE_RACE = 0.05  # a request may race with the close of its connection by so much
STOP_TIMEOUT = 3.7  # the longest deadline, at most 3 s, and 0.7 s


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
    """One attempt at an engine; `ran` is False where the engine rejected it."""

    at: float
    ident: str
    engine: str
    wait: float
    ran: bool


@dataclass(frozen=True, slots=True)
class Change:
    """An engine drains or is gone from `at` on; `informed`: when each dispatcher was sent it.

    An answer that was lost on its way counts too.
    """

    at: float
    engine: str
    number: int
    informed: dict[int, float]


@dataclass(frozen=True, slots=True)
class Outage:
    """A period in which the name service answered nothing, or queries were lost.

    Attributes:
        dispatchers: The dispatchers affected; None: all.
    """

    began: float
    ended: float
    dispatchers: frozenset[int] | None = None

    def applies_to(self, dispatcher: int) -> bool:
        """Whether this dispatcher could not query the name service."""
        return self.dispatchers is None or dispatcher in self.dispatchers


@dataclass(frozen=True, slots=True)
class Datagram:
    """A query as the name service received it, an answer as it was sent, or the arrival of an answer.

    Attributes:
        start: The number of the dispatcher's start, from 1.
        event: `question`, `answer` or `arrival`.
        ident: The id in the datagram.
        number: The number of the list in an answer.
        newest: The number of the newest list.
        fault: The injected fault; empty: none.
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
        version = f"list {self.number} of {self.newest} " if self.number else ""
        return (
            f"{self.at:.3f} n{self.dispatcher} {self.event} {self.ident:#06x} {version}{self.fault}".rstrip()
        )


@dataclass
class Records:
    """All observations of a run.

    Attributes:
        kills: By dispatcher, when it was killed, and whether that ended a graceful shutdown.
        outages: When dispatchers could not query the name service.
        late: When the test process ran late, and by how much.
        notes: The injected faults and their times, for readers of the records.
        datagrams: Each query and each answer, by time, to trace violations.
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
        """By how much the test process ran late around a time."""
        return max((lag for when, lag in self.late if abs(when - at) < 1.0), default=0.0)


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule."""

    rule: str
    at: float
    why: str


class Judge:
    """Finds each violation in the records of one run."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in records.attempts:
            self.attempts[attempt.ident].append(attempt)

    def violations(self) -> list[Violation]:
        """All violations, by time."""
        found = [Violation("crash", 0.0, why) for why in self.records.crashes]
        for request in self.records.requests.values():
            found += self.check_request(request)
        for attempt in self.records.attempts:
            found += self.check_attempt(attempt)
        return sorted(found, key=lambda each: each.at)

    def end_counts(self) -> Counter[str]:
        """How many requests ended in each way."""
        return Counter(request.end.name.lower() for request in self.records.requests.values())

    def check_request(self, request: Request) -> list[Violation]:
        """The violations of one request, by its end and all of its attempts."""
        found, ran = [], sum(attempt.ran for attempt in self.attempts[request.ident])
        what = f"{request.ident} of dispatcher {request.dispatcher}, {request.end.name}, attempts {ran}"
        if request.once and ran > 1:
            found.append(Violation("duplicate", request.sent_at, what))
        if request.once and ran and request.end is End.REFUSED:
            found.append(Violation("duplicate", request.sent_at, f"{what}: refused as if nothing had run"))
        if request.end is End.SPOILT or (request.end is End.SERVED and not ran):
            found.append(Violation("spoilt", request.ended_at, what))
        if self.is_lost(request, ran):
            found.append(Violation("lost", request.sent_at, f"{what}, after {self.duration(request):.3f} s"))
        return found

    def duration(self, request: Request) -> float:
        return request.ended_at - request.sent_at

    def is_lost(self, request: Request, ran: int) -> bool:
        """Whether it got no final answer, or a late one, for no reason that the rules allow."""
        if request.end is End.LEFT or self.is_excused(request):
            return False
        if request.end is End.OPEN:
            return True
        lateness = self.records.lateness(request.ended_at)
        if request.end is End.CLOSED:
            return self.duration(request) > CLOSE_RACE + lateness or bool(self.attempts[request.ident])
        return self.duration(request) > request.wait + ANSWER_SLACK + SLACK + lateness

    def is_excused(self, request: Request) -> bool:
        """Whether its dispatcher was killed without notice while the request was open."""
        end = request.ended_at or float("inf")
        for at, planned in self.records.kills[request.dispatcher]:
            if not planned and request.sent_at - CLOSE_RACE <= at <= end:
                return True
        return False

    def check_attempt(self, attempt: Attempt) -> list[Violation]:
        """The violations of one attempt by itself."""
        request = self.records.requests.get(attempt.ident)
        if request is None:
            return [Violation("spoilt", attempt.at, f"an attempt of nobody's request {attempt.ident}")]
        found, slack = [], SLACK + self.records.lateness(attempt.at)
        left = request.sent_at + request.wait - attempt.at
        if attempt.wait > left + WAIT_SLACK + slack:
            found.append(
                Violation("wait", attempt.at, f"{attempt.ident}: {attempt.wait:.3f} of {left:.3f} s")
            )
        late = request.end is End.LEFT and attempt.at > request.ended_at + LEFT_SLACK + slack
        if late:
            found.append(Violation("left", attempt.at, f"{attempt.ident}: its client had left"))
        for change in self.records.changes:
            if change.engine == attempt.engine:
                informed = self.informed_at(change, request.dispatcher)
                if attempt.at > informed + DRAIN_GRACE + slack:
                    where = f"{attempt.ident} of dispatcher {request.dispatcher} to {attempt.engine}"
                    found.append(
                        Violation("drain", attempt.at, f"{where}, {attempt.at - informed:.3f} s after told")
                    )
                    break
        return found

    def informed_at(self, change: Change, dispatcher: int) -> float:
        """When a dispatcher counts as informed of a change."""
        due = change.at
        for outage in sorted(self.records.outages, key=lambda each: each.began):
            if outage.applies_to(dispatcher) and outage.began <= due + INFORMED_WITHIN and outage.ended > due:
                due = outage.ended
        return min(
            change.informed.get(dispatcher, float("inf")),
            due + INFORMED_WITHIN,
            change.at + PROPAGATION_LIMIT,
        )
