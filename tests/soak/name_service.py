"""A soak's stand-in name service; its answers may be late, lost, corrupt or old, for some dispatchers or all.

A dispatcher counts as informed of a change once an answer that holds it was sent there, whether or not that
answer arrives. An answer with an older list informs of what that list holds, and of nothing newer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, fields
from time import monotonic
from typing import Any, NamedTuple

from spurdeal.lab import name_server
from tests.soak.judge import Change, Datagram, Outage, Records

SERVFAIL = 0x8182  # flags of a SERVFAIL answer
WRONG_ID = 0x55  # XORed into the low byte of the id
MAX_VERSIONS_BEHIND = 3  # by which the list of an old answer is older


@dataclass(frozen=True, eq=False)
class Condition:
    """Faults of queries and answers for a period; figures without a unit are shares.

    Attributes:
        silent: No query is answered.
        questions_lost: Queries that do not arrive.
        lost: Answers that are sent and do not arrive.
        servfail: Answers with the flags of SERVFAIL.
        cut: Truncated answers.
        wrong_id: Answers with the id of another query.
        old: Answers with an older list.
        held: Seconds before an answer is sent.
        way: Network delay of an answer in seconds, minimum and maximum.
        lag: Maximum seconds between a change and the first answer that holds it.
        dispatchers: The dispatchers affected; None: all.
    """

    silent: bool = False
    questions_lost: float = 0.0
    lost: float = 0.0
    servfail: float = 0.0
    cut: float = 0.0
    wrong_id: float = 0.0
    old: float = 0.0
    held: float = 0.0
    way: tuple[float, float] = (0.0, 0.0)
    lag: float = 0.0
    dispatchers: frozenset[int] | None = None

    def __str__(self) -> str:
        """The fields that differ from a condition without faults."""
        changed = {each.name: getattr(self, each.name) for each in fields(self)}
        changed = {name: value for name, value in changed.items() if value != getattr(Condition, name)}
        return ", ".join(f"{name}={value}" for name, value in changed.items())

    def applies_to(self, dispatcher: int) -> bool:
        """Whether it affects this dispatcher's queries."""
        return self.dispatchers is None or dispatcher in self.dispatchers


class Version(NamedTuple):
    """One list, and from when on each dispatcher's answers hold it."""

    number: int
    endpoints: list[name_server.Endpoint]
    visible_from: dict[int, float]


class Query(NamedTuple):
    """One query that has arrived."""

    datagram: bytes
    source: tuple[str, int]
    dispatcher: int
    start: int
    transport: Any

    @property
    def ident(self) -> int:
        """Its id."""
        return int.from_bytes(self.datagram[:2], "big")


class NamesPort(asyncio.DatagramProtocol):
    """One address of the name service."""

    transport: Any

    def __init__(self, service: NameService) -> None:
        self.service = service

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See DatagramProtocol."""
        self.transport = transport

    def datagram_received(self, datagram: bytes, source: tuple[str, int]) -> None:
        """See DatagramProtocol."""
        self.service.query_received(datagram, source, self.transport)


class NameService:
    """Answers each query with the whole list, under the conditions that are active then."""

    def __init__(self, records: Records, dispatchers: dict[str, int], rng: random.Random) -> None:
        self.records, self.dispatchers, self.rng = records, dispatchers, rng
        self.versions = [Version(1, [], dict.fromkeys(dispatchers.values(), 0.0))]
        self.conditions: list[Condition] = []
        self.starts = dict.fromkeys(dispatchers.values(), 0)
        self.known_at_start = dict.fromkeys(dispatchers.values(), 1)

    @property
    def endpoints(self) -> list[name_server.Endpoint]:
        """The newest list."""
        return self.versions[-1].endpoints

    @property
    def number(self) -> int:
        """The number of the newest list."""
        return self.versions[-1].number

    def dispatcher_started(self, dispatcher: int) -> None:
        """A dispatcher starts with the current list; what its previous process knew no longer counts."""
        self.starts[dispatcher] += 1
        self.known_at_start[dispatcher] = self.number

    def change(self, endpoints: list[name_server.Endpoint], ended: str | None = None) -> None:
        """Publish a newer list, in which the engine `ended` drains or is gone."""
        visible_from = {
            dispatcher: max(before, monotonic() + self.random_lag(dispatcher))
            for dispatcher, before in self.versions[-1].visible_from.items()
        }
        self.versions.append(Version(self.number + 1, endpoints, visible_from))
        if ended is not None and not any(change.engine == ended for change in self.records.changes):
            self.records.changes.append(Change(monotonic(), ended, self.number, {}))

    def random_lag(self, dispatcher: int) -> float:
        """Seconds until a dispatcher's answers hold a change that is made now."""
        most = max((each.lag for each in self.conditions_for(dispatcher)), default=0.0)
        return self.rng.uniform(0.0, most) if most else 0.0

    @contextmanager
    def active(self, condition: Condition) -> Iterator[None]:
        """Activate a condition until the block ends, in addition to those already active."""
        began = monotonic()
        self.conditions.append(condition)
        try:
            yield
        finally:
            self.conditions.remove(condition)
            if condition.silent or condition.questions_lost:
                self.records.outages.append(Outage(began, monotonic(), condition.dispatchers))

    def conditions_for(self, dispatcher: int) -> list[Condition]:
        """The conditions that affect a dispatcher now."""
        return [each for each in self.conditions if each.applies_to(dispatcher)]

    def is_silent(self, dispatcher: int) -> bool:
        """Whether it leaves a dispatcher's queries unanswered now."""
        return any(each.silent for each in self.conditions_for(dispatcher))

    def occurs(self, dispatcher: int, fault: str) -> bool:
        """Whether this fault hits a datagram now, by the highest active share."""
        share = max((getattr(each, fault) for each in self.conditions_for(dispatcher)), default=0.0)
        return bool(share) and self.rng.random() < share

    def query_received(self, datagram: bytes, source: tuple[str, int], transport: Any) -> None:
        """Handle a query at one of the addresses; the query may be lost instead."""
        dispatcher = self.dispatchers[source[0]]
        query = Query(datagram, source, dispatcher, self.starts[dispatcher], transport)
        fault = "silent" if self.is_silent(dispatcher) else ""
        fault = fault or ("lost" if self.occurs(dispatcher, "questions_lost") else "")
        self.record("question", query, query.ident, 0, fault)
        if not fault:
            held = max((each.held for each in self.conditions_for(dispatcher)), default=0.0)
            self.schedule(held, self.send, query, self.visible_version(dispatcher))

    def schedule(self, seconds: float, call: Any, *given: Any) -> None:
        """Call after that time; at once if it is 0."""
        if seconds:
            asyncio.get_running_loop().call_later(seconds, call, *given)
        else:
            call(*given)

    def visible_version(self, dispatcher: int) -> Version:
        """The list that an answer to a dispatcher holds now."""
        known, now = self.known_at_start[dispatcher], monotonic()
        for version in reversed(self.versions):
            if version.number <= known or version.visible_from[dispatcher] <= now:
                return version
        return self.versions[0]

    def older_version(self, dispatcher: int, version: Version) -> Version:
        """An earlier list, but none from before the dispatcher's start."""
        oldest = max(
            self.known_at_start[dispatcher], version.number - self.rng.randint(1, MAX_VERSIONS_BEHIND)
        )
        return next(each for each in self.versions if each.number >= min(oldest, version.number))

    def send(self, query: Query, version: Version) -> None:
        """Send an answer, unless the process that queried has ended; a lost answer informs too."""
        dispatcher = query.dispatcher
        if self.is_silent(dispatcher) or query.start != self.starts[dispatcher]:
            return
        if self.occurs(dispatcher, "old"):
            version = self.older_version(dispatcher, version)
        self.record_informed(dispatcher, version.number)
        kinds = ("lost", "servfail", "cut", "wrong_id")
        fault = next((kind for kind in kinds if self.occurs(dispatcher, kind)), "")
        answer = self.encode_answer(query, version, fault)
        ident = int.from_bytes(answer[:2], "big")
        self.record("answer", query, ident, version.number, fault)
        if fault != "lost":
            ways = [each.way for each in self.conditions_for(dispatcher) if each.way[1]]
            way = max((self.rng.uniform(*way) for way in ways), default=0.0)
            self.schedule(way, self.deliver, query, answer, version.number, fault)

    def record_informed(self, dispatcher: int, number: int) -> None:
        """The dispatcher is informed now of all changes up to a number, if it was not before."""
        for change in self.records.changes:
            if change.number <= number:
                change.informed.setdefault(dispatcher, monotonic())

    def encode_answer(self, query: Query, version: Version, fault: str) -> bytes:
        """The answer as it is sent; only faults of its bytes change it."""
        flags = SERVFAIL if fault == "servfail" else 0x8400
        endpoints = (endpoint.record() for endpoint in version.endpoints)
        answer = name_server.answer(query.datagram, version.number, *endpoints, flags=flags)
        if fault == "cut":
            return answer[: self.rng.randrange(len(answer) // 4, len(answer))]
        if fault == "wrong_id":
            return answer[:1] + bytes([answer[1] ^ WRONG_ID]) + answer[2:]
        return answer

    def deliver(self, query: Query, answer: bytes, number: int, fault: str) -> None:
        """Deliver an answer to the dispatcher."""
        if query.start != self.starts[query.dispatcher] or query.transport.is_closing():
            return
        self.record("arrival", query, int.from_bytes(answer[:2], "big"), number, fault)
        query.transport.sendto(answer, query.source)

    def record(self, event: str, query: Query, ident: int, number: int, fault: str) -> None:
        """Record a datagram, to trace violations."""
        newest = self.number
        datagram = Datagram(monotonic(), query.dispatcher, query.start, event, ident, number, newest, fault)
        self.records.datagrams.append(datagram)
