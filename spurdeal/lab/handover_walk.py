"""Seeded random schedules of the handover: an announced non-idempotent request never runs twice.

The handover's counters grow without bound, so its state space cannot be enumerated.
"""

from __future__ import annotations

import random
from typing import Any, NamedTuple

from ..vrrp.budget_shares import BudgetShares
from ..vrrp.handover import DispatcherState, Handover, HandoverSettings, Membership, Verdict
from ..vrrp.idempotency_table import Admission, IdempotencyTable
from ..vrrp.machine import NEVER
from ..vrrp.sealed import Keys, RefusedError
from .model_check import CheckResult

KEYS = Keys({1: b"model model model"})
SETTINGS = HandoverSettings(ahead=True, ahead_wait=40.0, alone_after=None, sync_timeout=1e9)
DISPATCHER_STATE = DispatcherState(1, (), (), ())
IDENT = b"x"
MAX_SENDS = 4  # how often the front proxy sends the request
DEADLINE = 2000.0  # ms
MAX_IN_FLIGHT = 12
# Events by the random number drawn: each value is the upper bound of its range; above the last, a crash.
SENDS, ANNOUNCES, DELIVERS, REQUESTS, WAITS = 0.3, 0.4, 0.75, 0.85, 0.97
NOT_REPEATED, NOT_LOST = 0.8, 0.85  # probabilities


class Datagram(NamedTuple):
    """A datagram in flight."""

    sender: str
    target: str
    payload: bytes


class Walk:
    """One schedule: two dispatchers, a request that the front proxy sends repeatedly, and a lossy network."""

    def __init__(self, seed: int, handover_type: type[Handover], crashes: int) -> None:
        self.chance, self.handover_type, self.crashes = random.Random(seed), handover_type, crashes
        self.now, self.boots, self.sends_left = 0.0, 0, MAX_SENDS
        self.sides = {"a": self.new_handover("a"), "b": self.new_handover("b")}
        self.flight: list[Datagram] = []
        self.runs: list[str] = []
        self.distinct_states: set[int] = set()

    def new_handover(self, name: str) -> Handover:
        """Create the handover of a dispatcher that starts now."""
        self.boots += 1
        peer = "b" if name == "a" else "a"
        shares, marks = BudgetShares(2, 1500, 1000, self.now), IdempotencyTable(8, 60_000.0)
        return self.handover_type(
            Membership(name, (peer,), self.boots, KEYS), SETTINGS, shares, marks, self.now
        )

    def apply_verdicts(self, name: str, verdicts: list[Verdict]) -> None:
        """Record that the request runs, or report that it never ran."""
        for verdict in verdicts:
            if verdict.go:
                self.runs.append(name)
            elif verdict.go is False and not self.runs:
                self.sides[name].finish(IDENT, never_ran=True)

    def step(self) -> None:
        """Let one randomly drawn event happen."""
        name = self.chance.choice("ab")
        peer = "b" if name == "a" else "a"
        draw = self.chance.random()
        if draw < SENDS:
            payload = self.sides[name].compose(self.now, peer, DISPATCHER_STATE, lendable=False)
            self.flight.append(Datagram(name, peer, payload))
        elif draw < ANNOUNCES:
            self.announce(name, peer)
        elif draw < DELIVERS and self.flight:
            self.arrive()
        elif draw < REQUESTS:
            self.submit(name)
        elif draw < WAITS:
            self.advance()
        else:
            self.crash(name, peer)
        del self.flight[:-MAX_IN_FLIGHT]
        self.distinct_states.add(self.state_hash())

    def announce(self, name: str, peer: str) -> None:
        """Send the announcement that must precede a send, if one is due."""
        payload = self.sides[name].compose_urgent(self.now, peer)
        if payload is not None:
            self.flight.append(Datagram(name, peer, payload))

    def arrive(self) -> None:
        """Pick any datagram in flight; it is delivered or lost, and may arrive again later."""
        index = self.chance.randrange(len(self.flight))
        datagram = self.flight[index]
        if self.chance.random() < NOT_REPEATED:
            del self.flight[index]
        if self.chance.random() < NOT_LOST:
            self.deliver(datagram)

    def deliver(self, datagram: Datagram) -> None:
        """Hand a datagram to its target, which greets a sender whose start it does not know."""
        sender, target, payload = datagram
        side = self.sides[target]
        try:
            self.apply_verdicts(target, side.receive(self.now, sender, payload))
        except RefusedError as error:
            if error.reason == "unproven":
                greeting = side.sessions[sender].greet(self.now, payload)
                self.flight.append(Datagram(target, sender, greeting))

    def submit(self, name: str) -> None:
        """Let the front proxy send the request to that dispatcher."""
        side = self.sides[name]
        if self.sends_left and side.check_admission(self.now, IDENT) is Admission.ALLOWED:
            self.sends_left -= 1
            verdict = side.prepare_send(self.now, IDENT, self.now + DEADLINE, object())
            self.apply_verdicts(name, [verdict] if verdict else [])

    def advance(self) -> None:
        """Advance the virtual time and run the timers."""
        self.now += self.chance.choice((5.0, 20.0, 50.0))
        for name, side in self.sides.items():
            self.apply_verdicts(name, side.tick(self.now))

    def crash(self, name: str, peer: str) -> None:
        """Restart a dispatcher, if its peer has synchronized the idempotency table."""
        if self.crashes and self.sides[peer].is_synchronized(self.now):
            self.crashes -= 1
            self.sides[name] = self.new_handover(name)

    def state_hash(self) -> int:
        """A hash of the state without its growing counters, to count distinct states."""
        sides = tuple(
            (tuple(side.records.by_id.items()), len(side.waiting), len(side.synced))
            for side in self.sides.values()
        )
        return hash((*sides, len(self.runs), len(self.flight)))


def walk(name: str, handover_type: type[Handover], walks: int, length: int, crashes: int) -> CheckResult:
    """Run `walks` seeded schedules of `length` steps; stop at the first in which the request runs twice."""
    distinct_states: set[int] = set()
    runs = 0
    for seed in range(walks):
        schedule = Walk(seed, handover_type, crashes)
        for _ in range(length):
            schedule.step()
        distinct_states |= schedule.distinct_states
        runs += len(schedule.runs)
        if len(schedule.runs) > 1:
            trace = (f"seed {seed}", *schedule.runs)
            return CheckResult(name, len(distinct_states), length, False, ("runs once at most",), trace)
    assert runs, "the request ran in no schedule: the check would find nothing"
    return CheckResult(name, len(distinct_states), length, False, (), ())


# Planted faults of the handover: the checks must find each of them.


class SendsWithoutReply(Handover):
    """Planted fault: announces a send and does not wait for the reply."""

    def prepare_send(self, now: float, ident: bytes, deadline: float, token: object) -> Any:
        """See the base class."""
        verdict = super().prepare_send(now, ident, deadline, token)
        if verdict is None:
            self.waiting.pop(token, None)
        return Verdict(token, True)


class AcceptsStaleReply(Handover):
    """Planted fault: a reply to an earlier announcement counts for a later one of the same id.

    An earlier version of Handover had this fault.
    """

    def receive(self, now: float, peer: str, datagram: bytes) -> Any:
        """See the base class."""
        clears = self.records.remove_from_peer
        self.records.remove_from_peer = lambda peer, ident, announcement: clears(peer, ident, NEVER)  # type: ignore[method-assign]
        try:
            return super().receive(now, peer, datagram)
        finally:
            del self.records.remove_from_peer

    def replies_received(self, peer: str, replies: Any) -> list[Any]:
        """See the base class."""
        verdicts = []
        for _, ok in replies:
            for waiting in list(self.waiting.values()):
                verdicts += super().replies_received(peer, [(waiting.announcement, ok)])
        return verdicts


class AdmitsBeforeSync(Handover):
    """Planted fault: a restarted dispatcher admits requests before it has its peers' idempotency tables."""

    def is_synchronized(self, now: float) -> bool:
        """See the base class."""
        return True

    def required_peers(self, now: float) -> list[str]:
        """See the base class."""
        return []
