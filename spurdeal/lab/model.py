"""Model checks of VRRP's state machine, tenure and handover: the very classes that run, not a copy of them.

`minicheck` enumerates each reachable state of the first two breadth first, with relative times, so that the
space is finite; shortest traces come for free. Handover's numbers only grow, so the third is walked by seeded
schedules.
Faults planted in subclasses must each be found, or the checks are worth nothing."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from ipaddress import ip_address
from itertools import product
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

from ..vrrp.handover import Facts, Handover
from ..vrrp.machine import NEVER, Act, Machine, State, Terms, active_down_interval
from ..vrrp.marks import Door, Marks
from ..vrrp.sealed import Keys, Refused
from ..vrrp.tenure import Loan, Tenure

STEP, INTERVAL = 25.0, 100.0  # ms; ranks are such that each Skew_Time is a whole number of steps
RANKS = (192, 128, 64)
FAR = 500.0  # ms: what lies further back makes no difference
LIVE, DOWN, STILL = "live", "down", "still"

State_ = tuple[Any, ...]


class Found(NamedTuple):
    """What one check has seen: states, steps from the first to the furthest, whether that was all, and
    faults."""

    name: str
    states: int
    depth: int
    whole: bool
    violated: tuple[str, ...]
    trace: tuple[str, ...]


def check(
    name: str,
    fields: tuple[str, ...],
    initial: State_,
    steps: Callable[[State_], Iterator[tuple[str, State_]]],
    invariants: dict[str, Callable[[dict[str, Any]], bool]],
    most: int,
) -> Found:
    """Stops at the first violation: one is enough, and its trace is a shortest one."""
    broken: list[str] = []
    depths = {initial: 0}

    def next_of(state: State_) -> list[tuple[str, State_]]:
        if broken:
            return []
        after = list(steps(state))
        for _, each in after:
            depths.setdefault(each, depths[state] + 1)
        return after

    def watched(key: str) -> Callable[[dict[str, Any]], bool]:
        def holds(state: dict[str, Any]) -> bool:
            if not invariants[key](state):
                broken.append(key)
                return False
            return True

        return holds

    model = Protocol(
        name=name,
        candidate=False,
        fields=fields,
        initial=initial,
        transitions=next_of,
        invariants={key: watched(key) for key in invariants},
    )
    result = check_safety(model, max_states=most)
    violated = tuple(key for key, told in result["properties"].items() if told["holds"] is False)
    trace = tuple(
        str(step["label"]) for key in violated[:1] for step in result["properties"][key]["counterexample"][1:]
    )
    return Found(
        name,
        int(result["reachable_states"]),
        max(depths.values()),
        bool(result["exhaustive"]) and not violated,
        violated,
        trace,
    )


# Who holds the address.


def frozen(machine: Machine, now: float) -> State_:
    def ago(moment: float) -> float:
        return moment if moment in (NEVER, -NEVER) else max(-FAR, moment - now)

    return (
        machine.state.value,
        machine.priority,
        machine.sender_interval,
        ago(machine.due),
        ago(machine.seen),
        machine.barred,
        ago(machine.preempt_at),
    )


def thawed(kind: type[Machine], place: int, snapshot: State_) -> Machine:
    """At time 0."""
    machine = kind(Terms(1, RANKS[place], INTERVAL, ip_address(f"127.0.0.{place + 1}")))
    (
        state,
        machine.priority,
        machine.sender_interval,
        machine.due,
        machine.seen,
        machine.barred,
        machine.preempt_at,
    ) = snapshot
    machine.state = State(state)
    return machine


class Address:
    """Dispatchers, their advertisements in flight, and what may go wrong.

    A state: machines, how each fares, advertisements in flight (sender, target, priority, delayed), faults
    left, steps since anything last went wrong, for how many steps each has lived with it unheld, and what was
    seen to break in the last step.
    """

    FIELDS = ("machines", "fares", "flight", "faults", "calm", "unheld", "seen")

    def __init__(
        self,
        count: int,
        kind: type[Machine] = Machine,
        faults: int = 1,
        loss: bool = True,
        pause: bool = True,
    ) -> None:
        self.count, self.kind, self.faults, self.loss, self.pause = count, kind, faults, loss, pause
        lowest = RANKS[count - 1]
        # Until the last Backup has waited its time out, and one preemption after it.
        self.bound = int((active_down_interval(lowest, INTERVAL) + 2 * INTERVAL) / STEP) + 2
        self.heals = 2 * self.bound

    def initial(self) -> State_:
        """The first has just said that it is Active, and the others have heard it."""
        machines = []
        for place in range(self.count):
            machine = self.kind(Terms(1, RANKS[place], INTERVAL, ip_address(f"127.0.0.{place + 1}")))
            machine.start(0.0)
            if place == 0:
                machine.become_active(0.0, "settled")
            else:
                machine.heard(0.0, RANKS[0], INTERVAL, ip_address("127.0.0.1"))
            machines.append(frozen(machine, 0.0))
        return (tuple(machines), (LIVE,) * self.count, (), self.faults, 0, (0,) * self.count, "")

    def steps(self, state: State_) -> Iterator[tuple[str, State_]]:
        machines, fares, flight, faults, calm, unheld, _ = state
        if faults:
            yield from self.faulty(state)
        choices = [
            ("taken", "lost", "late", "twice")
            if self.loss and not late
            else ("taken", "lost")
            if self.loss
            else ("taken",)
            for *_, late in flight
        ]
        for fates in product(*choices):
            after = self.tick(machines, fares, flight, fates)
            held = any(
                fare == LIVE and machine[0] == "active" for machine, fare in zip(after[0], fares, strict=True)
            )
            quiet = 0 if any(fate != "taken" for fate in fates) else min(self.heals, calm + 1)
            gap = tuple(
                0 if held or fare != LIVE else min(self.bound + 1, steps + 1)
                for fare, steps in zip(fares, unheld, strict=True)
            )
            yield "step " + " ".join(fates), (after[0], fares, after[1], faults, quiet, gap, after[2])

    def faulty(self, state: State_) -> Iterator[tuple[str, State_]]:
        machines, fares, flight, faults, _, unheld, _ = state
        for place in range(self.count):
            turns: list[tuple[str, str, State_]] = []
            if fares[place] == LIVE:
                turns.append((f"crash {place}", DOWN, machines[place]))
                if self.pause:
                    turns.append((f"pause {place}", STILL, machines[place]))
            elif fares[place] == STILL:
                turns.append((f"resume {place}", LIVE, machines[place]))
            else:
                machine = self.kind(Terms(1, RANKS[place], INTERVAL, ip_address(f"127.0.0.{place + 1}")))
                machine.start(0.0, barred=True)
                turns.append((f"return {place}", LIVE, frozen(machine, 0.0)))
            if fares[place] == LIVE and machines[place][5]:
                machine = thawed(self.kind, place, machines[place])
                machine.lift()
                turns.append((f"list {place}", LIVE, frozen(machine, 0.0)))
            for label, fare, machine_now in turns:
                spent = label.startswith(("crash", "pause"))
                if spent and faults < 2 and self.returns(fares):
                    continue  # the last fault left is for who is away to come back
                left = fares[:place] + (fare,) + fares[place + 1 :]
                yield (
                    label,
                    (
                        machines[:place] + (machine_now,) + machines[place + 1 :],
                        left,
                        flight,
                        faults - 1,
                        0,
                        unheld[:place] + (0,) + unheld[place + 1 :],
                        "",
                    ),
                )

    def returns(self, fares: tuple[str, ...]) -> bool:
        return any(fare != LIVE for fare in fares)

    def tick(
        self, machines: State_, fares: tuple[str, ...], flight: State_, fates: tuple[str, ...]
    ) -> tuple[State_, State_, str]:
        """One step of time: what arrives is heard first, then timers. What they say arrives a step later."""
        now, seen = STEP, ""
        thaw = [thawed(self.kind, place, machine) for place, machine in enumerate(machines)]
        active = [
            fare == LIVE and machine.state is State.ACTIVE for fare, machine in zip(fares, thaw, strict=True)
        ]
        heard = [now - machine.seen for machine in thaw]
        left: list[State_] = []
        takers: list[int] = []

        def do(place: int, acts: list[Act]) -> None:
            nonlocal seen
            for act in acts:
                if act in (Act.ADVERTISE, Act.RESIGN):
                    rank = thaw[place].priority if act is Act.ADVERTISE else 0
                    left.extend((place, other, rank, False) for other in range(self.count) if other != place)
                elif act is Act.HOLD and not active[place]:
                    takers.append(place)
                    # Its timer ran out although it heard an Active one: that is a preemption.
                    if (
                        thaw[place].barred
                        and heard[place] < 2 * INTERVAL
                        and any(active[:place] + active[place + 1 :])
                    ):
                        seen = "barred"

        for (sender, target, rank, _), fate in zip(flight, fates, strict=True):
            if fate in ("late", "twice"):
                left.append((sender, target, rank, True))
            if fate in ("taken", "twice") and fares[target] == LIVE:
                do(target, thaw[target].heard(now, rank, INTERVAL, ip_address(f"127.0.0.{sender + 1}")))
        for place, machine in enumerate(thaw):
            if fares[place] == LIVE and now >= machine.due:
                do(place, machine.tick(now))
        if len(takers) > 1:
            seen = "two at once"
        return tuple(frozen(machine, now) for machine in thaw), tuple(sorted(set(left))), seen

    def holders(self, state: dict[str, Any]) -> int:
        both = zip(state["machines"], state["fares"], strict=True)
        return sum(machine[0] == "active" for machine, fare in both if fare == LIVE)

    def check(self, name: str, most: int) -> Found:
        invariants: dict[str, Callable[[dict[str, Any]], bool]] = {
            "one holder once all arrives": lambda state: (
                state["calm"] < self.heals or LIVE not in state["fares"] or self.holders(state) == 1
            ),
            "never unheld for longer than the bound": lambda state: max(state["unheld"]) <= self.bound,
            "no preemption without a list": lambda state: state["seen"] != "barred",
        }
        if not self.loss and self.faults == 1:  # one that starts meanwhile may time out at the same moment
            invariants["no two take it at once"] = lambda state: state["seen"] != "two at once"
        return check(name, self.FIELDS, self.initial(), self.steps, invariants, most)


# Which part of a cold engine's budget each may use.


class Parts:
    """Dispatchers' tenures, the datagrams between them, and what each has used in the last window at most."""

    FIELDS = ("tenures", "boots", "heard", "flight", "faults", "history")
    TICK, WINDOW, LEASE = 100.0, 300.0, 200.0
    OLD = -300.0  # ms: a datagram, or an echo in one, so old changes nothing any more

    def __init__(
        self,
        count: int,
        kind: type[Tenure] = Tenure,
        faults: int = 1,
        lenders: tuple[int, ...] = (1,),
        flying: int = 2,
    ) -> None:
        self.count, self.kind, self.faults, self.lenders, self.flying = count, kind, faults, lenders, flying

    def frozen(self, tenure: Tenure, now: float) -> State_:
        lent = tuple(
            sorted((to, until - now) for to, until in tenure.lent_until.items() if until + self.WINDOW > now)
        )
        loans = tuple(
            sorted(
                (peer, loan.part, max(0.0, loan.since - now), loan.until - now)
                for peer, loan in tenure.loans.items()
                if loan.until > now
            )
        )
        return (
            max(0.0, tenure.own_from - now),
            max(0.0, tenure.rests_until - now),
            max(-self.WINDOW, tenure.used_at - now),
            lent,
            loans,
        )

    def thawed(self, snapshot: State_) -> Tenure:
        tenure = self.kind(self.count, self.WINDOW, self.LEASE, 0.0)
        tenure.own_from, tenure.rests_until, tenure.used_at, lent, loans = snapshot
        tenure.lent_until = dict(lent)
        tenure.loans = {peer: Loan(*rest) for peer, *rest in loans}
        return tenure

    def initial(self) -> State_:
        tenure = self.kind(self.count, self.WINDOW, self.LEASE, 0.0)
        tenure.own_from = tenure.rests_until = 0.0  # all have run for long
        tenure.used_at = -self.WINDOW
        one = self.frozen(tenure, 0.0)
        heard = tuple((None,) * self.count for _ in range(self.count))
        return self.noted(((one,) * self.count, (0,) * self.count, heard, (), self.faults, ()))

    def noted(self, state: State_) -> State_:
        """What is older than a window leaves the history."""
        return (*state[:5], tuple(sorted(row for row in state[5] if row[2] < self.WINDOW)))

    def used(self, state: State_, place: int, part: float) -> State_:
        """It has sent all that its part allows in a window: the rules count its own sends."""
        key = (place, state[1][place], 0.0)
        rows = {row[:3]: row[3] for row in state[5]}
        rows[key] = max(part, rows.get(key, 0.0))
        return self.noted((*state[:5], tuple((*row, most) for row, most in rows.items())))

    def steps(self, state: State_) -> Iterator[tuple[str, State_]]:
        tenures, boots, heard, flight, faults, history = state
        yield (
            "step",
            self.noted(
                (
                    tuple(self.frozen(self.thawed(each), self.TICK) for each in tenures),
                    boots,
                    tuple(
                        tuple(known and (known[0], max(self.OLD, known[1] - self.TICK)) for known in row)
                        for row in heard
                    ),
                    tuple(
                        (*message[:-1], message[-1] - self.TICK)
                        for message in flight
                        if message[-1] > self.OLD
                    ),
                    faults,
                    tuple((place, boot, age + self.TICK, part) for place, boot, age, part in history),
                )
            ),
        )
        for one, two, idle in product(range(self.count), range(self.count), (True, False)):
            if one != two and len(flight) < self.flying and (one in self.lenders or not idle):
                yield f"{one} tells {two}{' idle' if idle else ''}", self.says(state, one, two, idle)
        for place, message in enumerate(flight):
            rest = flight[:place] + flight[place + 1 :]
            yield f"lost {message[:2]}", (tenures, boots, heard, rest, faults, history)
            yield f"taken {message[:2]}", self.taken((tenures, boots, heard, rest, faults, history), message)
        for place in range(self.count):
            tenure = self.thawed(tenures[place])
            if (part := tenure.part(0.0)) > 0:
                tenure.used(0.0)
                yield f"{place} sends", self.used(self.with_tenure(state, place, tenure), place, part)
            if faults:
                fresh = self.kind(self.count, self.WINDOW, self.LEASE, 0.0)
                after = self.with_tenure(state, place, fresh)
                yield (
                    f"{place} starts anew",
                    self.noted(
                        (
                            after[0],
                            boots[:place] + (boots[place] + 1,) + boots[place + 1 :],
                            heard[:place] + ((None,) * self.count,) + heard[place + 1 :],
                            flight,
                            faults - 1,
                            history,
                        )
                    ),
                )

    def with_tenure(self, state: State_, place: int, tenure: Tenure) -> State_:
        tenures = state[0][:place] + (self.frozen(tenure, 0.0),) + state[0][place + 1 :]
        return self.noted((tenures, *state[1:]))

    def says(self, state: State_, one: int, two: int, idle: bool) -> State_:
        tenure = self.thawed(state[0][one])
        part, wait = tenure.lend(0.0, str(two), idle)
        message = (
            one,
            two,
            state[1][one],
            state[2][one][two],
            part,
            wait,
            tenure.left_of(0.0, str(two)),
            0.0,
        )
        after = self.with_tenure(state, one, tenure)
        return (*after[:3], tuple(sorted((*state[3], message), key=repr)), *after[4:])

    def taken(self, state: State_, message: State_) -> State_:
        """As sealed.Session lets it in: no earlier start, and loans only in answer to what this start
        said."""
        one, two, boot, echo, part, wait, left, sent = message
        tenures, boots, heard, flight, faults, history = state
        known = heard[two][one]
        if known is not None and known[0] > boot:
            return state
        row = heard[two][:one] + ((boot, sent),) + heard[two][one + 1 :]
        after = (tenures, boots, heard[:two] + (row,) + heard[two + 1 :], flight, faults, history)
        if echo is None or echo[0] != boots[two]:
            return after
        tenure = self.thawed(tenures[two])
        tenure.borrow(0.0, str(one), part, wait, echo[1] + sent)
        if self.count == 2:
            tenure.told_left(0.0, {str(one): left}, 1)
        return self.with_tenure(after, two, tenure)

    @staticmethod
    def together(state: dict[str, Any]) -> float:
        most: dict[tuple[int, int], float] = {}
        for place, boot, age, part in state["history"]:
            if age < Parts.WINDOW:
                most[place, boot] = max(part, most.get((place, boot), 0.0))
        return sum(most.values())

    def check(self, name: str, most: int) -> Found:
        return check(
            name,
            self.FIELDS,
            self.initial(),
            self.steps,
            {"parts come to one at most": lambda state: self.together(state) <= 1.0 + 1e-9},
            most,
        )


# No irreversible submission runs twice where it is told ahead.

KEYS = Keys({1: b"model model model"})
FACTS = Facts(1, (), (), ())


class Walk:
    """Two dispatchers, one submission that a front sends up to four times, and a network that does what it
    likes."""

    def __init__(self, seed: int, kind: type[Handover], crashes: int) -> None:
        self.chance, self.kind, self.crashes = random.Random(seed), kind, crashes
        self.now, self.boots, self.ways = 0.0, 0, 4
        self.sides = {"a": self.fresh("a"), "b": self.fresh("b")}
        self.flight: list[tuple[str, str, bytes]] = []
        self.runs: list[str] = []
        self.shed_after_run = 0
        self.shapes: set[int] = set()

    def fresh(self, name: str) -> Handover:
        self.boots += 1
        peer = "b" if name == "a" else "a"
        return self.kind(
            name,
            [peer],
            self.boots,
            KEYS,
            Tenure(2, 1500, 1000, self.now),
            Marks(8, 60_000.0),
            self.now,
            True,
            40.0,
            None,
            1e9,
        )

    def verdicts(self, name: str, verdicts: list[Any]) -> None:
        for verdict in verdicts:
            if verdict.go:
                self.runs.append(name)
            elif verdict.go is False and not self.runs:
                self.sides[name].over(b"x", never_ran=True)

    def step(self) -> None:
        name = self.chance.choice("ab")
        peer, side = ("b" if name == "a" else "a"), self.sides[name]
        drawn = self.chance.random()
        if drawn < 0.3:
            self.flight.append((name, peer, side.compose(self.now, peer, FACTS, idle=False)))
        elif drawn < 0.4:
            text = side.compose_told(self.now, peer)
            if text is not None:
                self.flight.append((name, peer, text))
        elif drawn < 0.75 and self.flight:
            place = self.chance.randrange(len(self.flight))
            sender, target, text = self.flight[place]
            if self.chance.random() < 0.8:  # else it arrives again later
                del self.flight[place]
            if self.chance.random() < 0.85:  # else it is lost, or this copy of it
                self.deliver(sender, target, text)
        elif drawn < 0.85:
            if self.ways and side.door(self.now, b"x") is Door.OPEN:
                self.ways -= 1
                verdict = side.before(self.now, b"x", self.now + 2000, object())
                self.verdicts(name, [verdict] if verdict else [])
        elif drawn < 0.97:
            self.now += self.chance.choice((5.0, 20.0, 50.0))
            for each, other in self.sides.items():
                self.verdicts(each, other.tick(self.now))
        elif self.crashes and self.sides[peer].complete(self.now):
            self.crashes -= 1
            self.sides[name] = self.fresh(name)
        del self.flight[:-12]
        self.shapes.add(
            hash(
                tuple(
                    (tuple(each.marks.known.items()), len(each.waiting), len(each.synced))
                    for each in self.sides.values()
                )
                + (len(self.runs), len(self.flight))
            )
        )

    def deliver(self, sender: str, target: str, text: bytes) -> None:
        side = self.sides[target]
        try:
            self.verdicts(target, side.take(self.now, sender, text))
        except Refused as fault:
            if fault.reason == "unproven":
                self.flight.append((target, sender, side.sessions[sender].greet(self.now, text)))


def walk(name: str, kind: type[Handover], walks: int, length: int, crashes: int) -> Found:
    """So many seeded schedules; stops at the first in which it runs twice."""
    shapes: set[int] = set()
    ran = 0
    for seed in range(walks):
        one = Walk(seed, kind, crashes)
        for _ in range(length):
            one.step()
        shapes |= one.shapes
        ran += len(one.runs)
        if len(one.runs) > 1:
            return Found(
                name, len(shapes), length, False, ("runs once at most",), (f"seed {seed}", *one.runs)
            )
    assert ran, "no walk let it run: the check would see nothing"
    return Found(name, len(shapes), length, False, (), ())


# Faults planted in what runs: each must be found.


class NoSkew(Machine):
    """All Backups wait alike."""

    def heard_in_backup(self, now: float, priority: int, interval: float) -> None:
        super().heard_in_backup(now, priority, interval)
        if priority >= self.priority:
            self.due = now + 3 * interval


class NoBar(Machine):
    """Takes its address back without a list."""

    def may_preempt(self, now: float) -> bool:
        self.barred = False
        try:
            return super().may_preempt(now)
        finally:
            self.barred = True


class NeverGivesWay(Machine):
    """An Active one that hears a higher priority goes on."""

    def heard(self, now: float, priority: int, interval: float, sender: Any) -> list[Act]:
        if self.state is State.ACTIVE:
            return []
        return super().heard(now, priority, interval, sender)


class DeafTimer(Machine):
    """Any datagram, also of priority 0 or lower, puts its timer off for long."""

    def heard_in_backup(self, now: float, priority: int, interval: float) -> None:
        self.due = now + 10 * active_down_interval(self.priority, interval)


class LendsAndUses(Tenure):
    """What was lent is used on: the budget is doubled."""

    def part(self, now: float) -> float:
        return self.own + sum(loan.part for loan in self.loans.values() if loan.since <= now < loan.until)


class NoRest(Tenure):
    """A part is used again as soon as the loan ends, within the borrower's window."""

    def part(self, now: float) -> float:
        own = 0.0 if self.lent(now) or now < self.own_from else self.own
        return own + sum(loan.part for loan in self.loans.values() if loan.since <= now < loan.until)


class ForgetsLoans(Tenure):
    """A new start uses its part at once."""

    def __init__(self, dispatchers: int, window: float, lease: float, now: float) -> None:
        super().__init__(dispatchers, window, lease, now)
        self.own_from = now


class BorrowsAtOnce(Tenure):
    """A new start uses what it borrows while its earlier start's sends still count: as it was at first."""

    def __init__(self, dispatchers: int, window: float, lease: float, now: float) -> None:
        super().__init__(dispatchers, window, lease, now)
        self.rests_until = now


class LongLoan(Tenure):
    """A borrower counts the lease from the datagram's arrival."""

    def borrow(self, now: float, peer: str, part: float, wait: float, asked: float) -> None:
        super().borrow(now, peer, part, wait, now)


class SendsAtOnce(Handover):
    """Tells ahead, and does not wait for the answer."""

    def before(self, now: float, ident: bytes, expiry: float, token: object) -> Any:
        verdict = super().before(now, ident, expiry, token)
        return (
            verdict._replace(go=True)
            if verdict is not None and verdict.go
            else type(verdict)(token, True)
            if verdict is not None
            else self.at_once(token)
        )

    def at_once(self, token: object) -> Any:
        from ..vrrp.handover import Verdict

        self.waiting.pop(token, None)
        return Verdict(token, True)


class OldWord(Handover):
    """What is said of an earlier telling counts for a later one of the same id: as it was at first."""

    def take(self, now: float, peer: str, datagram: bytes) -> Any:
        clears = self.marks.peer_clears
        self.marks.peer_clears = lambda peer, ident, turn: clears(peer, ident, NEVER)  # type: ignore[method-assign]
        try:
            return super().take(now, peer, datagram)
        finally:
            del self.marks.peer_clears

    def answered(self, peer: str, replies: Any) -> list[Any]:
        verdicts = []
        for _, ok in replies:
            for waiting in list(self.waiting.values()):
                verdicts += super().answered(peer, [(waiting.turn, ok)])
        return verdicts


class OpensUnread(Handover):
    """A new start lets submissions in before it has the peers' marks."""

    def complete(self, now: float) -> bool:
        return True

    def needed(self, now: float) -> list[str]:
        return []


Job = tuple[str, Callable[..., Found], tuple[Any, ...]]


def address(
    name: str, count: int, kind: type[Machine], faults: int, loss: bool, pause: bool, most: int
) -> Found:
    return Address(count, kind, faults, loss, pause).check(name, most)


def parts(
    name: str, count: int, kind: type[Tenure], faults: int, lenders: tuple[int, ...], flying: int, most: int
) -> Found:
    return Parts(count, kind, faults, lenders, flying).check(name, most)


def real_checks(quick: bool) -> list[Job]:
    """What runs in service: nothing may be violated."""
    most = 20_000 if quick else 250_000
    return [
        ("address: two, loss and faults", address, (2, Machine, 2 if quick else 4, True, True, most)),
        ("address: three, a crash", address, (3, Machine, 1, False, False, most)),
        ("address: three, faults", address, (3, Machine, 2 if quick else 4, False, True, most)),
        ("address: three, loss and a fault", address, (3, Machine, 1, True, True, most)),
        ("parts: two, one lends", parts, (2, Tenure, 0, (1,), 1, most)),
        ("parts: two, one lends, a new start", parts, (2, Tenure, 1, (1,), 1, most)),
        ("parts: two, both lend, a new start", parts, (2, Tenure, 1, (0, 1), 2, most)),
        ("parts: three, two lend, a new start", parts, (3, Tenure, 1, (1, 2), 1, most)),
        ("ahead: two, a crash", walk, (Handover, 400 if quick else 20_000, 120, 1)),
    ]


def planted() -> list[Job]:
    most = 120_000
    return [
        ("planted: no skew", address, (3, NoSkew, 1, False, False, most)),
        ("planted: preemption without list", address, (2, NoBar, 2, False, False, most)),
        ("planted: never gives way", address, (2, NeverGivesWay, 1, True, True, most)),
        ("planted: a timer put off", address, (2, DeafTimer, 1, True, True, most)),
        ("planted: a budget doubled", parts, (2, LendsAndUses, 0, (1,), 1, most)),
        ("planted: no rest between users", parts, (2, NoRest, 0, (1,), 1, most)),
        ("planted: loans forgotten at a start", parts, (2, ForgetsLoans, 1, (1,), 1, most)),
        ("planted: a new start borrows at once", parts, (2, BorrowsAtOnce, 1, (1,), 1, most)),
        ("planted: a loan counted from its arrival", parts, (2, LongLoan, 0, (1,), 1, most)),
        ("planted: sent without the peer's word", walk, (SendsAtOnce, 400, 120, 1)),
        ("planted: an old word counts", walk, (OldWord, 4000, 120, 1)),
        ("planted: open before the marks are read", walk, (OpensUnread, 400, 120, 1)),
    ]


def carry_out(jobs: list[Job]) -> list[Found]:
    """Each in a process of its own, as many at once as there are cores."""
    with ProcessPoolExecutor() as pool:
        return [each.result() for each in [pool.submit(call, name, *words) for name, call, words in jobs]]


def figures(quick: bool, say: Callable[[str], None] = lambda _: None) -> dict[str, Any]:
    """States, violations and planted faults found, each check by name."""
    began = time.monotonic()
    jobs, broken = real_checks(quick), planted()
    found = carry_out(jobs + broken)
    real, spoilt = found[: len(jobs)], found[len(jobs) :]
    return {
        "states": sum(each.states for each in real),
        "violations": sum(len(each.violated) for each in real),
        "planted": len(broken),
        "planted_found": sum(bool(each.violated) for each in spoilt),
        "seconds": round(time.monotonic() - began, 1),
        "checks": [
            {
                "name": each.name,
                "states": each.states,
                "whole": each.whole,
                "depth": each.depth,
                "violated": list(each.violated),
                "trace": list(each.trace[:40]),
            }
            for each in found
        ],
    }
