"""Model checks of the fleet: the very classes that run, not a copy of them.

The lease and the inquiry into one that stopped are enumerated breadth first, with relative times. A state has
one subject, its wardens, one who wants to rely on its stop, and datagrams in flight, which are taken in any
order, late, or never; wardens hold the subject for gone when they like, lose their memory, and are replaced.
A pause of the subject is that it does nothing while time goes on. Whole fleets are walked by seeded schedules
of failures, and each state is looked at. Faults planted in subclasses must each be found, or the checks are
worth nothing."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

from ..fleet.fleet import Fleet
from ..fleet.lease import NEVER, Inquiry, Lease, Term, Ward, Wards
from ..fleet.list_sync import ListSync
from ..fleet.members import Life, Members, Record
from ..fleet.standing import Allowed, Standing
from ..fleet.versions import Book, Line, Version, list_digest
from .fleet_world import World
from .model_check import check

State = tuple[Any, ...]
STEP, LEASE, PART = 100.0, 300.0, 0.5
SUBJECT, BOOT = "d", 7
SETS = (("a", "b"), ("b", "c"))
MOST_FLIGHT, MOST_TERMS = 2, 3
FAR = 500.0


def ago(moment: float, now: float) -> float:
    """Relative; what lies further back than FAR makes no difference, and NEVER stays."""
    return moment if math.isinf(moment) else max(-FAR, round(moment - now, 3))


class Kinds(NamedTuple):
    """The classes that are checked; planted faults replace one."""

    lease: type[Lease] = Lease
    wards: type[Wards] = Wards
    inquiry: type[Inquiry] = Inquiry


class Stops:
    """A subject, its wardens and one who relies on its stop."""

    FIELDS = ("lease", "wards", "inquiry", "flight", "faults", "both")

    def __init__(self, kinds: Kinds, faults: int) -> None:
        self.kinds, self.faults = kinds, faults
        self.names = sorted({*SETS[0], *SETS[1]})

    # States and objects.

    def initial(self) -> State:
        """The subject holds its lease from all of its first wardens."""
        lease = self.kinds.lease(LEASE, PART)
        lease.propose(SETS[0])
        wards = {name: self.kinds.wards(LEASE, -10 * LEASE) for name in self.names}
        for name in SETS[0]:
            heard, granted = wards[name].ask(0.0, SUBJECT, BOOT, lease.term, lease.next)
            lease.answered(0.0, name, 0.0, heard, granted)
        inquiry = self.kinds.inquiry(SUBJECT, BOOT, PART, LEASE)
        inquiry.begin(lease.term)
        return self.frozen(lease, wards, inquiry, (), self.faults)

    def frozen(
        self, lease: Lease, wards: dict[str, Wards], inquiry: Inquiry, flight: tuple[State, ...], faults: int
    ) -> State:
        both = lease.holds(0.0) and inquiry.stopped(0.0)
        asked, following = (
            tuple(sorted((name, ago(at, 0.0)) for name, at in times.items()))
            for times in (lease.asked, lease.next_asked)
        )
        told = (
            lease.term,
            asked,
            lease.next,
            following,
            tuple(sorted(lease.next_told)),
            tuple(sorted(lease.refused)),
            lease.held,
        )
        kept = tuple((ago(wards[name].rests_until, 0.0), self.ward(wards[name])) for name in self.names)
        words = tuple(
            sorted(
                (name, ago(ends, 0.0), ago(until, 0.0))
                for name, (ends, until) in inquiry.words.items()
                if until > 0
            )
        )
        known = inquiry.in_force, tuple(sorted(inquiry.terms.values()))
        return told, kept, (known, words), tuple(sorted(flight, key=str)), faults, both

    @staticmethod
    def ward(wards: Wards) -> State | None:
        found = wards.wards.get(SUBJECT)
        return (
            None
            if found is None
            else (found.term, found.following, ago(found.until, 0.0), found.refused, ago(found.barred, 0.0))
        )

    def thawed(self, state: State, shift: float = 0.0) -> tuple[Lease, dict[str, Wards], Inquiry]:
        """At time 0; shift: so much time has gone by."""
        (term, asked, following, next_asked, next_told, refused, held), kept, (known, words), *_ = state
        lease = self.kinds.lease(LEASE, PART)
        lease.alone, lease.term, lease.next, lease.held = False, term, following, held
        lease.asked = {name: at - shift for name, at in asked}
        lease.next_asked = {name: at - shift for name, at in next_asked}
        lease.next_told, lease.refused = set(next_told), set(refused)
        wards = {}
        for name, (rests, ward) in zip(self.names, kept, strict=True):
            wards[name] = self.kinds.wards(LEASE, 0.0)
            wards[name].rests_until = rests - shift
            if ward is not None:
                term, following, until, refused_to, barred = ward
                wards[name].wards[SUBJECT] = Ward(
                    BOOT, term, following, until - shift, refused_to, barred - shift
                )
        inquiry = self.kinds.inquiry(SUBJECT, BOOT, PART, LEASE)
        inquiry.in_force, inquiry.terms = known[0], {each.number: each for each in known[1]}
        inquiry.words = {name: (ends - shift, until - shift) for name, ends, until in words}
        return lease, wards, inquiry

    # Steps.

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        for label, after in self.moves(state):
            yield label, after()

    def moves(self, state: State) -> Iterator[tuple[str, Callable[[], State]]]:
        """A question is answered at once, or its answer is under way for as long as it likes, or it never
        comes."""
        lease, _, inquiry = self.thawed(state)
        flight, faults = state[3], state[4]
        yield "time", partial(self.later, state)
        for kind, names in (("ask", lease.whom()), ("query", inquiry.whom())):
            for name in names:
                yield f"{kind} {name}", partial(self.asked, state, kind, name, False)
                if len(flight) < MOST_FLIGHT and not any(each[:2] == (kind, name) for each in flight):
                    yield f"{kind} {name}, late", partial(self.asked, state, kind, name, True)
        for place, each in enumerate(flight):
            rest = flight[:place] + flight[place + 1 :]
            yield f"{each[0]} {each[1]} answered", partial(self.answered, state, each, rest)
            if each[2] <= -FAR:
                yield f"{each[0]} {each[1]} never", partial(self.without, state, rest)
        if faults:
            yield from self.faulty(state)

    @staticmethod
    def without(state: State, rest: tuple[State, ...]) -> State:
        return (*state[:3], rest, *state[4:])

    def later(self, state: State) -> State:
        lease, wards, inquiry = self.thawed(state, STEP)
        flight = tuple((*each[:2], max(-FAR, each[2] - STEP), *each[3:]) for each in state[3])
        return self.frozen(lease, wards, inquiry, flight, state[4])

    def asked(self, state: State, kind: str, name: str, late: bool) -> State:
        """The warden has the question now."""
        lease, wards, inquiry = self.thawed(state)
        told: tuple[Any, ...] | None
        if kind == "ask":
            told = wards[name].ask(0.0, SUBJECT, BOOT, lease.term, lease.next)
        else:
            told = wards[name].word(0.0, SUBJECT, BOOT)
        flight = state[3]
        if told is not None and late:
            flight = (*flight, (kind, name, 0.0, *told))
        elif told is not None:
            self.say(lease, inquiry, kind, name, 0.0, told)
        return self.frozen(lease, wards, inquiry, flight, state[4])

    def answered(self, state: State, message: State, rest: tuple[State, ...]) -> State:
        lease, wards, inquiry = self.thawed(state)
        self.say(lease, inquiry, message[0], message[1], message[2], message[3:])
        return self.frozen(lease, wards, inquiry, rest, state[4])

    @staticmethod
    def say(lease: Lease, inquiry: Inquiry, kind: str, name: str, at: float, told: tuple[Any, ...]) -> None:
        if kind == "ask":
            lease.answered(0.0, name, at, *told)
        else:
            inquiry.word(0.0, at, name, *told)

    def faulty(self, state: State) -> Iterator[tuple[str, Callable[[], State]]]:
        for place, name in enumerate(self.names):
            if state[1][place][1] is not None:
                yield f"{name} holds it for gone", partial(self.warden_fails, state, name, False)
                yield f"{name} restarts", partial(self.warden_fails, state, name, True)
        lease, _, _ = self.thawed(state)
        newest = lease.next or lease.term
        for wardens in SETS:
            if newest.number < MOST_TERMS and (newest.wardens != wardens or lease.refused):
                yield f"wardens {' '.join(wardens)}", partial(self.replaced, state, wardens)

    def warden_fails(self, state: State, name: str, restarts: bool) -> State:
        lease, wards, inquiry = self.thawed(state)
        if restarts:
            wards[name] = self.kinds.wards(LEASE, 0.0)
        else:
            wards[name].refuse(SUBJECT, BOOT)
        return self.frozen(lease, wards, inquiry, state[3], state[4] - 1)

    def replaced(self, state: State, wardens: tuple[str, ...]) -> State:
        lease, wards, inquiry = self.thawed(state)
        lease.propose(wardens)
        return self.frozen(lease, wards, inquiry, state[3], state[4] - 1)

    def search(self, most: int) -> Any:
        """Breadth first, as far as `most` states go."""
        return check(
            "stops",
            self.FIELDS,
            self.initial(),
            self.steps,
            {"it acts while another relies on its stop": lambda state: not state["both"]},
            most,
        )

    def walk(self, chance: random.Random, length: int) -> tuple[int, list[str]]:
        """One schedule far beyond what breadth first reaches: steps, and the labels where it breaks."""
        state, labels = self.initial(), list[str]()
        for step in range(length):
            moves = list(self.moves(state))
            kinds: dict[str, list[tuple[str, Callable[[], State]]]] = {}
            for move in moves:
                kinds.setdefault(
                    "fault" if move[0][1:2] == " " or move[0].startswith("wardens") else move[0].split()[0],
                    [],
                ).append(move)
            label, after = chance.choice(kinds[chance.choice(sorted(kinds))])
            state = after()
            labels.append(label)
            if state[5]:
                return step + 1, labels
        return length, []


# Planted in the lease.


class CountsFromTheAnswer(Lease):
    def answered(self, now: float, name: str, asked: float, heard_of: int, granted: bool) -> None:
        super().answered(now, name, max(asked, now), heard_of, granted)


class TellsNobody(Lease):
    """A new term counts though the old wardens do not know of it."""

    def answered(self, now: float, name: str, asked: float, heard_of: int, granted: bool) -> None:
        if self.next is not None and heard_of >= self.next.number:
            self.next_told |= set(self.term.wardens)
        super().answered(now, name, asked, heard_of, granted)


class AnswersThoughBarred(Wards):
    def ask(self, now: float, name: str, boot: int, term: Term, following: Term | None) -> tuple[int, bool]:
        if name in self.wards:
            self.wards[name] = self.wards[name]._replace(barred=NEVER)
        return super().ask(now, name, boot, term, following)


class ForgetsItsRest(Wards):
    """A new start answers at once, whatever the one before has said."""

    def ask(self, now: float, name: str, boot: int, term: Term, following: Term | None) -> tuple[int, bool]:
        self.rests_until = NEVER
        return super().ask(now, name, boot, term, following)


class SaysNothingLeft(Wards):
    """Its answers may still count, and it does not say so."""

    def word(self, now: float, name: str, boot: int) -> tuple[Term, Term | None, bool, float] | None:
        found = super().word(now, name, boot)
        return None if found is None else (*found[:3], 0.0)


class RefusesNothing(Wards):
    """Says that it refuses, and goes on to answer."""

    def refuse(self, name: str, boot: int) -> None:
        super().refuse(name, boot)
        self.lying = True

    def ask(self, now: float, name: str, boot: int, term: Term, following: Term | None) -> tuple[int, bool]:
        if name in self.wards:
            known = self.wards[name]
            heard, _ = super().ask(now, name, boot, term, following)
            self.wards[name] = known._replace(until=now + self.lease)
            return heard, True
        return super().ask(now, name, boot, term, following)


class OneWordIsEnough(Inquiry):
    def stopped(self, now: float) -> bool:
        return any(ends <= now < until for ends, until in self.words.values())


class ForgetsNoWord(Inquiry):
    """A word counts for ever."""

    def word(
        self,
        now: float,
        asked: float,
        name: str,
        term: Term,
        following: Term | None,
        refused: bool,
        left: float,
    ) -> None:
        super().word(now, asked, name, term, following, refused, left)
        self.words = {each: (ends, 10 * FAR) for each, (ends, _) in self.words.items()}


class KeepsToTheOldTerm(Inquiry):
    """It is not led on to newer wardens."""

    def begin(self, term: Term, following: Term | None = None) -> None:
        if not self.terms:
            super().begin(term)


class BelievesWhatIsProposed(Inquiry):
    """A term that was proposed counts as in force, as ours did until the walks found it."""

    def begin(self, term: Term, following: Term | None = None) -> None:
        super().begin(following or term)


IN_THE_LEASE = (
    Kinds(lease=CountsFromTheAnswer),
    Kinds(lease=TellsNobody),
    Kinds(wards=AnswersThoughBarred),
    Kinds(wards=ForgetsItsRest),
    Kinds(wards=SaysNothingLeft),
    Kinds(wards=RefusesNothing),
    Kinds(inquiry=OneWordIsEnough),
    Kinds(inquiry=ForgetsNoWord),
    Kinds(inquiry=KeepsToTheOldTerm),
    Kinds(inquiry=BelievesWhatIsProposed),
)


# Whole fleets, walked.


class Walk:
    """One world through failures by chance; `broken` counts what was seen that must not be."""

    def __init__(self, seed: int, count: int, made: Callable[..., Fleet] = Fleet) -> None:
        self.chance = random.Random(seed)
        self.world = World(count, seed, made=made, engine_count=8)
        self.broken: Counter[str] = Counter()
        self.states = 0

    def look(self) -> None:
        world = self.world
        self.states += 1
        live = {name: node.fleet for name, node in world.nodes.items() if node.life}
        for name, fleet in live.items():
            if not fleet.allowed(world.now).doubtful:
                continue
            for other in live.values():
                found = other.stops.inquiries.get(name)
                if found is not None and found.boot == fleet.boot and other.stopped(world.now, name):
                    self.broken["acts while another relies on its stop"] += 1
        for fleet in live.values():
            own = fleet.book.force[Line.LIST]
            if own.number < world.newest.number - 1_000_000 or own.number > world.newest.number + 1:
                self.broken["acts on a version that nobody released"] += 1
            if fleet.rows and len(fleet.rows) < world.engines // 2:
                self.broken["acts on a list without its engines"] += 1

    def run(self, ms: float) -> None:
        until = self.world.now + ms
        while self.world.now < until:
            self.world.run(20.0)
            self.look()

    def walk(self, failures: int) -> Counter[str]:
        world = self.world
        if world.run_until(lambda: world.standings()["CURRENT"] == len(world.nodes), 8000.0) is None:
            self.broken["not current after a start"] += 1
            return self.broken
        for _ in range(failures):
            self.fail()
            self.run(self.chance.choice((300.0, 900.0, 2500.0)))
            if self.chance.random() < 0.5:
                self.heal()
                self.run(300.0)
        self.heal()
        self.run(4200.0)  # until the longest pause is over
        world.release(self.chance.randrange(8))
        self.run(1500.0)
        if world.run_until(lambda: world.standings() == {"CURRENT": len(world.nodes)}, 25_000.0) is None:
            self.broken["not all current again once all is well"] += 1
        if not world.all_have(world.newest):
            self.broken["not all on the newest list"] += 1
        return self.broken

    def fail(self) -> None:
        world, chance = self.world, self.chance
        names = list(world.nodes)
        whom = chance.choice(names)
        rest = set(names) - {whom}
        what = chance.choice(
            ("pause", "kill", "cut", "deaf", "mute", "split", "noise", "blind", "old", "release", "liar")
        )
        if what == "pause":
            world.pause(whom, chance.choice((500.0, 2000.0, 4000.0)))
        elif what == "kill":
            world.kill(whom)
        elif what == "cut":
            world.cut({whom}, rest)
        elif what == "deaf":
            world.cuts |= {(other, whom) for other in rest}
        elif what == "mute":
            world.cuts |= {(whom, other) for other in rest}
        elif what == "split":
            half = set(chance.sample(names, len(names) // 2))
            world.cut(half, set(names) - half)
        elif what == "noise":
            world.loss, world.repeat, world.delay = 0.2, 0.2, 60.0
        elif what == "blind":
            world.nodes[whom].source = False
        elif what == "old":
            world.nodes[whom].source_old = world.newest
        elif what == "liar":
            self.lie(world.nodes[whom].fleet)
        if what in ("release", "blind", "old"):
            world.release(chance.randrange(8))

    def lie(self, fleet: Fleet) -> None:
        """One claims, in the right form, a list with hardly an engine, one number on."""
        number = self.world.newest.number + 1
        session = fleet.book.force[Line.LIST]
        rows: dict[str, Any] = {}
        fleet.shelf.keep(Version(0, number, list_digest(rows)), rows)
        fleet.book.force[Line.LIST] = Version(0, number, list_digest(rows))
        self.run(700.0)
        fleet.book.force[Line.LIST] = session

    def heal(self) -> None:
        world = self.world
        world.cuts.clear()
        world.loss, world.repeat, world.delay = 0.0, 0.0, 1.0
        for node in world.nodes.values():
            node.source, node.source_old = True, None
            if not node.life:
                world.restart(node.name)


# Planted in whole fleets.


class NeverLooksAgain(Fleet):
    """What may be sent is what the last timer found: one that stood still acts on it."""

    def allowed(self, now: float) -> Allowed:
        return self.ladder.allowed


class TakesAnyList(Fleet):
    """One witness may take all engines away."""

    def begin(self, now: float) -> None:
        super().begin(now)
        self.list_sync.max_single_drop = 2.0


class NeverJoinsAgain(Fleet):
    """Whoever has lapsed stays so."""

    def stand(self, now: float) -> None:
        before = self.ladder.standing
        super().stand(now)
        if before in (Standing.LAPSED, Standing.SHUT):
            self.ladder.standing = before


class IdleListSync(ListSync):
    def tick(self, now: float, unix: float) -> None:
        return


class AsksNobody(Fleet):
    """Nobody is brought up by a peer, and its name service may never answer: found where it stays away."""

    def begin(self, now: float) -> None:
        super().begin(now)
        self.list_sync = IdleListSync(self, now)


class Deaf(Members):
    def hear(self, now: float, record: Record, by: str) -> None:
        known = self.others.get(record.name)
        if known is None or known.life < Life.GONE:
            super().hear(now, record, by)


class DeafToRefutation(Fleet):
    """One that was held for gone stays gone for this one."""

    def begin(self, now: float) -> None:
        super().begin(now)
        self.members = Deaf(self.members.own, self.terms.period, self.terms.forget, self.chance, now)


IN_FLEETS = (NeverLooksAgain, TakesAnyList, NeverJoinsAgain, DeafToRefutation)


def walks(made: Callable[..., Fleet], seeds: range, count: int, failures: int) -> tuple[int, Counter[str]]:
    states, broken = 0, Counter[str]()
    for seed in seeds:
        walk = Walk(seed, count, made)
        broken += walk.walk(failures)
        states += walk.states
        if broken and made is not Fleet:
            break
    return states, broken


def backwards() -> bool:
    """A book that takes what is older: does the check of versions see it?"""

    class Backwards(Book):
        def take(self, line: Line, version: Version, by_source: bool = True) -> bool:
            self.force[line] = version
            return True

    found = []
    for kind in (Book, Backwards):
        book = kind("d")
        book.take(Line.LIST, Version(0, 5, "aa"))
        book.take(Line.LIST, Version(0, 4, "bb"))
        found.append(book.force[Line.LIST].number)
    return found == [5, 4]


def stops_walked(kinds: Kinds, walks: int, seed: int = 5) -> tuple[int, list[str]]:
    """Steps of all walks up to the first that breaks, and its labels."""
    chance, model, steps = random.Random(seed), Stops(kinds, 6), 0
    for _ in range(walks):
        count, labels = model.walk(chance, 45)
        steps += count
        if labels:
            return steps, labels
    return steps, []


def figures(quick: bool) -> dict[str, Any]:
    """States looked at, violations, planted faults and how many were found."""
    stops = Stops(Kinds(), 3).search(15_000 if quick else 150_000)
    walked, broken = stops_walked(Kinds(), 400 if quick else 12_000)
    seen, wrong = walks(Fleet, range(2) if quick else range(24), 4, 6)
    violations = len(stops.violated) + bool(broken) + sum(wrong.values())
    missed: list[str] = []
    for kinds in IN_THE_LEASE:
        if not stops_walked(kinds, 20_000)[1]:
            missed.append(
                next(kind.__name__ for kind, usual in zip(kinds, Kinds(), strict=True) if kind is not usual)
            )
    in_fleets = IN_FLEETS[:1] if quick else IN_FLEETS
    missed += [made.__name__ for made in in_fleets if not walks(made, range(40), 4, 6)[1]]
    missed += [] if backwards() else ["Backwards"]
    planted = len(IN_THE_LEASE) + len(in_fleets) + 1
    return {
        "states": stops.states + walked + seen,
        "violations": violations,
        "planted": planted,
        "planted_found": planted - len(missed),
        "depth": stops.depth,
        "walks": dict(wrong),
        "missed": missed,
    }
