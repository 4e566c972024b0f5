"""The name service of a soak, whose answers are sent late, lost, spoilt or old, to all dispatchers or some.

A change counts as told to a dispatcher when an answer that holds it is sent there, whatever becomes of that
answer on its way. An answer with an older list tells what that list holds, and nothing newer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, fields
from time import monotonic
from typing import Any, NamedTuple

from spurdeal.lab import names
from tests.soak.judge import Change, Datagram, Outage, Records

SERVFAIL = 0x8182  # the flags of an answer
WRONG_ID = 0x55  # what the low byte of the id is changed by (xor)
OLDEST = 3  # versions that an old answer lies behind


@dataclass(frozen=True, eq=False)
class Condition:
    """What happens to questions and answers for a while; figures without a unit are shares.

    Attributes:
        silent: No question is answered.
        questions_lost: Questions that do not arrive.
        lost: Answers that are sent and do not arrive.
        servfail: Answers with the flags of SERVFAIL.
        cut: Answers of which only the first part arrives.
        wrong_id: Answers under the id of another question.
        old: Answers with an older list.
        held: Seconds until an answer is sent.
        way: Seconds that an answer is on its way, from and to.
        lag: Seconds at most between a change and the first answer that holds it.
        dispatchers: Whom it concerns; None: all of them.
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
        """What differs from a network and a name service without a fault."""
        told = {each.name: getattr(self, each.name) for each in fields(self)}
        told = {name: value for name, value in told.items() if value != getattr(Condition, name)}
        return ", ".join(f"{name}={value}" for name, value in told.items())

    def concerns(self, dispatcher: int) -> bool:
        """Whether questions of this dispatcher fall under it."""
        return self.dispatchers is None or dispatcher in self.dispatchers


class Version(NamedTuple):
    """One list, and from when on the answers to each dispatcher hold it."""

    number: int
    endpoints: list[names.Endpoint]
    shown: dict[int, float]


class Asked(NamedTuple):
    """One question that has arrived."""

    question: bytes
    asker: tuple[str, int]
    dispatcher: int
    start: int
    transport: Any

    @property
    def ident(self) -> int:
        """Its id."""
        return int.from_bytes(self.question[:2], "big")


class NamesPort(asyncio.DatagramProtocol):
    """One address of the name service."""

    transport: Any

    def __init__(self, service: NameService) -> None:
        self.service = service

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See DatagramProtocol."""
        self.transport = transport

    def datagram_received(self, question: bytes, asker: tuple[str, int]) -> None:
        """A question."""
        self.service.asked(question, asker, self.transport)


class NameService:
    """Answers each question with the whole list, under the conditions that hold at that time."""

    def __init__(self, records: Records, dispatchers: dict[str, int], chance: random.Random) -> None:
        self.records, self.dispatchers, self.chance = records, dispatchers, chance
        self.versions = [Version(1, [], dict.fromkeys(dispatchers.values(), 0.0))]
        self.conditions: list[Condition] = []
        self.starts = dict.fromkeys(dispatchers.values(), 0)
        self.known_at_start = dict.fromkeys(dispatchers.values(), 1)

    @property
    def endpoints(self) -> list[names.Endpoint]:
        """The newest list."""
        return self.versions[-1].endpoints

    @property
    def number(self) -> int:
        """The number of the newest list."""
        return self.versions[-1].number

    def started(self, dispatcher: int) -> None:
        """A dispatcher starts, with the list as it stands: what its predecessor was told is no matter."""
        self.starts[dispatcher] += 1
        self.known_at_start[dispatcher] = self.number

    def change(self, endpoints: list[names.Endpoint], ended: str | None = None) -> None:
        """A newer list, in which that engine drains or is gone."""
        shown = {
            dispatcher: max(before, monotonic() + self.lag(dispatcher))
            for dispatcher, before in self.versions[-1].shown.items()
        }
        self.versions.append(Version(self.number + 1, endpoints, shown))
        if ended is not None and not any(change.engine == ended for change in self.records.changes):
            self.records.changes.append(Change(monotonic(), ended, self.number, {}))

    def lag(self, dispatcher: int) -> float:
        """How long the answers to a dispatcher do not hold the change of this moment."""
        most = max((each.lag for each in self.concerning(dispatcher)), default=0.0)
        return self.chance.uniform(0.0, most) if most else 0.0

    @contextmanager
    def under(self, condition: Condition) -> Iterator[None]:
        """A condition holds until the block ends, beside those that hold already."""
        began = monotonic()
        self.conditions.append(condition)
        try:
            yield
        finally:
            self.conditions.remove(condition)
            if condition.silent or condition.questions_lost:
                self.records.outages.append(Outage(began, monotonic(), condition.dispatchers))

    def concerning(self, dispatcher: int) -> list[Condition]:
        """The conditions that hold for a dispatcher now."""
        return [each for each in self.conditions if each.concerns(dispatcher)]

    def is_silent(self, dispatcher: int) -> bool:
        """Whether it answers a dispatcher nothing now."""
        return any(each.silent for each in self.concerning(dispatcher))

    def happens(self, dispatcher: int, fault: str) -> bool:
        """Whether a fault of that name befalls a datagram now: by the highest share that holds."""
        share = max((getattr(each, fault) for each in self.concerning(dispatcher)), default=0.0)
        return bool(share) and self.chance.random() < share

    def asked(self, question: bytes, asker: tuple[str, int], transport: Any) -> None:
        """A question, at one of its addresses; it may be lost on its way there."""
        dispatcher = self.dispatchers[asker[0]]
        asked = Asked(question, asker, dispatcher, self.starts[dispatcher], transport)
        fault = "silent" if self.is_silent(dispatcher) else ""
        fault = fault or ("lost" if self.happens(dispatcher, "questions_lost") else "")
        self.record("question", asked, asked.ident, 0, fault)
        if not fault:
            held = max((each.held for each in self.concerning(dispatcher)), default=0.0)
            self.after(held, self.send, asked, self.shown(dispatcher))

    def after(self, seconds: float, call: Any, *given: Any) -> None:
        """Call it then; at once where there is nothing to wait for."""
        if seconds:
            asyncio.get_running_loop().call_later(seconds, call, *given)
        else:
            call(*given)

    def shown(self, dispatcher: int) -> Version:
        """The list that an answer of this moment holds."""
        known, now = self.known_at_start[dispatcher], monotonic()
        for version in reversed(self.versions):
            if version.number <= known or version.shown[dispatcher] <= now:
                return version
        return self.versions[0]

    def older(self, dispatcher: int, version: Version) -> Version:
        """One before that, but not before the start of the dispatcher."""
        oldest = max(self.known_at_start[dispatcher], version.number - self.chance.randint(1, OLDEST))
        return next(each for each in self.versions if each.number >= min(oldest, version.number))

    def send(self, asked: Asked, version: Version) -> None:
        """An answer leaves, and what it holds counts as told, even if it is lost. Its asker may be gone."""
        dispatcher = asked.dispatcher
        if self.is_silent(dispatcher) or asked.start != self.starts[dispatcher]:
            return
        if self.happens(dispatcher, "old"):
            version = self.older(dispatcher, version)
        self.tell(dispatcher, version.number)
        kinds = ("lost", "servfail", "cut", "wrong_id")
        fault = next((kind for kind in kinds if self.happens(dispatcher, kind)), "")
        answer = self.spoilt(asked, version, fault)
        ident = int.from_bytes(answer[:2], "big")
        self.record("answer", asked, ident, version.number, fault)
        if fault != "lost":
            ways = [each.way for each in self.concerning(dispatcher) if each.way[1]]
            way = max((self.chance.uniform(*way) for way in ways), default=0.0)
            self.after(way, self.arrive, asked, answer, version.number, fault)

    def tell(self, dispatcher: int, number: int) -> None:
        """The changes up to a number are told to a dispatcher now, if they were not before."""
        for change in self.records.changes:
            if change.number <= number:
                change.told.setdefault(dispatcher, monotonic())

    def spoilt(self, asked: Asked, version: Version, fault: str) -> bytes:
        """The answer as it leaves; a fault that is none of its bytes changes nothing."""
        flags = SERVFAIL if fault == "servfail" else 0x8400
        endpoints = (endpoint.record() for endpoint in version.endpoints)
        answer = names.answer(asked.question, version.number, *endpoints, flags=flags)
        if fault == "cut":
            return answer[: self.chance.randrange(len(answer) // 4, len(answer))]
        if fault == "wrong_id":
            return answer[:1] + bytes([answer[1] ^ WRONG_ID]) + answer[2:]
        return answer

    def arrive(self, asked: Asked, answer: bytes, number: int, fault: str) -> None:
        """An answer has come through the network."""
        if asked.start != self.starts[asked.dispatcher] or asked.transport.is_closing():
            return
        self.record("arrival", asked, int.from_bytes(answer[:2], "big"), number, fault)
        asked.transport.sendto(answer, asked.asker)

    def record(self, event: str, asked: Asked, ident: int, number: int, fault: str) -> None:
        """For those who trace a break."""
        newest = self.number
        told = Datagram(monotonic(), asked.dispatcher, asked.start, event, ident, number, newest, fault)
        self.records.datagrams.append(told)
