"""Seeded schedules of the handover: no non-idempotent request runs twice where it is told ahead.

Its numbers only grow, so that it cannot be enumerated."""

from __future__ import annotations

import random
from typing import Any, NamedTuple

from ..vrrp.handover import DispatcherState, Handover, HandoverSettings, Membership, Verdict
from ..vrrp.machine import NEVER
from ..vrrp.marks import Admission, IdempotencyTable
from ..vrrp.sealed import Keys, RefusedError
from ..vrrp.tenure import BudgetShares
from .model_check import Found

KEYS = Keys({1: b"model model model"})
SETTINGS = HandoverSettings(ahead=True, ahead_wait=40.0, alone_after=None, sync_timeout=1e9)
FACTS = DispatcherState(1, (), (), ())
IDENT = b"x"
WAYS = 4  # how often the front sends the request
DEADLINE = 2000.0  # ms
MAX_FLIGHT = 12
# What happens, by the number drawn: each is the upper bound; beyond the last, a crash.
TELLS, TELLS_AHEAD, ARRIVES, SUBMITS, WAITS = 0.3, 0.4, 0.75, 0.85, 0.97
TAKEN_OUT, DELIVERED = 0.8, 0.85  # chances that a datagram comes once, and that this copy is not lost


class Datagram(NamedTuple):
    """One in flight."""

    sender: str
    target: str
    text: bytes


class Walk:
    """Two dispatchers, one request that a front sends up to four times, and a network that does what it
    likes."""

    def __init__(self, seed: int, kind: type[Handover], crashes: int) -> None:
        self.chance, self.kind, self.crashes = random.Random(seed), kind, crashes
        self.now, self.boots, self.ways = 0.0, 0, WAYS
        self.sides = {"a": self.fresh("a"), "b": self.fresh("b")}
        self.flight: list[Datagram] = []
        self.runs: list[str] = []
        self.shapes: set[int] = set()

    def fresh(self, name: str) -> Handover:
        """A new start of one side."""
        self.boots += 1
        peer = "b" if name == "a" else "a"
        tenure, marks = BudgetShares(2, 1500, 1000, self.now), IdempotencyTable(8, 60_000.0)
        return self.kind(Membership(name, (peer,), self.boots, KEYS), SETTINGS, tenure, marks, self.now)

    def carry_out(self, name: str, verdicts: list[Verdict]) -> None:
        """The request runs, or is known not to have run."""
        for verdict in verdicts:
            if verdict.go:
                self.runs.append(name)
            elif verdict.go is False and not self.runs:
                self.sides[name].finish(IDENT, never_ran=True)

    def step(self) -> None:
        """One thing happens, by chance."""
        name = self.chance.choice("ab")
        peer = "b" if name == "a" else "a"
        drawn = self.chance.random()
        if drawn < TELLS:
            text = self.sides[name].compose(self.now, peer, FACTS, lendable=False)
            self.flight.append(Datagram(name, peer, text))
        elif drawn < TELLS_AHEAD:
            self.tell_ahead(name, peer)
        elif drawn < ARRIVES and self.flight:
            self.arrive()
        elif drawn < SUBMITS:
            self.submit(name)
        elif drawn < WAITS:
            self.wait()
        else:
            self.crash(name, peer)
        del self.flight[:-MAX_FLIGHT]
        self.shapes.add(self.shape())

    def tell_ahead(self, name: str, peer: str) -> None:
        """What one is to tell before it sends, if anything."""
        text = self.sides[name].compose_urgent(self.now, peer)
        if text is not None:
            self.flight.append(Datagram(name, peer, text))

    def arrive(self) -> None:
        """A datagram arrives, in any order; it may come again, or be lost."""
        place = self.chance.randrange(len(self.flight))
        datagram = self.flight[place]
        if self.chance.random() < TAKEN_OUT:
            del self.flight[place]
        if self.chance.random() < DELIVERED:
            self.deliver(datagram)

    def deliver(self, datagram: Datagram) -> None:
        """The target takes it, or greets a start that it does not know."""
        sender, target, text = datagram
        side = self.sides[target]
        try:
            self.carry_out(target, side.receive(self.now, sender, text))
        except RefusedError as fault:
            if fault.reason == "unproven":
                greeting = side.sessions[sender].greet(self.now, text)
                self.flight.append(Datagram(target, sender, greeting))

    def submit(self, name: str) -> None:
        """The front sends the request to that side."""
        side = self.sides[name]
        if self.ways and side.check_admission(self.now, IDENT) is Admission.ALLOWED:
            self.ways -= 1
            verdict = side.prepare_send(self.now, IDENT, self.now + DEADLINE, object())
            self.carry_out(name, [verdict] if verdict else [])

    def wait(self) -> None:
        """Time passes."""
        self.now += self.chance.choice((5.0, 20.0, 50.0))
        for name, side in self.sides.items():
            self.carry_out(name, side.tick(self.now))

    def crash(self, name: str, peer: str) -> None:
        """One side starts anew, where the other has read its marks."""
        if self.crashes and self.sides[peer].is_synchronized(self.now):
            self.crashes -= 1
            self.sides[name] = self.fresh(name)

    def shape(self) -> int:
        """The state but for its numbers, to count different ones."""
        sides = tuple(
            (tuple(side.records.by_id.items()), len(side.waiting), len(side.synced))
            for side in self.sides.values()
        )
        return hash((*sides, len(self.runs), len(self.flight)))


def walk(name: str, kind: type[Handover], walks: int, length: int, crashes: int) -> Found:
    """So many seeded schedules of so many steps; stops at the first in which it runs twice."""
    shapes: set[int] = set()
    ran = 0
    for seed in range(walks):
        one = Walk(seed, kind, crashes)
        for _ in range(length):
            one.step()
        shapes |= one.shapes
        ran += len(one.runs)
        if len(one.runs) > 1:
            trace = (f"seed {seed}", *one.runs)
            return Found(name, len(shapes), length, False, ("runs once at most",), trace)
    assert ran, "no walk let it run: the check would see nothing"
    return Found(name, len(shapes), length, False, (), ())


# Faults planted in the handover: each must be found.


class SendsAtOnce(Handover):
    """Tells ahead, and does not wait for the answer."""

    def prepare_send(self, now: float, ident: bytes, deadline: float, token: object) -> Any:
        verdict = super().prepare_send(now, ident, deadline, token)
        if verdict is None:
            self.waiting.pop(token, None)
        return Verdict(token, True)


class OldWord(Handover):
    """What is said of an earlier telling counts for a later one of the same id: as it was at first."""

    def receive(self, now: float, peer: str, datagram: bytes) -> Any:
        clears = self.records.remove_from_peer
        self.records.remove_from_peer = lambda peer, ident, announcement: clears(peer, ident, NEVER)  # type: ignore[method-assign]
        try:
            return super().receive(now, peer, datagram)
        finally:
            del self.records.remove_from_peer

    def replies_received(self, peer: str, replies: Any) -> list[Any]:
        verdicts = []
        for _, ok in replies:
            for waiting in list(self.waiting.values()):
                verdicts += super().replies_received(peer, [(waiting.announcement, ok)])
        return verdicts


class OpensUnread(Handover):
    """A new start lets requests in before it has the peers' marks."""

    def is_synchronized(self, now: float) -> bool:
        return True

    def required_peers(self, now: float) -> list[str]:
        return []
